//! Tags in statements, in the sqlcommenter format.
//!
//! A tag comment is the last comment of a statement and looks like
//! `/*class='urgent',session='tech-7'*/`. Keys and values are URL-encoded, and a
//! quote within a value is written as `\'`.

use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use masticreel_base::ids::SessionName;
use masticreel_document::policy::StatedTraits;

const COMMENT_START: &str = "/*";
const COMMENT_END: &str = "*/";

/// The tags of a statement.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Tags {
    /// How the statement is to be treated.
    pub statement: StatedTraits,
    /// The session that the statement belongs to.
    pub session: Option<SessionName>,
    /// The token with floors that the session reached elsewhere.
    pub token: Option<Arc<str>>,
    /// Identifies the request, so that a retry returns the first result.
    pub request_key: Option<Arc<str>>,
}

/// the tag {key} can't have the value {value:?}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct TagError {
    /// The tag's key.
    pub key: String,
    /// The value that was not understood.
    pub value: String,
}

impl std::error::Error for TagError {}

/// Reads the tags of a statement; unknown keys are skipped.
///
/// # Errors
///
/// Fails when a known key has an invalid value: a statement whose tag is
/// misspelt must not run under weaker guarantees than its caller requested.
pub fn parse_tags(sql: &str) -> Result<Tags, TagError> {
    let mut tags = Tags::default();
    for (key, value) in pairs(sql) {
        tags.set(&key, &value)?;
    }
    Ok(tags)
}

/// Returns a statement without a comment at its end, which is where tags are.
///
/// The rest identifies a request: tags such as trace ids differ between two
/// attempts of the same request.
pub fn without_tags(sql: &str) -> &str {
    match comment_start(sql) {
        Some(start) => sql[..start].trim_end(),
        None => sql,
    }
}

impl Tags {
    fn set(&mut self, key: &str, value: &str) -> Result<(), TagError> {
        let invalid = || TagError { key: key.to_owned(), value: value.to_owned() };
        match key {
            "class" => self.statement.class = Some(value.parse().map_err(|_| invalid())?),
            "max_staleness_ms" => {
                let millis = value.parse().map_err(|_| invalid())?;
                self.statement.max_staleness = Some(Duration::from_millis(millis));
            }
            "idempotent" => {
                self.statement.idempotent = Some(value.parse().map_err(|_| invalid())?);
            }
            "session" => self.session = Some(non_empty(value).ok_or_else(invalid)?.into()),
            "token" => self.token = Some(non_empty(value).ok_or_else(invalid)?.into()),
            "request_key" => {
                self.request_key = Some(non_empty(value).ok_or_else(invalid)?.into());
            }
            _ => {}
        }
        Ok(())
    }
}

fn non_empty(value: &str) -> Option<&str> {
    Some(value).filter(|value| !value.is_empty())
}

/// Returns the key-value pairs of the statement's last comment.
fn pairs(sql: &str) -> Vec<(String, String)> {
    let Some(comment) = last_comment(sql) else {
        return Vec::new();
    };
    let mut pairs = Vec::new();
    let mut rest = comment;
    while let Some((key, after_key)) = rest.split_once("='") {
        let Some(end) = closing_quote(after_key) else {
            break;
        };
        let value = after_key[..end].replace("\\'", "'");
        pairs.push((decode_url(key.trim_start_matches(',').trim()), decode_url(&value)));
        rest = &after_key[end + 1..];
    }
    pairs
}

/// Returns the text within the comment that ends the statement.
fn last_comment(sql: &str) -> Option<&str> {
    let start = comment_start(sql)?;
    without_end(sql).strip_suffix(COMMENT_END)?.get(start + COMMENT_START.len()..)
}

/// Returns the start of the comment that ends the statement.
fn comment_start(sql: &str) -> Option<usize> {
    without_end(sql).strip_suffix(COMMENT_END)?.rfind(COMMENT_START)
}

fn without_end(sql: &str) -> &str {
    sql.trim_end().trim_end_matches(';').trim_end()
}

fn closing_quote(text: &str) -> Option<usize> {
    let bytes = text.as_bytes();
    (0..bytes.len())
        .find(|&index| bytes[index] == b'\'' && (index == 0 || bytes[index - 1] != b'\\'))
}

/// Replaces each `%XX` by the byte that it encodes and keeps everything else.
fn decode_url(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let decoded = (*first == b'%').then(|| hex_byte(tail)).flatten();
        bytes.push(decoded.unwrap_or(*first));
        rest = if decoded.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn hex_byte(text: &[u8]) -> Option<u8> {
    let digits = std::str::from_utf8(text.get(..2)?).ok()?;
    u8::from_str_radix(digits, 16).ok()
}
