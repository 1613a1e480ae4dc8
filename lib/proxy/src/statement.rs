//! Requests, commands and answers in the proxy's own types, independent of any
//! wire protocol.
//!
//! A caller's request is a [`Statement`] with a [`RequestTag`]. The part of the
//! statement that a server executes is its [`Work`], which reaches the server
//! inside a [`Command`], together with the commands that set the connection up. The
//! caller receives an [`Answer`].

use std::sync::Arc;

use derive_more::Display;
use masticreel_base::ids::Term;
use masticreel_base::position::TermPosition;
use serde::{Deserialize, Serialize};

/// Whether a statement changes data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum Access {
    /// It only reads.
    #[display("read")]
    Read,
    /// It writes.
    #[display("write")]
    Write,
}

/// The id that a caller gave a request; it is sent to servers unchanged.
pub type RequestTag = Arc<str>;

/// A prepared statement without its name, so that callers who prepare the same
/// one under different names share it on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PreparedStatement {
    /// Whether executing it changes data.
    pub access: Access,
    /// The statement's text.
    pub text: Arc<str>,
}

/// The statement of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether the caller declared it read-only.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Reads or writes; the text is sent to the server unchanged.
    Direct {
        /// Whether it writes.
        access: Access,
        /// The statement's text.
        text: Arc<str>,
    },
    /// Sets a variable of the session.
    Set {
        /// The variable's name.
        name: Arc<str>,
        /// The variable's value.
        value: Arc<str>,
    },
    /// Prepares a statement for later execution under a name.
    Prepare {
        /// The caller's name for it.
        name: Arc<str>,
        /// The statement.
        shape: PreparedStatement,
    },
    /// Executes a prepared statement.
    Execute {
        /// The caller's name for it.
        name: Arc<str>,
        /// The arguments' text.
        arguments: Arc<str>,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// The caller's name for it.
        name: Arc<str>,
    },
}

/// The part of a statement that a server executes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A statement by its text.
    Direct {
        /// Whether it writes.
        access: Access,
        /// The statement's text.
        text: Arc<str>,
    },
    /// A prepared statement.
    Prepared {
        /// The statement that was prepared.
        shape: PreparedStatement,
        /// The arguments' text.
        arguments: Arc<str>,
    },
    /// The commit of the open transaction.
    Commit,
}

impl Work {
    /// Returns whether executing the work may change data; a commit counts as a
    /// write.
    pub fn access(&self) -> Access {
        match self {
            Work::Direct { access, .. } => *access,
            Work::Prepared { shape, .. } => shape.access,
            Work::Commit => Access::Write,
        }
    }
}

/// A command to a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Executes a caller's work.
    Run {
        /// The caller's id of the request.
        tag: RequestTag,
        /// The work to execute.
        work: Work,
        /// The handle of the prepared statement on the connection, none for other
        /// work.
        handle: Option<u64>,
        /// The position that the server must have applied.
        floor: Option<TermPosition>,
    },
    /// Begins a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
        /// The position that the server must have applied.
        floor: Option<TermPosition>,
    },
    /// Rolls the open transaction back.
    Rollback,
    /// Sets a variable of the session.
    Set {
        /// The variable's name.
        name: Arc<str>,
        /// The variable's value.
        value: Arc<str>,
    },
    /// Prepares a statement under a handle that the proxy chose.
    Prepare {
        /// The handle, unique to the statement.
        handle: u64,
        /// The statement.
        shape: PreparedStatement,
    },
    /// Clears all session variables and prepared statements.
    Clear,
    /// Requests the server's [`ServerStatus`].
    Status,
    /// Makes the server step down if it is the primary of a lower term.
    StepDown {
        /// The term that is about to begin.
        term: Term,
    },
}

/// The state of a session after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum SessionState {
    /// No transaction is open.
    #[display("idle")]
    Idle,
    /// A transaction is open.
    #[display("transaction")]
    Transaction,
    /// The open transaction failed. A rollback ends it, or a commit, which is
    /// answered with a failure.
    #[display("failed")]
    Failed,
}

/// The kind of a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum FailureKind {
    /// It can't be served at present and may be retried: there is no capacity, or
    /// the configuration or a usable server is missing. It did not run, or it is
    /// a read.
    #[display("busy")]
    Busy,
    /// Its transaction was rolled back.
    #[display("aborted")]
    Aborted,
    /// It did not run: the server has not applied the required position, or no
    /// recent position that could be required is known.
    #[display("lagging")]
    Lagging,
    /// It did not run: the server is not the primary.
    #[display("read_only")]
    ReadOnly,
    /// It did not run: the server at the address is not the one that was expected.
    #[display("misrouted")]
    Misrouted,
    /// It did not run: the server has too many connections.
    #[display("too_many_connections")]
    TooManyConnections,
    /// It did not run: the prepared statement is unknown.
    #[display("unknown_statement")]
    UnknownStatement,
    /// It ran and failed.
    #[display("failed")]
    Failed,
    /// It timed out; it may have run.
    #[display("timeout")]
    Timeout,
    /// Its outcome is unknown: it may have run.
    #[display("in_doubt")]
    InDoubt,
    /// The database is not in the configuration.
    #[display("unknown_database")]
    UnknownDatabase,
    /// The caller's key belongs to no organisation.
    #[display("unauthenticated")]
    Unauthenticated,
    /// The message was too long (see
    /// [`ProtocolError`](crate::protocol::ProtocolError)).
    #[display("too_large")]
    TooLarge,
    /// The request can't be parsed or is not valid in the session's state.
    #[display("malformed")]
    Malformed,
    /// The server's failure code is unknown to this version.
    #[display("unknown_failure")]
    Unknown,
}

/// Why a request failed: a kind for programs and a text for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The kind of failure.
    pub kind: FailureKind,
    /// The text that is sent to the caller.
    pub text: Arc<str>,
}

impl Failure {
    /// Creates a failure.
    pub fn new<T>(kind: FailureKind, text: T) -> Self
    where
        T: Into<Arc<str>>,
    {
        Self { kind, text: text.into() }
    }
}

/// The outcome of a request: a failure, or the server's signature, which is
/// missing if the instance answered by itself.
///
/// The signature is a text that the server adds to an answer; it is passed on to
/// the caller unchanged.
pub type Outcome = Result<Option<Arc<str>>, Failure>;

/// An answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Rows of data, as the server sent them.
    pub rows: Vec<Arc<str>>,
    /// The outcome of the request.
    pub outcome: Outcome,
    /// The state of the session after the request.
    pub state: SessionState,
}

/// The role that a server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Role {
    /// It accepts writes.
    #[display("primary")]
    Primary,
    /// It replicates from a primary.
    #[display("replica")]
    Replica,
}

/// The status that a server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerStatus {
    /// Its role.
    pub role: Role,
    /// The highest term that it has seen.
    pub term: Term,
    /// The last position that it has received, on a replica from its primary.
    pub received: TermPosition,
}
