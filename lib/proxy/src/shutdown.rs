//! Decides which work an instance still takes between the signal to stop and the end of its
//! process.
//!
//! Until readiness has been refused twice, and later if few instances of a zone are ready,
//! the load balancer sends callers to an instance that is stopping. It serves them for as
//! long as their answers can arrive, and refuses what can't be answered in time, so that it is
//! sent to another instance at once. See `docs/design/09-leaving.md`.

use std::time::Duration;

use crate::moment::Moment;

/// How long before the end of the shutdown timeout the process ends, even if callers are
/// still connected.
const EXIT_RESERVE: Duration = Duration::from_millis(550);
/// How long before the end of the process the last requests are answered, so that the
/// answers reach their callers.
const ANSWER_RESERVE: Duration = Duration::from_millis(150);
/// How long callers' idle sessions are kept after the signal to stop.
///
/// By then the load balancer sends new connections to other instances, so callers
/// that reconnect don't reach this one again.
const IDLE_SESSIONS_CLOSE_DELAY: Duration = Duration::from_millis(2200);
/// How much time a statement has to have left beyond what such statements usually take.
const START_MARGIN: Duration = Duration::from_millis(100);
/// How much time a statement has to have left if none such was answered yet.
const UNKNOWN_DURATION: Duration = Duration::from_secs(1);

/// A shutdown in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    began_at: Moment,
    timeout: Duration,
}

impl Shutdown {
    /// Creates a shutdown that began at a moment, in a process that is killed after `timeout`.
    pub const fn new(began_at: Moment, timeout: Duration) -> Self {
        Self { began_at, timeout }
    }

    /// Returns when the signal to stop was received.
    pub const fn began_at(self) -> Moment {
        self.began_at
    }

    /// Returns when the process ends, whatever is not answered.
    pub fn exits_at(self) -> Moment {
        self.began_at + self.timeout.saturating_sub(EXIT_RESERVE)
    }

    /// Returns when all requests are answered, at the latest.
    pub fn answers_end_at(self) -> Moment {
        self.began_at + self.timeout.saturating_sub(EXIT_RESERVE + ANSWER_RESERVE)
    }

    /// Returns whether idle sessions of callers are closed by now.
    pub fn closes_idle_sessions(self, now: Moment) -> bool {
        now.since(self.began_at) >= IDLE_SESSIONS_CLOSE_DELAY
    }

    /// Returns whether transactions that execute no statement are rolled back by now, so
    /// that none can begin either.
    pub fn ends_transactions(self, now: Moment) -> bool {
        now.since(self.began_at) >= self.timeout / 2
    }

    /// Returns whether a statement that may take `limit` and usually takes `usual_duration`,
    /// zero if that is unknown, would be answered in time if it started now.
    ///
    /// One that takes much longer than usual may still be answered as unknown at the end. To
    /// keep the whole `limit` free for each would refuse most of those that are answered.
    pub fn may_start(self, usual_duration: Duration, limit: Duration, now: Moment) -> bool {
        let expected =
            if usual_duration.is_zero() { UNKNOWN_DURATION } else { usual_duration * 3 / 2 };
        self.answers_end_at().since(now) >= (expected + START_MARGIN).min(limit)
    }
}
