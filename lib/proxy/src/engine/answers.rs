//! What servers answer, and what callers are told of it.

use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::{GroupId, LogPosition, ServerId, Term};
use masticreel_base::position::TermPosition;
use slog::{info, warn};

use super::{Action, Context, Engine};
use crate::caller::{CallerId, Need, Stage, Transaction};
use crate::connections::{ConnectionId, Expected, SERVER_REST, Unproved};
use crate::log::SERVED;
use crate::moment::Moment;
use crate::protocol::UpstreamMessage;
use crate::records::DoubtKind;
use crate::statement::{
    Access, Command, Failure, FailureKind, Outcome, Role, ServerStatus, SessionState, Work,
};
use crate::trust;

/// The pause before a request that a server was too busy for is tried again.
const BUSY_PAUSE: Duration = Duration::from_millis(12);
/// The pause before a request is tried again where the primary is not known.
const PRIMARY_PAUSE: Duration = Duration::from_millis(40);
/// How often a read is tried again after a server failed it.
const READ_ATTEMPTS: u32 = 5;
/// The pause after a server refused a connection, times the refusals in a row.
const REFUSED_PAUSE: Duration = Duration::from_millis(60);
/// The longest pause between two attempts to connect.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// The pause after a server had too many connections.
const FULL_PAUSE: Duration = Duration::from_millis(80);

/// Why a connection could not be opened or ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The machine answered that nothing listens there.
    Refused,
    /// Nothing answered in time.
    Silent,
    /// The connection ended or broke.
    Closed,
    /// What came can't be understood.
    Garbage,
}

impl Engine {
    /// Takes a message of a server.
    pub fn upstream_message(
        &mut self,
        context: Context<'_>,
        id: ConnectionId,
        message: UpstreamMessage,
        status: Option<ServerStatus>,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        match message {
            UpstreamMessage::Row(row) => connection.partial.rows.push(row),
            UpstreamMessage::Complete(signature) => {
                connection.partial.outcome = Some(Ok(signature))
            }
            UpstreamMessage::Error(failure) => {
                if connection.expected.front() == Some(&Expected::Start) {
                    self.start_refused(context, id, &failure);
                } else {
                    connection.partial.outcome = Some(Err(failure));
                }
            }
            UpstreamMessage::Ready { state, position } => {
                self.answer_ended(context, id, state, position, status);
            }
        }
    }

    fn start_refused(&mut self, context: Context<'_>, id: ConnectionId, failure: &Failure) {
        let Some(connection) = self.connections.remove(id) else {
            return;
        };
        self.actions.push(Action::Disconnect(id));
        let pause = match failure.kind {
            FailureKind::TooManyConnections => FULL_PAUSE,
            _ => SERVER_REST,
        };
        let health = self.connections.health(&connection.server);
        health.open_after = context.now + pause;
        health.answered_at = context.now;
        info!(self.log, "server refused the session"; "server" => %connection.server,
            "outcome" => %failure.kind, "reason" => %failure.text,
            "connections" => health.connections);
    }

    fn answer_ended(
        &mut self,
        context: Context<'_>,
        id: ConnectionId,
        state: SessionState,
        position: Option<TermPosition>,
        status: Option<ServerStatus>,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let partial = std::mem::take(&mut connection.partial);
        let Some(expected) = connection.expected.pop_front() else {
            self.connection_lost(context, id, Loss::Garbage);
            return;
        };
        let sent_at = connection.sent_at;
        let is_orphan = connection.owner.is_none();
        let server = connection.server.clone();
        let group = connection.group.clone();
        self.note_position(context, &server, sent_at, position);
        let is_known_to_lead = trust::is_fresh(context.view, sent_at)
            || self.proves_lead(expected, id, partial.outcome.as_ref(), status);
        if self.usable_primary(context, &group).as_ref() == Some(&server)
            && is_known_to_lead
            && let Some(position) = position
        {
            self.group(&group).samples.note(sent_at, position);
        }
        let outcome = partial.outcome.unwrap_or(Ok(None));
        match expected {
            Expected::Start => self.started(context, id),
            Expected::Role => self.role_known(context, id, status),
            Expected::Setup | Expected::Begin => match outcome {
                Ok(_) if is_orphan => self.release_orphan(context, id),
                Ok(_) => self.continue_setup(context, id),
                Err(failure) => self.setup_failed(context, id, failure),
            },
            Expected::Main => {
                let spread = self.spread();
                let health = self.connections.health(&server);
                health.running -= 1;
                match &outcome {
                    Err(failure) if failure.kind == FailureKind::Busy => {
                        health.pace.refused(context.now, spread);
                    }
                    _ => health.pace.observe(context.now.since(sent_at)),
                }
                let ended = Ended { rows: partial.rows, outcome, state, position };
                self.main_ended(context, id, ended);
            }
            Expected::Proof => self.proved(context, id, status),
            Expected::Rollback => self.release(context, id),
        }
    }

