//! How connections to servers end, or become free for the next request.

use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::{GroupId, LogPosition, ServerId, Term};
use masticreel_base::position::TermPosition;
use slog::info;

use super::{Action, Context, Engine};
use crate::caller::{CallerId, Transaction};
use crate::connections::{ConnectionId, Expected};
use crate::engine::outcomes::READ_ATTEMPTS;
use crate::records::DoubtKind;
use crate::statement::{Access, Command, Failure, FailureKind, Work};

/// The pause after a server refused a connection, times the refusals in a row.
const REFUSED_PAUSE: Duration = Duration::from_millis(60);
/// The longest pause between two attempts to connect.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

impl Engine {
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
        if let Some(owner) = connection.via.as_ref().filter(|_| !connection.is_open) {
            self.owner_failed(context, owner, loss);
            self.try_other_path(context, &server);
        } else if !connection.is_open {
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

    pub(super) fn deliver_cut_answer(
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

    pub(super) fn lost_under_request(
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
        let is_direct = connection.via.is_none();
        // Traffic would keep a direct connection for ever, once the instances
        // have come to outnumber what the server accepts.
        let is_needless = is_direct
            && context.view.server(&server).is_some_and(|s| self.path(context, s).is_some());
        if is_needless || !self.is_wanted(context, &group, &server, born_ms) {
            self.connections.remove(id);
            self.actions.push(Action::Disconnect(id));
            if is_needless {
                self.pump(context, &group, true);
            }
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
