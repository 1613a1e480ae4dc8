//! What servers answer, and what callers are told of it.

use std::time::Duration;

use masticreel_base::ids::ServerId;
use masticreel_base::position::TermPosition;
use slog::{info, warn};

use super::{Action, Context, Engine};
use crate::caller::{CallerId, Need, Transaction};
use crate::connections::{ConnectionId, Expected, SERVER_REST, Unproved};
use crate::engine::outcomes::Ended;
use crate::engine::releases::Loss;
use crate::moment::Moment;
use crate::protocol::UpstreamMessage;
use crate::records::DoubtKind;
use crate::statement::{
    Access, Command, Failure, FailureKind, Outcome, Role, ServerStatus, SessionState,
};
use crate::trust;

/// The pause after a server had too many connections.
const FULL_PAUSE: Duration = Duration::from_millis(80);

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
        let proves_lead = self.proves_lead(expected, id, partial.outcome.as_ref(), status);
        let is_known_to_lead = trust::is_fresh(context.view, sent_at) || proves_lead;
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
                if proves_lead && self.doubted.contains(&group) {
                    self.trust_if_leading(context, &group, &server);
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
    pub(super) fn needs_proof(
        &self,
        context: Context<'_>,
        id: ConnectionId,
        caller: CallerId,
    ) -> bool {
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
        // An answer that took long may have waited for a replacement to be over,
        // at an owner that stood still.
        let is_fresh = sent_at.is_some_and(|sent_at| {
            trust::is_fresh(context.view, sent_at)
                && context.now.since(sent_at) < trust::ENTITLEMENT_MARGIN
        });
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
        let is_asked = !connection.expected.is_empty() || connection.via.is_some();
        if leads && !is_asked {
            // It became the primary while the connection was opened.
            connection.expected.push_back(Expected::Role);
            connection.sent_at = context.now;
            self.actions.push(Action::Send(id, Command::Status));
        } else if !is_asked || connection.via.is_some() {
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
}
