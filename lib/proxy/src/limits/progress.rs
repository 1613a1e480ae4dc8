//! How long a connection's message or answer has been incomplete.

use std::time::Duration;

use crate::limits::{ClientLimits, LimitReason};
use crate::moment::Moment;

/// How long a connection whose message or answer is incomplete may pause and still carry
/// ordinary work. Longer than a lost packet takes to be sent again a few times.
const ORDINARY_PAUSE: Duration = Duration::from_secs(2);
/// How long a message or an answer may be incomplete and still be ordinary work: ten of the
/// longest ones at a time over a link of 10 Mbit/s.
const ORDINARY_TIME: Duration = Duration::from_secs(10);

/// When a connection last sent and took bytes.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// Since when a message is incomplete.
    message_since: Option<Moment>,
    received_at: Moment,
    /// Since when output waits to be taken.
    output_since: Option<Moment>,
    taken_at: Moment,
}

impl Progress {
    /// Creates the state of a new connection.
    pub fn new(now: Moment) -> Self {
        Self { message_since: None, received_at: now, output_since: None, taken_at: now }
    }

    /// Records that bytes were received.
    pub fn received(&mut self, now: Moment) {
        self.received_at = now;
    }

    /// Records whether the message at the front of the input is incomplete.
    pub fn set_incomplete(&mut self, is_incomplete: bool, now: Moment) {
        self.message_since = is_incomplete.then(|| self.message_since.unwrap_or(now));
    }

    /// Records that the connection is not read, which is not the client's doing: its times
    /// begin anew.
    pub fn not_read(&mut self, now: Moment) {
        self.received_at = now;
        self.message_since = self.message_since.map(|_| now);
    }

    /// Records that output was written, and whether some remains.
    pub fn written(&mut self, is_any_taken: bool, is_any_left: bool, now: Moment) {
        if is_any_taken || self.output_since.is_none() {
            self.taken_at = now;
        }
        self.output_since = is_any_left.then(|| self.output_since.unwrap_or(now));
    }

    /// Returns how long the client has neither sent what is missing of its message nor taken
    /// what is ready for it; zero if nothing is outstanding.
    pub fn idle_for(&self, now: Moment) -> Duration {
        let message = self.message_since.map(|_| now.since(self.received_at));
        let output = self.output_since.map(|_| now.since(self.taken_at));
        message.max(output).unwrap_or_default()
    }

    /// Returns whether messages and answers make progress as those of ordinary clients.
    pub fn is_ordinary(&self, now: Moment) -> bool {
        let since = self.message_since.into_iter().chain(self.output_since).min();
        self.idle_for(now) <= ORDINARY_PAUSE
            && since.is_none_or(|since| now.since(since) <= ORDINARY_TIME)
    }

    /// Returns the limit that the client has exceeded, if any.
    pub fn exceeded(&self, limits: &ClientLimits, now: Moment) -> Option<LimitReason> {
        let is_message_late =
            self.message_since.is_some_and(|since| now.since(since) > limits.message_timeout);
        let is_answer_late =
            self.output_since.is_some() && now.since(self.taken_at) > limits.answer_timeout;
        match (is_message_late, is_answer_late) {
            (_, true) => Some(LimitReason::AnswerTimeout),
            (true, _) => Some(LimitReason::MessageTimeout),
            _ => None,
        }
    }
}
