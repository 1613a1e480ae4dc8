//! The latency of a server's statements, and how many of them an instance runs
//! there concurrently. The engine also estimates the latency of each route,
//! without a limit.
//!
//! The limit is meant for overload: several instances that don't coordinate send
//! a server more statements than it has slots (those that it executes at the same
//! time). Statements queued at the server
//! run in order of arrival, whereas those queued at the instance can yield to
//! more urgent ones. So an instance lowers its concurrency limit as soon as the
//! latency shows that its statements are queued at the server, and backs off
//! when the server refuses one.

use std::time::Duration;

use crate::moment::Moment;

/// Weight of a new observation in the weighted mean.
const MEAN_WEIGHT: f64 = 0.1;
/// Factor by which the baseline rises with each observation, so that it follows
/// a server that has become slower for good.
const BASELINE_GROWTH: f64 = 1.005;
/// Observations until the mean is reliable enough to limit concurrency.
const MIN_OBSERVATIONS: u32 = 20;
/// Ratio of mean to baseline above which statements are taken to be queued at
/// the server.
const QUEUEING_RATIO: f64 = 2.5;
/// How long the limit is one statement after a refusal.
const REFUSAL_LIMIT_TIME: Duration = Duration::from_millis(300);
/// Backoff after the first refusal, in which nothing is sent.
const MIN_BACKOFF_MS: f64 = 8.0;
/// Upper bound of the backoff after consecutive refusals.
const MAX_BACKOFF_MS: f64 = 250.0;
/// Factor by which each refusal lengthens the backoff.
const BACKOFF_GROWTH: f64 = 2.0;
/// Factor by which each answer shortens the next backoff.
const BACKOFF_DECAY: f64 = 0.8;

/// Ratio to the mean above which an answer is overdue, if the server has answered later
/// statements meanwhile, and the least such time; also the ratio to its expected duration
/// above which a read is retried. A statement that is only long then lets the server have
/// one more than it has slots.
const OVERDUE_RATIO: u32 = 3;
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(25);
/// Ratio to the mean above which a read is retried because its answer is overdue, and
/// the bounds of that time. Below the lower one many reads that are only long would run
/// twice.
const RETRY_RATIO: u32 = 8;
const MIN_RETRY_TIME: Duration = Duration::from_millis(80);
const MAX_RETRY_TIME: Duration = Duration::from_millis(500);
/// How many early retries each answer allows, so that a server which is only slow gets
/// little additional work.
const RETRIES_PER_ANSWER: f64 = 0.3;
/// The most early retries that can be saved up.
const MAX_SAVED_RETRIES: f64 = 6.0;

/// Estimates the latency of statements at a server or of a route, and derives a
/// concurrency limit for a server from it.
#[derive(Debug, Default)]
pub struct LatencyEstimate {
    observations: u32,
    saved_retries: f64,
    mean_ms: f64,
    baseline_ms: f64,
    single_statement_until: Moment,
    backoff_ms: f64,
    backoff_until: Moment,
}

impl LatencyEstimate {
    /// Records how long the server took to answer a statement.
    pub fn observe(&mut self, took: Duration) {
        self.backoff_ms *= BACKOFF_DECAY;
        self.saved_retries = (self.saved_retries + RETRIES_PER_ANSWER).min(MAX_SAVED_RETRIES);
        let took_ms = took.as_secs_f64() * 1000.0;
        self.observations = self.observations.saturating_add(1);
        // The next line leaves the first value unchanged.
        if self.observations == 1 {
            self.mean_ms = took_ms;
        }
        self.mean_ms += (took_ms - self.mean_ms) * MEAN_WEIGHT;
        self.baseline_ms = if self.observations <= MIN_OBSERVATIONS {
            self.mean_ms
        } else {
            (self.baseline_ms * BASELINE_GROWTH).min(self.mean_ms)
        };
    }

    /// Records that the server refused a statement for lack of capacity.
    ///
    /// Many instances can overload a small server even if each sends only one
    /// statement at a time, so each of them backs off, longer with every refusal.
    /// The jitter is a factor around 1 that keeps the instances from resuming at
    /// the same moment.
    pub fn observe_refusal(&mut self, now: Moment, jitter: f64) {
        self.single_statement_until = now + REFUSAL_LIMIT_TIME;
        self.backoff_ms = (self.backoff_ms * BACKOFF_GROWTH).clamp(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        self.backoff_until = now + Duration::from_secs_f64(self.backoff_ms * jitter / 1000.0);
    }

    /// Returns how many statements the instance may run at the server
    /// concurrently: none during a backoff, one while statements queue at the
    /// server or shortly after a refusal, otherwise as many as it has slots.
    pub fn concurrency_limit(&self, slots: usize, now: Moment) -> usize {
        if now < self.backoff_until {
            return 0;
        }
        let is_slow = self.observations > MIN_OBSERVATIONS
            && self.mean_ms > self.baseline_ms * QUEUEING_RATIO;
        if is_slow || now < self.single_statement_until { 1 } else { slots }
    }

    /// Returns the time after which an answer is overdue, if the server has answered
    /// statements that were sent later.
    ///
    /// Servers lose answers of statements that they have run; the connection then stays
    /// silent until the caller's timeout.
    pub fn overdue_time(&self) -> Duration {
        (self.mean() * OVERDUE_RATIO).clamp(MIN_OVERDUE_TIME, MAX_RETRY_TIME)
    }

    /// Returns the time after which a read whose answer is overdue is retried. `expected` is
    /// the read's estimated duration on a server without load; one that usually takes long
    /// is given longer.
    pub fn retry_time(&self, expected: Duration) -> Duration {
        let usual = (self.mean() * RETRY_RATIO).clamp(MIN_RETRY_TIME, MAX_RETRY_TIME);
        usual.max(expected * OVERDUE_RATIO)
    }

    /// Returns whether a read whose answer is overdue may be retried now, and counts it. As
    /// many may as a part of the statements that were answered.
    pub fn take_retry(&mut self) -> bool {
        let may_retry = self.saved_retries >= 1.0;
        if may_retry {
            self.saved_retries -= 1.0;
        }
        may_retry
    }

    /// Returns the baseline latency: that of a statement which does not queue at
    /// the server.
    pub fn baseline(&self) -> Duration {
        Duration::from_secs_f64(self.baseline_ms / 1000.0)
    }

    /// Returns the mean of the latency, in which recent statements weigh more.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_ms / 1000.0)
    }
}
