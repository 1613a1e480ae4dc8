//! Decides whether a failed request may be tried again.

use std::time::{Duration, Instant};

use masticreel_base::failure::{Failure, FailureKind, Verdict};

const FIRST_DELAY: Duration = Duration::from_millis(5);
const LONGEST_DELAY: Duration = Duration::from_millis(80);

/// What is to be done about a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after a delay.
    RetryAfter(Duration),
    /// Report the failure to the caller.
    GiveUp,
}

/// A request whose attempt failed.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// How many attempts failed before this one.
    pub earlier_attempts: u32,
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
    /// When the caller's time is over.
    pub deadline: Instant,
}

/// Decides what to do about a failure.
///
/// Work that is not idempotent is repeated only after the verdict "not run".
/// `jitter` between 0 and 1 spreads the retries of many callers.
pub fn decide(
    attempt: &FailedAttempt,
    failure: &Failure,
    jitter: f64,
    now: Instant,
) -> RetryDecision {
    let harmless = match failure.verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => attempt.idempotent,
        Verdict::Ran => false,
    };
    if !harmless || !may_pass(failure.kind) {
        return RetryDecision::GiveUp;
    }
    let delay = delay(attempt.earlier_attempts, jitter);
    if now + delay >= attempt.deadline {
        return RetryDecision::GiveUp;
    }
    RetryDecision::RetryAfter(delay)
}

/// Returns whether the cause of a failure may be gone at the next attempt.
fn may_pass(kind: FailureKind) -> bool {
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
