//! Until when callers' requests are served while the instance stops.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// How long before the end of the shutdown timeout the last requests are answered, so that the
/// answers reach their callers.
const ANSWER_RESERVE: Duration = Duration::from_millis(500);
/// The part of a short shutdown timeout that is left for it, as a divisor.
const ANSWER_RESERVE_DIVISOR: u32 = 4;

/// The moment by which all requests of callers are answered, once the instance has been told
/// to stop.
///
/// Clones share it. See `docs/design/09-leaving.md`.
#[derive(Debug, Clone, Default)]
pub struct ShutdownDeadline {
    answers_end_at: Arc<OnceLock<Instant>>,
}

impl ShutdownDeadline {
    /// Sets the moment from the shutdown timeout, which begins now.
    pub fn set(&self, now: Instant, shutdown_timeout: Duration) {
        let reserve = ANSWER_RESERVE.min(shutdown_timeout / ANSWER_RESERVE_DIVISOR);
        self.answers_end_at.get_or_init(|| now + shutdown_timeout - reserve);
    }

    /// Returns a request's deadline, which is no later than the end of the shutdown.
    pub fn cap(&self, deadline: Instant) -> Instant {
        self.answers_end_at.get().map_or(deadline, |end| deadline.min(*end))
    }

    /// Returns whether no request is served any more.
    pub fn is_over(&self, now: Instant) -> bool {
        self.answers_end_at.get().is_some_and(|end| now >= *end)
    }
}