    /// Returns whether only a primary could have given an answer.
    fn proves_lead(
        &self,
        expected: Expected,
        id: ConnectionId,
        outcome: Option<&Outcome>,
        status: Option<ServerStatus>,
    ) -> bool {
        match expected {
            Expected::Role | Expected::Proof => {
                status.is_some_and(|status| status.role == Role::Primary)
            }
            Expected::Main => {
                let owner = self.connections.get(id).and_then(|connection| connection.owner);
                let pending = owner.and_then(|owner| self.callers.get(&owner)?.pending.as_ref());
                matches!(outcome, Some(Ok(_)))
                    && pending.is_some_and(|pending| pending.work.access() == Access::Write)
            }
            Expected::Start | Expected::Setup | Expected::Begin | Expected::Rollback => false,
        }
    }

    /// Returns whether an answer may come from a primary that was replaced.
    ///
    /// A server that has stepped down refuses writes and plain transactions by
    /// itself, but answers other reads as a replica does.
    fn needs_proof(&self, context: Context<'_>, id: ConnectionId, caller: CallerId) -> bool {
        let Some(caller) = self.callers.get(&caller) else {
            return false;
        };
        let is_guarded = match &caller.transaction {
            Transaction::Open(open) => !open.read_only,
            _ => false,
        };
        let is_latest_read = caller.pending.as_ref().is_some_and(|pending| {
            pending.need == Need::Primary && pending.work.access() == Access::Read
        });
        let sent_at = self.connections.get(id).map(|connection| connection.sent_at);
        let is_fresh = sent_at.is_some_and(|sent_at| trust::is_fresh(context.view, sent_at));
        is_latest_read && !is_guarded && !is_fresh
    }

    fn proved(&mut self, context: Context<'_>, id: ConnectionId, status: Option<ServerStatus>) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let server = connection.server.clone();
        let group = connection.group.clone();
        let unproved = connection.unproved.take();
        let Some(caller) = connection.owner else {
            self.release_orphan(context, id);
            return;
        };
        match (status.map(|status| status.role), unproved) {
            (Some(Role::Primary), Some(answer)) => {
                let Unproved { rows, signature, position } = answer;
                self.main_succeeded(context, id, caller, rows, signature, position);
            }
            (role, _) => {
                info!(self.log, "read not proved to be the latest"; "server" => %server,
                    "role" => role.map(|role| role.to_string()));
                if role == Some(Role::Replica) {
                    self.doubt_if_leading(context, &group, &server);
                }
                let failure =
                    Failure::new(FailureKind::Busy, "the server could not prove that it leads");
                self.fail_attempt(context, id, failure);
            }
        }
    }

    fn note_position(
        &mut self,
        context: Context<'_>,
        server: &ServerId,
        sent_at: Moment,
        position: Option<TermPosition>,
    ) {
        let health = self.connections.health(server);
        health.answered_at = context.now;
        if let Some(position) = position {
            health.applied = Some((position, sent_at));
        }
    }

    fn started(&mut self, context: Context<'_>, id: ConnectionId) {
        self.connections.accepted(id);
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let leads = context
            .view
            .group(&connection.group)
            .is_some_and(|record| record.primary == connection.server);
        let is_asked = !connection.expected.is_empty();
        if leads && !is_asked {
            // It became the primary while the connection was opened.
            connection.expected.push_back(Expected::Role);
            connection.sent_at = context.now;
            self.actions.push(Action::Send(id, Command::Status));
        } else if !is_asked {
            self.release(context, id);
        }
    }

