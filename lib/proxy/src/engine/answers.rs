//! Processes the messages of servers.
//!
//! Servers answer commands in order, so each complete answer belongs to the
//! first [`Expected`] entry of its connection. Answers also update what is
//! known of the server: its position, its role and its load.

use std::time::Duration;

use masticreel_base::ids::ServerId;
use masticreel_base::position::TermPosition;
use slog::{info, warn};

use super::{Action, Context, Engine};
use crate::balancing::LoadReport;
use crate::caller::{CallerId, Transaction};
use crate::connections::{Connection, ConnectionId, Expected, PrimaryKnowledge, SERVER_BACKOFF};
use crate::engine::outcomes::WorkResult;
use crate::engine::releases::Loss;
use crate::moment::Moment;
use crate::primary_lease;
use crate::protocol::UpstreamMessage;
use crate::records::SuspicionKind;
use crate::statement::{
    Access, Command, Failure, FailureKind, Outcome, Role, ServerStatus, SessionState,
};

/// Backoff before another attempt to connect to a server that refused a session
/// because it had too many connections.
const TOO_MANY_CONNECTIONS_BACKOFF: Duration = Duration::from_millis(80);

impl Engine {
    /// Processes a message of a server.
    ///
    /// `status` is the server's role, term and position if the message
    /// completes the answer to [`Command::Status`].
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

    /// Handles a server's refusal of a new session: closes the connection and
    /// starts a backoff.
    fn start_refused(&mut self, context: Context<'_>, id: ConnectionId, failure: &Failure) {
        let Some(connection) = self.connections.remove(id) else {
            return;
        };
        self.actions.push(Action::Disconnect(id));
        let backoff = match failure.kind {
            FailureKind::TooManyConnections => TOO_MANY_CONNECTIONS_BACKOFF,
            _ => SERVER_BACKOFF,
        };
        let health = self.connections.health(&connection.server);
        health.connect_after = context.now + backoff;
        health.answered_at = context.now;
        info!(self.log, "server refused the session"; "server" => %connection.server,
            "outcome" => %failure.kind, "reason" => %failure.text,
            "connections" => health.connections);
    }

