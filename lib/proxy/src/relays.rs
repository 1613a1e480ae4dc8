//! Server connections that an instance runs other instances' statements on.
//!
//! Where the instances outnumber what a server accepts, one instance owns the
//! server's connections: the others send their statements to it. A relayed
//! session looks to its entry instance like a connection to the server; here it
//! gets a real one for as long as a statement or a transaction takes. See
//! `docs/design/11-relays.md`.
//!
//! Pure: messages and the time go in, [`RelayAction`]s come out.

mod answers;
mod pool;
mod sessions;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use masticreel_base::ids::{GroupId, InstanceId, ServerId};
use masticreel_base::position::TermPosition;
use serde::{Deserialize, Serialize};
use slog::Logger;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::caller::SessionValues;
use crate::connections::Expected;
use crate::directory::Server;
use crate::moment::Moment;
use crate::pace::Pace;
use crate::protocol::UpstreamMessage;
use crate::queue::{Turn, WaitingQueue};
use crate::records::DoubtKind;
use crate::statement::{Command, Failure, SessionState, Shape};
use crate::store_view::StoreView;

/// Instances that outnumber a server's slots this many times relay their work:
/// each has at least one statement at a time at a server, and what waits there
/// can't give way to what is more urgent.
const RELAY_RATIO: usize = 8;
/// An instance with less than this part of the widest one's processor owns
/// servers only if no other can.
const CAPABLE_PART: u32 = 2;

/// Distinguishes the relayed sessions of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct RelaySessionId(pub u64);

/// Distinguishes the pooled connections of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct PooledId(pub u64);

/// What an entry instance sends to the owner of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayCall {
    /// Opens a session at a server.
    Start {
        /// The server.
        server: ServerId,
    },
    /// Executes a command.
    Execute {
        /// The command.
        command: Command,
        /// How long it may wait, and how urgent it is.
        terms: RelayTerms,
    },
}

/// How a command takes its turn at the owner of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayTerms {
    /// The lower, the more urgent.
    pub urgency: u8,
    /// How long it may wait for a connection before it is refused.
    pub patience: Duration,
    /// How soon its route promises the answer.
    pub wanted_within: Duration,
    /// How long such a command takes where nothing else waits.
    pub expected: Duration,
}

/// What the owner of a server answers, beside the server's own messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayAnswer {
    /// A message as the server would send it.
    Message(UpstreamMessage),
    /// The owner can't reach the server; nothing of the session's work that was
    /// not answered has been sent to it.
    Unreachable,
}

/// What the event loop has to do for relayed sessions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayAction {
    /// Open a connection to a server.
    Open {
        /// The connection.
        connection: PooledId,
        /// The server's address.
        address: SocketAddr,
        /// The group that the server is expected to serve.
        group: GroupId,
        /// The server that is expected at the address.
        server: ServerId,
    },
    /// Send a command on a pooled connection.
    Send(PooledId, Command),
    /// Close a pooled connection.
    Close(PooledId),
    /// Answer an entry instance.
    Answer(RelaySessionId, RelayAnswer),
    /// End a session: its connection broke under work that was sent.
    End(RelaySessionId),
    /// The primary of a group is doubted.
    Doubt {
        /// The group.
        group: GroupId,
        /// The primary.
        primary: ServerId,
        /// What was seen.
        kind: DoubtKind,
    },
    /// The primary of a group answers.
    Trust {
        /// The group.
        group: GroupId,
    },
}

/// A command that waits for a connection.
#[derive(Debug)]
struct Waiting {
    command: Command,
    since: Moment,
    until: Moment,
    turn: Turn,
}

/// A session of an entry instance at a server.
#[derive(Debug)]
struct Session {
    server: ServerId,
    values: SessionValues,
    prepared: HashMap<u64, Shape>,
    /// The beginning of a transaction that no server has seen yet.
    begin: Option<(bool, Option<TermPosition>)>,
    connection: Option<PooledId>,
    waiting: Option<Waiting>,
    /// Commands that were sent before an answer came.
    backlog: VecDeque<(Command, RelayTerms)>,
}

