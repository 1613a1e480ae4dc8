//! Handles the results of callers' work at servers: delivers an answer, retries
//! the request or aborts its transaction.
//!
//! A request is retried only if it has not run or if it is idempotent. Failures
//! that indicate that a primary was replaced also raise a suspicion of that
//! primary.

use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::{GroupId, ServerId};
use masticreel_base::position::TermPosition;
use slog::info;

use super::{Action, Context, Engine};
use crate::caller::{CallerId, Stage, Transaction};
use crate::connections::{ConnectionId, Expected, SERVER_BACKOFF, WorkAnswer};
use crate::log::SERVED_TAG;
use crate::records::SuspicionKind;
use crate::statement::{Access, Command, Failure, FailureKind, Outcome, SessionState, Work};

/// Backoff before a retry after a server was too busy for the request.
const BUSY_BACKOFF: Duration = Duration::from_millis(12);
/// Backoff before a retry after the server turned out not to be the primary or
/// not the expected server.
const NO_PRIMARY_BACKOFF: Duration = Duration::from_millis(40);
/// The number of attempts after which a request is not retried any more if it
/// failed at its server or lost its connection. Requests that a server refused
/// are retried until their deadline.
pub(super) const MAX_ATTEMPTS: u32 = 5;

impl Engine {
    /// Ends an attempt of which nothing has run or whose work is idempotent,
    /// releases or closes its connection and retries the request.
    pub(super) fn fail_attempt(
        &mut self,
        context: Context<'_>,
        id: ConnectionId,
        failure: Failure,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let caller = connection.caller.take();
        let server = connection.server.clone();
        let in_transaction = connection.in_transaction;
        if !connection.expected.is_empty() {
            // Commands that were sent after the failed one may still succeed,
            // so the state of the connection is unknown.
            self.close(id);
        } else if in_transaction {
            self.send_rollback(context, id);
        } else {
            self.release(context, id);
        }
        if let Some(caller) = caller {
            self.retry_attempt(context, caller, &server, failure);
        }
    }

    /// Closes a connection whose variables or prepared statements are unknown, since the
    /// server has failed to set one, and retries its request.
    pub(super) fn close_after_failed_setup(
        &mut self,
        context: Context<'_>,
        id: ConnectionId,
        failure: Failure,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let caller = connection.caller.take();
        let server = connection.server.clone();
        self.close(id);
        if let Some(caller) = caller {
            self.retry_attempt(context, caller, &server, failure);
        }
    }

