//! What callers ask and what servers answer, in the product's own words.

use std::sync::Arc;

use derive_more::Display;
use masticreel_base::ids::Term;
use masticreel_base::position::TermPosition;
use serde::{Deserialize, Serialize};

/// Says whether a statement changes data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum Access {
    /// It only reads.
    #[display("read")]
    Read,
    /// It writes.
    #[display("write")]
    Write,
}

/// The id that a caller gave a request; servers see it unchanged.
pub type RequestTag = Arc<str>;

/// What a prepared statement does, whatever name a caller gave it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Shape {
    /// Whether executing it changes data.
    pub access: Access,
    /// The statement's text.
    pub text: Arc<str>,
}

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether the caller promised not to write.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Reads or writes; the text goes to the server unchanged.
    Direct {
        /// Whether it writes.
        access: Access,
        /// The statement's text.
        text: Arc<str>,
    },
    /// Sets a value of the session.
    Set {
        /// The value's name.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Names a statement for later execution.
    Prepare {
        /// The caller's name for it.
        name: Arc<str>,
        /// What it does.
        shape: Shape,
    },
    /// Executes a prepared statement.
    Execute {
        /// The caller's name for it.
        name: Arc<str>,
        /// The arguments' text.
        arguments: Arc<str>,
    },
    /// Forgets a prepared statement.
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
        /// What was prepared.
        shape: Shape,
        /// The arguments' text.
        arguments: Arc<str>,
    },
    /// The commit of the open transaction.
    Commit,
}

impl Work {
    /// Returns whether executing it may change data by itself.
    pub fn access(&self) -> Access {
        match self {
            Work::Direct { access, .. } => *access,
            Work::Prepared { shape, .. } => shape.access,
            Work::Commit => Access::Write,
        }
    }
}

/// What is sent to a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Executes a caller's work under the caller's id.
    Run {
        /// The caller's id of the request.
        tag: RequestTag,
        /// What to execute.
        work: Work,
        /// The name under which a prepared shape is known on the connection.
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
    /// Sets a value of the session.
    Set {
        /// The value's name.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Prepares a shape under a name of the connection's own.
    Prepare {
        /// The name, unique to the shape.
        handle: u64,
        /// What it does.
        shape: Shape,
    },
    /// Forgets all values and prepared statements.
    Clear,
    /// Asks for the server's role and positions.
    Status,
    /// Ends the reign of a primary of a lower term.
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
    /// The open transaction failed and can only be rolled back.
    #[display("failed")]
    Failed,
}

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum FailureKind {
    /// It did not run: there is no capacity for it now.
    #[display("busy")]
    Busy,
    /// Its transaction was rolled back.
    #[display("aborted")]
    Aborted,
    /// It did not run: the server lacks the demanded position.
    #[display("lagging")]
    Lagging,
    /// It did not run: the server is not the primary.
    #[display("read_only")]
    ReadOnly,
    /// It did not run: another server answers at the address.
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
    /// It took too long; it may have run.
    #[display("timeout")]
    Timeout,
    /// It may have run.
    #[display("in_doubt")]
    InDoubt,
    /// The database is not in the configuration.
    #[display("unknown_database")]
    UnknownDatabase,
    /// The message was too long.
    #[display("too_large")]
    TooLarge,
    /// The request can't be understood or doesn't fit the session's state.
    #[display("malformed")]
    Malformed,
    /// The code is not known to this version.
    #[display("unknown_failure")]
    Unknown,
}

/// A failure with its explanation for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Why the request failed.
    pub kind: FailureKind,
    /// What to tell the caller.
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

/// The outcome of a request: the server's signature, none if the instance
/// answered itself, or a failure.
pub type Outcome = Result<Option<Arc<str>>, Failure>;

/// An answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Rows of data, unchanged.
    pub rows: Vec<Arc<str>>,
    /// How the request ended.
    pub outcome: Outcome,
    /// The session's state.
    pub state: SessionState,
}

/// The role of a server as it sees itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Role {
    /// It accepts writes.
    #[display("primary")]
    Primary,
    /// It follows a primary.
    #[display("replica")]
    Replica,
}

/// What a server says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerStatus {
    /// Its role.
    pub role: Role,
    /// The newest term it knows.
    pub term: Term,
    /// The last position that it received.
    pub received: TermPosition,
}
