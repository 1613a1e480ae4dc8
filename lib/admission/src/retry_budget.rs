//! A bound on the load that retries add.

/// Allows one retry for every ten first attempts.
///
/// One budget belongs to a caller and one to a database group; a retry needs
/// both, see [`spend`]. Over any period retries are at most a tenth of the
/// first attempts, plus the burst that was saved up before.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    attempts_saved: u32,
    attempts_limit: u32,
}

/// First attempts that pay for one retry, so that retries add 10 % at most.
const ATTEMPTS_PER_RETRY: u32 = 10;

/// Retries that one caller can save up.
const CALLER_BURST_RETRIES: u32 = 3;

impl RetryBudget {
    /// Creates an empty budget that can save up this many retries.
    pub fn new(burst_retries: u32) -> Self {
        Self { attempts_saved: 0, attempts_limit: burst_retries.max(1) * ATTEMPTS_PER_RETRY }
    }

    /// Creates a budget for a caller, whose first request may be retried too.
    ///
    /// The group's budget still bounds the retries of all callers together.
    pub fn for_caller() -> Self {
        Self { attempts_saved: ATTEMPTS_PER_RETRY, ..Self::new(CALLER_BURST_RETRIES) }
    }

    /// Notes a request's first attempt.
    pub fn attempted(&mut self) {
        self.attempts_saved = (self.attempts_saved + 1).min(self.attempts_limit);
    }

    /// Returns whether a retry is paid for.
    pub fn has_retry(&self) -> bool {
        self.attempts_saved >= ATTEMPTS_PER_RETRY
    }

    fn take_retry(&mut self) {
        self.attempts_saved -= ATTEMPTS_PER_RETRY;
    }
}

/// Takes one retry out of the caller's and the group's budget.
///
/// Returns `false` and takes nothing if either has none.
pub fn spend(caller: &mut RetryBudget, group: &mut RetryBudget) -> bool {
    if !caller.has_retry() || !group.has_retry() {
        return false;
    }
    caller.take_retry();
    group.take_retry();
    true
}
