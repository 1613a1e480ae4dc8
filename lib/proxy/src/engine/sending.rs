//! Sets a connection up for a request and sends the caller's work on it.
//!
//! [`Engine::dispatch`] sends what the session needs: its variables, a prepared
//! statement and the beginning of its transaction. The work follows with
//! [`Engine::send_work`]: on a relayed connection at once, on a direct one after
//! the server has answered these commands.

use std::hash::{DefaultHasher, Hash, Hasher};

use masticreel_base::ids::{GroupId, ServerId};
use masticreel_base::position::TermPosition;
use slog::{debug, error};

use super::{Action, Context, Engine};
use crate::caller::{CallerId, ServerRequirement, SessionVariables, Stage, Transaction};
use crate::connections::{ConnectionId, Expected, PrimaryKnowledge, sync_variables};
use crate::primary_lease;
use crate::statement::{Access, Command, Failure, FailureKind, PreparedStatement, Work};

impl Engine {
    /// Assigns a request to an idle connection and starts the setup of the
    /// connection.
    pub(super) fn dispatch(
        &mut self,
        context: Context<'_>,
        id: CallerId,
        connection_id: ConnectionId,
    ) {
        self.start(id);
        self.assign(id, connection_id);
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let Some(pending) = &caller.pending else {
            return;
        };
        let begin = match &mut caller.transaction {
            Transaction::Open(open) => {
                open.connection = Some(connection_id);
                Some(open.read_only)
            }
            _ => None,
        };
        let prepared = match &pending.work {
            Work::Prepared { shape, .. } => Some(shape.clone()),
            Work::Direct { .. } | Work::Commit => None,
        };
        let variables = caller.variables.clone();
        let Some(connection) = self.connections.get_mut(connection_id) else {
            return;
        };
        connection.in_transaction = begin.is_some();
        connection.sent_at = context.now;
        connection.sent_under = primary_knowledge(context, &connection.group);
        self.send_variables(connection_id, &variables);
        if let Some(statement) = prepared {
            self.prepare(connection_id, &statement);
        }
        if let Some(read_only) = begin {
            let Ok(floor) = self.floor_on_connection(context, id, connection_id) else {
                self.fail_attempt(context, connection_id, no_recent_position());
                return;
            };
            if let Some(connection) = self.connections.get_mut(connection_id) {
                connection.expected.push_back(Expected::Begin);
                connection.floor = floor;
            }
            self.actions.push(Action::Send(connection_id, Command::Begin { read_only, floor }));
        }
        self.continue_setup(context, connection_id);
    }

    /// Sends the commands that make the variables on a connection equal to a session's.
    fn send_variables(&mut self, connection_id: ConnectionId, variables: &SessionVariables) {
        let Some(connection) = self.connections.get_mut(connection_id) else {
            return;
        };
        for command in
            sync_variables(&mut connection.variables, &mut connection.prepared, variables)
        {
            connection.expected.push_back(Expected::Setup);
            self.actions.push(Action::Send(connection_id, command));
        }
    }

    /// Prepares a statement on a connection, unless that was done before.
    pub(super) fn prepare(&mut self, connection_id: ConnectionId, statement: &PreparedStatement) {
        let handle = statement_handle(statement);
        let Some(connection) = self.connections.get_mut(connection_id) else {
            return;
        };
        if connection.prepared.insert(handle) {
            connection.expected.push_back(Expected::Setup);
            let command = Command::Prepare { handle, shape: statement.clone() };
            self.actions.push(Action::Send(connection_id, command));
        }
    }

    /// Sends the caller's work if the setup of the connection is complete, or
    /// if it need not be awaited.
    pub(super) fn continue_setup(&mut self, context: Context<'_>, connection_id: ConnectionId) {
        // The owner of a server runs nothing after a setup command that failed,
        // so relayed work is sent without waiting for the answers to the setup.
        let may_send = self.connections.get(connection_id).is_some_and(|connection| {
            connection.expected.is_empty()
                || (connection.via.is_some() && !connection.expected.contains(&Expected::Work))
        });
        if may_send {
            self.send_work(context, connection_id);
        }
    }

