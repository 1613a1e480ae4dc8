//! What a connection holds, how long it has done so, and the end of one that is closed for
//! a limit.

use std::time::Instant;

use masticreel_base::failure::{Failure, FailureKind};
use masticreel_postgres::message::missing_bytes;

use super::{Connection, READ_BYTES, REQUEST_COPIES};
use crate::caller::closures::Reason;
use crate::caller::session::Session;
use crate::memory::{CallerMemory, Held};
use crate::settings::LimitSettings;

/// Session state, such as prepared statements, up to which an idle session counts as
/// ordinary: that of a message of the largest usual size.
const ORDINARY_STATE_BYTES: usize = 1024 * 1024;

impl Connection {
    /// Returns when the connection was opened if it has not opened a session.
    pub(in crate::caller) fn starting_since(&self) -> Option<Instant> {
        self.session.is_none().then_some(self.opened_at)
    }

    pub(in crate::caller) fn is_paused(&self) -> bool {
        self.paused_at.is_some()
    }

    /// Returns whether a paused connection may be served again.
    pub(in crate::caller) fn may_resume(&self, memory: &CallerMemory) -> bool {
        match self.waiting_request_bytes {
            Some(bytes) => memory.could_run(self.number, self.held(bytes)),
            None => memory.may_read(self.number, READ_BYTES),
        }
    }

    /// Makes the next thread that serves the connection close it.
    pub(in crate::caller) fn mark_closed(&mut self, reason: Reason, memory: &CallerMemory) {
        self.closed_for = Some(reason);
        memory.remove(self.number);
    }

    /// Returns why the connection must be closed.
    pub(in crate::caller) fn closed_for(&self) -> Option<Reason> {
        self.closed_for
    }

    /// Returns the time limit that the caller has passed.
    pub(in crate::caller) fn overdue(
        &self,
        limits: &LimitSettings,
        now: Instant,
    ) -> Option<Reason> {
        let has_passed = |since: Instant, timeout| now.saturating_duration_since(since) > timeout;
        if self.session.is_none() {
            return has_passed(self.opened_at, limits.start_timeout())
                .then_some(Reason::StartTimeout);
        }
        if !self.output.is_empty() {
            return has_passed(self.active_at, limits.unread_answer_timeout())
                .then_some(Reason::UnreadAnswer);
        }
        let is_partial = !self.buffer.is_empty() && !self.is_paused();
        (is_partial && has_passed(self.message_began_at, limits.message_timeout()))
            .then_some(Reason::MessageTimeout)
    }

    /// Returns what the connection holds; `request_bytes` are those of a request that runs.
    pub(in crate::caller) fn held(&self, request_bytes: usize) -> Held {
        let session = self.session.as_deref();
        let state_bytes = session.map_or(0, Session::state_bytes);
        let pending_bytes = session.map_or(0, |session| session.assembler.held_bytes());
        let input_bytes = self.buffer.capacity() + pending_bytes;
        let is_callers_turn = request_bytes == 0
            && !self.is_paused()
            && !self.is_queued
            && (!self.buffer.is_empty()
                || pending_bytes > 0
                || !self.output.is_empty()
                || state_bytes > ORDINARY_STATE_BYTES);
        let answers_wait = request_bytes > 0 || !self.output.is_empty();
        Held {
            bytes: input_bytes
                + state_bytes
                + self.output.capacity()
                + request_bytes * REQUEST_COPIES,
            missing_bytes: session.map_or(0, |_| missing_bytes(&self.buffer)),
            waits_to_run: self.waiting_request_bytes.is_some(),
            has_backlog: answers_wait && !self.buffer.is_empty(),
            idle_since: is_callers_turn.then_some(self.active_at),
            begun_at: self.incomplete_since().filter(|_| is_callers_turn),
        }
    }

    /// Returns when the answer or message that is incomplete was begun.
    fn incomplete_since(&self) -> Option<Instant> {
        if !self.output.is_empty() {
            return Some(self.output_began_at);
        }
        (!self.buffer.is_empty()).then_some(self.message_began_at)
    }

    pub(in crate::caller) fn charge(&mut self, request_bytes: usize, memory: &CallerMemory) {
        let held = self.held(request_bytes);
        if self.charged != Some(held) {
            memory.charge(self.number, held);
            self.charged = Some(held);
        }
    }

    /// Notes that the connection waits for a thread, which is not the caller's fault.
    pub(in crate::caller) fn mark_queued(&mut self, memory: &CallerMemory) {
        self.is_queued = true;
        self.charge(0, memory);
    }

    /// Notes that the process reads on. The pause does not count as the caller's.
    pub(in crate::caller) fn resume(&mut self) {
        if let Some(paused_at) = self.paused_at.take() {
            self.message_began_at += paused_at.elapsed();
            self.active_at += paused_at.elapsed();
        }
    }

    /// Tells the caller why its connection is closed, unless it is in the middle of an
    /// answer. What was only received in part has not run.
    pub(in crate::caller) fn send_closed(&mut self, reason: Reason) {
        if self.session.is_none() || !self.output.is_empty() {
            return;
        }
        let message = format!("the connection is closed: {}", reason.label());
        self.close_with(&Failure::not_run(FailureKind::Overloaded, message));
    }
}
