//! Decides when a server's owner opens and closes connections to the server.
//!
//! [`OwnerLimits`] computes how many of a server's connections its owner may use,
//! [`ConnectionPool`] keeps the state of each connection within that limit.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::{Display, From};

/// Identifies a connection within one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From)]
pub struct ConnectionId(pub u64);

/// Connections of a server that are reserved for status polls and promotion, one
/// for each of its observers.
///
/// The document's validation reserves the same number, see
/// [`masticreel_document::validation::RESERVED_CONNECTIONS`].
pub const CONTROL_CONNECTIONS: u32 = 3;

/// Minimum number of connections for requests, however small the server.
///
/// With [`CONTROL_CONNECTIONS`] it can exceed the limit of a server that accepts
/// only four.
const MIN_REQUEST_CONNECTIONS: u32 = 2;

/// Whether another instance may still use the server as its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ownership {
    /// No other instance can still hold connections to the server.
    Sole,
    /// Another instance may still act as the owner of the server. This holds at
    /// first and until a handover has ended.
    HandoverPossible,
}

/// The part of a server that an owner may use.
///
/// A quarter of the connections is reserved for a new owner, which uses only these
/// and one slot until the handover has ended; a sole owner uses the rest. A new
/// owner can therefore start at once, even if the previous one may still be
/// running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerLimits {
    /// Connections that may be open or opening.
    pub connections: u32,
    /// Statements that may execute at a time.
    pub slots: u32,
}

impl OwnerLimits {
    /// Computes the part of a server that accepts `max_connections` and executes
    /// `slots` statements at a time.
    pub fn new(max_connections: u32, slots: u32, ownership: Ownership) -> Self {
        // One more stays free where possible, for the instance that replaces an
        // observer that no longer runs but whose connections stay open.
        let free_for_new_observer = 1;
        let usable = max_connections
            .saturating_sub(CONTROL_CONNECTIONS + free_for_new_observer)
            .max(MIN_REQUEST_CONNECTIONS);
        let handover = (usable / HANDOVER_DIVISOR).max(1);
        match ownership {
            Ownership::Sole => Self { connections: usable - handover, slots },
            Ownership::HandoverPossible => Self { connections: handover, slots: 1 },
        }
    }
}

/// One part in this many of a server's connections is reserved for a new owner.
const HANDOVER_DIVISOR: u32 = 4;

/// What the owner must do with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolAction {
    /// Open a connection and report the result with [`ConnectionPool::opened`] or
    /// [`ConnectionPool::open_failed`].
    Open(ConnectionId),
    /// Close an idle connection.
    Close(ConnectionId),
}

/// Limits and delays of a pool.
#[derive(Debug, Clone)]
pub struct PoolSettings {
    /// Connections that may be open or opening.
    pub limit: u32,
    /// Connections that may be opening at a time.
    pub max_opening: u32,
    /// How long a connection beyond the number wanted stays open while idle.
    pub idle_timeout: Duration,
    /// Age at which an idle connection is closed.
    pub max_age: Duration,
    /// Backoff after a connection could not be opened.
    pub retry_delay: Duration,
}

impl PoolSettings {
    /// Creates the default settings for at most `limit` connections.
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            max_opening: DEFAULT_MAX_OPENING,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            max_age: DEFAULT_MAX_AGE,
            retry_delay: DEFAULT_RETRY_DELAY,
        }
    }
}

const DEFAULT_MAX_OPENING: u32 = 3;
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_MAX_AGE: Duration = Duration::from_secs(600);
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Decides how many connections are open, ahead of demand and within the limits.
///
/// The pool only tracks the connections; the code that calls [`Self::plan`] opens
/// and closes them as requested.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    settings: PoolSettings,
    next_id: u64,
    connections: BTreeMap<ConnectionId, State>,
    retry_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
enum State {
    Opening,
    Idle { opened_at: Instant, idle_since: Instant },
    InUse { opened_at: Instant },
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(settings: PoolSettings) -> Self {
        Self { settings, next_id: 0, connections: BTreeMap::new(), retry_at: None }
    }

    /// Changes how many connections may be open.
    pub fn set_limit(&mut self, limit: u32) {
        self.settings.limit = limit;
    }

