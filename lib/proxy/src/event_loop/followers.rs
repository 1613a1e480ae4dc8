//! Calls to the store through another instance, on both sides.
//!
//! One instance of each failure domain watches the store; the others of the
//! domain are its followers and send it the same calls. A follower also calls
//! the store itself while the instance that it follows fails. An instance whose
//! own calls to the store fail sends all calls through another live instance of
//! any domain, the forwarder. It forwards commits and lease calls to the store and
//! answers the others from its store cache. [`StoreRoute`](crate::store_route::StoreRoute)
//! decides who calls whom. See `docs/design/11-relays.md`.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use masticreel_base::ids::InstanceId;
use mio::Token;
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use super::{Connection, EventLoop, INSTANCE_LISTENER, StoreUse, Use};
use crate::event_loop::socket::{ACCEPTED_INPUT_LIMIT_BYTES, Socket};
use crate::frames;
use crate::limits::LimitReason;
use crate::moment::{Moment, SteadyClock};
use crate::protocol::Platform;
use crate::records::{StoreAnswer, StoreCall, StoreReply};
use crate::relays::RelayCall;

/// The longest call of another instance: a statement of 1 MiB, with room for what the
/// compression may add to it. The input has room for it with its length.
const CALL_LIMIT_BYTES: usize = ACCEPTED_INPUT_LIMIT_BYTES - 1024;
/// A message from another instance on a TCP connection.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum InstanceCall {
    /// A call to the store, with the newest era of the store that the calling instance knows.
    /// A lease that it names is of this era.
    Store(StoreCall, u64),
    /// A message to the owner of a server's connections.
    Relay(RelayCall),
}

/// Another instance's call that is held until there are changes, the view is confirmed
/// anew or the call's wait is over.
#[derive(Debug)]
pub(super) struct HeldCall {
    store_call: StoreCall,
    received_at: Moment,
    deadline: Moment,
    /// When the view was last confirmed before the call arrived.
    confirmed_at: Option<Moment>,
}

