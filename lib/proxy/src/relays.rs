//! Runs statements of all instances, this one included, on server connections that
//! this instance owns.
//!
//! Where there are many more instances than a server has slots, one instance
//! owns the server's connections, and all instances, the owner included, send
//! their statements to it.
//! The instance that the caller is connected to (the entry instance) uses a
//! relayed session like a connection to the server. The owner assigns a pooled
//! connection to the session for the duration of a statement or a transaction.
//! See `docs/design/11-relays.md`.
//!
//! `sessions` handles the commands of entry instances, `pool` assigns and closes the
//! connections, `opening` decides for which organisation one is opened, `answers` handles what the
//! servers send on them, `stopping` ends the sessions before the process stops.
//!
//! This module does no I/O: messages and the current time are passed in, and
//! the event loop executes the resulting [`RelayAction`]s.

mod answers;
mod opening;
mod pool;
mod sessions;
mod stopping;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use masticreel_base::ids::{GroupId, InstanceId, ServerId};
use masticreel_base::position::TermPosition;
use serde::{Deserialize, Serialize};
use slog::Logger;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::balancing::{LoadMeter, LoadReport, ServerLoad};
use crate::caller::SessionVariables;
use crate::connections::{DroppedWork, Expected};
use crate::directory::Server;
use crate::latency::LatencyEstimate;
use crate::moment::Moment;
use crate::protocol::UpstreamMessage;
use crate::queue::{Ticket, WaitingQueue};
use crate::records::SuspicionKind;
use crate::shutdown::Shutdown;
use crate::statement::{Command, Failure, PreparedStatement, SessionState};
use crate::store_view::StoreView;

/// Statements are relayed if there are more than this many instances for each
/// slot of the server.
///
/// Without relaying, each instance may send a server at least one statement at a
/// time. With more instances, too many statements would wait at the server, where
/// they can't be reordered by urgency.
const INSTANCES_PER_SLOT_LIMIT: usize = 8;
/// An instance is small if its processor capacity times this is less than the
/// largest one's. Among the instances in a server's failure domain, and among those
/// outside it, small ones are the last to own the server's connections.
const CAPABLE_FACTOR: u32 = 2;

/// Identifies a relayed session within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct RelaySessionId(pub u64);

/// Identifies a pooled connection within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct PooledId(pub u64);

/// A message from an entry instance to the owner of a server's connections.
///
/// The variants of earlier versions named no organisation, and an owner of such a version
/// would ignore the name. So the variants of this version have other numbers, and each side
/// ends the connection on a message of the other's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayCall {
    /// Opened a session in earlier versions; is refused.
    UnnamedStart,
    /// Executed a command in earlier versions; is refused.
    UnnamedExecute,
    /// Opens a session at a server.
    Start {
        /// The server.
        server: ServerId,
    },
    /// Executes a command.
    Execute {
        /// The command.
        command: Command,
        /// How the command is queued at the owner.
        terms: RelayOptions,
    },
}

/// Determines how a command is queued at the owner of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayOptions {
    /// The urgency; lower values are dispatched first.
    pub urgency: u8,
    /// The longest wait for a connection, after which the command is refused.
    pub patience: Duration,
    /// The time left until the target latency of the command's route is
    /// exceeded.
    pub wanted_within: Duration,
    /// The estimated duration of such a command on a server without load.
    pub expected: Duration,
    /// The name of the organisation for which the command runs, if there is one.
    pub organisation: Option<Arc<str>>,
}

/// A message from the owner of a server's connections to an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayAnswer {
    /// A message as the server itself would send it.
    Message(UpstreamMessage),
    /// The owner can't reach the server. None of the session's unanswered
    /// commands has been sent to the server.
    Unreachable,
    /// The load of the server, sent together with the end of an answer to work.
    Load(LoadReport),
}

/// Something that the event loop has to do for relayed sessions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayAction {
    /// Open a connection to a server.
    Open {
        /// The connection.
        connection: PooledId,
        /// The server's address.
        address: SocketAddr,
        /// The group that the server is expected to belong to.
        group: GroupId,
        /// The server that is expected at the address.
        server: ServerId,
        /// The organisation whose work will run on the connection, if it has a name.
        organisation: Option<Arc<str>>,
    },
    /// Send a command on a pooled connection.
    Send(PooledId, Command),
    /// Close a pooled connection.
    Close(PooledId),
    /// Send a message to the entry instance of a session.
    Answer(RelaySessionId, RelayAnswer),
    /// End a session because its connection was removed while a transaction was open,
    /// or after a command had been sent, whose outcome is then unknown.
    End(RelaySessionId),
    /// Report a suspicion that the primary of a group has failed.
    Suspect {
        /// The group.
        group: GroupId,
        /// The primary.
        primary: ServerId,
        /// The failure that was observed.
        kind: SuspicionKind,
    },
    /// Clear the suspicion about the primary of a group, which has answered.
    ClearSuspicion {
        /// The group.
        group: GroupId,
        /// Whether it has run work, and not only reported its role.
        has_run_work: bool,
    },
}

