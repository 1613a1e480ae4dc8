//! Errors with the SQLSTATE that a PostgreSQL server would give.

use derive_more::Display;
use pgwire::messages::response::ErrorResponse;

/// The SQLSTATE codes that the stand-in answers with.
pub mod state {
    /// The server is not the primary, or the transaction is read-only.
    pub const READ_ONLY: &str = "25006";
    /// An order of the group does not fit the server's term, claim or role.
    pub const NOT_IN_PREREQUISITE_STATE: &str = "55000";
    /// The statement waited too long for the server's write lock.
    pub const LOCK_NOT_AVAILABLE: &str = "55P03";
    /// All connections are taken.
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    /// An earlier error ended the transaction block.
    pub const FAILED_TRANSACTION: &str = "25P02";
    /// The statement was cancelled.
    pub const QUERY_CANCELED: &str = "57014";
    /// The peer broke the protocol.
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    /// A prepared statement is unknown.
    pub const UNKNOWN_STATEMENT: &str = "26000";
    /// A portal is unknown.
    pub const UNKNOWN_PORTAL: &str = "34000";
    /// A prepared statement of this name exists.
    pub const DUPLICATE_STATEMENT: &str = "42P05";
    /// A savepoint is unknown.
    pub const UNKNOWN_SAVEPOINT: &str = "3B001";
    /// A setting is unknown.
    pub const UNKNOWN_OBJECT: &str = "42704";
    /// The statement can't be parsed.
    pub const SYNTAX_ERROR: &str = "42601";
    /// A table is unknown.
    pub const UNKNOWN_TABLE: &str = "42P01";
    /// A table of this name exists.
    pub const DUPLICATE_TABLE: &str = "42P07";
    /// A column is unknown.
    pub const UNKNOWN_COLUMN: &str = "42703";
    /// A function is unknown.
    pub const UNKNOWN_FUNCTION: &str = "42883";
    /// A value can't be read as its type.
    pub const INVALID_TEXT: &str = "22P02";
    /// A unique key exists already.
    pub const UNIQUE_VIOLATION: &str = "23505";
    /// A column must not be null.
    pub const NOT_NULL_VIOLATION: &str = "23502";
    /// A check failed.
    pub const CHECK_VIOLATION: &str = "23514";
    /// A foreign key has no target.
    pub const FOREIGN_KEY_VIOLATION: &str = "23503";
    /// Anything else.
    pub const INTERNAL: &str = "XX000";
}

/// An error as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{state}: {message}")]
pub struct SqlError {
    /// The SQLSTATE.
    pub state: &'static str,
    /// What happened, for people.
    pub message: String,
    /// More about it.
    pub detail: Option<String>,
    /// Whether the connection ends with this error.
    pub fatal: bool,
}

impl std::error::Error for SqlError {}

impl SqlError {
    /// Describes an error after which the connection goes on.
    pub fn new(state: &'static str, message: impl Into<String>) -> Self {
        Self { state, message: message.into(), detail: None, fatal: false }
    }

    /// Describes an error that ends the connection.
    pub fn fatal(state: &'static str, message: impl Into<String>) -> Self {
        Self { fatal: true, ..Self::new(state, message) }
    }

    /// The refusal of a write by a server that is not the primary.
    pub fn not_primary() -> Self {
        Self::new(
            state::READ_ONLY,
            "cannot execute a write: the server is not the primary of its group",
        )
    }

    /// The refusal of a write in a read-only transaction.
    pub fn read_only_transaction() -> Self {
        Self::new(state::READ_ONLY, "cannot execute a write in a read-only transaction")
    }

    /// The end of a cancelled statement.
    pub fn cancelled() -> Self {
        Self::new(state::QUERY_CANCELED, "canceling statement due to user request")
    }
}

impl From<&SqlError> for ErrorResponse {
    fn from(error: &SqlError) -> Self {
        let severity = if error.fatal { "FATAL" } else { "ERROR" };
        let mut fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', error.state.to_owned()),
            (b'M', error.message.clone()),
        ];
        if let Some(detail) = &error.detail {
            fields.push((b'D', detail.clone()));
        }
        ErrorResponse::new(fields)
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        let (code, message) = match &error {
            rusqlite::Error::SqliteFailure(failure, message) => {
                let text = message.clone().unwrap_or_else(|| failure.to_string());
                (Some(failure.extended_code), text)
            }
            rusqlite::Error::SqlInputError { error, msg, .. } => {
                (Some(error.extended_code), msg.clone())
            }
            other => (None, other.to_string()),
        };
        if code == Some(rusqlite::ffi::SQLITE_INTERRUPT) {
            return Self::cancelled();
        }
        match code.and_then(constraint) {
            Some((state, text)) => Self { detail: Some(message), ..Self::new(state, text) },
            None => Self::new(state_of_message(&message), message),
        }
    }
}

fn constraint(extended_code: i32) -> Option<(&'static str, &'static str)> {
    match extended_code {
        rusqlite::ffi::SQLITE_CONSTRAINT_UNIQUE | rusqlite::ffi::SQLITE_CONSTRAINT_PRIMARYKEY => {
            Some((state::UNIQUE_VIOLATION, "duplicate key value violates unique constraint"))
        }
        rusqlite::ffi::SQLITE_CONSTRAINT_NOTNULL => {
            Some((state::NOT_NULL_VIOLATION, "null value violates not-null constraint"))
        }
        rusqlite::ffi::SQLITE_CONSTRAINT_CHECK => {
            Some((state::CHECK_VIOLATION, "new row violates check constraint"))
        }
        rusqlite::ffi::SQLITE_CONSTRAINT_FOREIGNKEY => {
            Some((state::FOREIGN_KEY_VIOLATION, "row violates foreign key constraint"))
        }
        _ => None,
    }
}

fn state_of_message(message: &str) -> &'static str {
    const PATTERNS: [(&str, &str); 8] = [
        ("no such table", state::UNKNOWN_TABLE),
        ("no such column", state::UNKNOWN_COLUMN),
        ("has no column", state::UNKNOWN_COLUMN),
        ("no such function", state::UNKNOWN_FUNCTION),
        ("already exists", state::DUPLICATE_TABLE),
        ("syntax error", state::SYNTAX_ERROR),
        ("incomplete input", state::SYNTAX_ERROR),
        ("unrecognized token", state::SYNTAX_ERROR),
    ];
    let found = PATTERNS.iter().find(|(pattern, _)| message.contains(pattern));
    found.map_or(state::INTERNAL, |(_, state)| state)
}
