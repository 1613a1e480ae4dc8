//! Classifies SQL statements, so that they can be routed before they run.
//!
//! The text is only split into words, without parsing it. A statement that is
//! wrongly classified as a read is refused by a replica without effect and then
//! sent to the primary, so this mistake costs only time.

/// What a statement does, as far as it matters for routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementKind {
    /// No words, only comments and whitespace.
    Empty,
    /// Reads without side effects.
    Read,
    /// Anything that must run on the primary.
    Write,
    /// Opens a transaction.
    Begin,
    /// Ends a transaction successfully.
    Commit,
    /// Ends a transaction without effect.
    Rollback,
    /// Changes a setting for the session.
    Set,
    /// Changes a setting for the transaction.
    SetLocal,
    /// Shows a setting.
    Show,
    /// Discards session state, such as prepared statements. `DEALLOCATE` of a single
    /// statement is classified as if it discarded all of them.
    Discard,
    /// Copies data in or out, which is not supported.
    Copy,
    /// Leaves state on the connection beyond the transaction.
    SessionState,
}

/// One statement of a query text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement<'a> {
    /// The statement's text without the separator.
    pub text: &'a str,
    /// How the statement is classified.
    pub kind: StatementKind,
}

/// Words that make a statement a write although it begins like a read.
const WRITING_WORDS: [&str; 9] =
    ["insert", "update", "delete", "merge", "into", "nextval", "setval", "truncate", "call"];
/// Functions that leave state on the connection.
const SESSION_FUNCTIONS: [&str; 2] = ["pg_advisory_lock", "pg_advisory_lock_shared"];

/// Splits a query text into statements and classifies each of them.
///
/// Statements without any words are left out.
pub fn analyze(sql: &str) -> Vec<Statement<'_>> {
    let mut statements = Vec::new();
    let mut start = 0;
    let mut words = Vec::new();
    for token in Tokens::new(sql) {
        match token {
            Token::Word(word) => words.push(word.to_ascii_lowercase()),
            Token::Separator(end) => {
                push_statement(&mut statements, &sql[start..end], &words);
                words.clear();
                start = end + 1;
            }
        }
    }
    push_statement(&mut statements, &sql[start..], &words);
    statements
}

fn push_statement<'a>(statements: &mut Vec<Statement<'a>>, text: &'a str, words: &[String]) {
    let kind = kind_of(words);
    if kind != StatementKind::Empty {
        statements.push(Statement { text: text.trim(), kind });
    }
}

fn kind_of(words: &[String]) -> StatementKind {
    let Some(first) = words.first() else { return StatementKind::Empty };
    let second = words.get(1).map_or("", String::as_str);
    let has = |candidates: &[&str]| words.iter().any(|word| candidates.contains(&word.as_str()));
    match first.as_str() {
        "select" | "with" if has(&SESSION_FUNCTIONS) => StatementKind::SessionState,
        "select" | "with" | "explain" if has(&WRITING_WORDS) || locks_rows(words) => {
            StatementKind::Write
        }
        "select" | "with" | "values" | "table" | "explain" => StatementKind::Read,
        "begin" => StatementKind::Begin,
        "start" if second == "transaction" => StatementKind::Begin,
        "commit" | "end" => StatementKind::Commit,
        "rollback" if !has(&["to"]) => StatementKind::Rollback,
        "abort" => StatementKind::Rollback,
        "set" if second == "local" || second == "transaction" || second == "constraints" => {
            StatementKind::SetLocal
        }
        "set" | "reset" => StatementKind::Set,
        "show" => StatementKind::Show,
        "discard" | "deallocate" => StatementKind::Discard,
        "copy" => StatementKind::Copy,
        "prepare" if second == "transaction" => StatementKind::Write,
        "listen" | "unlisten" | "prepare" | "load" => StatementKind::SessionState,
        "declare" if has(&["hold"]) => StatementKind::SessionState,
        "create" if matches!(second, "temp" | "temporary" | "local" | "global") => {
            StatementKind::SessionState
        }
        _ => StatementKind::Write,
    }
}

