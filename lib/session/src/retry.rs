//! Decides whether and when a failed request is retried.

use std::time::{Duration, Instant};

use masticreel_base::failure::{Failure, FailureKind, Verdict};

/// Maximum delay before the first retry; it doubles with each further one.
const FIRST_DELAY: Duration = Duration::from_millis(5);
/// Bound of the doubled delay, before jitter shortens it.
const LONGEST_DELAY: Duration = Duration::from_millis(80);

/// What to do about a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after a delay.
    RetryAfter(Duration),
    /// Report the failure to the caller.
    GiveUp,
}

/// A request whose attempt failed.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// How many attempts failed before this one.
    pub earlier_attempts: u32,
    /// Whether the request may run more than once without harm.
    pub idempotent: bool,
    /// When the request's timeout ends.
    pub deadline: Instant,
}

/// Decides what to do about a failure.
///
/// A request that is not idempotent is retried only after the verdict "not run".
/// `jitter`, from 0 to 1, varies the delay so that many callers don't retry at
/// the same moment.
pub fn decide(
    attempt: &FailedAttempt,
    failure: &Failure,
    jitter: f64,
    now: Instant,
) -> RetryDecision {
    let may_run_again = match failure.verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => attempt.idempotent,
        Verdict::Ran => false,
    };
    if !may_run_again || !is_transient(failure.kind) {
        return RetryDecision::GiveUp;
    }
    let delay = delay(attempt.earlier_attempts, jitter);
    if now + delay >= attempt.deadline {
        return RetryDecision::GiveUp;
    }
    RetryDecision::RetryAfter(delay)
}

/// Returns whether a failure of this kind is worth a retry.
///
/// After `TransactionLost` it isn't, since the transaction's earlier statements are
/// lost as well.
fn is_transient(kind: FailureKind) -> bool {
    match kind {
        FailureKind::Unavailable
        | FailureKind::Lost
        | FailureKind::Unconfirmed
        | FailureKind::NotPrimary
        | FailureKind::BehindFloor
        | FailureKind::NotOwner
        | FailureKind::ShuttingDown => true,
        FailureKind::UnknownDatabase
        | FailureKind::Overloaded
        | FailureKind::Cancelled
        | FailureKind::TransactionLost
        | FailureKind::Unsupported
        | FailureKind::Protocol => false,
    }
}

fn delay(earlier_attempts: u32, jitter: f64) -> Duration {
    let full = FIRST_DELAY.saturating_mul(1 << earlier_attempts.min(8)).min(LONGEST_DELAY);
    full.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0)
}
