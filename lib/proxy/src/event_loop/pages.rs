//! The pages that the platform and people read: readiness and metrics.

use std::io;

use mio::Token;
use slog::{info, warn};

use super::{Entry, EventLoop, PAGE_TIMEOUT, Use};
use crate::event_loop::socket::Socket;
use crate::moment::SteadyClock;
use crate::protocol::{PageProtocol, PageRequest, Platform};

/// Readers of pages at the same time at most.
const READERS_LIMIT: usize = 64;

impl<Spoken, Clock> EventLoop<'_, Spoken, Clock>
where
    Spoken: Platform,
    Clock: SteadyClock,
{
    pub(super) fn accept_readers(&mut self, token: Token) {
        loop {
            let listener = self.page_listeners.iter().find(|(known, _)| *known == token);
            let Some((_, listener)) = listener else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    let readers = self
                        .entries
                        .values()
                        .filter(|entry| matches!(entry.used_for, Use::Page))
                        .count();
                    if readers >= READERS_LIMIT {
                        warn!(self.log, "reader of pages turned away"; "readers" => readers);
                        continue;
                    }
                    let token = self.new_token();
                    match Socket::accepted(stream, self.poll.registry(), token) {
                        Ok(socket) => {
                            let deadline = Some(self.now + PAGE_TIMEOUT);
                            let entry = Entry { socket, used_for: Use::Page, deadline };
                            self.entries.insert(token, entry);
                        }
                        Err(error) => warn!(self.log, "reader not accepted"; "error" => %error),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    warn!(self.log, "reader not accepted"; "error" => %error);
                    return;
                }
            }
        }
    }

    pub(super) fn read_page(&mut self, token: Token) {
        loop {
            let Some(entry) = self.entries.get_mut(&token) else {
                return;
            };
            let request = match self.platform.pages().decode(&mut entry.socket.input) {
                Ok(None) => return,
                Ok(Some(request)) => request,
                Err(error) => {
                    info!(self.log, "page request can't be read"; "reason" => error.reason);
                    self.close(token);
                    return;
                }
            };
            let (is_ok, body) = match request {
                PageRequest::Readiness => (self.check_ready(), String::new()),
                PageRequest::Metrics => match self.metrics.page() {
                    Ok(page) => (true, page),
                    Err(error) => {
                        warn!(self.log, "metrics can't be shown"; "error" => %error);
                        (false, String::new())
                    }
                },
                PageRequest::Unknown => (false, String::new()),
            };
            let Some(entry) = self.entries.get_mut(&token) else {
                return;
            };
            entry.deadline = Some(self.now + PAGE_TIMEOUT);
            self.platform.pages().encode(is_ok, &body, &mut entry.socket.output);
            self.dirty.insert(token);
        }
    }

    /// Returns whether new callers may be sent here.
    fn check_ready(&mut self) -> bool {
        let is_ready =
            self.stopping_at.is_none() && self.link.is_complete() && self.view.document().is_some();
        if is_ready != self.is_ready {
            self.is_ready = is_ready;
            info!(self.log, "readiness changed"; "ready" => is_ready,
                "store_ms_ago" => self.store_age().map(|age| age.as_millis()),
                "stopping" => self.stopping_at.is_some());
        }
        is_ready
    }
}