    /// Retries a request after a failed attempt, at once or after a backoff,
    /// and if possible at another server.
    ///
    /// Only for requests that have not run or that are idempotent. Aborts the
    /// transaction instead if an earlier statement of it has run.
    pub(super) fn retry_attempt(
        &mut self,
        context: Context<'_>,
        id: CallerId,
        server: &ServerId,
        failure: Failure,
    ) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let Some(pending) = &mut caller.pending else {
            return;
        };
        if let Transaction::Open(open) = &mut caller.transaction {
            if open.has_run {
                self.abort(context, id, failure);
                return;
            }
            open.connection = None;
        }
        let backoff = match failure.kind {
            FailureKind::Lagging => {
                // After the second failed attempt, whatever made the earlier one
                // fail, only the primary is used.
                pending.primary_only = pending.avoided_server.is_some();
                Duration::ZERO
            }
            FailureKind::ReadOnly | FailureKind::Misrouted => NO_PRIMARY_BACKOFF,
            FailureKind::Busy => BUSY_BACKOFF * pending.attempts.clamp(1, 4),
            _ => Duration::ZERO,
        };
        pending.avoided_server = Some(server.clone());
        pending.last_failure = Some(failure);
        pending.stage = Stage::Backoff { until: context.now + backoff };
        if backoff.is_zero() {
            self.place(context, id, true);
        }
    }

    /// Rolls back a caller's transaction and reports the failure: as the answer
    /// to the pending request, or else to the next request of the transaction.
    pub(super) fn abort(&mut self, context: Context<'_>, id: CallerId, cause: Failure) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let text = format!("the transaction was rolled back: {}", cause.text);
        let failure = Failure::new(FailureKind::Aborted, text);
        let previous =
            std::mem::replace(&mut caller.transaction, Transaction::Failed { unreported: None });
        let is_commit = caller.pending.as_ref().is_some_and(|pending| pending.work == Work::Commit);
        // A commit ends the transaction, and its answer reports the failure.
        if is_commit {
            caller.transaction = Transaction::None;
        }
        let tag = caller.pending.as_ref().map(|pending| Arc::clone(&pending.tag));
        if let Transaction::Open(open) = previous
            && let Some(connection) = open.connection
        {
            self.detach_caller(connection);
            self.release_detached(context, connection);
        }
        match tag {
            Some(tag) => self.answer_failure(context, id, &tag, failure),
            None => {
                if let Some(caller) = self.callers.get_mut(&id) {
                    caller.transaction = Transaction::Failed { unreported: Some(failure) };
                }
            }
        }
    }

    /// Handles the complete answer to a caller's work.
    ///
    /// Withholds a successful answer until the server's role has been checked,
    /// if the primary may have been replaced.
    pub(super) fn work_ended(
        &mut self,
        context: Context<'_>,
        id: ConnectionId,
        result: WorkResult,
    ) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        let server = connection.server.clone();
        let Some(caller_id) = connection.caller else {
            self.release_detached(context, id);
            return;
        };
        match result.outcome {
            Ok(signature) if self.requires_role_check(context, connection, caller_id) => {
                if let Some(connection) = self.connections.get_mut(id) {
                    let WorkResult { rows, position, .. } = result;
                    let server_time = context.now.since(connection.sent_at);
                    connection.unverified =
                        Some(WorkAnswer { rows, signature, position, server_time });
                    connection.expected.push_back(Expected::RoleAfterRead);
                    connection.sent_at = context.now;
                    self.actions.push(Action::Send(id, Command::Status));
                }
            }
            Ok(signature) => {
                let server_time = context.now.since(connection.sent_at);
                let WorkResult { rows, position, .. } = result;
                let answer = WorkAnswer { rows, signature, position, server_time };
                self.work_succeeded(context, id, caller_id, answer);
            }
            Err(failure) => {
                self.work_failed(context, id, caller_id, &server, failure, result.state);
            }
        }
    }

    /// Delivers a successful answer to its caller.
    ///
    /// Remembers the position of the session's own commits, and releases the
    /// connection unless a transaction stays open on it.
    pub(super) fn work_succeeded(
        &mut self,
        context: Context<'_>,
        id: ConnectionId,
        caller_id: CallerId,
        answer: WorkAnswer,
    ) {
        let WorkAnswer { rows, signature, position, server_time } = answer;
        let Some(caller) = self.callers.get_mut(&caller_id) else {
            return;
        };
        let Some(pending) = &caller.pending else {
            return;
        };
        let tag = Arc::clone(&pending.tag);
        let group = pending.route.group.clone();
        let is_write = pending.work.access() == Access::Write;
        let is_commit = pending.work == Work::Commit;
        let took_ms = context.now.since(pending.received_at).as_millis();
        let attempts = pending.attempts;
        let expectation = pending.expectation.map(|expectation| expectation.to_string());
        let route = Arc::clone(&pending.route);
        let stays_open = match &mut caller.transaction {
            Transaction::Open(open) if !is_commit => {
                open.has_run = true;
                open.has_written |= is_write;
                true
            }
            _ => false,
        };
        let has_committed = match &caller.transaction {
            Transaction::Open(open) => is_commit && open.has_written,
            _ => is_write,
        };
        if has_committed {
            caller.own_commits.record(group.clone(), position);
        }
        if is_commit {
            caller.transaction = Transaction::None;
        }
        if let Some(connection) = self.connections.get(id) {
            self.route_latencies.entry(Arc::clone(&route.name)).or_default().observe(server_time);
            info!(self.log, #SERVED_TAG, "request served"; "request" => %tag, "route" => %route.name,
                "server" => %connection.server,
                "via" => connection.via.as_ref().map(|owner| owner.to_string()),
                "position" => position.map(|at| at.to_string()),
                "floor" => connection.floor.map(|floor| floor.to_string()),
                "sample_ms_ago" => self.sample_ms_ago(context, &group),
                "chosen" => expectation, "attempts" => attempts, "server_ms" => server_time.as_millis(),
                "took_ms" => took_ms);
        }
        if !stays_open {
            self.release(context, id);
        }
        self.answer(context, caller_id, &tag, rows, Ok(signature));
    }

    /// Returns the age of the latest sample of the primary's position, in ms,
    /// or -1 if there is none.
    pub(super) fn sample_ms_ago(&self, context: Context<'_>, group: &GroupId) -> i64 {
        let latest = self.groups.get(group).and_then(|state| state.samples.latest_at());
        latest.map_or(-1, |at| i64::try_from(context.now.since(at).as_millis()).unwrap_or(i64::MAX))
    }

    /// Handles a failure that a server returned for a caller's work.
    ///
    /// Depending on whether the work may have run, on its idempotence and on
    /// its transaction, this retries the request, aborts the transaction or
    /// passes the failure on to the caller.
    pub(super) fn work_failed(
        &mut self,
        context: Context<'_>,
        id: ConnectionId,
        caller_id: CallerId,
        server: &ServerId,
        failure: Failure,
        state: SessionState,
    ) {
        let floor = self.floor_on_connection(context, caller_id, id);
        let Some(caller) = self.callers.get_mut(&caller_id) else {
            return;
        };
        let Some(pending) = &mut caller.pending else {
            return;
        };
        // `Misrouted` and `TooManyConnections` come only at the start of a
        // connection, before any work is sent.
        let has_not_run = matches!(
            failure.kind,
            FailureKind::Busy
                | FailureKind::Lagging
                | FailureKind::ReadOnly
                | FailureKind::UnknownStatement
        );
        if failure.kind == FailureKind::Lagging
            && let Ok(Some(floor)) = floor
        {
            self.connections.health(server).missed_floor = Some((floor, context.now));
        }
        if failure.kind == FailureKind::ReadOnly {
            let group = pending.route.group.clone();
            self.suspect_if_recorded_primary(context, &group, server);
        }
        if failure.kind == FailureKind::UnknownStatement
            && let Some(connection) = self.connections.get_mut(id)
        {
            connection.prepared.clear();
        }
        let Some(caller) = self.callers.get_mut(&caller_id) else {
            return;
        };
        let Some(pending) = &mut caller.pending else {
            return;
        };
        if let Transaction::Open(open) = &caller.transaction {
            let is_retryable =
                matches!(failure.kind, FailureKind::Busy | FailureKind::UnknownStatement);
            if is_retryable && state == SessionState::Transaction {
                pending.stage = Stage::Backoff { until: context.now + BUSY_BACKOFF };
                return;
            }
            let is_writing_commit = pending.work == Work::Commit && open.has_written;
            if is_writing_commit && !has_not_run {
                // Only the server knows whether the transaction was committed,
                // so its failure is passed on unchanged.
                let tag = Arc::clone(&pending.tag);
                caller.transaction = Transaction::None;
                self.release(context, id);
                self.answer_failure(context, caller_id, &tag, failure);
                return;
            }
            if !open.has_run && has_not_run {
                self.fail_attempt(context, id, failure);
                return;
            }
            self.abort(context, caller_id, failure);
            return;
        }
        if has_not_run {
            self.fail_attempt(context, id, failure);
            return;
        }
        // The work has run and failed, or may have run.
        let may_retry = pending.is_idempotent()
            && failure.kind == FailureKind::Failed
            && pending.attempts < MAX_ATTEMPTS;
        let tag = Arc::clone(&pending.tag);
        if may_retry {
            pending.may_have_run = true;
            self.connections.health(server).backoff_until = context.now + SERVER_BACKOFF;
            self.fail_attempt(context, id, failure);
        } else {
            self.release(context, id);
            self.answer_failure(context, caller_id, &tag, failure);
        }
    }

    /// Raises a suspicion of a server that has answered as a replica, if the
    /// group's record names it as the primary.
    pub(super) fn suspect_if_recorded_primary(
        &mut self,
        context: Context<'_>,
        group: &GroupId,
        server: &ServerId,
    ) {
        if context.view.group(group).is_some_and(|record| record.primary == *server) {
            self.suspect(group.clone(), server.clone(), SuspicionKind::Deposed);
        }
    }

    /// Reports that a primary is suspected to have failed.
    pub(super) fn suspect(&mut self, group: GroupId, primary: ServerId, kind: SuspicionKind) {
        self.suspected.insert(group.clone());
        self.actions.push(Action::Suspect { group, primary, kind });
    }

    /// Clears the suspicion of a server that has answered, if it is the primary
    /// of its group.
    pub(super) fn clear_suspicion_if_recorded_primary(
        &mut self,
        context: Context<'_>,
        group: &GroupId,
        server: &ServerId,
    ) {
        if context.view.group(group).is_some_and(|record| record.primary == *server) {
            self.suspected.remove(group);
            let group = group.clone();
            self.actions.push(Action::ClearSuspicion { group, has_run_work: true });
        }
    }
}

/// The complete answer of a server to a caller's work.
pub(super) struct WorkResult {
    pub(super) rows: Vec<Arc<str>>,
    pub(super) outcome: Outcome,
    pub(super) state: SessionState,
    pub(super) position: Option<TermPosition>,
}
