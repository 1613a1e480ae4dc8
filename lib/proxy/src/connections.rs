//! Connections to servers, and the health of each server as this instance
//! observes it.
//!
//! [`Connections`] holds both and keeps the counters of [`ServerHealth`] in step
//! with the connections. A connection is shared by sessions: before it runs a
//! session's work, its variables are made equal to the session's
//! ([`sync_variables`]).

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use masticreel_base::ids::{GroupId, InstanceId, ServerId};
use masticreel_base::position::TermPosition;

use crate::balancing::ServerLoad;
use crate::caller::{CallerId, SessionVariables};
use crate::latency::LatencyEstimate;
use crate::moment::Moment;
use crate::statement::{Command, Failure, SessionState};

/// Identifies a server connection within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{_0}")]
pub struct ConnectionId(pub u64);

/// What the next answer on a connection belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// The server's acceptance of the connection.
    Start,
    /// The server's role, requested on a new connection before the server is used
    /// as the primary.
    RoleBeforeUse,
    /// A session variable or a prepared statement, set up before a caller's work.
    Setup,
    /// The beginning of a transaction.
    Begin,
    /// A caller's work.
    Work,
    /// The server's role, requested after a read and before its answer is
    /// delivered (the role check).
    RoleAfterRead,
    /// A rollback for which no caller waits.
    Rollback,
}

/// The answer that is being received.
#[derive(Debug, Default)]
pub struct PartialAnswer {
    /// The rows received so far.
    pub rows: Vec<Arc<str>>,
    /// Its outcome, once that was received.
    pub outcome: Option<Result<Option<Arc<str>>, Failure>>,
}

/// A successful answer to a caller's work.
#[derive(Debug)]
pub struct WorkAnswer {
    /// The rows of the answer.
    pub rows: Vec<Arc<str>>,
    /// The signature that the server gave the answer (see
    /// [`Outcome`](crate::statement::Outcome)).
    pub signature: Option<Arc<str>>,
    /// The position that the server had applied.
    pub position: Option<TermPosition>,
    /// How long the server took to answer.
    pub server_time: Duration,
}

/// What an instance knew of a group's primary at some moment.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PrimaryKnowledge {
    /// The epoch of the group's record, zero if there was none.
    pub epoch: u64,
    /// Whether the view of the store was fresh, so that the record named the primary
    /// (see [`is_view_fresh`](crate::primary_lease::is_view_fresh)).
    pub is_fresh: bool,
}

/// A connection to a server.
#[derive(Debug)]
pub struct Connection {
    /// The server that the connection leads to.
    pub server: ServerId,
    /// When the server's process at the other end was started, Unix time in ms;
    /// differs once the server has restarted.
    pub server_started_ms: u64,
    /// The server's group.
    pub group: GroupId,
    /// The instance that relays it, none if it leads to the server directly.
    pub via: Option<InstanceId>,
    /// The organisation whose work runs on it. A direct connection was opened for this one
    /// and serves no other; on a relayed one it is the one that used it last.
    pub organisation: Option<Arc<str>>,
    /// What the outstanding answers belong to, in order.
    pub expected: VecDeque<Expected>,
    /// The answer that is being received.
    pub partial: PartialAnswer,
    /// The answer that is held back until the server has confirmed that it still is the
    /// primary.
    pub unverified: Option<WorkAnswer>,
    /// The caller that it is checked out to, for a request or a whole transaction.
    pub caller: Option<CallerId>,
    /// Whether a caller's transaction is open on it; `false` as soon as a rollback
    /// is sent.
    pub in_transaction: bool,
    /// The state that the server last reported.
    pub state: SessionState,
    /// The session variables that are set on it, once the server has confirmed all
    /// outstanding commands. If one of them fails, the connection is closed.
    pub variables: SessionVariables,
    /// Handles of the statements that are prepared on it, under the same condition.
    pub prepared: HashSet<u64>,
    /// When the last command was sent, or the connection was started.
    pub sent_at: Moment,
    /// The minimum position with which the last work, or the transaction that it belongs to,
    /// was sent; none if the server was taken for the primary.
    pub floor: Option<TermPosition>,
    /// What was known of the group's primary when work was last sent.
    pub sent_under: PrimaryKnowledge,
    /// When it became idle.
    pub idle_since: Moment,
    /// Whether the server has accepted it.
    pub is_open: bool,
    /// Whether the answer to the caller's work is overdue and probably lost.
    pub is_answer_overdue: bool,
}

impl Connection {
    /// Returns whether a request may be placed on the connection.
    pub fn is_idle(&self) -> bool {
        self.is_open && !self.in_transaction && self.caller.is_none() && self.expected.is_empty()
    }

    /// Returns whether work of an organisation may run on the connection: on a direct one
    /// only that of the organisation which was named to the server. The owner of a server
    /// chooses a connection of the organisation for each command.
    pub fn may_serve(&self, organisation: Option<&str>) -> bool {
        self.via.is_some() || self.organisation.as_deref() == organisation
    }
}

