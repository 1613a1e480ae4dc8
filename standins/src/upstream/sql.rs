//! Parses the commands that the stand-in runs itself: transactions, session
//! parameters and the functions of the group.
//!
//! All other statements go to SQLite after small changes to their dialect. The
//! parser simplifies: `SET LOCAL` is `SET`, each `DISCARD` is `DISCARD ALL`, and
//! some words count wherever they stand in a command.

use crate::upstream::value::ColumnType;

/// A statement in SQLite's dialect, with its kind and its parameter casts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// The text for SQLite, used only with `Command::Sqlite`.
    pub sql: String,
    /// What the stand-in does with the statement.
    pub command: Command,
    /// The type casts on parameters, such as `$1::int8`.
    pub parameter_casts: Vec<(usize, ColumnType)>,
}

impl Statement {
    /// Returns whether the statement creates a temporary object, which only its
    /// connection has.
    pub fn creates_temporary(&self) -> bool {
        let mut words = self.sql.split_whitespace().map(str::to_ascii_lowercase);
        words.next().as_deref() == Some("create")
            && matches!(words.next().as_deref(), Some("temp" | "temporary"))
    }
}

/// A statement's kind, with its arguments if the stand-in runs it itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Nothing but white space and comments.
    Empty,
    /// Opens a transaction block.
    Begin {
        /// Whether the block may not write.
        read_only: bool,
    },
    /// Commits the transaction block.
    Commit,
    /// Rolls the transaction block back.
    Rollback,
    /// Sets a savepoint.
    Savepoint(String),
    /// Rolls back to a savepoint.
    RollbackTo(String),
    /// Releases a savepoint.
    Release(String),
    /// Changes a session parameter.
    Set {
        /// The parameter.
        name: String,
        /// Its new value.
        value: String,
    },
    /// Returns the value of a session parameter.
    Show(String),
    /// Resets a session parameter, or all.
    Reset(Option<String>),
    /// Resets the session: parameters, prepared statements and temporary objects.
    DiscardAll,
    /// Closes a prepared statement, or all.
    Deallocate(Option<String>),
    /// Calls one of the functions in `control`.
    GroupCall {
        /// The function's name.
        name: String,
        /// Its arguments as text.
        arguments: Vec<String>,
    },
    /// A statement for SQLite, reading or writing, by its first word.
    Sqlite(String),
}

/// Splits a text into statements at the semicolons outside of quotes.
pub fn split(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut start = 0;
    for token in tokens(text) {
        if token.kind == TokenKind::Symbol && token.text == ";" {
            parts.push(&text[start..token.offset]);
            start = token.offset + 1;
        }
    }
    parts.push(&text[start..]);
    parts.retain(|part| tokens(part).any(|token| token.kind != TokenKind::Trivia));
    parts
}

/// Parses one statement.
pub fn parse(text: &str) -> Statement {
    let text = text.trim().trim_end_matches(';');
    let (sql, parameter_casts) = rewrite(text);
    Statement { sql, command: command(text), parameter_casts }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TokenKind {
    /// White space or a comment.
    Trivia,
    Word,
    Quoted,
    Symbol,
}

#[derive(Debug, Clone, Copy)]
struct Token<'a> {
    kind: TokenKind,
    text: &'a str,
    offset: usize,
}

impl Token<'_> {
    fn is_word(&self, word: &str) -> bool {
        self.kind == TokenKind::Word && self.text.eq_ignore_ascii_case(word)
    }

    fn unquoted(&self) -> String {
        if self.kind != TokenKind::Quoted {
            return self.text.to_owned();
        }
        let quote = &self.text[..1];
        let inner = &self.text[1..self.text.len().max(2) - 1];
        inner.replace(&quote.repeat(2), quote)
    }
}

fn tokens(text: &str) -> impl Iterator<Item = Token<'_>> {
    let mut offset = 0;
    std::iter::from_fn(move || {
        let rest = &text[offset..];
        let first = rest.chars().next()?;
        let (kind, length) = match first {
            _ if rest.starts_with("--") => {
                (TokenKind::Trivia, rest.find('\n').unwrap_or(rest.len()))
            }
            _ if rest.starts_with("/*") => {
                (TokenKind::Trivia, rest.find("*/").map_or(rest.len(), |end| end + 2))
            }
            _ if rest.starts_with("::") => (TokenKind::Symbol, 2),
            '\'' | '"' => (TokenKind::Quoted, quoted_length(rest, first)),
            _ if first.is_whitespace() => (TokenKind::Trivia, span(rest, char::is_whitespace)),
            _ if is_word_char(first) => (TokenKind::Word, span(rest, is_word_char)),
            _ => (TokenKind::Symbol, first.len_utf8()),
        };
        let token = Token { kind, text: &rest[..length], offset };
        offset += length;
        Some(token)
    })
}

