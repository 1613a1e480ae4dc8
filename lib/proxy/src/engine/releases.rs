//! Releases server connections after a request: returns them to the pool, rolls
//! back their transactions, or closes them and handles the work that was lost.
//!
//! - [`Engine::release`] returns a connection without outstanding answers to the
//!   pool, or closes it if it may not be kept.
//! - [`Engine::detach_caller`] separates a connection from a caller that no
//!   longer waits for it; [`Engine::release_detached`] releases the connection
//!   once the server has answered everything, after a rollback if a transaction
//!   is open on it ([`Engine::send_rollback`]).
//! - [`Engine::abandon`] closes a connection whose answers are no longer waited
//!   for. It is handled like a loss, by [`Engine::connection_lost`].

use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::{GroupId, ServerId};
use slog::info;

use super::{Action, Context, Engine};
use crate::caller::{CallerId, Transaction};
use crate::connections::{ConnectionId, Expected, SERVER_BACKOFF};
use crate::engine::outcomes::MAX_ATTEMPTS;
use crate::engine::report::confirmed_ms_ago;
use crate::records::SuspicionKind;
use crate::statement::{Access, Command, Failure, FailureKind, SessionState, Work};

/// Backoff after a failed attempt to connect to a server, multiplied by the
/// number of consecutive failures.
const CONNECT_BACKOFF: Duration = Duration::from_millis(60);
/// The maximum backoff between two attempts to connect.
const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(500);

impl Engine {
    /// Handles a connection that could not be opened, has ended, or is closed by
    /// the engine itself.
    ///
    /// An attempt to connect that failed or was abandoned starts a backoff, and
    /// may raise a suspicion of the primary. The request on the connection is
    /// answered if its answer has arrived and needs no role check, else it is retried or
    /// fails.
    pub fn connection_lost(&mut self, context: Context<'_>, id: ConnectionId, loss: Loss) {
        let Some(connection) = self.connections.remove(id) else {
            return;
        };
        self.actions.push(Action::Disconnect(id));
        let server = connection.server.clone();
        let group = connection.group.clone();
        if !connection.is_open || connection.caller.is_some() {
            info!(self.log, "connection lost"; "server" => %server, "group" => %group,
                "loss" => ?loss, "was_open" => connection.is_open,
                "caller" => connection.caller.map(|caller| caller.to_string()));
        }
        if let Some(owner) = connection.via.as_ref().filter(|_| !connection.is_open) {
            self.owner_failed(context, owner, loss);
            self.start_path_backoff(context, &server);
        } else if !connection.is_open {
            let health = self.connections.health(&server);
            health.failed_connects += 1;
            health.load.record_failure(context.now);
            health.connect_after =
                context.now + (CONNECT_BACKOFF * health.failed_connects).min(MAX_CONNECT_BACKOFF);
            let is_primary =
                context.view.group(&group).is_some_and(|record| record.primary == server);
            let kind = match loss {
                Loss::Refused => Some(SuspicionKind::Refused),
                Loss::Silent => Some(SuspicionKind::Silent),
                Loss::Closed | Loss::Abandoned | Loss::Garbage => None,
            };
            if let Some(kind) = kind.filter(|_| is_primary) {
                self.suspect(group.clone(), server.clone(), kind);
            }
        }
        let is_work_unanswered = connection.expected.contains(&Expected::Work);
        if is_work_unanswered && loss == Loss::Closed {
            self.connections.health(&server).load.record_failure(context.now);
            self.work_lost(context, &group, &server, connection.via.is_none());
        }
        let Some(caller_id) = connection.caller else {
            return;
        };
        let is_unverified = self.requires_role_check(context, &connection, caller_id);
        let has_result = is_work_unanswered && matches!(connection.partial.outcome, Some(Ok(_)));
        if has_result && connection.expected.len() == 1 {
            info!(self.log, "answer of a server has no end"; "server" => %server,
                "group" => %group, "caller" => %caller_id, "is_delivered" => !is_unverified,
                "confirmed_ms_ago" => confirmed_ms_ago(context));
            // An answer whose result has arrived is delivered, even if the final message is
            // missing. The server's role can't be asked for any more on this connection.
            if let Some(Ok(signature)) = connection.partial.outcome
                && !is_unverified
            {
                let rows = connection.partial.rows;
                self.deliver_truncated_answer(context, caller_id, rows, signature);
                return;
            }
        }
        // Work whose answer waited for a role check has run.
        let has_run = connection.unverified.is_some();
        if let Some(pending) =
            self.callers.get_mut(&caller_id).and_then(|caller| caller.pending.as_mut())
        {
            pending.may_have_run |= has_run;
        }
        let unanswered_for = is_work_unanswered.then(|| context.now.since(connection.sent_at));
        self.lost_during_request(context, caller_id, &server, unanswered_for);
    }