/// Returns whether the wanted variables can be reached without unsetting one.
fn can_skip_clear(current: &SessionVariables, wanted: &SessionVariables) -> bool {
    current.keys().all(|name| wanted.contains_key(name))
}

/// Returns the relative cost of giving a connection a session's variables: 0 if
/// it has them, 1 if some must be set, 2 if all must be cleared first.
pub fn setup_cost(current: &SessionVariables, wanted: &SessionVariables) -> u8 {
    if current == wanted {
        0
    } else if can_skip_clear(current, wanted) {
        1
    } else {
        2
    }
}

/// Makes a connection's variables equal to a session's and returns the commands
/// that the server has to execute for it.
///
/// Variables can't be unset one by one. If the connection has one that the
/// session lacks, all of them are cleared, and its prepared statements with them.
///
/// The caller has to close the connection if one of the commands fails, as the server may
/// or may not have executed it then.
pub fn sync_variables(
    current: &mut SessionVariables,
    prepared: &mut HashSet<u64>,
    wanted: &SessionVariables,
) -> Vec<Command> {
    let mut commands = Vec::new();
    if Arc::ptr_eq(current, wanted) || current == wanted {
        return commands;
    }
    if !can_skip_clear(current, wanted) {
        *current = SessionVariables::default();
        prepared.clear();
        commands.push(Command::Clear);
    }
    for (name, value) in wanted.iter() {
        if current.get(name) != Some(value) {
            commands.push(Command::Set { name: name.clone(), value: value.clone() });
        }
    }
    *current = wanted.clone();
    commands
}

/// How many consecutive connections with work on them a server has to close until it is
/// taken to drop all work, and for how long at least. A server that restarts, or
/// connections that are reset together, must not count.
const DROPPED_WORK_LIMIT: u32 = 6;
const DROPPED_WORK_TIME: Duration = Duration::from_millis(250);

/// The work that a server has dropped, by closing the connection, since it last answered
/// any.
#[derive(Debug, Default)]
pub struct DroppedWork {
    count: u32,
    since: Moment,
    is_reported: bool,
}

impl DroppedWork {
    /// Records that the server dropped work, and returns whether it is taken to drop all
    /// work now.
    pub fn record_loss(&mut self, now: Moment) -> bool {
        if self.count == 0 {
            self.since = now;
        }
        self.count += 1;
        let is_failing =
            self.count >= DROPPED_WORK_LIMIT && now.since(self.since) >= DROPPED_WORK_TIME;
        self.is_reported |= is_failing;
        is_failing
    }

    /// Records that the server answered work, and returns whether it was taken to drop
    /// all work before.
    pub fn record_answer(&mut self) -> bool {
        std::mem::take(self).is_reported
    }
}

/// The health of a server as observed in this instance's own traffic.
#[derive(Debug, Default)]
pub struct ServerHealth {
    /// Statements of this instance that the server has not answered yet, without those
    /// whose answers are overdue.
    pub running: usize,
    /// Connections to it, open or being opened.
    pub connections: usize,
    /// Connections that it has not accepted yet.
    pub opening: usize,
    /// The earliest time at which another connection may be opened.
    pub connect_after: Moment,
    /// Consecutive failed attempts to connect.
    pub failed_connects: u32,
    /// The last position that it is known to have applied, and when the statement
    /// was sent whose answer gave it.
    pub applied: Option<(TermPosition, Moment)>,
    /// The minimum position that it last failed to meet, and when.
    pub missed_floor: Option<(TermPosition, Moment)>,
    /// When it, or on a relayed connection its owner, last answered on any
    /// connection.
    pub answered_at: Moment,
    /// When the last sent of the commands that it has answered was sent.
    pub answered_sent_at: Moment,
    /// The work that it has dropped.
    pub dropped_work: DroppedWork,
    /// Until when it gets no reads that don't require the primary.
    pub backoff_until: Moment,
    /// What is known of its load, by which servers of a group are chosen.
    pub load: ServerLoad,
    /// Its latency, and the concurrency limit derived from it.
    pub latency: LatencyEstimate,
}

/// Backoff after a server failed a read ([`ServerHealth::backoff_until`]) or
/// refused a session ([`ServerHealth::connect_after`]).
pub const SERVER_BACKOFF: Duration = Duration::from_millis(150);

/// The connections to all servers, with each server's health.
#[derive(Debug, Default)]
pub struct Connections {
    next_id: u64,
    connections: BTreeMap<ConnectionId, Connection>,
    health: HashMap<ServerId, ServerHealth>,
}

impl Connections {
    /// Registers a connection that the event loop will open, and returns its id.
    pub fn register(
        &mut self,
        server: &ServerId,
        server_started_ms: u64,
        group: &GroupId,
        via: Option<InstanceId>,
        organisation: Option<Arc<str>>,
        now: Moment,
    ) -> ConnectionId {
        self.next_id += 1;
        let id = ConnectionId(self.next_id);
        let health = self.health.entry(server.clone()).or_default();
        health.connections += 1;
        health.opening += 1;
        let connection = Connection {
            server: server.clone(),
            server_started_ms,
            group: group.clone(),
            via,
            organisation,
            expected: VecDeque::from([Expected::Start]),
            partial: PartialAnswer::default(),
            unverified: None,
            caller: None,
            in_transaction: false,
            state: SessionState::Idle,
            variables: SessionVariables::default(),
            prepared: HashSet::new(),
            sent_at: now,
            floor: None,
            sent_under: PrimaryKnowledge::default(),
            idle_since: now,
            is_open: false,
            is_answer_overdue: false,
        };
        self.connections.insert(id, connection);
        id
    }

