//! The state of a caller's session.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use derive_more::Display;
use masticreel_base::ids::{GroupId, ServerId};
use masticreel_base::position::TermPosition;

use crate::connections::ConnectionId;
use crate::directory::Route;
use crate::moment::Moment;
use crate::queue::Turn;
use crate::statement::{Access, Failure, RequestTag, SessionState, Shape, Statement, Work};

/// Distinguishes the callers' connections of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{_0}")]
pub struct CallerId(pub u64);

/// The values of a session, shared with connections that were given them.
pub type SessionValues = Arc<BTreeMap<Arc<str>, Arc<str>>>;

/// The transaction of a session.
#[derive(Debug, Clone, Default)]
pub enum Transaction {
    /// None is open.
    #[default]
    None,
    /// One is open.
    Open(OpenTransaction),
    /// One failed; only a rollback ends it.
    Failed {
        /// The failure that the caller has not been told of yet.
        untold: Option<Failure>,
    },
}

/// An open transaction.
#[derive(Debug, Clone)]
pub struct OpenTransaction {
    /// Whether the caller promised not to write.
    pub read_only: bool,
    /// The route in force when it began.
    pub route: Arc<Route>,
    /// The connection that it holds once its first statement was placed.
    pub connection: Option<ConnectionId>,
    /// Whether a statement of it has run.
    pub has_run: bool,
    /// Whether a statement of it may have written.
    pub has_written: bool,
    /// When its last statement was answered.
    pub rests_since: Moment,
}

/// Which servers may run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Need {
    /// Only the primary.
    Primary,
    /// Any server with all commits acknowledged before a moment, and the
    /// session's own ones.
    NotOlder {
        /// Commits acknowledged before must be seen.
        than: Moment,
        /// The session's own last commit.
        own_commit: Option<TermPosition>,
    },
}

/// Where a pending request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a connection.
    Waiting(Turn),
    /// It waits for a moment before the next attempt.
    Pausing {
        /// When it is tried again.
        until: Moment,
    },
    /// It is prepared or executed on a connection.
    Placed(ConnectionId),
}

/// A request that has no answer yet.
#[derive(Debug, Clone)]
pub struct Pending {
    /// The caller's id of it.
    pub tag: RequestTag,
    /// What servers execute.
    pub work: Work,
    /// How it is served.
    pub route: Arc<Route>,
    /// Which servers may run it.
    pub need: Need,
    /// When it was read.
    pub received_at: Moment,
    /// When it is given up.
    pub give_up_at: Moment,
    /// Where it is.
    pub stage: Stage,
    /// How often it was sent to a server.
    pub attempts: u32,
    /// The server that could not serve the last attempt.
    pub avoided: Option<ServerId>,
    /// Whether replicas are left out after one lagged.
    pub primary_only: bool,
    /// The last failure of an attempt that did not run.
    pub last_failure: Option<Failure>,
}

impl Pending {
    /// Returns whether a server may execute the request a second time without
    /// harm.
    pub fn is_repeatable(&self) -> bool {
        self.work.access() == Access::Read
    }
}

/// A caller's session.
#[derive(Debug)]
pub struct Caller {
    /// The database that it asked for.
    pub database: Arc<str>,
    /// Its values.
    pub values: SessionValues,
    /// Its prepared statements by its own names.
    pub prepared: HashMap<Arc<str>, Shape>,
    /// Its transaction.
    pub transaction: Transaction,
    /// Its last commit.
    pub own_commit: Option<(GroupId, TermPosition)>,
    /// The request without an answer.
    pub pending: Option<Pending>,
    /// Requests that were sent before an answer came.
    pub backlog: VecDeque<(RequestTag, Result<Statement, Failure>)>,
}

impl Caller {
    /// Opens a session.
    pub fn new(database: Arc<str>) -> Self {
        Self {
            database,
            values: SessionValues::default(),
            prepared: HashMap::new(),
            transaction: Transaction::None,
            own_commit: None,
            pending: None,
            backlog: VecDeque::new(),
        }
    }

    /// Returns the state as the caller sees it.
    pub fn state(&self) -> SessionState {
        match &self.transaction {
            Transaction::None => SessionState::Idle,
            Transaction::Open(_) => SessionState::Transaction,
            Transaction::Failed { .. } => SessionState::Failed,
        }
    }

    /// Returns whether nothing is under way.
    pub fn is_resting(&self) -> bool {
        self.pending.is_none() && matches!(self.transaction, Transaction::None)
    }
}
