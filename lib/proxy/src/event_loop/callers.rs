//! Handles callers' connections: accepts them, takes up their messages and ends their
//! sessions.

use std::io::{self, Write};
use std::time::Duration;

use mio::Token;
use mio::net::TcpStream;
use slog::{info, warn};

use super::limited::is_caller_paused;
use super::{CALLER_LISTENER, Connection, EventLoop, Use};
use crate::caller::CallerId;
use crate::engine::Context;
use crate::event_loop::socket::{ACCEPTED_INPUT_LIMIT_BYTES, SHORT_INPUT_LIMIT_BYTES, Socket};
use crate::limits::LimitReason;
use crate::moment::SteadyClock;
use crate::protocol::{CallerMessage, CallerProtocol, Platform, ProtocolError};
use crate::statement::{Failure, FailureKind};

/// How long a caller's session start may wait until the store's items have been
/// listed.
const INITIAL_STORE_LIST_TIMEOUT: Duration = Duration::from_millis(1000);
/// How many connections of callers are accepted before others have their turn: those that
/// have been accepted are read before they can be taken to send no start.
const ACCEPTED_PER_TURN: usize = 32;
/// How many requests of a caller are taken up before others have their turn. The instance
/// answers some itself, whose answers are written only then.
const REQUESTS_PER_TURN: usize = 64;