    /// Records that the server accepted a connection.
    pub fn record_accepted(&mut self, id: ConnectionId, now: Moment) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if !connection.is_open {
            connection.is_open = true;
            let health = self.health.entry(connection.server.clone()).or_default();
            health.opening -= 1;
            if std::mem::take(&mut health.failed_connects) > 0 {
                health.load.record_return(now);
            }
        }
    }

    /// Removes a connection.
    pub fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        let health = self.health.entry(connection.server.clone()).or_default();
        health.connections -= 1;
        if !connection.is_open {
            health.opening -= 1;
        }
        if connection.expected.contains(&Expected::Work) && !connection.is_answer_overdue {
            health.running -= 1;
        }
        Some(connection)
    }

    /// Finds answers to work that are overdue although their server has answered commands
    /// which were sent later, and returns the connections with a read outside a
    /// transaction that has waited long enough to be retried.
    ///
    /// The server has probably ended these statements and lost the answers, so others may
    /// be sent in their place. Relayed ones may be queued at their owner, which judges
    /// them itself.
    pub fn find_overdue_answers(&mut self, now: Moment) -> Vec<ConnectionId> {
        let mut retryable = Vec::new();
        for (id, connection) in &mut self.connections {
            if connection.via.is_some() || !connection.expected.contains(&Expected::Work) {
                continue;
            }
            let health = self.health.entry(connection.server.clone()).or_default();
            let waited = now.since(connection.sent_at);
            if waited <= health.latency.overdue_time()
                || health.answered_sent_at <= connection.sent_at
            {
                continue;
            }
            if !std::mem::replace(&mut connection.is_answer_overdue, true) {
                health.running -= 1;
            }
            if !connection.in_transaction && waited > health.latency.retry_time(Duration::ZERO) {
                retryable.push(*id);
            }
        }
        retryable
    }

    /// Returns on how many connections to a server work has waited for so long that its
    /// answer may be lost.
    pub fn overdue_count(&self, server: &ServerId, now: Moment) -> usize {
        let Some(health) = self.health.get(server) else {
            return 0;
        };
        let threshold = health.latency.retry_time(Duration::ZERO);
        let overdue = self.connections.values().filter(|connection| {
            connection.server == *server
                && connection.expected.contains(&Expected::Work)
                && now.since(connection.sent_at) > threshold
        });
        overdue.count()
    }

    /// Returns a connection.
    pub fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    /// Returns a connection.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    /// Returns all connections.
    pub fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        self.connections.iter().map(|(id, connection)| (*id, connection))
    }

    /// Returns the health of a server, which starts empty.
    pub fn health(&mut self, server: &ServerId) -> &mut ServerHealth {
        self.health.entry(server.clone()).or_default()
    }

    /// Returns the health of a server, none if it was never recorded.
    pub fn known_health(&self, server: &ServerId) -> Option<&ServerHealth> {
        self.health.get(server)
    }

    /// Returns whether any connection to a group's servers is idle.
    pub fn has_idle(&self, group: &GroupId) -> bool {
        self.connections
            .values()
            .any(|connection| connection.group == *group && connection.is_idle())
    }

    /// Returns the idle connection to a server with the lowest [`setup_cost`] for
    /// a session's variables, among those that may serve its organisation.
    pub fn best_idle(
        &self,
        server: &ServerId,
        variables: &SessionVariables,
        organisation: Option<&str>,
    ) -> Option<ConnectionId> {
        let idle = self.connections.iter().filter(|(_, connection)| {
            connection.server == *server
                && connection.is_idle()
                && connection.may_serve(organisation)
        });
        idle.min_by_key(|(id, connection)| (setup_cost(&connection.variables, variables), **id))
            .map(|(id, _)| *id)
    }

    /// Returns the direct connection to a server that has been idle for longest, among those
    /// that can't serve an organisation.
    pub fn idle_of_others(
        &self,
        server: &ServerId,
        organisation: Option<&str>,
    ) -> Option<ConnectionId> {
        let idle = self.connections.iter().filter(|(_, connection)| {
            connection.server == *server
                && connection.is_idle()
                && !connection.may_serve(organisation)
        });
        idle.min_by_key(|(id, connection)| (connection.idle_since, **id)).map(|(id, _)| *id)
    }

    /// Returns whether a direct connection to a server is being opened for an organisation.
    pub fn is_opening_for(&self, server: &ServerId, organisation: Option<&str>) -> bool {
        self.connections.values().any(|connection| {
            connection.server == *server
                && !connection.is_open
                && connection.via.is_none()
                && connection.may_serve(organisation)
        })
    }
}
