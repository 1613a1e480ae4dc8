//! The state of a caller's session: its variables and prepared statements, its
//! transaction, and the request that is being served.
//!
//! Each caller has one connection to the instance and one session on it, so a
//! [`CallerId`] identifies all three.

pub mod own_commits;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use masticreel_base::ids::ServerId;
use masticreel_base::position::TermPosition;

use crate::balancing::Expectation;
use crate::caller::own_commits::OwnCommits;
use crate::connections::ConnectionId;
use crate::directory::Route;
use crate::moment::Moment;
use crate::organisations::ApiKey;
use crate::queue::Ticket;
use crate::quota::grants::Unit;
use crate::statement::{
    Access, Failure, PreparedStatement, RequestTag, SessionState, Statement, Work,
};

/// Identifies a caller, with its connection and its session, within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{_0}")]
pub struct CallerId(pub u64);

/// The variables of a session by name, shared with the server connections on
/// which they are set.
pub type SessionVariables = Arc<BTreeMap<Arc<str>, Arc<str>>>;

/// The state of a session's transaction.
#[derive(Debug, Clone, Default)]
pub enum Transaction {
    /// No transaction is open.
    #[default]
    None,
    /// A transaction is open.
    Open(OpenTransaction),
    /// The transaction failed. A rollback ends it, or a commit, which is answered
    /// with a failure.
    Failed {
        /// The failure, if the caller has not received it yet.
        unreported: Option<Failure>,
    },
}

/// An open transaction.
#[derive(Debug, Clone)]
pub struct OpenTransaction {
    /// Whether the caller declared it read-only.
    pub read_only: bool,
    /// The route that was active when it began.
    pub route: Arc<Route>,
    /// The organisation under which it began; none if there are no organisations or the
    /// route is public and the caller's key unknown.
    pub organisation: Option<Arc<str>>,
    /// Until when it may go on, if the caller's key doesn't belong to that organisation any
    /// more.
    pub entitled_until: Option<Moment>,
    /// The connection that it holds, once its first statement was placed on one.
    pub connection: Option<ConnectionId>,
    /// Whether one of its statements has run.
    pub has_run: bool,
    /// Whether one of its writes has succeeded.
    pub has_written: bool,
    /// Whether a unit of its organisation's quota was taken for it.
    pub has_unit: bool,
    /// When it began or its last statement was answered.
    pub idle_since: Moment,
}

/// Which servers may run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerRequirement {
    /// Only the primary.
    Primary,
    /// Any server that has applied all commits acknowledged before a moment, and
    /// the session's own commits.
    UpToDate {
        /// Commits acknowledged before this moment must be visible.
        as_of: Moment,
        /// The session's last commit in the group, if it must be visible too.
        own_commit: Option<TermPosition>,
    },
}

/// How far a pending request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It is queued for a connection.
    Queued(Ticket),
    /// It waits for a unit of its organisation's quota.
    AwaitingQuota,
    /// It waits before the next attempt.
    Backoff {
        /// When the next attempt starts.
        until: Moment,
    },
    /// Its connection is being set up, or it is being executed there.
    Assigned(ConnectionId),
}

/// A request that has not been answered yet.
#[derive(Debug, Clone)]
pub struct Pending {
    /// The id that the caller gave it.
    pub tag: RequestTag,
    /// The part that a server executes.
    pub work: Work,
    /// The route by which it is served.
    pub route: Arc<Route>,
    /// The organisation under which it was admitted, as for an [`OpenTransaction`].
    pub organisation: Option<Arc<str>>,
    /// Which servers may run it.
    pub requirement: ServerRequirement,
    /// When it was received from the caller.
    pub received_at: Moment,
    /// When it times out.
    pub deadline: Moment,
    /// How far it has come.
    pub stage: Stage,
    /// How many times it was sent to a server.
    pub attempts: u32,
    /// The server on which the last attempt failed; others are preferred to it.
    pub avoided_server: Option<ServerId>,
    /// Whether it is sent to the primary only: an attempt failed because a replica
    /// lagged behind the minimum position, and an earlier attempt had failed too.
    pub primary_only: bool,
    /// Why the last attempt failed, if there was one.
    pub last_failure: Option<Failure>,
    /// Whether an earlier attempt has run or may have run, so that a refusal must not
    /// state the contrary.
    pub may_have_run: bool,
    /// The unit of the organisation's quota that was taken for it. Later statements of a
    /// transaction take none.
    pub unit: Option<Unit>,
    /// What the choice of its server was based on, if several could run it.
    pub expectation: Option<Expectation>,
    /// The longest time for which an attempt was unanswered when its connection was lost or
    /// given up. The request may be one that takes so long.
    pub unanswered_for: Duration,
}

