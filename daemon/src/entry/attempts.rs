//! Decides about retries of a failed request, and which effect it may have had.
//!
//! See `docs/design/06-verdicts.md`.

use std::time::Instant;

use masticreel_base::failure::{Failure, FailureKind, Verdict};
use masticreel_postgres::request::RequestPlan;
use masticreel_postgres::statement::StatementKind;
use masticreel_session::retry::{FailedAttempt, RetryDecision, decide};
use masticreel_wire::message::{TransactionState, UpstreamAnswer};

use crate::entry::request_attributes::RequestAttributes;
use crate::entry::request_limits::RequestProfile;
use crate::owner::job::Outcome;

/// SQLSTATE with which a server that is not the primary refuses a write.
const SQLSTATE_READ_ONLY: &str = "25006";

/// A request in progress, and what its failed attempts mean for the next one.
pub(super) struct Attempts<'request> {
    pub(super) plan: &'request RequestPlan,
    pub(super) profile: RequestProfile,
    pub(super) attributes: RequestAttributes,
    pub(super) deadline: Instant,
    /// Number of backoffs so far. An attempt that failed is followed by several of them
    /// while the retry budgets allow no retry.
    pub(super) backoffs: u32,
    /// Whether only the primary may be used, because a replica was behind.
    pub(super) primary_only: bool,
    /// Whether the request writes, by its statements or because a server refused it as
    /// a write, or is treated as a write because it has a request key, whose result is
    /// stored.
    pub(super) is_write: bool,
}

impl Attempts<'_> {
    /// Decides whether a failure allows another attempt.
    pub(super) fn decide(&self, failure: &Failure) -> RetryDecision {
        let failed = FailedAttempt {
            // The delay doubles with each backoff, also if several follow one attempt.
            earlier_attempts: self.backoffs,
            idempotent: self.attributes.is_idempotent(),
            deadline: self.deadline,
        };
        decide(&failed, failure, rand::random(), Instant::now())
    }

    /// Counts a backoff and applies what the failure before it means for the next
    /// destination.
    pub(super) fn record_backoff(&mut self, failure: &Failure) {
        self.backoffs += 1;
        match failure.kind {
            FailureKind::BehindFloor => self.primary_only = true,
            FailureKind::NotPrimary if !self.is_write => self.is_write = true,
            _ => {}
        }
    }
}

/// Returns the failure to report for a request that failed in an open transaction.
///
/// The transaction is rolled back, so only a request that commits may have had an
/// effect.
pub(super) fn transaction_failure(plan: &RequestPlan, failure: Failure) -> Failure {
    let commits = plan.statements.iter().any(|statement| {
        statement.kind == StatementKind::Commit || prepares_transaction(&statement.text)
    });
    if commits || failure.verdict != Verdict::MayHaveRun {
        return failure;
    }
    Failure::not_run(FailureKind::TransactionLost, failure.message)
}

/// Turns a server's refusal to write into a failure that can be retried.
pub(super) fn refusal_as_failure(plan: &RequestPlan, outcome: Outcome) -> Outcome {
    let answer = outcome?;
    let is_alone = plan.statements.len() == 1 && answer.state == TransactionState::Idle;
    if is_alone && is_read_only_refusal(&answer) {
        let message = "the server is not the primary";
        return Err(Failure::not_run(FailureKind::NotPrimary, message));
    }
    Ok(answer)
}

fn is_read_only_refusal(answer: &UpstreamAnswer) -> bool {
    answer.sqlstate.as_deref() == Some(SQLSTATE_READ_ONLY)
}

/// Returns whether a statement may be `PREPARE TRANSACTION`.
fn prepares_transaction(text: &str) -> bool {
    let text = text.to_ascii_lowercase();
    text.contains("prepare") && text.contains("transaction")
}

/// Returns whether a retry after the failure is taken from the retry budgets: the
/// failed attempt may have reached a server, so that the retry adds load there.
///
/// Only the kind is checked, so a failure of this kind counts even if its owner found
/// it without using the server.
pub(super) fn needs_retry_budget(failure: &Failure) -> bool {
    failure.kind == FailureKind::NotPrimary
}
