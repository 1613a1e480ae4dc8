//! A bound on the load that retries add.

use std::time::{Duration, Instant};

/// Allows one failing retry for every ten first attempts.
///
/// One budget belongs to a caller and one to a database group; a retry needs
/// both, see [`spend`]. A retry that succeeds is refunded: its request had not
/// run before, so it added no load. Beyond that one retry in [`PROBE_INTERVAL`]
/// is always allowed, or requests that only wait for a new primary would never
/// find it.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    attempts_saved: u32,
    attempts_limit: u32,
    last_retry: Option<Instant>,
}

/// First attempts that pay for one retry, so that retries add 10 % at most.
const ATTEMPTS_PER_RETRY: u32 = 10;
/// Retries that one caller can save up.
const CALLER_BURST_RETRIES: u32 = 3;
/// Time between two retries that nothing pays for.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(100);

impl RetryBudget {
    /// Creates an empty budget that can save up this many retries.
    pub fn new(burst_retries: u32) -> Self {
        Self {
            attempts_saved: 0,
            attempts_limit: burst_retries.max(1) * ATTEMPTS_PER_RETRY,
            last_retry: None,
        }
    }

    /// Creates a budget for a caller, whose first request may be retried too.
    ///
    /// The group's budget still bounds the retries of all callers together.
    pub fn for_caller() -> Self {
        Self { attempts_saved: ATTEMPTS_PER_RETRY, ..Self::new(CALLER_BURST_RETRIES) }
    }

    /// Notes a request's first attempt.
    pub fn attempted(&mut self) {
        self.save(1);
    }

    /// Returns whether a retry is paid for, or due as a probe.
    pub fn has_retry(&self, now: Instant) -> bool {
        self.attempts_saved >= ATTEMPTS_PER_RETRY || self.is_probe_due(now)
    }

    fn is_probe_due(&self, now: Instant) -> bool {
        self.last_retry.is_none_or(|last| now >= last + PROBE_INTERVAL)
    }

    fn take_retry(&mut self, now: Instant) {
        self.attempts_saved = self.attempts_saved.saturating_sub(ATTEMPTS_PER_RETRY);
        self.last_retry = Some(now);
    }

    fn save(&mut self, attempts: u32) {
        self.attempts_saved = (self.attempts_saved + attempts).min(self.attempts_limit);
    }
}

/// Takes one retry out of the caller's and the group's budget.
///
/// Returns `false` and takes nothing if either has none.
pub fn spend(caller: &mut RetryBudget, group: &mut RetryBudget, now: Instant) -> bool {
    if !caller.has_retry(now) || !group.has_retry(now) {
        return false;
    }
    caller.take_retry(now);
    group.take_retry(now);
    true
}

/// Gives a retry back that succeeded.
pub fn refund(caller: &mut RetryBudget, group: &mut RetryBudget) {
    caller.save(ATTEMPTS_PER_RETRY);
    group.save(ATTEMPTS_PER_RETRY);
}
