//! What servers answer on pooled connections.

use masticreel_base::position::TermPosition;
use slog::{info, warn};

use crate::connections::Expected;
use crate::engine::{Context, Loss};
use crate::protocol::UpstreamMessage;
use crate::records::DoubtKind;
use crate::relays::{PooledId, RelayAction, Relays, idle};
use crate::statement::{Failure, Role, ServerStatus, SessionState};

impl Relays {
    /// Takes a message of a server.
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
                self.answered(context, id, state, position, status);
            }
            UpstreamMessage::Error(failure) if front == Some(Expected::Start) => {
                info!(self.log, "server refused the session"; "server" => %pooled.server,
                    "outcome" => %failure.kind, "reason" => %failure.text);
                self.lost(context, id, Loss::Closed);
            }
            message if front == Some(Expected::Main) => {
                if let Some(session) = pooled.session {
                    self.answer(session, message);
                }
            }
            UpstreamMessage::Error(failure) => pooled.failure = Some(failure),
            UpstreamMessage::Row(_) | UpstreamMessage::Complete(_) => {}
        }
    }

    fn answered(
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
            self.lost(context, id, Loss::Garbage);
            return;
        };
        let failure = pooled.failure.take();
        let session = pooled.session;
        let pool = self.pools.entry(pooled.server.clone()).or_default();
        pool.answered_at = context.now;
        match expected {
            Expected::Start => {
                pooled.is_open = true;
                pool.opening -= 1;
                pool.failed_opens = 0;
                self.release(context, id);
            }
            Expected::Role => self.role_known(context, id, status),
            Expected::Setup | Expected::Begin => {
                pooled.in_transaction |= expected == Expected::Begin && failure.is_none();
                match failure {
                    None => self.send_main(context, id),
                    Some(failure) => self.setup_failed(context, id, failure),
                }
            }
            Expected::Main => {
                pool.running -= 1;
                pool.pace.observe(context.now.since(pooled.sent_at));
                pooled.in_transaction = state != SessionState::Idle;
                if let Some(session) = session {
                    self.answer(session, UpstreamMessage::Ready { state, position });
                }
                self.release(context, id);
                if let Some(session) = session {
                    self.go_on(context, session);
                }
            }
            Expected::Proof | Expected::Rollback => {
                pooled.in_transaction = state != SessionState::Idle;
                self.release(context, id);
            }
        }
    }

    fn role_known(&mut self, context: Context<'_>, id: PooledId, status: Option<ServerStatus>) {
        let Some(pooled) = self.pooled.get(&id) else {
            return;
        };
        let (group, server) = (pooled.group.clone(), pooled.server.clone());
        let leads = context.view.group(&group).is_some_and(|record| record.primary == server);
        match status {
            Some(status) if status.role == Role::Replica && leads => {
                warn!(self.log, "primary answers as a replica"; "group" => %group,
                    "server" => %server, "term" => %status.term);
                let kind = DoubtKind::Deposed;
                self.actions.push(RelayAction::Doubt { group, primary: server, kind });
                self.lost(context, id, Loss::Closed);
            }
            _ => {
                if leads {
                    self.actions.push(RelayAction::Trust { group });
                }
                self.release(context, id);
            }
        }
    }

    /// Tells a session that its command was not run, since its connection could
    /// not be prepared for it.
    fn setup_failed(&mut self, context: Context<'_>, id: PooledId, failure: Failure) {
        let Some(pooled) = self.pooled.get_mut(&id) else {
            return;
        };
        pooled.main = None;
        let session = pooled.session.take();
        let is_clean = pooled.expected.is_empty();
        info!(self.log, "server refused to prepare the session"; "server" => %pooled.server,
            "outcome" => %failure.kind, "reason" => %failure.text);
        if let Some(session) = session {
            if let Some(known) = self.sessions.get_mut(&session) {
                known.connection = None;
            }
            self.answer(session, UpstreamMessage::Error(failure));
            self.answer(session, idle());
        }
        if is_clean {
            self.release(context, id);
        } else {
            // What was sent behind the failure may still succeed, so the
            // connection is of no more use.
            self.lost(context, id, Loss::Closed);
        }
        if let Some(session) = session {
            self.go_on(context, session);
        }
    }
}