/// A command that waits in a server's queue for a connection.
#[derive(Debug)]
struct QueuedCommand {
    command: Command,
    queued_at: Moment,
    deadline: Moment,
    ticket: Ticket,
    /// The organisation for which it runs.
    organisation: Option<Arc<str>>,
}

/// A session that an entry instance has at a server.
#[derive(Debug)]
struct Session {
    server: ServerId,
    variables: SessionVariables,
    prepared: HashMap<u64, PreparedStatement>,
    /// The start of a transaction that has not been sent to the server yet:
    /// whether it is read-only, and the minimum position that it must see.
    begin: Option<(bool, Option<TermPosition>)>,
    connection: Option<PooledId>,
    waiting: Option<QueuedCommand>,
    /// The estimated duration of the last command on a server without load.
    expected: Duration,
    /// Commands that arrived before the previous one was answered.
    backlog: VecDeque<(Command, RelayOptions)>,
}

/// A connection to a server that relayed sessions share.
#[derive(Debug)]
struct Pooled {
    server: ServerId,
    group: GroupId,
    /// When the server's process started, which distinguishes a restarted
    /// server.
    server_started_ms: u64,
    /// The organisation that was named to the server; no other one's work runs here.
    organisation: Option<Arc<str>>,
    /// When it was opened.
    opened_at: Moment,
    /// Whether it has been assigned to a session.
    was_used: bool,
    /// Whether the server has accepted the connection.
    is_open: bool,
    /// The session that the connection is assigned to.
    session: Option<RelaySessionId>,
    /// The outstanding answers, in the order of their commands.
    expected: VecDeque<Expected>,
    /// The session's command, sent once the connection has the session's
    /// variables.
    command: Option<Command>,
    /// Whether the statement whose answer is outstanding only reads.
    runs_read: bool,
    /// Whether an outstanding answer is overdue and probably lost.
    is_answer_overdue: bool,
    /// The failure in the answer that is being received.
    failure: Option<Failure>,
    in_transaction: bool,
    variables: SessionVariables,
    prepared: HashSet<u64>,
    /// When the connection was opened, or commands were last sent on it.
    sent_at: Moment,
    idle_since: Moment,
}

/// The connections to one server, and the sessions that wait for them.
#[derive(Debug, Default)]
struct Pool {
    connections: Vec<PooledId>,
    queue: WaitingQueue<RelaySessionId>,
    /// Whether a command that named an organisation has been queued since the queue was last
    /// empty.
    has_named_work: bool,
    /// How many statements the server has not answered yet, without those whose answers
    /// are overdue.
    running: usize,
    /// How many connections the server has not accepted yet.
    opening: usize,
    /// How many attempts to connect have failed in a row.
    failed_connects: u32,
    /// The end of the backoff after a failed attempt to connect.
    connect_after: Moment,
    /// When the server last completed an answer.
    answered_at: Moment,
    /// When the last sent of the commands that it has answered was sent.
    answered_sent_at: Moment,
    latency: LatencyEstimate,
    /// Measures the load that is reported to the entry instances.
    meter: LoadMeter,
    /// The time of a statement that is reported with it.
    load: ServerLoad,
    dropped_work: DroppedWork,
    /// Whether this instance owned the server's connections at the last check.
    is_owned: bool,
    ownership_checked_at: Moment,
}

impl Pool {
    /// Updates the measured load after a change of what is executed or waits.
    fn record_load(&mut self, now: Moment) {
        self.meter.record(self.running + self.queue.len(), now);
    }
}

/// The relayed sessions of other instances and the pooled connections to the
/// servers that they use.
#[derive(Debug)]
pub struct Relays {
    instance: InstanceId,
    /// As in [`EngineSettings`](crate::engine::EngineSettings).
    drain_timeout: Option<Duration>,
    log: Logger,
    sessions: HashMap<RelaySessionId, Session>,
    pooled: BTreeMap<PooledId, Pooled>,
    pools: BTreeMap<ServerId, Pool>,
    next_session: u64,
    next_pooled: u64,
    /// How many idle connections were closed in favour of another organisation, since this was
    /// last asked for.
    evictions: u64,
    /// The shutdown in progress, if the process was told to stop.
    shutdown: Option<Shutdown>,
    actions: Vec<RelayAction>,
}

