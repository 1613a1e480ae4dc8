//! Ends the work of callers before the process stops: rolls back transactions, refuses what
//! would not be answered in time, and lets nothing be unanswered at the end.
//!
//! [`Shutdown`] decides when.

use super::{Context, Engine};
use crate::caller::{CallerId, Stage, Transaction};
use crate::directory::Route;
use crate::latency::LatencyEstimate;
use crate::moment::Moment;
use crate::shutdown::Shutdown;
use crate::statement::{Failure, FailureKind};

/// The reason with which work is refused that another instance could serve.
pub(super) const STOPPING: &str = "not run: the instance is stopping";

impl Engine {
    /// Sets when the process stops. No request is waited for beyond that: those that a server
    /// has not answered by then fail, and their callers learn that the outcome is unknown.
    pub fn set_shutdown(&mut self, shutdown: Shutdown) {
        self.shutdown = Some(shutdown);
        self.relays.set_shutdown(shutdown);
        for id in &self.pending_callers {
            if let Some(pending) =
                self.callers.get_mut(id).and_then(|caller| caller.pending.as_mut())
            {
                pending.deadline = pending.deadline.min(shutdown.answers_end_at());
            }
        }
    }

    /// Returns whether all requests have to be answered by now, as the process stops.
    pub(super) fn are_answers_over(&self, now: Moment) -> bool {
        self.shutdown.is_some_and(|shutdown| now >= shutdown.answers_end_at())
    }

    /// Returns the deadline of a request that is received now.
    pub(super) fn deadline(&self, route: &Route, now: Moment) -> Moment {
        let deadline = now + route.statement_timeout;
        self.shutdown.map_or(deadline, |shutdown| deadline.min(shutdown.answers_end_at()))
    }

    /// Returns whether the process stops before a statement of a route would be answered.
    pub(super) fn stops_before_answer(&self, route: &Route, now: Moment) -> bool {
        let Some(shutdown) = self.shutdown else {
            return false;
        };
        let latency = self.route_latencies.get(&route.name);
        let usual_duration = latency.map(LatencyEstimate::mean).unwrap_or_default();
        !shutdown.may_start(usual_duration, route.statement_timeout, now)
    }

    /// Checks whether a transaction may begin.
    ///
    /// # Errors
    ///
    /// Fails if it would be rolled back at once.
    pub(super) fn check_may_begin(&self, now: Moment) -> Result<(), Failure> {
        if self.shutdown.is_some_and(|shutdown| shutdown.ends_transactions(now)) {
            return Err(Failure::new(FailureKind::Busy, STOPPING));
        }
        Ok(())
    }

    /// Rolls back open transactions before the process stops, except those with
    /// a statement running at a server. A statement that is queued or in a backoff
    /// does not keep its transaction.
    pub fn abort_idle_transactions(&mut self, context: Context<'_>) {
        let open: Vec<CallerId> = self
            .callers
            .iter()
            .filter(|(_, caller)| matches!(caller.transaction, Transaction::Open(_)))
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            let failure = Failure::new(FailureKind::Aborted, "the instance is stopping");
            if let Some(Stage::Assigned(connection)) =
                self.callers.get(&id).and_then(|c| c.pending.as_ref()).map(|p| p.stage)
                && self.connections.get(connection).is_some_and(|c| !c.expected.is_empty())
            {
                continue;
            }
            self.dequeue(id);
            self.abort(context, id, failure);
        }
    }
}