fn locks_rows(words: &[String]) -> bool {
    let lock_words = ["update", "share", "no", "key"];
    words.windows(2).any(|pair| pair[0] == "for" && lock_words.contains(&pair[1].as_str()))
}

enum Token<'a> {
    Word(&'a str),
    /// A semicolon, with its offset in the text, in bytes.
    Separator(usize),
}

/// Iterates over the words and statement separators of a query text, skipping
/// literals and comments.
struct Tokens<'a> {
    sql: &'a str,
    /// The offset of the unread rest, in bytes.
    position: usize,
}

impl<'a> Tokens<'a> {
    fn new(sql: &'a str) -> Self {
        Self { sql, position: 0 }
    }

    fn rest(&self) -> &'a str {
        &self.sql[self.position..]
    }

    /// Moves past the next occurrence of a delimiter, or to the end.
    ///
    /// The search starts `offset` bytes after the present position.
    fn skip_past(&mut self, offset: usize, delimiter: &str) {
        let from = self.position + offset;
        let tail = self.sql.get(from..).unwrap_or("");
        let end = tail.find(delimiter).map(|found| from + found + delimiter.len());
        self.position = end.unwrap_or(self.sql.len());
    }

    fn skip_block_comment(&mut self) {
        let bytes = self.sql.as_bytes();
        let mut depth = 0;
        while self.position < bytes.len() {
            let pair = &bytes[self.position..bytes.len().min(self.position + 2)];
            match pair {
                b"/*" => {
                    depth += 1;
                    self.position += 2;
                }
                b"*/" => {
                    depth -= 1;
                    self.position += 2;
                }
                _ => self.position += 1,
            }
            if depth == 0 {
                return;
            }
        }
    }

    fn skip_escape_string(&mut self) {
        let bytes = self.sql.as_bytes();
        self.position += 2;
        while self.position < bytes.len() {
            match bytes[self.position] {
                b'\\' => self.position = bytes.len().min(self.position + 2),
                b'\'' => {
                    self.position += 1;
                    return;
                }
                _ => self.position += 1,
            }
        }
    }

    /// Skips a dollar-quoted literal `$tag$ … $tag$`, or else the single `$` of a
    /// parameter such as `$1`.
    fn skip_dollar(&mut self) {
        let rest = self.rest();
        let tag_end = rest[1..].find(|c: char| !c.is_ascii_alphanumeric() && c != '_');
        let tag = tag_end.and_then(|end| rest.get(..end + 2)).filter(|tag| tag.ends_with('$'));
        match tag {
            Some(tag) if !tag[1..].starts_with(|c: char| c.is_ascii_digit()) => {
                self.skip_past(tag.len(), tag);
            }
            _ => self.position += 1,
        }
    }

    fn take_word(&mut self) -> &'a str {
        let rest = self.rest();
        let end = rest.find(|c: char| !is_word_character(c)).unwrap_or(rest.len());
        self.position += end;
        &rest[..end]
    }
}

fn is_word_character(character: char) -> bool {
    character.is_alphanumeric() || character == '_'
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            let rest = self.rest();
            let first = rest.chars().next()?;
            match first {
                ';' => {
                    self.position += 1;
                    return Some(Token::Separator(self.position - 1));
                }
                '\'' => self.skip_past(1, "'"),
                '"' => self.skip_past(1, "\""),
                'e' | 'E' if rest[1..].starts_with('\'') => self.skip_escape_string(),
                '-' if rest.starts_with("--") => self.skip_past(2, "\n"),
                '/' if rest.starts_with("/*") => self.skip_block_comment(),
                '$' => self.skip_dollar(),
                _ if is_word_character(first) => return Some(Token::Word(self.take_word())),
                _ => self.position += first.len_utf8(),
            }
        }
    }
}
