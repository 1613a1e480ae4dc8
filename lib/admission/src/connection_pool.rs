//! When an owner opens and closes connections to its upstream server.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::{Display, From};

/// Distinguishes the connections of one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From)]
pub struct ConnectionId(pub u64);

/// Connections of a server that are set aside for control, one an observer.
pub const CONTROL_CONNECTIONS: u32 = 3;

/// Smallest number of connections that requests are given.
const MIN_REQUEST_CONNECTIONS: u32 = 2;

/// Says what an owner knows about its predecessor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ownership {
    /// No other instance can still hold connections to the server.
    Sole,
    /// Another instance may still believe that it owns the server.
    Disputed,
}

/// The part of a server that an owner may use.
///
/// A sole owner always leaves the handover share unused, so a new owner can
/// start at once without knowing whether the old one is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerShare {
    /// Connections that may be open or opening.
    pub connections: u32,
    /// Statements that may execute at a time.
    pub slots: u32,
}

impl ServerShare {
    /// Computes the share of a server of this size.
    pub fn new(max_connections: u32, slots: u32, ownership: Ownership) -> Self {
        // One more is left alone where possible, for an instance that takes the
        // place of an observer whose connections stay open because it is frozen.
        let spare = 1;
        let usable = max_connections
            .saturating_sub(CONTROL_CONNECTIONS + spare)
            .max(MIN_REQUEST_CONNECTIONS);
        let handover = (usable / HANDOVER_PART).max(1);
        match ownership {
            Ownership::Sole => Self { connections: usable - handover, slots },
            Ownership::Disputed => Self { connections: handover, slots: 1 },
        }
    }
}

/// One part in this many of a server's connections is left to a new owner.
const HANDOVER_PART: u32 = 4;

/// What the owner has to do with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolAction {
    /// Open a connection and report how it went.
    Open(ConnectionId),
    /// Close an idle connection.
    Close(ConnectionId),
}

/// The bounds of a pool.
#[derive(Debug, Clone)]
pub struct PoolSettings {
    /// Connections that may be open or opening.
    pub limit: u32,
    /// Connections that may be opening at a time.
    pub max_opening: u32,
    /// How long a connection that is not needed stays open.
    pub idle_timeout: Duration,
    /// How old a connection gets before it is replaced.
    pub max_age: Duration,
    /// How long the pool waits after a connection could not be opened.
    pub retry_delay: Duration,
}

impl PoolSettings {
    /// Creates the usual bounds for this many connections.
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

/// Decides how many connections are open, ahead of demand and within limits.
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
    Idle { opened_at: Instant, since: Instant },
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

    /// Compares the connections with the number wanted and returns what to do.
    pub fn plan(&mut self, wanted: u32, now: Instant) -> Vec<PoolAction> {
        let mut actions = self.close_surplus(wanted, now);
        let may_open = self.retry_at.is_none_or(|moment| now >= moment);
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

    /// Notes that a connection is open and idle.
    pub fn opened(&mut self, id: ConnectionId, now: Instant) {
        self.retry_at = None;
        self.connections.insert(id, State::Idle { opened_at: now, since: now });
    }

    /// Notes that a connection could not be opened.
    pub fn open_failed(&mut self, id: ConnectionId, now: Instant) {
        self.connections.remove(&id);
        self.retry_at = Some(now + self.settings.retry_delay);
    }

    /// Takes the idle connection that was used last among those that fit.
    ///
    /// If none fits it takes the one that was used least recently, which has to
    /// be opened anew for its next user.
    pub fn check_out<Fits>(&mut self, fits: Fits) -> Option<ConnectionId>
    where
        Fits: Fn(ConnectionId) -> bool,
    {
        let mut idle: Vec<(Instant, ConnectionId, Instant)> = self
            .connections
            .iter()
            .filter_map(|(id, state)| match state {
                State::Idle { opened_at, since } => Some((*since, *id, *opened_at)),
                State::Opening | State::InUse { .. } => None,
            })
            .collect();
        idle.sort();
        let fitting = idle.iter().rev().find(|(_, id, _)| fits(*id));
        let (_, id, opened_at) = *fitting.or(idle.first())?;
        self.connections.insert(id, State::InUse { opened_at });
        Some(id)
    }

    /// Gives a connection back after it was reset.
    pub fn check_in(&mut self, id: ConnectionId, now: Instant) {
        if let Some(State::InUse { opened_at }) = self.connections.get(&id).copied() {
            self.connections.insert(id, State::Idle { opened_at, since: now });
        }
    }

    /// Notes that a connection is closed, whoever closed it.
    pub fn closed(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Returns how many connections are open or opening.
    pub fn len(&self) -> u32 {
        u32::try_from(self.connections.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns how many connections are being opened.
    pub fn opening(&self) -> u32 {
        let opening = self.connections.values().filter(|state| matches!(state, State::Opening));
        u32::try_from(opening.count()).unwrap_or(u32::MAX)
    }

    /// Closes idle connections that exceed the limit, are too old or not needed.
    ///
    /// At most one is closed for its age at a time, so that a pool whose
    /// connections were opened together doesn't lose them together.
    fn close_surplus(&mut self, wanted: u32, now: Instant) -> Vec<PoolAction> {
        let mut idle: Vec<(Instant, Instant, ConnectionId)> = self
            .connections
            .iter()
            .filter_map(|(id, state)| match state {
                State::Idle { opened_at, since } => Some((*since, *opened_at, *id)),
                State::Opening | State::InUse { .. } => None,
            })
            .collect();
        idle.sort();
        let mut actions = Vec::new();
        let mut aged = false;
        for (since, opened_at, id) in idle {
            let is_excess = self.len() > self.settings.limit;
            let is_unneeded = self.len() > wanted && now >= since + self.settings.idle_timeout;
            let is_old = !aged && now >= opened_at + self.settings.max_age;
            if !is_excess && !is_unneeded && !is_old {
                continue;
            }
            aged |= is_old;
            self.connections.remove(&id);
            actions.push(PoolAction::Close(id));
        }
        actions
    }
}
