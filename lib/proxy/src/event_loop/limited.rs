//! Applies the limits on what clients' connections hold: which of them are read, and which
//! are refused or closed. The rules are in [`crate::limits`].

use std::time::Duration;

use masticreel_admission::memory_budget::Holder;
use mio::Token;
use slog::warn;

use super::socket::{ACCEPTED_INPUT_LIMIT_BYTES, SHORT_INPUT_LIMIT_BYTES, Socket};
use super::{
    CALLER_LISTENER, Connection, EventLoop, INSTANCE_LISTENER, Loss, METRICS_LISTENER,
    READINESS_LISTENER, Use,
};
use crate::engine::{Context, Engine};
use crate::limits::LimitReason;
use crate::moment::SteadyClock;
use crate::protocol::Platform;

/// How many bytes are read from a connection before others have their turn.
const TURN_BYTES: usize = 64 * 1024;
/// How many bytes are read ahead while a request is pending or answers are not read.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// A caller's next request is not taken up while more of its answers is unsent.
const UNSENT_LIMIT_BYTES: usize = 256 * 1024;
/// An answer of a server that is longer is not ordinary work once memory is short: a row with
/// the longest line twice.
const LONG_ANSWER_BYTES: usize = 2 << 20;
/// A session whose variables and prepared statements hold more is not ordinary work once
/// memory is short.
const LARGE_STATE_BYTES: usize = 64 * 1024;

/// How often all connections are checked for messages and answers that are incomplete for too
/// long. The bounds are seconds, and a check goes through thousands of idle sessions.
const INCOMPLETE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long the start of an ordinary session takes at most: several round trips between
/// continents.
const ORDINARY_START: Duration = Duration::from_secs(1);

/// Returns whether a caller's next request has to wait: one is pending, or its answers are not
/// read.
pub(super) fn is_caller_paused(engine: &Engine, connection: &Connection) -> bool {
    match connection.used_for {
        Use::Caller { id, is_open, .. } => {
            is_open
                && (engine.has_pending(id) || connection.socket.unsent_bytes() > UNSENT_LIMIT_BYTES)
        }
        _ => false,
    }
}

/// Returns whether reading a connection stops when too much is held. Connections that the
/// instance opened are always read: their answers end what is held.
fn is_clients(used_for: &Use) -> bool {
    matches!(used_for, Use::Caller { .. } | Use::Instance { .. } | Use::Relay { .. } | Use::Http)
}