    /// Records that a server, or the owner of its connections, has closed a connection
    /// with work on it: reads are sent to other servers for a moment, and a primary that
    /// does so with all work of direct connections is suspected.
    fn work_lost(
        &mut self,
        context: Context<'_>,
        group: &GroupId,
        server: &ServerId,
        is_direct: bool,
    ) {
        let health = self.connections.health(server);
        health.backoff_until = health.backoff_until.max(context.now + SERVER_BACKOFF);
        if !is_direct {
            return;
        }
        let is_failing = health.dropped_work.record_loss(context.now);
        let is_primary = context.view.group(group).is_some_and(|record| record.primary == *server);
        if is_failing && is_primary {
            self.suspect(group.clone(), server.clone(), SuspicionKind::Failing);
        }
    }

    /// Delivers an answer whose connection broke after the result but before
    /// the final message, which has the position of a commit.
    ///
    /// The transaction on the connection is lost unless the work was its
    /// commit.
    pub(super) fn deliver_truncated_answer(
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
                unreported: Some(Failure::new(
                    FailureKind::Aborted,
                    "the transaction was rolled back: the connection to its server broke",
                )),
            },
            _ => Transaction::None,
        };
        if pending.work.access() == Access::Write {
            // The position of the write is unknown; that of one in a transaction that is
            // rolled back is treated alike, though it has none. Until the session's next
            // commit in the group, its reads that must see it are answered by the primary
            // only. A replica whose last position is not recent may still be sent one, and
            // refuses it.
            caller.own_commits.record(pending.route.group.clone(), None);
        }
        self.answer(context, caller_id, &tag, rows, Ok(signature));
    }

    /// Retries or fails the request of a caller whose connection was lost.
    ///
    /// Outside a transaction, work that was sent is retried only if it is a read, and
    /// only a few times; the outcome of a write is unknown, as is that of the commit of a
    /// transaction that has written. Any other transaction is aborted if one of
    /// its statements has run or was sent.
    ///
    /// `unanswered_for` is the time since the work was sent, `None` if it was not sent or
    /// has been answered.
    pub(super) fn lost_during_request(
        &mut self,
        context: Context<'_>,
        caller_id: CallerId,
        server: &ServerId,
        unanswered_for: Option<Duration>,
    ) {
        let is_work_unanswered = unanswered_for.is_some();
        let Some(caller) = self.callers.get_mut(&caller_id) else {
            return;
        };
        let lost = Failure::new(FailureKind::InDoubt, "the connection to the server broke");
        let Some(pending) = &mut caller.pending else {
            // The transaction was idle.
            self.abort(context, caller_id, lost);
            return;
        };
        pending.may_have_run |= is_work_unanswered;
        pending.unanswered_for = pending.unanswered_for.max(unanswered_for.unwrap_or_default());
        let may_have_written = is_work_unanswered && pending.work.access() == Access::Write;
        if let Transaction::Open(open) = &caller.transaction {
            if may_have_written && pending.work == Work::Commit && open.has_written {
                let tag = Arc::clone(&pending.tag);
                caller.transaction = Transaction::None;
                self.answer_failure(context, caller_id, &tag, lost);
            } else if open.has_run || is_work_unanswered {
                self.abort(context, caller_id, lost);
            } else {
                self.retry_attempt(context, caller_id, server, lost);
            }
            return;
        }
        // Work that was not sent is retried until its deadline.
        if may_have_written || (is_work_unanswered && pending.attempts >= MAX_ATTEMPTS) {
            let tag = Arc::clone(&pending.tag);
            self.answer_failure(context, caller_id, &tag, lost);
        } else {
            self.retry_attempt(context, caller_id, server, lost);
        }
    }

    /// Detaches a connection from its caller; answers that are still expected
    /// on it are discarded when they arrive.
    pub(super) fn detach_caller(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.caller = None;
        }
    }

    /// Releases a connection without a caller, once the server has answered all
    /// commands on it.
    pub(super) fn release_detached(&mut self, context: Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        if !connection.expected.is_empty() {
            return;
        }
        if connection.in_transaction {
            self.send_rollback(context, id);
        } else {
            self.release(context, id);
        }
    }

    /// Sends a rollback of the transaction on a connection; the server's answer
    /// releases the connection.
    pub(super) fn send_rollback(&mut self, context: Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.caller = None;
        connection.in_transaction = false;
        connection.sent_at = context.now;
        connection.expected.push_back(Expected::Rollback);
        self.actions.push(Action::Send(id, Command::Rollback));
    }

    /// Closes an intact connection that no caller uses any more.
    pub(super) fn close(&mut self, id: ConnectionId) {
        self.connections.remove(id);
        self.actions.push(Action::Disconnect(id));
    }

    /// Returns a connection to the pool and places the waiting requests of its
    /// group. Closes it instead if it may not be kept, if it is a direct one to a
    /// server that now is reached through an owner, or if the server has not ended the
    /// transaction on it.
    pub(super) fn release(&mut self, context: Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.caller = None;
        connection.in_transaction = false;
        connection.idle_since = context.now;
        let server = connection.server.clone();
        let group = connection.group.clone();
        let started_ms = connection.server_started_ms;
        let state = connection.state;
        let is_direct = connection.via.is_none();
        // Under steady traffic a direct connection never reaches its idle
        // timeout, so it is closed here once the server is to be reached
        // through an owner.
        let is_redundant = is_direct
            && context.view.server(&server).is_some_and(|s| self.relay_for(context, s).is_some());
        if state != SessionState::Idle {
            info!(self.log, "server has not ended the transaction, closing its connection";
                "server" => %server, "connection" => %id);
            self.close(id);
            self.place_waiting(context, &group, true);
            return;
        }
        if is_redundant || !self.may_be_kept(context, &group, &server, started_ms) {
            self.close(id);
            if is_redundant {
                self.place_waiting(context, &group, true);
            }
            return;
        }
        self.place_waiting(context, &group, false);
    }

    /// Returns whether connections to a server may be kept: it still serves the
    /// group and has not restarted since, and it is not an old primary that is
    /// being replaced. Those to the recorded primary are kept also if its entry
    /// was removed.
    ///
    /// Connections to a server that is about to shut down are kept only while it
    /// is the primary.
    pub(super) fn may_be_kept(
        &self,
        context: Context<'_>,
        group: &GroupId,
        server: &ServerId,
        started_ms: u64,
    ) -> bool {
        let old_primary = self.groups.get(group).and_then(|state| state.old_primary.as_ref());
        if old_primary.is_some_and(|old_primary| old_primary.server == *server) {
            return false;
        }
        let is_primary = context.view.group(group).is_some_and(|record| record.primary == *server);
        context.view.server(server).map_or(is_primary, |known| {
            known.group == *group
                && known.started_ms == started_ms
                && (is_primary || !known.is_leaving)
        })
    }

    /// Closes a connection, which may be intact; the request of its caller, if it
    /// has one, is handled as if the connection had broken.
    pub(super) fn abandon(&mut self, context: Context<'_>, id: ConnectionId) {
        self.connection_lost(context, id, Loss::Abandoned);
    }
}

/// The reason why a connection could not be opened or has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The machine refused the connection: no process listens at the address.
    Refused,
    /// The connection was not established for another reason than a refusal, such
    /// as a timeout at the TCP level, or the server has answered nothing since.
    Silent,
    /// The connection was closed or broke.
    Closed,
    /// This instance closed the connection, for example because an answer was overdue.
    Abandoned,
    /// The data that was received violates the protocol.
    Garbage,
}