impl<Protocols, Clock> EventLoop<'_, Protocols, Clock>
where
    Protocols: Platform,
    Clock: SteadyClock,
{
    pub(super) fn accept_callers(&mut self) {
        for _ in 0..ACCEPTED_PER_TURN.min(self.limits.starting_connections) {
            let Some(listener) = &self.callers_listener else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) if self.make_room_for_caller() => self.add_caller(stream),
                Ok((stream, _)) => self.refuse_connection(stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    warn!(self.log, "caller accept failed"; "error" => %error);
                    self.failed_listeners.insert(CALLER_LISTENER);
                    return;
                }
            }
        }
        self.unread.insert(CALLER_LISTENER);
    }

    fn add_caller(&mut self, stream: TcpStream) {
        let token = self.new_token();
        self.next_caller += 1;
        let id = CallerId(self.next_caller);
        match Socket::accepted(stream, self.poll.registry(), token, SHORT_INPUT_LIMIT_BYTES) {
            Ok(socket) => {
                let used_for = Use::Caller { id, is_open: false, answered_at: self.now };
                let deadline = Some(self.now + self.limits.start_timeout);
                let connection = Connection::new(socket, used_for, deadline, self.now);
                self.connections.insert(token, connection);
                self.caller_tokens.insert(id, token);
                self.starting.insert(token);
                self.caller_sockets += 1;
            }
            Err(error) => warn!(self.log, "caller accept failed"; "error" => %error),
        }
    }

    /// Refuses a caller's connection for which there is no room.
    fn refuse_connection(&self, mut stream: TcpStream) {
        let failure = Failure::new(FailureKind::Busy, "too many connections are open");
        let mut output = Vec::new();
        self.platform.callers().encode_start(Err(&failure), &mut output);
        // A few bytes fit into the buffer of a new connection. If they don't, the end of the
        // connection says the same.
        let _ = stream.write(&output);
    }

    /// Ends the connection of a caller that has closed it and is not read to its end, because
    /// a request of it is pending.
    pub(super) fn peer_closed(&mut self, token: Token) {
        let is_paused = self
            .connections
            .get(&token)
            .is_some_and(|connection| is_caller_paused(&self.engine, connection));
        if is_paused {
            self.connection_ended(token, false);
        }
    }

    /// Takes up the requests of a caller, one after the other: the next one stays in the input
    /// until the previous one is answered and its answer is mostly sent.
    pub(super) fn read_caller(&mut self, token: Token) {
        for _ in 0..REQUESTS_PER_TURN {
            let Some(connection) = self.connections.get_mut(&token) else {
                return;
            };
            if is_caller_paused(&self.engine, connection) && !connection.socket.ends_after_output {
                return;
            }
            let Connection {
                socket,
                used_for: Use::Caller { id, is_open, .. },
                deadline,
                progress,
                ..
            } = connection
            else {
                return;
            };
            if socket.ends_after_output {
                socket.input.clear();
                return;
            }
            // The session start waits until the store's items have been listed,
            // which takes milliseconds.
            if self.view.confirmed_at().is_none() && !*is_open && !socket.input.is_empty() {
                *deadline = Some(deadline.map_or(self.now, |deadline| {
                    deadline.min(self.now + INITIAL_STORE_LIST_TIMEOUT)
                }));
                return;
            }
            let id = *id;
            let context = Context { view: &self.view, now: self.now };
            let decoded = self.platform.callers().decode_next(&mut socket.input);
            let is_incomplete = decoded == Ok(None) && !socket.input.is_empty();
            progress.set_incomplete(is_incomplete, self.now);
            match decoded {
                Ok(None) => return,
                Ok(Some(CallerMessage::Finish)) => {
                    self.connection_ended(token, false);
                    return;
                }
                Ok(Some(CallerMessage::Start { database, key })) if !*is_open => {
                    let outcome = self.engine.open_session(context, id, database, key);
                    let output = &mut socket.output;
                    match outcome {
                        Ok(()) => {
                            *is_open = true;
                            *deadline = None;
                            socket.input_limit_bytes = ACCEPTED_INPUT_LIMIT_BYTES;
                            self.starting.remove(&token);
                            self.platform.callers().encode_start(Ok(()), output);
                        }
                        Err(failure) => {
                            info!(self.log, "session refused"; "caller" => %id,
                                "outcome" => %failure.kind, "reason" => %failure.text,
                                "config" => self.view.document().map_or(0, |d| d.version));
                            self.platform.callers().encode_start(Err(&failure), output);
                            socket.ends_after_output = true;
                        }
                    }
                    self.dirty.insert(token);
                }
                Ok(Some(CallerMessage::Request { tag, statement })) if *is_open => {
                    self.engine.request(context, id, tag, statement);
                    if self.engine.held_bytes(id).0 > self.limits.session_state_bytes {
                        self.limit_exceeded(token, LimitReason::SessionState);
                        let error = ProtocolError::too_large("the session's state holds too much");
                        self.refuse_caller(token, &error);
                        return;
                    }
                }
                Ok(Some(_)) => {
                    let error = ProtocolError::malformed("the message doesn't fit the session");
                    self.refuse_caller(token, &error);
                    return;
                }
                Err(error) => {
                    self.refuse_caller(token, &error);
                    return;
                }
            }
        }
        self.unread.insert(token);
    }

    /// Handles the session starts that waited until the store's items had been
    /// listed.
    pub(super) fn open_waiting_sessions(&mut self) {
        let waiting: Vec<Token> = self
            .connections
            .iter()
            .filter(|(_, conn)| matches!(conn.used_for, Use::Caller { is_open: false, .. }))
            .map(|(token, _)| *token)
            .collect();
        for token in waiting {
            self.read_caller(token);
        }
    }

    /// Answers a message that can't be decoded or doesn't fit the session, and closes
    /// the connection.
    fn refuse_caller(&mut self, token: Token, error: &ProtocolError) {
        info!(self.log, "caller's message is invalid"; "reason" => error.reason);
        if let Some(connection) = self.connections.get_mut(&token) {
            self.platform.callers().encode_protocol_error(error, &mut connection.socket.output);
            connection.socket.ends_after_output = true;
            self.dirty.insert(token);
        }
    }

    /// Ends the session of a caller whose key was removed, after its last answer. A request
    /// that has arrived but was not read yet is answered first.
    pub(super) fn end_session(&mut self, id: CallerId) {
        let Some(token) = self.caller_tokens.get(&id).copied() else {
            return;
        };
        let is_ending =
            self.connections.get(&token).is_some_and(|conn| conn.socket.ends_after_output);
        if !is_ending {
            self.readable(token);
        }
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.socket.ends_after_output = true;
            self.dirty.insert(token);
        }
    }

    /// Ends a caller's session after its last answer was sent, and waits until the caller
    /// closes the connection.
    pub(super) fn end_caller(&mut self, token: Token) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        connection.socket.finish_sending();
        connection.socket.ends_after_output = false;
        self.starting.remove(&token);
        connection.deadline = Some(self.now + super::CALLER_CLOSE_TIMEOUT);
        let used_for = std::mem::replace(&mut connection.used_for, Use::EndedCaller);
        if let Use::Caller { id, .. } = used_for {
            self.caller_tokens.remove(&id);
            let context = Context { view: &self.view, now: self.now };
            self.engine.close_session(context, id);
        }
    }
}
