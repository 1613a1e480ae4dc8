//! Handles the messages of servers on pooled connections.
//!
//! Each connection records what its outstanding answers are for ([`Expected`]).
//! Answers to a session's command are passed on to its entry instance; the
//! others (acceptance of the connection, the role of a primary before it is used,
//! setup, rollback) are handled here.

use masticreel_base::position::TermPosition;
use slog::{info, warn};

use crate::connections::Expected;
use crate::engine::{Context, Loss, is_server_failure};
use crate::protocol::UpstreamMessage;
use crate::records::SuspicionKind;
use crate::relays::{PooledId, RelayAction, Relays, ready_idle};
use crate::statement::{Failure, FailureKind, Role, ServerStatus, SessionState};

impl Relays {
    /// Handles a message of a server.
    ///
    /// `status` is the server's status if the message ends an answer that
    /// contains one.
    pub fn pooled_message(
        &mut self,
        context: Context<'_>,
        id: PooledId,
        message: UpstreamMessage,
        status: Option<ServerStatus>,
    ) {
        let Some(pooled) = self.pooled.get_mut(&id) else {
            return;
        };
        let front = pooled.expected.front().copied();
        match message {
            UpstreamMessage::Ready { state, position } => {
                self.answer_ended(context, id, state, position, status);
            }
            UpstreamMessage::Error(failure) if front == Some(Expected::Start) => {
                info!(self.log, "server refused the session"; "server" => %pooled.server,
                    "outcome" => %failure.kind, "reason" => %failure.text);
                self.remove_connection(context, id, Loss::Abandoned);
            }
            message if front == Some(Expected::Work) => {
                if let UpstreamMessage::Error(failure) = &message
                    && failure.kind == FailureKind::UnknownStatement
                {
                    pooled.prepared.clear();
                }
                if let UpstreamMessage::Error(failure) = &message {
                    pooled.failure = Some(failure.clone());
                }
                if let Some(session) = pooled.session {
                    self.answer(session, message);
                }
            }
            UpstreamMessage::Error(failure) => pooled.failure = Some(failure),
            UpstreamMessage::Row(_) | UpstreamMessage::Complete(_) => {}
        }
    }

    /// Handles the end of an answer, and continues with the next command of the
    /// connection's session.
    fn answer_ended(
        &mut self,
        context: Context<'_>,
        id: PooledId,
        state: SessionState,
        position: Option<TermPosition>,
        status: Option<ServerStatus>,
    ) {
        let Some(pooled) = self.pooled.get_mut(&id) else {
            return;
        };
        let Some(expected) = pooled.expected.pop_front() else {
            self.remove_connection(context, id, Loss::Garbage);
            return;
        };
        let was_overdue = std::mem::take(&mut pooled.is_answer_overdue);
        let failure = pooled.failure.take();
        let session = pooled.session;
        let pool = self.pools.entry(pooled.server.clone()).or_default();
        pool.answered_at = context.now;
        pool.answered_sent_at = pool.answered_sent_at.max(pooled.sent_at);
        match expected {
            Expected::Start => {
                pooled.is_open = true;
                pool.opening -= 1;
                pool.failed_connects = 0;
                self.release(context, id);
            }
            Expected::RoleBeforeUse => self.role_received(context, id, status),
            Expected::Setup | Expected::Begin => {
                let has_begun = expected == Expected::Begin && failure.is_none();
                pooled.in_transaction |= has_begun || state != SessionState::Idle;
                match failure {
                    None => self.send_command(context, id),
                    Some(failure) => self.setup_failed(context, id, expected, failure),
                }
            }
            Expected::Work => {
                pool.running -= usize::from(!was_overdue);
                if pool.dropped_work.record_answer() {
                    let group = pooled.group.clone();
                    let action = RelayAction::ClearSuspicion { group, has_run_work: true };
                    self.actions.push(action);
                }
                let took = context.now.since(pooled.sent_at);
                pool.latency.observe(took);
                match failure {
                    Some(failure) if is_server_failure(failure.kind, false) => {
                        pool.load.record_failure(context.now);
                    }
                    _ => pool.load.record_success(took, context.now),
                }
                pooled.in_transaction = state != SessionState::Idle;
                let has_organisation = pooled.organisation.is_some();
                if let Some(session) = session {
                    if has_organisation {
                        self.report_load(context, session);
                    }
                    self.answer(session, UpstreamMessage::Ready { state, position });
                }
                self.release(context, id);
                if let Some(session) = session {
                    self.run_backlog(context, session);
                }
            }
            // No role check after a read is sent on a pooled connection.
            Expected::RoleAfterRead | Expected::Rollback => {
                if state == SessionState::Idle {
                    pooled.in_transaction = false;
                    self.release(context, id);
                } else {
                    info!(self.log, "server has not ended the transaction, closing its connection";
                        "server" => %pooled.server, "connection" => %id);
                    self.remove_connection(context, id, Loss::Abandoned);
                }
            }
        }
    }

    /// Handles the answer to the request for a primary's role before its use: a
    /// group's primary that is a replica is reported as suspect and its connection
    /// is closed. An answer without a status, as of a busy server, neither raises nor
    /// clears a suspicion.
    fn role_received(&mut self, context: Context<'_>, id: PooledId, status: Option<ServerStatus>) {
        let Some(pooled) = self.pooled.get(&id) else {
            return;
        };
        let (group, server) = (pooled.group.clone(), pooled.server.clone());
        let is_primary = context.view.group(&group).is_some_and(|record| record.primary == server);
        match status {
            Some(status) if status.role == Role::Replica && is_primary => {
                warn!(self.log, "primary answers as a replica"; "group" => %group,
                    "server" => %server, "term" => %status.term);
                let kind = SuspicionKind::Deposed;
                self.actions.push(RelayAction::Suspect { group, primary: server, kind });
                self.remove_connection(context, id, Loss::Abandoned);
            }
            status => {
                if is_primary && status.is_some() {
                    let action = RelayAction::ClearSuspicion { group, has_run_work: false };
                    self.actions.push(action);
                }
                self.release(context, id);
            }
        }
    }

    /// Answers a session's command with the failure of a setup command. The
    /// session's command has not been sent.
    ///
    /// A variable or a prepared statement that failed may be in force all the same, so the
    /// connection is closed then.
    fn setup_failed(
        &mut self,
        context: Context<'_>,
        id: PooledId,
        expected: Expected,
        failure: Failure,
    ) {
        let Some(pooled) = self.pooled.get_mut(&id) else {
            return;
        };
        pooled.command = None;
        let session = pooled.session.take();
        // Commands that were sent after the failed one may still succeed.
        let is_state_known = expected == Expected::Begin && pooled.expected.is_empty();
        info!(self.log, "server failed to set up a relayed session"; "server" => %pooled.server,
            "outcome" => %failure.kind, "reason" => %failure.text);
        if let Some(session) = session {
            if let Some(known) = self.sessions.get_mut(&session) {
                known.connection = None;
            }
            self.answer(session, UpstreamMessage::Error(failure));
            self.answer(session, ready_idle());
        }
        if is_state_known {
            self.release(context, id);
        } else {
            self.remove_connection(context, id, Loss::Abandoned);
        }
        if let Some(session) = session {
            self.run_backlog(context, session);
        }
    }
}
