//! Limits the load that retries add to upstream servers.

use std::time::{Duration, Instant};

/// Allows one failing retry for every ten first attempts.
///
/// Each caller and each database group has a budget; a retry needs credit in
/// both, see [`spend`]. A retry that succeeds is refunded: its request had not
/// been executed before, so it added no load. Without enough credit, a retry is
/// allowed once [`FREE_RETRY_INTERVAL`] has passed since the last retry of either
/// kind; it takes the credit that is left. Otherwise requests that only wait for a
/// new primary would never reach it.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Counted in first attempts; [`ATTEMPTS_PER_RETRY`] pay for one retry.
    attempt_credit: u32,
    max_attempt_credit: u32,
    last_retry: Option<Instant>,
}

/// First attempts that earn credit for one retry, so that retries add at most
/// 10 % of load.
const ATTEMPTS_PER_RETRY: u32 = 10;
/// Retries for which the budget of one caller can hold credit.
const CALLER_BURST_RETRIES: u32 = 3;
/// Minimum time between the last retry and one without enough credit.
pub const FREE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

impl RetryBudget {
    /// Creates a budget without credit, which can hold credit for at most
    /// `burst_retries` retries.
    pub fn new(burst_retries: u32) -> Self {
        Self {
            attempt_credit: 0,
            max_attempt_credit: burst_retries.max(1) * ATTEMPTS_PER_RETRY,
            last_retry: None,
        }
    }

    /// Creates a caller's budget with credit for one retry, so that the first
    /// request of the caller can be retried too.
    ///
    /// The budget of the database group still limits the retries of all callers
    /// together.
    pub fn for_caller() -> Self {
        Self { attempt_credit: ATTEMPTS_PER_RETRY, ..Self::new(CALLER_BURST_RETRIES) }
    }

    /// Records the first attempt of a request, which earns credit.
    pub fn record_attempt(&mut self) {
        self.add_credit(1);
    }

    /// Returns whether there is credit for a retry, or one without enough credit is due.
    pub fn has_retry(&self, now: Instant) -> bool {
        self.attempt_credit >= ATTEMPTS_PER_RETRY || self.is_free_retry_due(now)
    }

    fn is_free_retry_due(&self, now: Instant) -> bool {
        self.last_retry.is_none_or(|last| now >= last + FREE_RETRY_INTERVAL)
    }

    fn take_retry(&mut self, now: Instant) {
        self.attempt_credit = self.attempt_credit.saturating_sub(ATTEMPTS_PER_RETRY);
        self.last_retry = Some(now);
    }

    fn add_credit(&mut self, attempts: u32) {
        self.attempt_credit = (self.attempt_credit + attempts).min(self.max_attempt_credit);
    }
}

/// Takes one retry from the budgets of the caller and the database group.
///
/// Returns `false` and changes neither if one of them allows no retry.
pub fn spend(caller: &mut RetryBudget, group: &mut RetryBudget, now: Instant) -> bool {
    if !caller.has_retry(now) || !group.has_retry(now) {
        return false;
    }
    caller.take_retry(now);
    group.take_retry(now);
    true
}

/// Adds the credit of one retry to both budgets after a retry succeeded, also if
/// that retry had taken less.
pub fn refund(caller: &mut RetryBudget, group: &mut RetryBudget) {
    caller.add_credit(ATTEMPTS_PER_RETRY);
    group.add_credit(ATTEMPTS_PER_RETRY);
}