fn is_word_char(char: char) -> bool {
    char.is_alphanumeric() || matches!(char, '_' | '$' | '.')
}

fn span(text: &str, belongs: impl Fn(char) -> bool) -> usize {
    text.find(|char| !belongs(char)).unwrap_or(text.len())
}

fn quoted_length(text: &str, quote: char) -> usize {
    let mut length = 1;
    while let Some(end) = text[length..].find(quote) {
        length += end + 1;
        if !text[length..].starts_with(quote) {
            return length;
        }
        length += 1;
    }
    text.len()
}

/// Removes casts and row locks, which SQLite does not support.
fn rewrite(text: &str) -> (String, Vec<(usize, ColumnType)>) {
    let mut sql = String::with_capacity(text.len());
    let mut casts = Vec::new();
    let mut parameter = None;
    let mut in_cast = false;
    for token in tokens(text) {
        if in_cast {
            in_cast = false;
            if let Some((number, column_type)) = parameter.zip(ColumnType::from_name(token.text)) {
                casts.push((number, column_type));
            }
            continue;
        }
        if token.text == "::" {
            in_cast = true;
            continue;
        }
        parameter = token.text.strip_prefix('$').and_then(|number| number.parse().ok());
        sql.push_str(token.text);
    }
    (without_row_lock(sql), casts)
}

fn without_row_lock(mut sql: String) -> String {
    let end = sql.trim_end().len();
    for suffix in [" for update", " for share"] {
        let Some(start) = end.checked_sub(suffix.len()) else { continue };
        if sql.get(start..end).is_some_and(|tail| tail.eq_ignore_ascii_case(suffix)) {
            sql.truncate(start);
            break;
        }
    }
    sql
}

fn command(text: &str) -> Command {
    let words: Vec<Token<'_>> =
        tokens(text).filter(|token| token.kind != TokenKind::Trivia).collect();
    let Some(first) = words.first() else {
        return Command::Empty;
    };
    let argument = |index: usize| words.get(index).map(Token::unquoted).unwrap_or_default();
    let has = |word: &str| words.iter().any(|token| token.is_word(word));
    let keyword = first.text.to_ascii_uppercase();
    match keyword.as_str() {
        "BEGIN" | "START" => Command::Begin { read_only: has("only") },
        "COMMIT" | "END" => Command::Commit,
        "ROLLBACK" | "ABORT" if has("to") => Command::RollbackTo(argument(words.len() - 1)),
        "ROLLBACK" | "ABORT" => Command::Rollback,
        "SAVEPOINT" => Command::Savepoint(argument(1)),
        "RELEASE" => Command::Release(argument(words.len() - 1)),
        "SET" => set(&words),
        "SHOW" => Command::Show(argument(1).to_ascii_lowercase()),
        "RESET" if has("all") => Command::Reset(None),
        "RESET" => Command::Reset(Some(argument(1).to_ascii_lowercase())),
        "DISCARD" => Command::DiscardAll,
        "DEALLOCATE" if has("all") => Command::Deallocate(None),
        "DEALLOCATE" => Command::Deallocate(Some(argument(words.len() - 1))),
        "SELECT" => group_function(&words).unwrap_or(Command::Sqlite(keyword)),
        _ => Command::Sqlite(keyword),
    }
}

fn set(words: &[Token<'_>]) -> Command {
    let mut words = &words[1..];
    while words.first().is_some_and(|word| word.is_word("local") || word.is_word("session")) {
        words = &words[1..];
    }
    let name = words.first().map(Token::unquoted).unwrap_or_default().to_ascii_lowercase();
    // The name and `=` or `TO` are skipped.
    let values = words.iter().skip(2).filter(|token| token.text != ",");
    let value = values.map(Token::unquoted).collect::<Vec<_>>().join(", ");
    Command::Set { name, value }
}

/// Parses `SELECT * FROM group_xxx(...)` or `SELECT group_xxx(...)`.
fn group_function(words: &[Token<'_>]) -> Option<Command> {
    let from = words.get(1)?.text == "*" && words.get(2)?.is_word("from");
    let start = if from { 3 } else { 1 };
    let name = words.get(start)?.text.to_ascii_lowercase();
    if !name.starts_with("group_") || words.get(start + 1)?.text != "(" {
        return None;
    }
    let inner = words[start + 2..].iter().take_while(|token| token.text != ")");
    let arguments = inner.filter(|token| token.text != ",").map(Token::unquoted).collect();
    Some(Command::GroupCall { name, arguments })
}
