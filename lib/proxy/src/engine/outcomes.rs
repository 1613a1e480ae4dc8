//! What became of callers' work at a server, and what they are told.

use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::{GroupId, ServerId};
use masticreel_base::position::TermPosition;
use slog::info;

use super::{Action, Context, Engine};
use crate::caller::{CallerId, Stage, Transaction};
use crate::connections::{ConnectionId, Expected, SERVER_REST, Unproved};
use crate::log::SERVED;
use crate::records::DoubtKind;
use crate::statement::{Access, Command, Failure, FailureKind, Outcome, SessionState, Work};

/// The pause before a request that a server was too busy for is tried again.
const BUSY_PAUSE: Duration = Duration::from_millis(12);
/// The pause before a request is tried again where the primary is not known.
const PRIMARY_PAUSE: Duration = Duration::from_millis(40);
/// How often a read is tried again after a server failed it.
pub(super) const READ_ATTEMPTS: u32 = 5;

impl Engine {
    /// Ends an attempt whose work was not sent, and tries again.
    pub(super) fn fail_attempt(
        &mut self,
        context: Context<'_>,
        id: ConnectionId,
        failure: Failure,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let owner = connection.owner.take();
        let server = connection.server.clone();
        let is_held = connection.is_held;
        if !connection.expected.is_empty() {
            // What was sent behind the failure may still succeed, so the
            // connection is of no more use.
            self.connections.remove(id);
            self.actions.push(Action::Disconnect(id));
        } else if is_held {
            self.roll_back(context, id);
        } else {
            self.release(context, id);
        }
        if let Some(caller) = owner {
            self.retry_unsent(context, caller, &server, failure);
        }
    }

    /// Tries again a request that has not run, or gives its transaction up.
    pub(super) fn retry_unsent(
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
        let pause = match failure.kind {
            FailureKind::Lagging => {
                pending.primary_only = pending.avoided.is_some();
                Duration::ZERO
            }
            FailureKind::ReadOnly | FailureKind::Misrouted => PRIMARY_PAUSE,
            FailureKind::Busy => BUSY_PAUSE * pending.attempts.clamp(1, 4),
            _ => Duration::ZERO,
        };
        pending.avoided = Some(server.clone());
        pending.last_failure = Some(failure);
        pending.stage = Stage::Pausing { until: context.now + pause };
        if pause.is_zero() {
            self.place(context, id, true);
        }
    }

    /// Rolls a caller's transaction back and tells it so.
    pub(super) fn abort(&mut self, context: Context<'_>, id: CallerId, cause: Failure) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let text = format!("the transaction was rolled back: {}", cause.text);
        let failure = Failure::new(FailureKind::Aborted, text);
        let previous =
            std::mem::replace(&mut caller.transaction, Transaction::Failed { untold: None });
        let is_commit = caller.pending.as_ref().is_some_and(|pending| pending.work == Work::Commit);
        if is_commit {
            caller.transaction = Transaction::None;
        }
        let tag = caller.pending.as_ref().map(|pending| Arc::clone(&pending.tag));
        if let Transaction::Open(open) = previous
            && let Some(connection) = open.connection
        {
            self.orphan(connection);
            self.release_orphan(context, connection);
        }
        match tag {
            Some(tag) => self.answer_failure(context, id, &tag, failure),
            None => {
                if let Some(caller) = self.callers.get_mut(&id) {
                    caller.transaction = Transaction::Failed { untold: Some(failure) };
                }
            }
        }
    }

    pub(super) fn main_ended(&mut self, context: Context<'_>, id: ConnectionId, ended: Ended) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        let server = connection.server.clone();
        let Some(caller_id) = connection.owner else {
            self.release_orphan(context, id);
            return;
        };
        match ended.outcome {
            Ok(signature) if self.needs_proof(context, id, caller_id) => {
                if let Some(connection) = self.connections.get_mut(id) {
                    let Ended { rows, position, .. } = ended;
                    connection.unproved = Some(Unproved { rows, signature, position });
                    connection.expected.push_back(Expected::Proof);
                    connection.sent_at = context.now;
                    self.actions.push(Action::Send(id, Command::Status));
                }
            }
            Ok(signature) => {
                self.main_succeeded(context, id, caller_id, ended.rows, signature, ended.position);
            }
            Err(failure) => {
                self.main_failed(context, id, caller_id, &server, failure, ended.state);
            }
        }
    }