    /// Decides which connections to open and close so that `wanted` are open, within
    /// the limits.
    ///
    /// The returned actions are recorded already: a connection to open counts as
    /// opening, and one to close is no longer in the pool.
    pub fn plan(&mut self, wanted: u32, now: Instant) -> Vec<PoolAction> {
        let mut actions = self.close_unwanted(wanted, now);
        let may_open = self.retry_at.is_none_or(|time| now >= time);
        while may_open
            && self.len() < wanted.min(self.settings.limit)
            && self.opening() < self.settings.max_opening
        {
            let id = ConnectionId(self.next_id);
            self.next_id += 1;
            self.connections.insert(id, State::Opening);
            actions.push(PoolAction::Open(id));
        }
        actions
    }

    /// Records that a connection is open and idle.
    pub fn opened(&mut self, id: ConnectionId, now: Instant) {
        self.retry_at = None;
        self.connections.insert(id, State::Idle { opened_at: now, idle_since: now });
    }

    /// Records that a connection could not be opened, and delays the next attempt.
    pub fn open_failed(&mut self, id: ConnectionId, now: Instant) {
        self.connections.remove(&id);
        self.retry_at = Some(now + self.settings.retry_delay);
    }

    /// Checks out the most recently used idle connection for which `fits` is true.
    ///
    /// If there is none, checks out the least recently used idle connection, which
    /// must be reopened for the request. Returns `None` if none is idle.
    pub fn check_out<Fits>(&mut self, fits: Fits) -> Option<ConnectionId>
    where
        Fits: Fn(ConnectionId) -> bool,
    {
        let mut idle: Vec<(Instant, ConnectionId, Instant)> = self
            .connections
            .iter()
            .filter_map(|(id, state)| match state {
                State::Idle { opened_at, idle_since } => Some((*idle_since, *id, *opened_at)),
                State::Opening | State::InUse { .. } => None,
            })
            .collect();
        idle.sort();
        let fitting = idle.iter().rev().find(|(_, id, _)| fits(*id));
        let (_, id, opened_at) = *fitting.or(idle.first())?;
        self.connections.insert(id, State::InUse { opened_at });
        Some(id)
    }

    /// Makes a connection idle again after it was reset.
    pub fn check_in(&mut self, id: ConnectionId, now: Instant) {
        if let Some(State::InUse { opened_at }) = self.connections.get(&id).copied() {
            self.connections.insert(id, State::Idle { opened_at, idle_since: now });
        }
    }

    /// Records that a connection is closed, by the owner or by the server.
    pub fn closed(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Returns the number of connections that are open or opening.
    pub fn len(&self) -> u32 {
        u32::try_from(self.connections.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the number of connections that are opening.
    pub fn opening(&self) -> u32 {
        let opening = self.connections.values().filter(|state| matches!(state, State::Opening));
        u32::try_from(opening.count()).unwrap_or(u32::MAX)
    }

    /// Removes idle connections that exceed the limit, are too old, or have not been
    /// needed for the idle timeout, and returns the actions that close them.
    ///
    /// At most one connection is closed for its age in each call, so that
    /// connections that were opened together are not all closed together.
    fn close_unwanted(&mut self, wanted: u32, now: Instant) -> Vec<PoolAction> {
        let mut idle: Vec<(Instant, Instant, ConnectionId)> = self
            .connections
            .iter()
            .filter_map(|(id, state)| match state {
                State::Idle { opened_at, idle_since } => Some((*idle_since, *opened_at, *id)),
                State::Opening | State::InUse { .. } => None,
            })
            .collect();
        idle.sort();
        let mut actions = Vec::new();
        let mut closed_for_age = false;
        for (idle_since, opened_at, id) in idle {
            let is_excess = self.len() > self.settings.limit;
            let is_unneeded = self.len() > wanted && now >= idle_since + self.settings.idle_timeout;
            let is_old = !closed_for_age && now >= opened_at + self.settings.max_age;
            if !is_excess && !is_unneeded && !is_old {
                continue;
            }
            closed_for_age |= is_old;
            self.connections.remove(&id);
            actions.push(PoolAction::Close(id));
        }
        actions
    }
}