impl<Protocols, Clock> EventLoop<'_, Protocols, Clock>
where
    Protocols: Platform,
    Clock: SteadyClock,
{
    /// Returns the address of the instance through which the view of the store is
    /// kept up to date, `None` for the store itself.
    pub(super) fn sync_address(&mut self) -> Option<SocketAddr> {
        let may_follow =
            self.store_sync.is_complete() && !self.store_sync.is_stale(&self.view, self.now);
        let read_through = self.store_route.reader(&self.view, self.now, may_follow);
        if self.read_through != read_through {
            let age_ms = self.store_age().map(|age| age.as_millis());
            match &read_through {
                Some(instance) => info!(self.log, "store is read through another instance";
                    "instance_followed" => %instance, "view_age_ms" => age_ms),
                None => info!(self.log, "store is read directly"; "view_age_ms" => age_ms,
                    "asked" => self.store_route.is_asked(self.now)),
            }
            self.read_through.clone_from(&read_through);
        }
        self.instance_address(&read_through?)
    }

    /// Returns the address of the instance that forwards calls to the store for
    /// this one, `None` unless this instance's own calls fail.
    pub(super) fn forwarder_address(&self) -> Option<SocketAddr> {
        self.instance_address(&self.store_route.forwarder(&self.view)?)
    }

    /// Returns the address at which an instance accepts calls from other
    /// instances.
    pub(super) fn instance_address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let address = self.view.address_of(instance)?;
        // The published address is the one for datagrams. The port for calls of
        // other instances comes after it, by the same offset on all instances.
        let offset = self.settings.instance_address.port().wrapping_sub(self.settings.peers.port());
        Some(SocketAddr::new(address.ip(), address.port().wrapping_add(offset)))
    }

    /// Accepts connections of other instances, for calls to the store and for
    /// relayed sessions.
    pub(super) fn accept_instances(&mut self) {
        loop {
            match self.instance_listener.accept() {
                Ok(_) if self.connections.len() >= self.limits.sockets => {
                    self.limit_exceeded(INSTANCE_LISTENER, LimitReason::Connections);
                }
                Ok((stream, _)) => {
                    let token = self.new_token();
                    let limit_bytes = ACCEPTED_INPUT_LIMIT_BYTES;
                    match Socket::accepted(stream, self.poll.registry(), token, limit_bytes) {
                        Ok(socket) => {
                            let used_for = Use::Instance { call: None };
                            let connection = Connection::new(socket, used_for, None, self.now);
                            self.connections.insert(token, connection);
                        }
                        Err(error) => warn!(self.log, "instance accept failed"; "error" => %error),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    warn!(self.log, "instance accept failed"; "error" => %error);
                    self.failed_listeners.insert(INSTANCE_LISTENER);
                    return;
                }
            }
        }
    }

    /// Reads the messages of another instance.
    pub(super) fn read_instance(&mut self, token: Token) {
        while let Some(connection) = self.connections.get_mut(&token) {
            let Connection { socket, progress, .. } = connection;
            let decoded = frames::decode_next::<InstanceCall>(&mut socket.input, CALL_LIMIT_BYTES);
            let is_incomplete = matches!(decoded, Ok(None)) && !socket.input.is_empty();
            progress.set_incomplete(is_incomplete, self.now);
            match decoded {
                Ok(None) => return,
                Ok(Some(InstanceCall::Store(call, era))) => {
                    self.observe_store_era(era);
                    self.handle_store_call(token, call, era);
                }
                Ok(Some(InstanceCall::Relay(call))) => self.handle_relay_call(token, call),
                Err(error) => {
                    warn!(self.log, "call from another instance can't be decoded; closing its connection";
                        "reason" => error.reason);
                    self.connection_ended(token, false);
                    return;
                }
            }
        }
    }

    /// Forwards commits and lease calls to the store, and holds any other call
    /// until [`Self::answer_held_calls`] can answer it from the store cache.
    fn handle_store_call(&mut self, token: Token, store_call: StoreCall, era: u64) {
        let Some(Connection { used_for: Use::Instance { call }, socket, .. }) =
            self.connections.get_mut(&token)
        else {
            return;
        };
        match store_call {
            // The revisions and leases that it names are of an earlier era.
            StoreCall::Commit { .. } | StoreCall::Renew { .. } if era < self.view.era() => {
                let reply = StoreReply { era: self.view.era(), answer: StoreAnswer::Unavailable };
                frames::encode(&reply, &mut socket.output);
                self.dirty.insert(token);
            }
            store_call @ (StoreCall::Commit { .. }
            | StoreCall::Grant { .. }
            | StoreCall::Renew { .. }) => {
                self.start_call(StoreUse::Forwarded(token), store_call, None);
            }
            store_call => {
                self.store_route.record_asked(self.now);
                let wait = match &store_call {
                    StoreCall::Watch { wait, .. } => *wait,
                    _ => Duration::ZERO,
                };
                *call = Some(HeldCall {
                    store_call,
                    received_at: self.now,
                    deadline: self.now + wait,
                    confirmed_at: self.view.confirmed_at(),
                });
            }
        }
    }

    /// Answers from the store cache the held calls for which there are changes, and those
    /// whose wait is over or since which the view has been confirmed. Without the latter a
    /// follower's view would be older by up to its wait.
    ///
    /// An instance that is itself without the store answers that it can't tell, so that
    /// those who ask it turn to others at once.
    pub(super) fn answer_held_calls(&mut self) {
        let is_without_store = self.store_route.is_direct_failing();
        for (token, connection) in &mut self.connections {
            let Use::Instance { call } = &mut connection.used_for else {
                continue;
            };
            let Some(HeldCall { store_call, received_at, deadline, confirmed_at }) = call else {
                continue;
            };
            let may_wait = self.now < *deadline && self.view.confirmed_at() == *confirmed_at;
            let held = self.now.since(*received_at);
            let answer = if is_without_store {
                Some(StoreAnswer::Unavailable)
            } else {
                self.store_cache.answer(store_call, &self.view, self.now, held, may_wait)
            };
            if let Some(answer) = answer {
                let reply = StoreReply { era: self.view.era(), answer };
                frames::encode(&reply, &mut connection.socket.output);
                *call = None;
                self.dirty.insert(*token);
            }
        }
    }
}