    /// Handles the end of an answer, by what it was expected for.
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
        connection.state = state;
        let sent_at = connection.sent_at;
        let is_relayed = connection.via.is_some();
        let was_overdue = std::mem::take(&mut connection.is_answer_overdue);
        let is_detached = connection.caller.is_none();
        let server = connection.server.clone();
        let group = connection.group.clone();
        let was_known = matches!(expected, Expected::Setup | Expected::Begin | Expected::Work)
            && was_primary_known(context, connection);
        self.record_answer(context, &server, sent_at, position);
        // A position counts as a sample of the primary's only if the server was
        // certainly the primary when the command was sent: either the group's
        // record named it then, or the answer itself proves it.
        let proves_primary = self.proves_primary(expected, id, partial.outcome.as_ref(), status);
        let is_confirmed_primary = was_known || proves_primary;
        if self.usable_primary(context, &group).as_ref() == Some(&server)
            && is_confirmed_primary
            && let Some(position) = position
        {
            self.group_state(&group).samples.record(sent_at, position);
        }
        let outcome = partial.outcome.unwrap_or(Ok(None));
        match expected {
            Expected::Start => self.session_started(context, id),
            Expected::RoleBeforeUse => self.role_received(context, id, status),
            Expected::Setup | Expected::Begin => match outcome {
                Ok(_) if is_detached => self.release_detached(context, id),
                Ok(_) => self.continue_setup(context, id),
                Err(failure) => self.setup_failed(context, id, expected, failure),
            },
            Expected::Work => {
                let jitter = self.jitter();
                let health = self.connections.health(&server);
                health.running -= usize::from(!was_overdue);
                health.dropped_work.record_answer();
                match &outcome {
                    Err(failure) if failure.kind == FailureKind::Busy => {
                        health.latency.observe_refusal(context.now, jitter);
                    }
                    _ => health.latency.observe(context.now.since(sent_at)),
                }
                match &outcome {
                    Err(failure) if is_server_failure(failure.kind, is_relayed) => {
                        health.load.record_failure(context.now);
                    }
                    _ => health.load.record_success(context.now.since(sent_at), context.now),
                }
                if proves_primary && self.suspected.contains(&group) {
                    self.clear_suspicion_if_recorded_primary(context, &group, &server);
                }
                let result = WorkResult { rows: partial.rows, outcome, state, position };
                self.work_ended(context, id, result);
            }
            Expected::RoleAfterRead => self.role_checked(context, id, status),
            Expected::Rollback => self.release(context, id),
        }
    }

    /// Returns whether an answer proves that the server was the primary: it
    /// reports that role, or it is the success of a write.
    fn proves_primary(
        &self,
        expected: Expected,
        id: ConnectionId,
        outcome: Option<&Outcome>,
        status: Option<ServerStatus>,
    ) -> bool {
        match expected {
            Expected::RoleBeforeUse | Expected::RoleAfterRead => {
                status.is_some_and(|status| status.role == Role::Primary)
            }
            Expected::Work => {
                let caller = self.connections.get(id).and_then(|connection| connection.caller);
                let pending = caller.and_then(|caller| self.callers.get(&caller)?.pending.as_ref());
                matches!(outcome, Some(Ok(_)))
                    && pending.is_some_and(|pending| pending.work.access() == Access::Write)
            }
            Expected::Start | Expected::Setup | Expected::Begin | Expected::Rollback => false,
        }
    }

    /// Returns whether the server's role must be checked before an answer is
    /// delivered, because the answer may come from a primary that was replaced.
    ///
    /// This applies to reads that were sent without a minimum position because the
    /// server was taken for the primary, outside of read-write transactions: a server
    /// that has stepped down refuses writes and read-write transactions by itself, but
    /// answers other reads as a replica does.
    pub(super) fn requires_role_check(
        &self,
        context: Context<'_>,
        connection: &Connection,
        caller: CallerId,
    ) -> bool {
        let Some(caller) = self.callers.get(&caller) else {
            return false;
        };
        let is_read_write_transaction = match &caller.transaction {
            Transaction::Open(open) => !open.read_only,
            _ => false,
        };
        let is_read =
            caller.pending.as_ref().is_some_and(|pending| pending.work.access() == Access::Read);
        // A slow answer may be older than a replacement that has completed
        // since: the process that relays it may have been paused in between.
        // Even after a step-down, a replacement waits this margin longer than the
        // view of the store stays fresh, so an answer that took less time arrives
        // before its end.
        let is_fresh = was_primary_known(context, connection)
            && context.now.since(connection.sent_at) < primary_lease::PRIMARY_LEASE_MARGIN;
        is_read && connection.floor.is_none() && !is_read_write_transaction && !is_fresh
    }

    /// Handles the answer to the role check of a read: delivers the withheld
    /// answer if the server is the primary, else retries the read.
    fn role_checked(
        &mut self,
        context: Context<'_>,
        id: ConnectionId,
        status: Option<ServerStatus>,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let server = connection.server.clone();
        let group = connection.group.clone();
        let unverified = connection.unverified.take();
        let Some(caller) = connection.caller else {
            self.release_detached(context, id);
            return;
        };
        match (status.map(|status| status.role), unverified) {
            (Some(Role::Primary), Some(answer)) => {
                self.work_succeeded(context, id, caller, answer);
            }
            (role, _) => {
                info!(self.log, "answer to read discarded: server not confirmed as the primary";
                    "server" => %server, "role" => role.map(|role| role.to_string()));
                if role == Some(Role::Replica) {
                    self.suspect_if_recorded_primary(context, &group, &server);
                }
                if let Some(pending) =
                    self.callers.get_mut(&caller).and_then(|caller| caller.pending.as_mut())
                {
                    pending.may_have_run = true;
                }
                let failure =
                    Failure::new(FailureKind::Busy, "the server could not prove that it leads");
                self.fail_attempt(context, id, failure);
            }
        }
    }

    /// Records when a server, or on a relayed connection its owner, answered, and
    /// the server's position if the answer has one.
    fn record_answer(
        &mut self,
        context: Context<'_>,
        server: &ServerId,
        sent_at: Moment,
        position: Option<TermPosition>,
    ) {
        let health = self.connections.health(server);
        health.answered_at = context.now;
        health.answered_sent_at = health.answered_sent_at.max(sent_at);
        if let Some(position) = position {
            health.applied = Some((position, sent_at));
        }
    }

    /// Records the load that the owner of a server's connections reports.
    pub fn load_reported(&mut self, context: Context<'_>, id: ConnectionId, report: LoadReport) {
        if let Some(connection) = self.connections.get(id) {
            let server = connection.server.clone();
            self.connections.health(&server).load.record_report(report, context.now);
        }
    }

    /// Handles a server's acceptance of a connection: releases the connection, or
    /// first requests the server's role if it is the primary.
    ///
    /// On a direct connection that was opened to the primary, the role was
    /// requested by [`Engine::open`] already; its answer releases the
    /// connection. Relayed connections are released at once, as their owner
    /// requests the role.
    fn session_started(&mut self, context: Context<'_>, id: ConnectionId) {
        self.connections.record_accepted(id, context.now);
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let is_primary = context
            .view
            .group(&connection.group)
            .is_some_and(|record| record.primary == connection.server);
        // Requested already, or requested by the owner.
        let is_role_covered = !connection.expected.is_empty() || connection.via.is_some();
        if is_primary && !is_role_covered {
            // The server became the primary while the connection was being
            // opened.
            connection.expected.push_back(Expected::RoleBeforeUse);
            connection.sent_at = context.now;
            self.actions.push(Action::Send(id, Command::Status));
        } else if !is_role_covered || connection.via.is_some() {
            self.release(context, id);
        }
    }

    /// Handles the answer to the request for a server's role, which is sent
    /// before the server is used as the primary.
    ///
    /// `status` is `None` if the server did not report its role.
    fn role_received(
        &mut self,
        context: Context<'_>,
        id: ConnectionId,
        status: Option<ServerStatus>,
    ) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        let group = connection.group.clone();
        let server = connection.server.clone();
        let record = context.view.group(&group).cloned();
        let is_primary = record.as_ref().is_some_and(|record| record.primary == server);
        match status {
            Some(status) if status.role == Role::Replica && is_primary => {
                warn!(self.log, "primary answers as a replica"; "group" => %group,
                    "server" => %server, "term" => %status.term);
                self.suspect(group, server, SuspicionKind::Deposed);
                self.connection_lost(context, id, Loss::Abandoned);
            }
            // A busy server may refuse to report its role. The connection is
            // used all the same, unless the server reports that it is a
            // replica.
            status => {
                if is_primary && status.is_some() {
                    self.actions.push(Action::ClearSuspicion { group, has_run_work: false });
                }
                self.release(context, id);
            }
        }
    }

    /// Handles the failure of a command that sets a connection up for a caller: a
    /// variable, a prepared statement or the beginning of a transaction.
    ///
    /// A variable or a statement that failed may be in force all the same, so the
    /// connection is closed then.
    fn setup_failed(
        &mut self,
        context: Context<'_>,
        id: ConnectionId,
        expected: Expected,
        failure: Failure,
    ) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        info!(self.log, "server failed to set up the session"; "server" => %connection.server,
            "outcome" => %failure.kind, "reason" => %failure.text);
        if expected == Expected::Setup {
            self.close_after_failed_setup(context, id, failure);
        } else {
            self.fail_attempt(context, id, failure);
        }
    }
}

