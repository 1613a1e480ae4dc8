//! Metrics of answered requests, and log lines of failed ones; successful ones
//! are logged in `outcomes`.

use masticreel_base::ids::GroupId;
use slog::info;

use super::{Context, Engine};
use crate::caller::{CallerId, Pending};
use crate::statement::{Outcome, RequestTag, SessionState};

impl Engine {
    /// Updates the metrics for an answer to a caller, and logs it if it is a
    /// failure.
    ///
    /// Without `pending`, the instance answered the statement by itself, without
    /// submitting it to a server: only such failures are logged as refused. A
    /// submitted request that [`Engine::refuse`] ends is logged as failed.
    pub(super) fn report(
        &self,
        context: Context<'_>,
        id: CallerId,
        tag: &RequestTag,
        pending: Option<&Pending>,
        outcome: &Outcome,
        state: SessionState,
    ) {
        let result = match outcome {
            Ok(_) => "ok".to_owned(),
            Err(failure) => failure.kind.to_string(),
        };
        let Some(pending) = pending else {
            self.metrics.answered_locally(&result);
            if let Err(failure) = outcome {
                info!(self.log, "request refused"; "request" => %tag, "caller" => %id,
                    "outcome" => result, "reason" => %failure.text, "state" => %state);
            }
            return;
        };
        let took = context.now.since(pending.received_at);
        self.metrics.answered(pending.route.urgency, &result, took);
        if let Err(failure) = outcome {
            info!(self.log, "request failed"; "request" => %tag, "caller" => %id,
                "outcome" => result, "reason" => %failure.text, "state" => %state,
                "organisation" => pending.organisation.as_deref(),
                "route" => %pending.route.name, "group" => %pending.route.group,
                "attempts" => pending.attempts, "took_ms" => took.as_millis(),
                "waiting" => self.waiting_count(&pending.route.group),
                "config" => context.view.document().map_or(0, |document| document.version),
                "confirmed_ms_ago" => confirmed_ms_ago(context),
                "record" => describe_record(context, &pending.route.group));
        }
    }
}

/// Returns the time since the view of the store was last confirmed, in ms, or
/// -1 if it never was.
pub(super) fn confirmed_ms_ago(context: Context<'_>) -> i64 {
    context.view.confirmed_at().map_or(-1, |confirmed_at| {
        i64::try_from(context.now.since(confirmed_at).as_millis()).unwrap_or(i64::MAX)
    })
}

/// Returns the phase, primary, term and epoch of a group's record for the log.
fn describe_record(context: Context<'_>, group: &GroupId) -> String {
    context.view.group(group).map_or_else(
        || "none".to_owned(),
        |record| {
            format!(
                "{} {} term {} epoch {}",
                record.phase, record.primary, record.term, record.epoch
            )
        },
    )
}