impl<Protocols, Clock> EventLoop<'_, Protocols, Clock>
where
    Protocols: Platform,
    Clock: SteadyClock,
{
    /// Returns how many bytes may be read from a connection now, none if it must not be read.
    pub(super) fn read_allowance(&self, token: Token) -> Option<usize> {
        let connection = self.connections.get(&token)?;
        if is_caller_paused(&self.engine, connection)
            && connection.socket.input.len() >= READ_AHEAD_BYTES
        {
            return None;
        }
        // Short messages of other instances, such as calls that renew leases, and of operators
        // are always read.
        let is_short_call =
            matches!(connection.used_for, Use::Instance { .. } | Use::Relay { .. } | Use::Http)
                && connection.socket.input.len() < SHORT_INPUT_LIMIT_BYTES;
        if is_short_call {
            Some(SHORT_INPUT_LIMIT_BYTES)
        } else if is_clients(&connection.used_for) {
            self.ledger.allowance(token, TURN_BYTES)
        } else {
            Some(TURN_BYTES)
        }
    }

    /// Sets what a connection holds, as far as it still exists.
    pub(super) fn charge(&mut self, token: Token) {
        let Some(Connection { socket, used_for, answer_bytes, .. }) = self.connections.get(&token)
        else {
            return;
        };
        let session_bytes = match used_for {
            Use::Caller { id, .. } => self.engine.held_bytes(*id).1,
            _ => 0,
        };
        self.ledger.charge(token, socket.held_bytes() + session_bytes + answer_bytes);
    }

    /// Handles what remains to be read after a connection had its turn.
    pub(super) fn after_reading(&mut self, token: Token) {
        self.charge(token);
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let may_be_full = match connection.used_for {
            // A start waits with what follows it until the store's items have been listed.
            Use::Caller { is_open, .. } => {
                is_open || connection.socket.ends_after_output || self.view.confirmed_at().is_none()
            }
            _ => false,
        };
        if connection.socket.is_full() && !may_be_full {
            // No decoder takes a message of this length.
            self.limit_exceeded(token, LimitReason::MessageLength);
            self.connection_ended(token, false);
            return;
        }
        if !connection.socket.has_unread || is_caller_paused(&self.engine, connection) {
            return;
        }
        if self.read_allowance(token).is_some() {
            self.unread.insert(token);
        } else {
            self.not_read.insert(token);
        }
    }

    /// Reads the connections that were not read to the end, for whose bytes the poller reports
    /// no further event.
    pub(super) fn resume_reading(&mut self) {
        for token in std::mem::take(&mut self.unread) {
            match token {
                CALLER_LISTENER => self.accept_callers(),
                INSTANCE_LISTENER => self.accept_instances(),
                READINESS_LISTENER | METRICS_LISTENER => self.accept_http(token),
                _ => self.readable(token),
            }
        }
    }

    /// Keeps the memory budget: closes connections if need be, and decides which ones are read.
    pub(super) fn balance_memory(&mut self) {
        let (connections, engine, now) = (&self.connections, &self.engine, self.now);
        let closed = self.ledger.decide(|token, held_bytes| {
            let connection = connections.get(&token);
            let holder = Holder {
                id: token,
                held_bytes,
                missing_bytes: 0,
                idle_for: now.since(now),
                is_ordinary: true,
            };
            connection.map_or(holder, |connection| describe(holder, connection, engine, now))
        });
        for token in closed {
            self.limit_exceeded(token, LimitReason::Memory);
            match self.connections.get(&token).map(|connection| &connection.used_for) {
                Some(Use::Upstream { id, .. }) => {
                    let context = Context { view: &self.view, now: self.now };
                    self.engine.connection_lost(context, *id, Loss::Garbage);
                }
                _ => self.connection_ended(token, false),
            }
        }
        self.execute_actions();
        for token in std::mem::take(&mut self.not_read) {
            if self.read_allowance(token).is_some() {
                self.unread.insert(token);
            } else if let Some(connection) = self.connections.get_mut(&token) {
                connection.progress.not_read(self.now);
                self.not_read.insert(token);
            }
        }
    }

    /// Counts and logs that a connection is refused or closed for a limit.
    pub(super) fn limit_exceeded(&mut self, token: Token, reason: LimitReason) {
        self.metrics.limit_exceeded(reason);
        let Some(suppressed) = self.limit_lines.take(reason, self.now) else {
            return;
        };
        let connection = self.connections.get(&token);
        let caller = connection.and_then(|connection| match connection.used_for {
            Use::Caller { id, .. } => Some(id.to_string()),
            _ => None,
        });
        warn!(self.log, "connection refused or closed for a limit"; "limit" => %reason,
            "caller" => caller, "held_bytes" => self.ledger.held_bytes(token),
            "held_bytes_in_all" => self.ledger.total_bytes(),
            "idle_ms" => connection.map(|c| c.progress.idle_for(self.now).as_millis()),
            "callers" => self.caller_tokens.len(), "not_logged" => suppressed);
    }

    /// Makes room for another connection of a caller, and returns whether there is any.
    ///
    /// The oldest connection without a session is closed if there are too many, since ordinary
    /// callers send the start at once. If sessions have taken all the room, it is closed only
    /// if its start is overdue.
    pub(super) fn make_room_for_caller(&mut self) -> bool {
        let is_full = self.caller_sockets >= self.limits.connections
            || self.connections.len() >= self.limits.sockets;
        if !is_full && self.starting.len() < self.limits.starting_connections {
            return true;
        }
        let oldest = self.starting.first().copied();
        let Some(oldest) = oldest.filter(|token| !is_full || self.is_start_overdue(*token)) else {
            // No connection is known by the listener's token.
            self.limit_exceeded(CALLER_LISTENER, LimitReason::Connections);
            return false;
        };
        self.limit_exceeded(oldest, LimitReason::StartingConnections);
        self.connection_ended(oldest, false);
        true
    }

    /// Returns whether a caller would have sent the start of its session by now.
    fn is_start_overdue(&self, token: Token) -> bool {
        self.connections.get(&token).is_some_and(|connection| {
            matches!(connection.used_for, Use::Caller { answered_at: accepted_at, .. }
                if self.now.since(accepted_at) >= ORDINARY_START)
        })
    }

    /// Closes clients' connections whose message or answer has been incomplete for too long.
    pub(super) fn expire_incomplete(&mut self) {
        if self.now.since(self.incomplete_checked_at) < INCOMPLETE_CHECK_INTERVAL {
            return;
        }
        self.incomplete_checked_at = self.now;
        let late: Vec<(Token, LimitReason)> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_clients(&connection.used_for))
            .filter_map(|(token, connection)| {
                let reason = connection.progress.exceeded(&self.limits, self.now)?;
                Some((*token, reason))
            })
            .collect();
        for (token, reason) in late {
            self.limit_exceeded(token, reason);
            self.connection_ended(token, false);
        }
    }
}

/// Completes what is known of a connection that holds something.
fn describe(
    holder: Holder<Token>,
    connection: &Connection,
    engine: &Engine,
    now: crate::moment::Moment,
) -> Holder<Token> {
    let Connection { socket, used_for, progress, answer_bytes, .. } = connection;
    let missing = |socket: &Socket| match socket.input.len() {
        0 => 0,
        length => ACCEPTED_INPUT_LIMIT_BYTES.saturating_sub(length),
    };
    let idle_for = progress.idle_for(now);
    match used_for {
        Use::Caller { id, .. } => {
            let is_paused = is_caller_paused(engine, connection);
            let has_sent_ahead = is_paused && !socket.input.is_empty();
            let has_large_state = engine.held_bytes(*id).0 > LARGE_STATE_BYTES;
            Holder {
                missing_bytes: if is_paused { 0 } else { missing(socket) },
                idle_for,
                is_ordinary: progress.is_ordinary(now) && !has_sent_ahead && !has_large_state,
                ..holder
            }
        }
        Use::Instance { .. } | Use::Relay { .. } | Use::Http => Holder {
            missing_bytes: missing(socket),
            idle_for,
            is_ordinary: progress.is_ordinary(now),
            ..holder
        },
        Use::Upstream { .. } => {
            Holder { is_ordinary: *answer_bytes <= LONG_ANSWER_BYTES, ..holder }
        }
        _ => holder,
    }
}
