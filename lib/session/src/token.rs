//! Token: the text form of a session's floors, with which the session continues on
//! another instance.

use std::str::FromStr;

use displaydoc::Display;
use masticreel_base::ids::GroupId;
use masticreel_base::position::TermPosition;

use crate::floors::{Floor, Floors};

/// Parameter status and start-up option that carry the token.
pub const TOKEN_PARAMETER: &str = "masticreel.token";

/// Start-up option that names a session.
pub const SESSION_PARAMETER: &str = "masticreel.session";

/// Distinguishes this format from later versions.
const PREFIX: &str = "m1";

/// not a session token: {0:?}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct ParseTokenError(pub String);

impl std::error::Error for ParseTokenError {}

/// Returns the token for a session's floors.
///
/// The form is `m1` followed by `:GROUP=WRITTEN,SEEN` for each group, without
/// characters that need quoting in SQL, in options or in comments.
pub fn encode(floors: &Floors) -> String {
    let mut token = PREFIX.to_owned();
    for (group, floor) in floors.iter() {
        let name = encode_name(group.as_str());
        token.push_str(&format!(":{name}={},{}", floor.written, floor.seen));
    }
    token
}

/// Reads a token.
///
/// # Errors
///
/// Fails on anything that [`encode`] does not produce: a truncated token must
/// not be accepted as a valid one with lower floors.
pub fn decode(token: &str) -> Result<Floors, ParseTokenError> {
    let invalid = || ParseTokenError(token.to_owned());
    let mut parts = token.split(':');
    if parts.next() != Some(PREFIX) {
        return Err(invalid());
    }
    let floors: Floors = parts.map(decode_floor).collect::<Option<_>>().ok_or_else(invalid)?;
    if encode(&floors) != token {
        return Err(invalid());
    }
    Ok(floors)
}

fn decode_floor(part: &str) -> Option<(GroupId, Floor)> {
    let (name, positions) = part.split_once('=')?;
    let (written, seen) = positions.split_once(',')?;
    let written = TermPosition::from_str(written).ok()?;
    let seen = TermPosition::from_str(seen).ok()?;
    Some((decode_name(name)?.into(), Floor { written, seen }))
}

/// Replaces each byte that might need quoting by `~` and two hexadecimal digits.
fn encode_name(name: &str) -> String {
    name.bytes()
        .map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => {
                char::from(byte).to_string()
            }
            _ => format!("~{byte:02x}"),
        })
        .collect()
}

fn decode_name(text: &str) -> Option<String> {
    let mut bytes = Vec::new();
    let mut rest = text;
    while let Some(first) = rest.bytes().next() {
        if first != b'~' {
            bytes.push(first);
            rest = rest.get(1..)?;
            continue;
        }
        bytes.push(u8::from_str_radix(rest.get(1..3)?, 16).ok()?);
        rest = &rest[3..];
    }
    String::from_utf8(bytes).ok()
}
