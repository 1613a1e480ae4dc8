//! What failed attempts of a request teach, and what is known of their effect.
//!
//! See `docs/design/06-verdicts.md`.

use std::time::Instant;

use masticreel_base::failure::{Failure, FailureKind, Verdict};
use masticreel_postgres::request::RequestPlan;
use masticreel_postgres::statement::StatementKind;
use masticreel_session::retry::{FailedAttempt, RetryDecision, decide};
use masticreel_wire::message::{TransactionState, UpstreamAnswer};

use crate::entry::demands::RequestAttributes;
use crate::entry::request_limits::Treatment;
use crate::owner::job::Outcome;

/// SQLSTATE of a write that a server refused because it is not the primary.
const SQLSTATE_READ_ONLY: &str = "25006";

/// A request under way, with what its failed attempts have taught.
pub(super) struct Attempts<'request> {
    pub(super) plan: &'request RequestPlan,
    pub(super) treatment: Treatment,
    pub(super) attributes: RequestAttributes,
    pub(super) deadline: Instant,
    pub(super) failed: u32,
    /// A replica could not serve the request, so the primary must.
    pub(super) primary_only: bool,
    /// The request writes, or a server said so.
    pub(super) is_write: bool,
}

impl Attempts<'_> {
    /// Decides whether a failure allows another attempt.
    pub(super) fn decide(&self, failure: &Failure) -> RetryDecision {
        let failed = FailedAttempt {
            earlier_attempts: self.failed,
            idempotent: self.attributes.is_idempotent(),
            deadline: self.deadline,
        };
        decide(&failed, failure, rand::random(), Instant::now())
    }

    /// Notes what a failure says about where to go next.
    pub(super) fn record_failure(&mut self, failure: &Failure) {
        self.failed += 1;
        match failure.kind {
            FailureKind::BehindFloor => self.primary_only = true,
            FailureKind::NotPrimary if !self.is_write => self.is_write = true,
            _ => {}
        }
    }
}

/// Says what is known of a statement that failed with its transaction.
///
/// Whatever ran before is rolled back, so only a request that commits may have
/// an effect.
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

/// Returns whether the failed attempt reached a server, so that trying again
/// adds load.
pub(super) fn loads_server(failure: &Failure) -> bool {
    failure.kind == FailureKind::NotPrimary
}