impl Pending {
    /// Returns whether the request is idempotent, so that it may be executed
    /// again after an attempt whose outcome is unknown.
    pub fn is_idempotent(&self) -> bool {
        self.work.access() == Access::Read
    }
}

/// A caller's session.
#[derive(Debug)]
pub struct Caller {
    /// The database that the caller asked for.
    pub database: Arc<str>,
    /// The key that the caller sent.
    pub key: Option<ApiKey>,
    /// The name of the organisation that the key belonged to when the last operation was
    /// admitted, as for an [`OpenTransaction`].
    pub organisation: Option<Arc<str>>,
    /// The session's variables.
    pub variables: SessionVariables,
    /// The session's prepared statements by the names that the caller gave them.
    pub prepared: HashMap<Arc<str>, PreparedStatement>,
    /// What the variables and the prepared statements hold, in bytes.
    pub state_bytes: usize,
    /// The state of its transaction.
    pub transaction: Transaction,
    /// Its last commit in each group.
    pub own_commits: OwnCommits,
    /// The request that is being served.
    pub pending: Option<Pending>,
    /// Whether it was answered that its key is unknown, so that further requests are ignored.
    pub has_ended: bool,
    /// Requests that arrived while an earlier one was still being served.
    pub backlog: VecDeque<(RequestTag, Result<Statement, Failure>)>,
}

impl Caller {
    /// Opens a session.
    pub fn new(database: Arc<str>, key: Option<ApiKey>, organisation: Option<Arc<str>>) -> Self {
        Self {
            database,
            key,
            organisation,
            variables: SessionVariables::default(),
            prepared: HashMap::new(),
            state_bytes: 0,
            transaction: Transaction::None,
            own_commits: OwnCommits::default(),
            pending: None,
            has_ended: false,
            backlog: VecDeque::new(),
        }
    }

    /// Sets a variable of the session.
    pub fn set_variable(&mut self, name: Arc<str>, value: Arc<str>) {
        self.state_bytes += name.len() + value.len();
        let name_bytes = name.len();
        if let Some(previous) = Arc::make_mut(&mut self.variables).insert(name, value) {
            self.state_bytes -= name_bytes + previous.len();
        }
    }

    /// Adds a prepared statement, or replaces the one of the same name.
    pub fn prepare(&mut self, name: Arc<str>, shape: PreparedStatement) {
        self.deallocate(&name);
        self.state_bytes += name.len() + shape.text.len();
        self.prepared.insert(name, shape);
    }

    /// Removes a prepared statement.
    pub fn deallocate(&mut self, name: &str) {
        if let Some(shape) = self.prepared.remove(name) {
            self.state_bytes -= name.len() + shape.text.len();
        }
    }

    /// Returns what the session holds besides what its connection does, in bytes.
    pub fn held_bytes(&self) -> usize {
        let pending_bytes = self.pending.as_ref().map_or(0, |pending| match &pending.work {
            Work::Direct { text, .. } => text.len(),
            Work::Prepared { arguments, .. } => arguments.len(),
            Work::Commit => 0,
        });
        self.state_bytes + pending_bytes
    }

    /// Returns the session's state as it is reported to the caller.
    pub fn state(&self) -> SessionState {
        match &self.transaction {
            Transaction::None => SessionState::Idle,
            Transaction::Open(_) => SessionState::Transaction,
            Transaction::Failed { .. } => SessionState::Failed,
        }
    }

    /// Returns whether there is neither a pending request nor an open or failed
    /// transaction.
    pub fn is_idle(&self) -> bool {
        self.pending.is_none() && matches!(self.transaction, Transaction::None)
    }
}
