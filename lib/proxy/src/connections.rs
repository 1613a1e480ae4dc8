//! Connections to servers and what is known on each.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use masticreel_base::ids::{GroupId, InstanceId, ServerId};
use masticreel_base::position::TermPosition;

use crate::caller::{CallerId, SessionValues};
use crate::moment::Moment;
use crate::pace::Pace;
use crate::statement::{Command, Failure};

/// Distinguishes the connections of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{_0}")]
pub struct ConnectionId(pub u64);

/// What an answer on a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// The server's acceptance of the connection.
    Start,
    /// The server's role, before a primary is used.
    Role,
    /// Preparation of the session before a caller's work.
    Setup,
    /// The beginning of a transaction.
    Begin,
    /// A caller's work.
    Main,
    /// The server's role, before a read's answer is delivered.
    Proof,
    /// A rollback that nobody waits for.
    Rollback,
}

/// The answer that is being received.
#[derive(Debug, Default)]
pub struct PartialAnswer {
    /// The rows so far.
    pub rows: Vec<Arc<str>>,
    /// How it ended, once that is known.
    pub outcome: Option<Result<Option<Arc<str>>, Failure>>,
}

/// A successful answer whose server may not lead any more.
#[derive(Debug)]
pub struct Unproved {
    /// The rows.
    pub rows: Vec<Arc<str>>,
    /// The server's signature.
    pub signature: Option<Arc<str>>,
    /// The server's position.
    pub position: Option<TermPosition>,
}

/// A connection to a server.
#[derive(Debug)]
pub struct Connection {
    /// The server.
    pub server: ServerId,
    /// The life of the server at its other end.
    pub server_born_ms: u64,
    /// Its group.
    pub group: GroupId,
    /// The instance through which it runs, none for the server itself.
    pub via: Option<InstanceId>,
    /// Answers that are due, in order.
    pub expected: VecDeque<Expected>,
    /// The answer that is being received.
    pub partial: PartialAnswer,
    /// The answer that is delivered once the server's role is known.
    pub unproved: Option<Unproved>,
    /// The caller that it works for.
    pub owner: Option<CallerId>,
    /// Whether the owner's transaction holds it.
    pub is_held: bool,
    /// Values that the server was given.
    pub values: SessionValues,
    /// Prepared shapes by their names on the connection.
    pub prepared: HashSet<u64>,
    /// When the current work was sent.
    pub sent_at: Moment,
    /// When it became idle.
    pub idle_since: Moment,
    /// Whether the server accepted it.
    pub is_open: bool,
}

impl Connection {
    /// Returns whether a caller's request may be placed on it.
    pub fn is_idle(&self) -> bool {
        self.is_open && !self.is_held && self.owner.is_none() && self.expected.is_empty()
    }
}

/// Returns whether values differ only by ones that can be added.
fn can_add(known: &SessionValues, wanted: &SessionValues) -> bool {
    known.keys().all(|name| wanted.contains_key(name))
}

/// Returns how much must be done until a connection has a session's values; the
/// least is best.
pub fn setup_cost(known: &SessionValues, wanted: &SessionValues) -> u8 {
    if known == wanted {
        0
    } else if can_add(known, wanted) {
        1
    } else {
        2
    }
}

/// Returns the commands that give a connection a session's values.
///
/// Values can't be taken back one by one, so a connection with others than
/// wanted loses them all, and its prepared statements with them.
pub fn adopt_values(
    known: &mut SessionValues,
    prepared: &mut HashSet<u64>,
    wanted: &SessionValues,
) -> Vec<Command> {
    let mut commands = Vec::new();
    if known == wanted {
        return commands;
    }
    if !can_add(known, wanted) {
        *known = SessionValues::default();
        prepared.clear();
        commands.push(Command::Clear);
    }
    for (name, value) in wanted.iter() {
        if known.get(name) != Some(value) {
            commands.push(Command::Set { name: name.clone(), value: value.clone() });
        }
    }
    *known = wanted.clone();
    commands
}

/// What the instance knows of a server from its own traffic.
#[derive(Debug, Default)]
pub struct ServerHealth {
    /// Statements of this instance that the server has not answered.
    pub running: usize,
    /// Connections, open or opening.
    pub connections: usize,
    /// Connections that the server has not accepted yet.
    pub opening: usize,
    /// No connection is opened before.
    pub open_after: Moment,
    /// Attempts to connect that failed in a row.
    pub failed_opens: u32,
    /// The last position that it applied, and when that was learned.
    pub applied: Option<(TermPosition, Moment)>,
    /// The floor that it last lacked, and when.
    pub lacked: Option<(TermPosition, Moment)>,
    /// When it last answered anything.
    pub answered_at: Moment,
    /// No statement that another server may run is sent before.
    pub rest_until: Moment,
    /// How much work it takes at present.
    pub pace: Pace,
}

/// How long a server rests after it failed an attempt.
pub const SERVER_REST: Duration = Duration::from_millis(150);

/// All connections to servers.
#[derive(Debug, Default)]
pub struct Connections {
    next_id: u64,
    connections: BTreeMap<ConnectionId, Connection>,
    health: HashMap<ServerId, ServerHealth>,
}

impl Connections {
    /// Adds a connection that is being opened.
    pub fn open(
        &mut self,
        server: &ServerId,
        server_born_ms: u64,
        group: &GroupId,
        via: Option<InstanceId>,
        now: Moment,
    ) -> ConnectionId {
        self.next_id += 1;
        let id = ConnectionId(self.next_id);
        let health = self.health.entry(server.clone()).or_default();
        health.connections += 1;
        health.opening += 1;
        let connection = Connection {
            server: server.clone(),
            server_born_ms,
            group: group.clone(),
            via,
            expected: VecDeque::from([Expected::Start]),
            partial: PartialAnswer::default(),
            unproved: None,
            owner: None,
            is_held: false,
            values: SessionValues::default(),
            prepared: HashSet::new(),
            sent_at: now,
            idle_since: now,
            is_open: false,
        };
        self.connections.insert(id, connection);
        id
    }

    /// Notes that the server accepted a connection.
    pub fn accepted(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if !connection.is_open {
            connection.is_open = true;
            let health = self.health.entry(connection.server.clone()).or_default();
            health.opening -= 1;
            health.failed_opens = 0;
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
        if connection.expected.contains(&Expected::Main) {
            health.running -= 1;
        }
        Some(connection)
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

    /// Returns what is known of a server.
    pub fn health(&mut self, server: &ServerId) -> &mut ServerHealth {
        self.health.entry(server.clone()).or_default()
    }

    /// Returns what is known of a server, if anything is.
    pub fn known_health(&self, server: &ServerId) -> Option<&ServerHealth> {
        self.health.get(server)
    }

    /// Returns whether a connection of a group is idle.
    pub fn has_idle(&self, group: &GroupId) -> bool {
        self.connections
            .values()
            .any(|connection| connection.group == *group && connection.is_idle())
    }

    /// Chooses the idle connection to a server on which least must be set up.
    pub fn best_idle(&self, server: &ServerId, values: &SessionValues) -> Option<ConnectionId> {
        let idle = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.server == *server && connection.is_idle());
        idle.min_by_key(|(id, connection)| (setup_cost(&connection.values, values), **id))
            .map(|(id, _)| *id)
    }
}