    /// Records that a request uses a connection; sends nothing.
    pub(super) fn assign(&mut self, id: CallerId, connection_id: ConnectionId) {
        let pending = self.callers.get_mut(&id).and_then(|caller| caller.pending.as_mut());
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.caller = Some(id);
            if connection.via.is_some()
                && let Some(pending) = &pending
            {
                connection.organisation = pending.organisation.clone();
            }
        }
        if let Some(pending) = pending {
            pending.stage = Stage::Assigned(connection_id);
        }
    }

    /// Sends the work of the connection's caller to the server.
    ///
    /// Fails the attempt if the request requires the primary and the server is
    /// neither the usable primary nor an old primary that is being replaced, or
    /// if no minimum position for a read is known.
    pub(super) fn send_work(&mut self, context: Context<'_>, connection_id: ConnectionId) {
        let Some(connection) = self.connections.get(connection_id) else {
            return;
        };
        let Some(id) = connection.caller else {
            return;
        };
        let server = connection.server.clone();
        let group = connection.group.clone();
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let Some(pending) = caller.pending.clone() else {
            return;
        };
        let in_transaction = matches!(caller.transaction, Transaction::Open(_));
        let has_begun = matches!(&caller.transaction, Transaction::Open(open) if open.has_run);
        if !connection.may_serve(pending.organisation.as_deref()) {
            // Placing chooses a connection of the organisation; this is the last check before
            // work could run under the name of another one.
            error!(self.log, "request not sent: the connection is another organisation's";
                "request" => %pending.tag, "server" => %server);
            let failure = Failure::new(FailureKind::Busy, "the connection can't be used");
            self.fail_attempt(context, connection_id, failure);
            return;
        }
        let is_usable = self.usable_primary(context, &group).as_ref() == Some(&server);
        // A request at an old primary is still sent: idle connections to it are
        // closed at the start of the replacement, so this is work that had the
        // connection before.
        if pending.requirement == ServerRequirement::Primary
            && !is_usable
            && !self.is_old_primary(&group, &server)
        {
            let failure = Failure::new(FailureKind::Busy, "the group's primary is being replaced");
            self.fail_attempt(context, connection_id, failure);
            return;
        }
        // Opening the connection or beginning the transaction may have taken until the
        // server's time was over.
        if !has_begun && self.is_departure_over(context, &server) {
            let failure = Failure::new(FailureKind::Busy, "the server is leaving");
            self.fail_attempt(context, connection_id, failure);
            return;
        }
        // `dispatch` sets the variables only for the first request of a transaction; later
        // ones may follow a change of them.
        let variables = caller.variables.clone();
        self.send_variables(connection_id, &variables);
        if let Work::Prepared { shape, .. } = &pending.work {
            // `dispatch` prepares the statement only for the first request of a
            // transaction, and a server that does not know it makes the
            // connection forget its prepared statements before a retry.
            self.prepare(connection_id, shape);
        }
        let must_wait = self
            .connections
            .get(connection_id)
            .is_some_and(|connection| !connection.expected.is_empty() && connection.via.is_none());
        if must_wait {
            return;
        }
        let is_plain_read = !in_transaction && pending.work.access() == Access::Read;
        let floor = match self.floor_on_connection(context, id, connection_id) {
            Ok(floor) => floor.filter(|_| is_plain_read),
            Err(UnknownFloor) if is_plain_read => {
                self.fail_attempt(context, connection_id, no_recent_position());
                return;
            }
            // The minimum position was already sent with the transaction's
            // begin.
            Err(UnknownFloor) => None,
        };
        let handle = match &pending.work {
            Work::Prepared { shape, .. } => Some(statement_handle(shape)),
            Work::Direct { .. } | Work::Commit => None,
        };
        debug!(self.log, "request sent"; "request" => %pending.tag, "server" => %server,
            "floor" => floor.map(|floor| floor.to_string()));
        let command =
            Command::Run { tag: pending.tag.clone(), work: pending.work.clone(), handle, floor };
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.expected.push_back(Expected::Work);
            if !in_transaction {
                connection.floor = floor;
            }
            connection.sent_at = context.now;
            connection.sent_under = primary_knowledge(context, &connection.group);
        }
        let health = self.connections.health(&server);
        health.running += 1;
        health.load.record_sent();
        if let Some(pending) = self.callers.get_mut(&id).and_then(|caller| caller.pending.as_mut())
        {
            pending.attempts += 1;
        }
        self.actions.push(Action::Send(connection_id, command));
    }

    /// Returns whether a server is the old primary of a group, which is being
    /// replaced.
    pub(super) fn is_old_primary(&self, group: &GroupId, server: &ServerId) -> bool {
        let old_primary = self.groups.get(group).and_then(|state| state.old_primary.as_ref());
        old_primary.is_some_and(|old_primary| old_primary.server == *server)
    }

    /// Returns the minimum position that is sent with a caller's request on a
    /// connection: [`Engine::floor_for_replicas`], unless the connection leads to
    /// the usable primary.
    ///
    /// `None` for a request that requires the primary and for a usable primary,
    /// which has applied all commits.
    ///
    /// # Errors
    ///
    /// Fails if a replica would need a minimum position and no recent position
    /// of the primary is known, or if the request or the connection no longer
    /// exists.
    pub(super) fn floor_on_connection(
        &self,
        context: Context<'_>,
        id: CallerId,
        connection_id: ConnectionId,
    ) -> Result<Option<TermPosition>, UnknownFloor> {
        let pending = self.callers.get(&id).and_then(|caller| caller.pending.as_ref());
        let (Some(pending), Some(connection)) = (pending, self.connections.get(connection_id))
        else {
            return Err(UnknownFloor);
        };
        let usable = self.usable_primary(context, &connection.group);
        if pending.requirement == ServerRequirement::Primary
            || usable.as_ref() == Some(&connection.server)
        {
            return Ok(None);
        }
        self.floor_for_replicas(pending).map(Some).ok_or(UnknownFloor)
    }
}

/// The minimum position for a replica is needed but unknown, or the request no
/// longer exists.
pub(super) struct UnknownFloor;

/// Returns the failure of a read that no replica can run, because no recent
/// position of the primary is known.
fn no_recent_position() -> Failure {
    Failure::new(FailureKind::Lagging, "no recent position of the primary is known")
}

/// Returns what this instance knows of a group's primary now.
fn primary_knowledge(context: Context<'_>, group: &GroupId) -> PrimaryKnowledge {
    PrimaryKnowledge {
        epoch: context.view.group(group).map_or(0, |record| record.epoch),
        is_fresh: primary_lease::is_view_fresh(context.view, group, context.now),
    }
}

/// Returns the name of a prepared statement on server connections: a hash of
/// the statement, so that all callers share it.
fn statement_handle(statement: &PreparedStatement) -> u64 {
    let mut hasher = DefaultHasher::new();
    statement.hash(&mut hasher);
    hasher.finish()
}
