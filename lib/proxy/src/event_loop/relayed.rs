//! Connections of relayed sessions, on both sides.
//!
//! As the owner of a server's connections, an instance executes the actions of
//! [`Relays`](crate::relays::Relays) and reads its pooled connections. As an
//! entry instance, it reads what the owner sends on the relayed sessions that the
//! engine opened.

use std::net::SocketAddr;

use masticreel_base::ids::{GroupId, ServerId};
use mio::Token;
use slog::{info, warn};

use super::{CONNECT_TIMEOUT, Connection, EventLoop, Use};
use crate::engine::{Context, Loss};
use crate::event_loop::serve::{add_answer_bytes, loss_of_unopened, take_status};
use crate::frames;
use crate::limits::LimitReason;
use crate::moment::SteadyClock;
use crate::protocol::{Platform, UpstreamProtocol};
use crate::relays::{PooledId, RelayAction, RelayAnswer, RelayCall};

impl<Protocols, Clock> EventLoop<'_, Protocols, Clock>
where
    Protocols: Platform,
    Clock: SteadyClock,
{
    /// Executes an action of the relayed sessions or the pooled connections.
    pub(super) fn execute_relay_action(&mut self, action: RelayAction) {
        match action {
            RelayAction::Open { connection, address, group, server, organisation } => {
                let organisation = organisation.as_deref();
                self.connect_pooled(connection, address, &group, &server, organisation);
            }
            RelayAction::Send(id, command) => {
                let token = self.pooled_tokens.get(&id).copied();
                if let Some(token) = token
                    && let Some(connection) = self.connections.get_mut(&token)
                {
                    self.platform
                        .upstreams()
                        .encode_command(&command, &mut connection.socket.output);
                    self.dirty.insert(token);
                }
            }
            RelayAction::Close(id) => {
                if let Some(token) = self.pooled_tokens.remove(&id) {
                    self.close(token);
                }
            }
            RelayAction::Answer(session, answer) => {
                let token = self.relay_tokens.get(&session).copied();
                if let Some(token) = token
                    && let Some(connection) = self.connections.get_mut(&token)
                {
                    frames::encode(&answer, &mut connection.socket.output);
                    // `Relays` has already removed an unreachable server's session.
                    connection.socket.ends_after_output |= answer == RelayAnswer::Unreachable;
                    self.dirty.insert(token);
                    // The entry instance takes less than the server sends.
                    if connection.socket.unsent_bytes() > self.limits.answer_bytes {
                        self.limit_exceeded(token, LimitReason::ServerAnswer);
                        self.connection_ended(token, false);
                    }
                }
            }
            RelayAction::End(session) => {
                if let Some(token) = self.relay_tokens.remove(&session) {
                    self.close(token);
                }
            }
            RelayAction::Suspect { group, primary, kind } => {
                self.coordinator.suspect(&self.view, &group, &primary, kind);
            }
            RelayAction::ClearSuspicion { group, has_run_work } => {
                self.coordinator.clear_suspicion(&group, has_run_work);
            }
        }
    }

    fn connect_pooled(
        &mut self,
        id: PooledId,
        address: SocketAddr,
        group: &GroupId,
        server: &ServerId,
        organisation: Option<&str>,
    ) {
        let used_for = Use::Pooled { id, status_row: None };
        match self.connect(address, used_for, CONNECT_TIMEOUT) {
            Ok(token) => {
                self.pooled_tokens.insert(id, token);
                if let Some(connection) = self.connections.get_mut(&token) {
                    let output = &mut connection.socket.output;
                    self.platform.upstreams().encode_start(group, server, organisation, output);
                }
            }
            Err(error) => {
                warn!(self.log, "pooled connection to a server can't be opened"; "server" => %server,
                    "error" => %error);
                let context = Context { view: &self.view, now: self.now };
                self.engine.relays.remove_connection(context, id, loss_of_unopened(&error));
            }
        }
    }

    /// Handles a message from another instance that this one receives as the owner
    /// of a server's connections.
    pub(super) fn handle_relay_call(&mut self, token: Token, call: RelayCall) {
        let Some(Connection { used_for, .. }) = self.connections.get_mut(&token) else {
            return;
        };
        let context = Context { view: &self.view, now: self.now };
        match (call, &used_for) {
            (RelayCall::Start { server }, Use::Instance { .. }) => {
                let session = self.engine.relays.open_session(&server);
                *used_for = Use::Relay { session };
                self.relay_tokens.insert(session, token);
            }
            (RelayCall::Execute { command, terms }, Use::Relay { session }) => {
                self.engine.relays.execute(context, *session, command, terms);
            }
            _ => {
                warn!(self.log, "unexpected message of another instance about a relayed session");
                self.connection_ended(token, false);
            }
        }
    }

    pub(super) fn read_pooled(&mut self, token: Token) {
        loop {
            let Some(Connection { socket, used_for: Use::Pooled { id, status_row }, .. }) =
                self.connections.get_mut(&token)
            else {
                return;
            };
            let id = *id;
            let context = Context { view: &self.view, now: self.now };
            match self.platform.upstreams().decode_next(&mut socket.input) {
                Ok(None) => return,
                Ok(Some(message)) => {
                    let expects_role = self.engine.relays.expects_role(id);
                    let upstreams = self.platform.upstreams();
                    let status = take_status(upstreams, status_row, &message, expects_role);
                    self.engine.relays.pooled_message(context, id, message, status);
                }
                Err(error) => {
                    warn!(self.log, "server's message on a pooled connection can't be read"; "reason" => error.reason);
                    self.engine.relays.remove_connection(context, id, Loss::Garbage);
                    return;
                }
            }
        }
    }

    /// Reads the messages of the owner of a server's connections on a relayed
    /// session.
    pub(super) fn read_relayed(&mut self, token: Token) {
        loop {
            let Some(Connection {
                socket,
                used_for: Use::Upstream { id, status_row, .. },
                answer_bytes,
                ..
            }) = self.connections.get_mut(&token)
            else {
                return;
            };
            let id = *id;
            let context = Context { view: &self.view, now: self.now };
            match frames::decode_next::<RelayAnswer>(&mut socket.input, usize::MAX) {
                Ok(None) => return,
                Ok(Some(RelayAnswer::Message(message))) => {
                    add_answer_bytes(answer_bytes, &message);
                    if *answer_bytes > self.limits.answer_bytes {
                        self.limit_exceeded(token, LimitReason::ServerAnswer);
                        let context = Context { view: &self.view, now: self.now };
                        self.engine.connection_lost(context, id, Loss::Garbage);
                        return;
                    }
                    let expects_role = self.engine.expects_role(id);
                    let upstreams = self.platform.upstreams();
                    let status = take_status(upstreams, status_row, &message, expects_role);
                    self.engine.upstream_message(context, id, message, status);
                }
                Ok(Some(RelayAnswer::Load(report))) => {
                    self.engine.load_reported(context, id, report);
                }
                Ok(Some(RelayAnswer::Unreachable)) => {
                    self.engine.owner_cannot_reach_server(context, id);
                    return;
                }
                Err(error) => {
                    info!(self.log, "owner's answer on a relayed session can't be read"; "reason" => error.reason);
                    self.engine.connection_lost(context, id, Loss::Garbage);
                    return;
                }
            }
        }
    }
}