impl Relays {
    /// Creates the state without sessions and connections.
    pub fn new(instance: InstanceId, drain_timeout: Option<Duration>, log: Logger) -> Self {
        Self {
            instance,
            drain_timeout,
            log,
            sessions: HashMap::new(),
            pooled: BTreeMap::new(),
            pools: BTreeMap::new(),
            next_session: 0,
            next_pooled: 0,
            evictions: 0,
            shutdown: None,
            actions: Vec::new(),
        }
    }

    /// Returns the actions that were added since the last call.
    pub fn take_actions(&mut self) -> Vec<RelayAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns whether a session waits for a connection or is assigned one, as it is
    /// also while its transaction is idle.
    pub fn is_busy(&self) -> bool {
        self.pools.values().any(|pool| !pool.queue.is_empty())
            || self.pooled.values().any(|pooled| pooled.session.is_some())
    }

    /// Returns how many commands of other instances wait for a connection.
    pub fn waiting_commands(&self) -> usize {
        self.pools.values().map(|pool| pool.queue.len()).sum()
    }

    /// Returns how many pooled connections to servers this instance has, open or being
    /// opened.
    pub fn pooled_connections(&self) -> usize {
        self.pooled.len()
    }

    /// Returns how many idle connections were closed in favour of another organisation since
    /// the last call.
    pub fn take_evictions(&mut self) -> u64 {
        std::mem::take(&mut self.evictions)
    }

    /// Returns whether there are pooled connections to a server, open or being opened.
    pub fn has_connections(&self, server: &ServerId) -> bool {
        self.pools.get(server).is_some_and(|pool| !pool.connections.is_empty())
    }

    /// Returns whether the next answer on a connection contains the server's
    /// role.
    pub fn expects_role(&self, id: PooledId) -> bool {
        let front = self.pooled.get(&id).and_then(|pooled| pooled.expected.front());
        front.is_some_and(|expected| *expected == Expected::RoleBeforeUse)
    }
}

/// Returns whether statements for a server are relayed through the owner of its
/// connections: where instances outnumber its slots, and wherever several instances would
/// need connections of their own for each organisation.
pub fn is_relayed(view: &StoreView, server: &Server) -> bool {
    let instances = view.instance_count();
    let has_organisations =
        view.document().is_some_and(|document| document.organisations.is_some());
    instances > server.slots * INSTANCES_PER_SLOT_LIMIT || (has_organisations && instances > 1)
}

/// Returns the instances that may own a server's connections, best first; the
/// first one is the owner.
///
/// Instances of the server's failure domain come first, then those with enough
/// processor capacity; a hash distributes the servers among equal instances.
///
/// Instances with the same view of the store get the same result. While their
/// views differ, a server can have two owners for a short time, which costs
/// connections but is still correct.
pub fn rank_owners(view: &StoreView, server: &Server) -> Vec<InstanceId> {
    let candidates = || view.members().filter(|(instance, _)| view.may_own(instance));
    let largest = candidates()
        .map(|(_, member)| member.value.capacity.processor_millicores)
        .max()
        .unwrap_or_default();
    let mut ranked: Vec<_> = candidates()
        .map(|(instance, member)| {
            let member = &member.value;
            let is_remote = member.domain.as_ref() != Some(&server.domain);
            let millicores = member.capacity.processor_millicores;
            let is_small = millicores.saturating_mul(CAPABLE_FACTOR) < largest;
            (is_remote, is_small, owner_rank(&server.id, instance), instance)
        })
        .collect();
    ranked.sort();
    ranked.into_iter().map(|(_, _, _, instance)| instance.clone()).collect()
}

/// Returns the rank of an instance among the possible owners of a server,
/// lowest first. The hash is the same in every process.
fn owner_rank(server: &ServerId, instance: &InstanceId) -> u64 {
    let seed = xxh3_64(server.as_str().as_bytes());
    xxh3_64_with_seed(instance.as_str().as_bytes(), seed)
}

/// Returns the message with which a server ends an answer outside a
/// transaction.
fn ready_idle() -> UpstreamMessage {
    UpstreamMessage::Ready { state: SessionState::Idle, position: None }
}