/// A connection to a server.
#[derive(Debug)]
struct Pooled {
    server: ServerId,
    group: GroupId,
    born_ms: u64,
    is_open: bool,
    session: Option<RelaySessionId>,
    expected: VecDeque<Expected>,
    /// What is sent once the connection is prepared.
    main: Option<Command>,
    /// The failure of the answer that is being received.
    failure: Option<Failure>,
    /// Whether a transaction is open on it.
    in_transaction: bool,
    values: SessionValues,
    prepared: HashSet<u64>,
    sent_at: Moment,
    idle_since: Moment,
}

/// What is known of a server whose connections this instance owns.
#[derive(Debug, Default)]
struct Pool {
    connections: Vec<PooledId>,
    queue: WaitingQueue<RelaySessionId>,
    /// Statements that the server has not answered.
    running: usize,
    opening: usize,
    failed_opens: u32,
    open_after: Moment,
    answered_at: Moment,
    pace: Pace,
    /// Whether this instance owned the server at the last look.
    is_owned: bool,
    looked_at: Moment,
}

/// The servers whose connections this instance owns.
#[derive(Debug)]
pub struct Relays {
    instance: InstanceId,
    log: Logger,
    sessions: HashMap<RelaySessionId, Session>,
    pooled: BTreeMap<PooledId, Pooled>,
    pools: BTreeMap<ServerId, Pool>,
    next_session: u64,
    next_pooled: u64,
    actions: Vec<RelayAction>,
}

impl Relays {
    /// Creates an owner of nothing.
    pub fn new(instance: InstanceId, log: Logger) -> Self {
        Self {
            instance,
            log,
            sessions: HashMap::new(),
            pooled: BTreeMap::new(),
            pools: BTreeMap::new(),
            next_session: 0,
            next_pooled: 0,
            actions: Vec::new(),
        }
    }

    /// Returns what has to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<RelayAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns whether statements wait or run, or transactions rest.
    pub fn is_busy(&self) -> bool {
        self.pools.values().any(|pool| !pool.queue.is_empty())
            || self.pooled.values().any(|pooled| pooled.session.is_some())
    }

    /// Returns how many commands of other instances wait for a connection.
    pub fn waiting_commands(&self) -> usize {
        self.pools.values().map(|pool| pool.queue.len()).sum()
    }

    /// Returns how many connections this instance holds for other instances.
    pub fn pooled_connections(&self) -> usize {
        self.pooled.len()
    }

    /// Returns whether any connection to a server is left.
    pub fn uses(&self, server: &ServerId) -> bool {
        self.pools.get(server).is_some_and(|pool| !pool.connections.is_empty())
    }

    /// Returns whether the next answer on a connection tells the server's role.
    pub fn expects_role(&self, id: PooledId) -> bool {
        let front = self.pooled.get(&id).and_then(|pooled| pooled.expected.front());
        front.is_some_and(|expected| *expected == Expected::Role)
    }
}

/// Returns whether statements for a server go through the owner of its
/// connections.
pub fn is_relayed(view: &StoreView, server: &Server) -> bool {
    view.fleet_size() > server.slots * RELAY_RATIO
}

/// Returns the instances that stay by their claim to a server's connections, the
/// first of them the owner.
///
/// All instances agree on it as far as their views do. Where they don't, a
/// server has two owners for a moment, which costs connections but breaks
/// nothing.
pub fn owners(view: &StoreView, server: &Server) -> Vec<InstanceId> {
    let willing = || view.members().filter(|(instance, _)| view.may_own(instance));
    let widest = willing()
        .map(|(_, member)| member.value.capacity.processor_millicores)
        .max()
        .unwrap_or_default();
    let mut ranked: Vec<_> = willing()
        .map(|(instance, member)| {
            let member = &member.value;
            let is_far = member.domain.as_ref() != Some(&server.domain);
            let millicores = member.capacity.processor_millicores;
            let is_narrow = millicores.saturating_mul(CAPABLE_PART) < widest;
            (is_far, is_narrow, claim(&server.id, instance), instance)
        })
        .collect();
    ranked.sort();
    ranked.into_iter().map(|(_, _, _, instance)| instance.clone()).collect()
}

/// Returns how strongly an instance claims a server (the lower, the more): the
/// same number in every process.
fn claim(server: &ServerId, instance: &InstanceId) -> u64 {
    let seed = xxh3_64(server.as_str().as_bytes());
    xxh3_64_with_seed(instance.as_str().as_bytes(), seed)
}

/// Returns a state without a transaction as servers report it.
fn idle() -> UpstreamMessage {
    UpstreamMessage::Ready { state: SessionState::Idle, position: None }
}
