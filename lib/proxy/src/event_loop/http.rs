//! Answers HTTP requests for the readiness and the metrics.

use std::io;

use mio::Token;
use slog::{info, warn};

use super::{Connection, EventLoop, HTTP_TIMEOUT, Use};
use crate::event_loop::socket::{SHORT_INPUT_LIMIT_BYTES, Socket};
use crate::moment::SteadyClock;
use crate::protocol::{HttpProtocol, HttpRequest, Platform};

/// The largest number of concurrent HTTP connections.
const HTTP_CONNECTIONS_LIMIT: usize = 64;

impl<Protocols, Clock> EventLoop<'_, Protocols, Clock>
where
    Protocols: Platform,
    Clock: SteadyClock,
{
    pub(super) fn accept_http(&mut self, token: Token) {
        loop {
            let listener = self.http_listeners.iter().find(|(known, _)| *known == token);
            let Some((_, listener)) = listener else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    let open_count = self
                        .connections
                        .values()
                        .filter(|connection| matches!(connection.used_for, Use::Http))
                        .count();
                    if open_count >= HTTP_CONNECTIONS_LIMIT {
                        warn!(self.log, "HTTP connection refused: too many are open";
                            "readers" => open_count);
                        continue;
                    }
                    let token = self.new_token();
                    let limit_bytes = SHORT_INPUT_LIMIT_BYTES;
                    match Socket::accepted(stream, self.poll.registry(), token, limit_bytes) {
                        Ok(socket) => {
                            let deadline = Some(self.now + HTTP_TIMEOUT);
                            let connection = Connection::new(socket, Use::Http, deadline, self.now);
                            self.connections.insert(token, connection);
                        }
                        Err(error) => warn!(self.log, "HTTP accept failed"; "error" => %error),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    warn!(self.log, "HTTP accept failed"; "error" => %error);
                    self.failed_listeners.insert(token);
                    return;
                }
            }
        }
    }

    pub(super) fn read_http(&mut self, token: Token) {
        loop {
            let Some(connection) = self.connections.get_mut(&token) else {
                return;
            };
            let request = match self.platform.http().decode(connection.socket.input.as_vec()) {
                Ok(None) => return,
                Ok(Some(request)) => request,
                Err(error) => {
                    info!(self.log, "HTTP request can't be read"; "reason" => error.reason);
                    self.close(token);
                    return;
                }
            };
            let (is_ok, body) = match request {
                HttpRequest::Readiness => (self.update_readiness(), String::new()),
                HttpRequest::Metrics => match self.metrics.encode() {
                    Ok(text) => (true, text),
                    Err(error) => {
                        warn!(self.log, "metrics can't be encoded"; "error" => %error);
                        (false, String::new())
                    }
                },
                HttpRequest::Unknown => (false, String::new()),
            };
            let Some(connection) = self.connections.get_mut(&token) else {
                return;
            };
            connection.deadline = Some(self.now + HTTP_TIMEOUT);
            self.platform.http().encode(is_ok, &body, &mut connection.socket.output);
            self.dirty.insert(token);
        }
    }

    /// Returns whether the instance is ready for new callers, and logs a
    /// change.
    ///
    /// An instance is ready once it has listed the store's items and has a
    /// document, until its shutdown begins.
    fn update_readiness(&mut self) -> bool {
        let is_ready = self.shutdown.is_none()
            && self.view.confirmed_at().is_some()
            && self.view.document().is_some();
        if is_ready != self.is_ready {
            self.is_ready = is_ready;
            info!(self.log, "readiness changed"; "ready" => is_ready,
                "store_ms_ago" => self.store_age().map(|age| age.as_millis()),
                "stopping" => self.shutdown.is_some());
        }
        is_ready
    }
}