    fn role_known(&mut self, context: Context<'_>, id: ConnectionId, status: Option<ServerStatus>) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        let group = connection.group.clone();
        let server = connection.server.clone();
        let record = context.view.group(&group).cloned();
        let leads = record.as_ref().is_some_and(|record| record.primary == server);
        match status {
            Some(status) if status.role == Role::Replica && leads => {
                warn!(self.log, "primary answers as a replica"; "group" => %group,
                    "server" => %server, "term" => %status.term);
                self.doubt(group, server, DoubtKind::Deposed);
                self.connection_lost(context, id, Loss::Closed);
            }
            // A busy server doesn't answer the question; the connection is
            // good all the same unless it reveals a newer term.
            _ => {
                if leads {
                    self.actions.push(Action::Trust { group });
                }
                self.release(context, id);
            }
        }
    }

    fn setup_failed(&mut self, context: Context<'_>, id: ConnectionId, failure: Failure) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        info!(self.log, "server refused to prepare the session"; "server" => %connection.server,
            "outcome" => %failure.kind, "reason" => %failure.text);
        self.fail_attempt(context, id, failure);
    }

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
    fn retry_unsent(
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

    fn main_ended(&mut self, context: Context<'_>, id: ConnectionId, ended: Ended) {
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

    fn main_succeeded(
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
                "server" => %connection.server, "position" => position.map(|at| at.to_string()),
                "sample_ms_ago" => self.sample_ms_ago(context, &group),
                "attempts" => attempts, "server_ms" => sent_ms, "took_ms" => took_ms);
        }
        if !keeps {
            self.release(context, id);
        }
        self.answer(context, caller_id, &tag, rows, Ok(signature));
    }

    fn sample_ms_ago(&self, context: Context<'_>, group: &GroupId) -> i64 {
        let latest = self.groups.get(group).and_then(|state| state.samples.latest_at());
        latest.map_or(-1, |at| i64::try_from(context.now.since(at).as_millis()).unwrap_or(i64::MAX))
    }

    fn main_failed(
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

    fn doubt_if_leading(&mut self, context: Context<'_>, group: &GroupId, server: &ServerId) {
        if context.view.group(group).is_some_and(|record| record.primary == *server) {
            self.doubt(group.clone(), server.clone(), DoubtKind::Deposed);
        }
    }

    fn doubt(&mut self, group: GroupId, primary: ServerId, kind: DoubtKind) {
        self.actions.push(Action::Doubt { group, primary, kind });
    }

    /// Notes that a connection could not be opened or has ended.
    pub fn connection_lost(&mut self, context: Context<'_>, id: ConnectionId, loss: Loss) {
        let Some(connection) = self.connections.remove(id) else {
            return;
        };
        self.actions.push(Action::Disconnect(id));
        let server = connection.server.clone();
        let group = connection.group.clone();
        if !connection.is_open || connection.owner.is_some() {
            info!(self.log, "connection lost"; "server" => %server, "group" => %group,
                "loss" => ?loss, "was_open" => connection.is_open,
                "caller" => connection.owner.map(|owner| owner.to_string()));
        }
        if !connection.is_open {
            let health = self.connections.health(&server);
            health.failed_opens += 1;
            health.open_after =
                context.now + (REFUSED_PAUSE * health.failed_opens).min(LONGEST_PAUSE);
            let is_leading =
                context.view.group(&group).is_some_and(|record| record.primary == server);
            let kind = match loss {
                Loss::Refused => Some(DoubtKind::Refused),
                Loss::Silent => Some(DoubtKind::Silent),
                Loss::Closed | Loss::Garbage => None,
            };
            if let Some(kind) = kind.filter(|_| is_leading) {
                self.doubt(group.clone(), server.clone(), kind);
            }
        }
        let has_sent = connection.expected.contains(&Expected::Main);
        let Some(caller_id) = connection.owner else {
            return;
        };
        // An answer that had come whole but for its end is delivered.
        if has_sent
            && connection.expected.len() == 1
            && let Some(Ok(signature)) = connection.partial.outcome
        {
            self.deliver_cut_answer(context, caller_id, connection.partial.rows, signature);
            return;
        }
        self.lost_under_request(context, caller_id, &server, has_sent);
    }

    fn deliver_cut_answer(
        &mut self,
        context: Context<'_>,
        caller_id: CallerId,
        rows: Vec<Arc<str>>,
        signature: Option<Arc<str>>,
    ) {
        let Some(caller) = self.callers.get_mut(&caller_id) else {
            return;
        };
        let Some(pending) = &caller.pending else {
            return;
        };
        let tag = Arc::clone(&pending.tag);
        caller.transaction = match &caller.transaction {
            Transaction::Open(_) if pending.work != Work::Commit => Transaction::Failed {
                untold: Some(Failure::new(
                    FailureKind::Aborted,
                    "the transaction was rolled back: the connection to its server broke",
                )),
            },
            _ => Transaction::None,
        };
        if pending.work.access() == Access::Write {
            // The position of the commit is not known: the session's reads go
            // to the primary until its next commit.
            let group = pending.route.group.clone();
            caller.own_commit = Some((group, TermPosition::new(Term(u64::MAX), LogPosition(0))));
        }
        self.answer(context, caller_id, &tag, rows, Ok(signature));
    }

    fn lost_under_request(
        &mut self,
        context: Context<'_>,
        caller_id: CallerId,
        server: &ServerId,
        has_sent: bool,
    ) {
        let Some(caller) = self.callers.get_mut(&caller_id) else {
            return;
        };
        let lost = Failure::new(FailureKind::InDoubt, "the connection to the server broke");
        let Some(pending) = &mut caller.pending else {
            // The transaction rested on the connection.
            self.abort(context, caller_id, lost);
            return;
        };
        let may_have_run = has_sent && pending.work.access() == Access::Write;
        if let Transaction::Open(open) = &caller.transaction {
            if may_have_run && pending.work == Work::Commit && open.has_written {
                let tag = Arc::clone(&pending.tag);
                caller.transaction = Transaction::None;
                self.answer_failure(context, caller_id, &tag, lost);
            } else if open.has_run || has_sent {
                self.abort(context, caller_id, lost);
            } else {
                self.retry_unsent(context, caller_id, server, lost);
            }
            return;
        }
        if may_have_run || pending.attempts >= READ_ATTEMPTS {
            let tag = Arc::clone(&pending.tag);
            self.answer_failure(context, caller_id, &tag, lost);
        } else {
            self.retry_unsent(context, caller_id, server, lost);
        }
    }

    /// Lets nobody own a connection.
    pub(super) fn orphan(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.owner = None;
        }
    }

    /// Frees a connection that lost its owner, once the server has answered.
    pub(super) fn release_orphan(&mut self, context: Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        if !connection.expected.is_empty() {
            return;
        }
        if connection.is_held {
            self.roll_back(context, id);
        } else {
            self.release(context, id);
        }
    }

    /// Rolls the transaction on a connection back, then frees it.
    pub(super) fn roll_back(&mut self, context: Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.owner = None;
        connection.is_held = false;
        connection.sent_at = context.now;
        connection.expected.push_back(Expected::Rollback);
        self.actions.push(Action::Send(id, Command::Rollback));
    }

    /// Makes a connection idle and gives it to the next request.
    pub(super) fn release(&mut self, context: Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.owner = None;
        connection.is_held = false;
        connection.idle_since = context.now;
        let server = connection.server.clone();
        let group = connection.group.clone();
        let born_ms = connection.server_born_ms;
        if !self.is_wanted(context, &group, &server, born_ms) {
            self.connections.remove(id);
            self.actions.push(Action::Disconnect(id));
            return;
        }
        self.pump(context, &group, false);
    }

    /// Returns whether connections to a server are still of use.
    pub(super) fn is_wanted(
        &self,
        context: Context<'_>,
        group: &GroupId,
        server: &ServerId,
        born_ms: u64,
    ) -> bool {
        let retiring = self.groups.get(group).and_then(|state| state.retiring.as_ref());
        if retiring.is_some_and(|retiring| retiring.primary == *server) {
            return false;
        }
        let leads = context.view.group(group).is_some_and(|record| record.primary == *server);
        context.view.server(server).map_or(leads, |known| {
            known.group == *group && known.born_ms == born_ms && (leads || !known.is_leaving)
        })
    }

    /// Gives up what is under way on a connection and closes it.
    pub(super) fn break_off(&mut self, context: Context<'_>, id: ConnectionId) {
        self.connection_lost(context, id, Loss::Closed);
    }
}

/// How a caller's work ended at a server.
struct Ended {
    rows: Vec<Arc<str>>,
    outcome: Outcome,
    state: SessionState,
    position: Option<TermPosition>,
}