/// Returns whether a failure counts as slow in the choice of a server.
///
/// A refusal by the owner of a server's connections, which reports its load with it, does
/// not: all instances are refused at the same time, and would all turn to the same server.
pub(crate) fn is_server_failure(kind: FailureKind, is_relayed: bool) -> bool {
    match kind {
        FailureKind::Busy => !is_relayed,
        FailureKind::ReadOnly
        | FailureKind::Misrouted
        | FailureKind::TooManyConnections
        | FailureKind::Failed
        | FailureKind::Timeout
        | FailureKind::InDoubt
        | FailureKind::Unknown => true,
        FailureKind::Lagging | FailureKind::UnknownStatement | FailureKind::Aborted => false,
        FailureKind::UnknownDatabase
        | FailureKind::Unauthenticated
        | FailureKind::TooLarge
        | FailureKind::Malformed => false,
    }
}

/// Returns whether the record under which work was sent on a connection named the primary
/// at that moment.
///
/// A view that is confirmed only later shows that if its record is still the same. A record
/// of another epoch may have been written long before the work was sent.
fn was_primary_known(context: Context<'_>, connection: &Connection) -> bool {
    let PrimaryKnowledge { epoch, is_fresh } = connection.sent_under;
    let is_same_record =
        context.view.group(&connection.group).is_some_and(|record| record.epoch == epoch);
    is_fresh
        || (is_same_record
            && primary_lease::is_view_fresh(context.view, &connection.group, connection.sent_at))
}