    pub(super) fn main_succeeded(
        &mut self,
        context: Context<'_>,
        id: ConnectionId,
        caller_id: CallerId,
        rows: Vec<Arc<str>>,
        signature: Option<Arc<str>>,
        position: Option<TermPosition>,
    ) {
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
        let route = Arc::clone(&pending.route);
        let keeps = match &mut caller.transaction {
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
        if has_committed && let Some(position) = position {
            caller.own_commit = Some((group.clone(), position));
        }
        if is_commit {
            caller.transaction = Transaction::None;
        }
        if let Some(connection) = self.connections.get(id) {
            let sent = context.now.since(connection.sent_at);
            self.route_paces.entry(Arc::clone(&route.name)).or_default().observe(sent);
            let sent_ms = sent.as_millis();
            info!(self.log, #SERVED, "request served"; "request" => %tag, "route" => %route.name,
                "server" => %connection.server,
                "via" => connection.via.as_ref().map(|owner| owner.to_string()),
                "position" => position.map(|at| at.to_string()),
                "sample_ms_ago" => self.sample_ms_ago(context, &group),
                "attempts" => attempts, "server_ms" => sent_ms, "took_ms" => took_ms);
        }
        if !keeps {
            self.release(context, id);
        }
        self.answer(context, caller_id, &tag, rows, Ok(signature));
    }

    pub(super) fn sample_ms_ago(&self, context: Context<'_>, group: &GroupId) -> i64 {
        let latest = self.groups.get(group).and_then(|state| state.samples.latest_at());
        latest.map_or(-1, |at| i64::try_from(context.now.since(at).as_millis()).unwrap_or(i64::MAX))
    }

    pub(super) fn main_failed(
        &mut self,
        context: Context<'_>,
        id: ConnectionId,
        caller_id: CallerId,
        server: &ServerId,
        failure: Failure,
        state: SessionState,
    ) {
        let floor = self.floor_at(context, caller_id, id);
        let Some(caller) = self.callers.get_mut(&caller_id) else {
            return;
        };
        let Some(pending) = &mut caller.pending else {
            return;
        };
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
            self.connections.health(server).lacked = Some((floor, context.now));
        }
        if failure.kind == FailureKind::ReadOnly {
            let group = pending.route.group.clone();
            self.doubt_if_leading(context, &group, server);
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
            let is_only_busy =
                matches!(failure.kind, FailureKind::Busy | FailureKind::UnknownStatement);
            if is_only_busy && state == SessionState::Transaction {
                pending.stage = Stage::Pausing { until: context.now + BUSY_PAUSE };
                return;
            }
            let is_open_commit = pending.work == Work::Commit && open.has_written;
            if is_open_commit && !has_not_run {
                // The server alone knows what became of the commit.
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
        let may_repeat = pending.is_repeatable()
            && failure.kind == FailureKind::Failed
            && pending.attempts < READ_ATTEMPTS;
        let tag = Arc::clone(&pending.tag);
        if may_repeat {
            self.connections.health(server).rest_until = context.now + SERVER_REST;
            self.fail_attempt(context, id, failure);
        } else {
            self.release(context, id);
            self.answer_failure(context, caller_id, &tag, failure);
        }
    }

    pub(super) fn doubt_if_leading(
        &mut self,
        context: Context<'_>,
        group: &GroupId,
        server: &ServerId,
    ) {
        if context.view.group(group).is_some_and(|record| record.primary == *server) {
            self.doubt(group.clone(), server.clone(), DoubtKind::Deposed);
        }
    }

    pub(super) fn doubt(&mut self, group: GroupId, primary: ServerId, kind: DoubtKind) {
        self.doubted.insert(group.clone());
        self.actions.push(Action::Doubt { group, primary, kind });
    }

    /// Takes a doubt about a primary back once it has answered.
    pub(super) fn trust_if_leading(
        &mut self,
        context: Context<'_>,
        group: &GroupId,
        server: &ServerId,
    ) {
        if context.view.group(group).is_some_and(|record| record.primary == *server) {
            self.doubted.remove(group);
            self.actions.push(Action::Trust { group: group.clone() });
        }
    }
}

/// How a caller's work ended at a server.
pub(super) struct Ended {
    pub(super) rows: Vec<Arc<str>>,
    pub(super) outcome: Outcome,
    pub(super) state: SessionState,
    pub(super) position: Option<TermPosition>,
}
