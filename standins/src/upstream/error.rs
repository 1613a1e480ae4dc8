//! Errors with the SQLSTATE that a PostgreSQL server would send.

use derive_more::Display;
use pgwire::messages::response::ErrorResponse;

/// The SQLSTATE codes that the stand-in sends.
pub mod codes {
    /// The server is not the primary, or the transaction is read-only.
    pub const READ_ONLY: &str = "25006";
    /// The server's term, claim or role does not allow a control function.
    pub const NOT_IN_PREREQUISITE_STATE: &str = "55000";
    /// The statement waited too long for the server's write lock.
    pub const LOCK_NOT_AVAILABLE: &str = "55P03";
    /// All connections are in use.
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    /// An earlier error aborted the transaction block, which is still open.
    pub const FAILED_TRANSACTION: &str = "25P02";
    /// The statement was cancelled.
    pub const QUERY_CANCELED: &str = "57014";
    /// The caller violated the protocol.
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    /// A prepared statement is unknown.
    pub const UNKNOWN_STATEMENT: &str = "26000";
    /// A portal is unknown.
    pub const UNKNOWN_PORTAL: &str = "34000";
    /// A prepared statement of this name already exists.
    pub const DUPLICATE_STATEMENT: &str = "42P05";
    /// A savepoint is unknown.
    pub const UNKNOWN_SAVEPOINT: &str = "3B001";
    /// A session parameter is unknown.
    pub const UNKNOWN_OBJECT: &str = "42704";
    /// The statement can't be parsed.
    pub const SYNTAX_ERROR: &str = "42601";
    /// A table is unknown.
    pub const UNKNOWN_TABLE: &str = "42P01";
    /// A table of this name already exists.
    pub const DUPLICATE_TABLE: &str = "42P07";
    /// A column is unknown.
    pub const UNKNOWN_COLUMN: &str = "42703";
    /// A function is unknown.
    pub const UNKNOWN_FUNCTION: &str = "42883";
    /// A value can't be parsed as its type.
    pub const INVALID_TEXT: &str = "22P02";
    /// A unique key already exists.
    pub const UNIQUE_VIOLATION: &str = "23505";
    /// A column must not be null.
    pub const NOT_NULL_VIOLATION: &str = "23502";
    /// A check failed.
    pub const CHECK_VIOLATION: &str = "23514";
    /// A foreign key refers to a missing row.
    pub const FOREIGN_KEY_VIOLATION: &str = "23503";
    /// Anything else.
    pub const INTERNAL: &str = "XX000";
}

/// An error as it is sent to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{state}: {message}")]
pub struct SqlError {
    /// The SQLSTATE.
    pub state: &'static str,
    /// The message for people.
    pub message: String,
    /// Further details.
    pub detail: Option<String>,
    /// Whether the connection ends with this error.
    pub fatal: bool,
}

impl std::error::Error for SqlError {}

impl SqlError {
    /// Creates an error after which the connection can still be used.
    pub fn new(state: &'static str, message: impl Into<String>) -> Self {
        Self { state, message: message.into(), detail: None, fatal: false }
    }

    /// Creates an error that ends the connection.
    pub fn fatal(state: &'static str, message: impl Into<String>) -> Self {
        Self { fatal: true, ..Self::new(state, message) }
    }

    /// Creates the error for a write on a server that is not the primary.
    pub fn not_primary() -> Self {
        Self::new(
            codes::READ_ONLY,
            "cannot execute a write: the server is not the primary of its group",
        )
    }

    /// Creates the error for a write in a read-only transaction.
    pub fn read_only_transaction() -> Self {
        Self::new(codes::READ_ONLY, "cannot execute a write in a read-only transaction")
    }

    /// Creates the error for a statement that was cancelled, also by a stop of the
    /// server.
    pub fn cancelled() -> Self {
        Self::new(codes::QUERY_CANCELED, "canceling statement due to user request")
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
        match code.and_then(constraint_violation) {
            Some((state, text)) => Self { detail: Some(message), ..Self::new(state, text) },
            None => Self::new(sqlstate_for_message(&message), message),
        }
    }
}

fn constraint_violation(extended_code: i32) -> Option<(&'static str, &'static str)> {
    match extended_code {
        rusqlite::ffi::SQLITE_CONSTRAINT_UNIQUE | rusqlite::ffi::SQLITE_CONSTRAINT_PRIMARYKEY => {
            Some((codes::UNIQUE_VIOLATION, "duplicate key value violates unique constraint"))
        }
        rusqlite::ffi::SQLITE_CONSTRAINT_NOTNULL => {
            Some((codes::NOT_NULL_VIOLATION, "null value violates not-null constraint"))
        }
        rusqlite::ffi::SQLITE_CONSTRAINT_CHECK => {
            Some((codes::CHECK_VIOLATION, "new row violates check constraint"))
        }
        rusqlite::ffi::SQLITE_CONSTRAINT_FOREIGNKEY => {
            Some((codes::FOREIGN_KEY_VIOLATION, "row violates foreign key constraint"))
        }
        _ => None,
    }
}

fn sqlstate_for_message(message: &str) -> &'static str {
    const PATTERNS: [(&str, &str); 8] = [
        ("no such table", codes::UNKNOWN_TABLE),
        ("no such column", codes::UNKNOWN_COLUMN),
        ("has no column", codes::UNKNOWN_COLUMN),
        ("no such function", codes::UNKNOWN_FUNCTION),
        ("already exists", codes::DUPLICATE_TABLE),
        ("syntax error", codes::SYNTAX_ERROR),
        ("incomplete input", codes::SYNTAX_ERROR),
        ("unrecognized token", codes::SYNTAX_ERROR),
    ];
    let found = PATTERNS.iter().find(|(pattern, _)| message.contains(pattern));
    found.map_or(codes::INTERNAL, |(_, state)| state)
}
