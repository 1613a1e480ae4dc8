//! How a request is prepared on its connection and sent.

use std::hash::{DefaultHasher, Hash, Hasher};

use masticreel_base::ids::{GroupId, ServerId};
use masticreel_base::position::TermPosition;
use slog::debug;

use super::{Action, Context, Engine};
use crate::caller::{CallerId, Need, Stage, Transaction};
use crate::connections::{ConnectionId, Expected, adopt_values};
use crate::statement::{Access, Command, Failure, FailureKind, Shape, Work};

impl Engine {
    /// Puts a request on an idle connection.
    pub(super) fn dispatch(
        &mut self,
        context: Context<'_>,
        id: CallerId,
        connection_id: ConnectionId,
    ) {
        self.dequeue(id);
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
        let shape = match &pending.work {
            Work::Prepared { shape, .. } => Some(shape.clone()),
            Work::Direct { .. } | Work::Commit => None,
        };
        let values = caller.values.clone();
        let Some(connection) = self.connections.get_mut(connection_id) else {
            return;
        };
        connection.is_held = begin.is_some();
        connection.sent_at = context.now;
        for command in adopt_values(&mut connection.values, &mut connection.prepared, &values) {
            connection.expected.push_back(Expected::Setup);
            self.actions.push(Action::Send(connection_id, command));
        }
        if let Some(shape) = shape {
            self.prepare(connection_id, &shape);
        }
        if let Some(read_only) = begin {
            let Ok(floor) = self.floor_at(context, id, connection_id) else {
                self.fail_attempt(context, connection_id, no_young_position());
                return;
            };
            if let Some(connection) = self.connections.get_mut(connection_id) {
                connection.expected.push_back(Expected::Begin);
            }
            self.actions.push(Action::Send(connection_id, Command::Begin { read_only, floor }));
        }
        self.continue_setup(context, connection_id);
    }

    /// Prepares a shape on a connection that doesn't know it yet.
    pub(super) fn prepare(&mut self, connection_id: ConnectionId, shape: &Shape) {
        let handle = handle(shape);
        let Some(connection) = self.connections.get_mut(connection_id) else {
            return;
        };
        if connection.prepared.insert(handle) {
            connection.expected.push_back(Expected::Setup);
            let command = Command::Prepare { handle, shape: shape.clone() };
            self.actions.push(Action::Send(connection_id, command));
        }
    }

    /// Sends the caller's work once nothing is left to prepare.
    pub(super) fn continue_setup(&mut self, context: Context<'_>, connection_id: ConnectionId) {
        // The owner of a server runs nothing behind a preparation that failed, so
        // the work need not wait for its answer.
        let may_send = self.connections.get(connection_id).is_some_and(|connection| {
            connection.expected.is_empty()
                || (connection.via.is_some() && !connection.expected.contains(&Expected::Main))
        });
        if may_send {
            self.send_main(context, connection_id);
        }
    }

    pub(super) fn assign(&mut self, id: CallerId, connection_id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.owner = Some(id);
        }
        if let Some(pending) = self.callers.get_mut(&id).and_then(|caller| caller.pending.as_mut())
        {
            pending.stage = Stage::Placed(connection_id);
        }
    }

    /// Sends the caller's work on its connection.
    pub(super) fn send_main(&mut self, context: Context<'_>, connection_id: ConnectionId) {
        let Some(connection) = self.connections.get(connection_id) else {
            return;
        };
        let Some(id) = connection.owner else {
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
        let is_usable = self.usable_primary(context, &group).as_ref() == Some(&server);
        if pending.need == Need::Primary && !is_usable && !self.is_finishing(&group, &server) {
            let failure = Failure::new(FailureKind::Busy, "the group's primary is being replaced");
            self.fail_attempt(context, connection_id, failure);
            return;
        }
        if let Work::Prepared { shape, .. } = &pending.work {
            self.prepare(connection_id, shape);
            let must_wait = self.connections.get(connection_id).is_some_and(|connection| {
                !connection.expected.is_empty() && connection.via.is_none()
            });
            if must_wait {
                return;
            }
        }
        let is_plain_read = !in_transaction && pending.work.access() == Access::Read;
        let floor = match self.floor_at(context, id, connection_id) {
            Ok(floor) => floor.filter(|_| is_plain_read),
            Err(UnknownFloor) if is_plain_read => {
                self.fail_attempt(context, connection_id, no_young_position());
                return;
            }
            // The transaction was begun with the floor.
            Err(UnknownFloor) => None,
        };
        let handle = match &pending.work {
            Work::Prepared { shape, .. } => Some(handle(shape)),
            Work::Direct { .. } | Work::Commit => None,
        };
        debug!(self.log, "request sent"; "request" => %pending.tag, "server" => %server,
            "floor" => floor.map(|floor| floor.to_string()));
        let command =
            Command::Run { tag: pending.tag.clone(), work: pending.work.clone(), handle, floor };
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.expected.push_back(Expected::Main);
            connection.sent_at = context.now;
        }
        self.connections.health(&server).running += 1;
        if let Some(pending) = self.callers.get_mut(&id).and_then(|caller| caller.pending.as_mut())
        {
            pending.attempts += 1;
        }
        self.actions.push(Action::Send(connection_id, command));
    }

    /// Returns whether a transaction may still finish at a primary that is
    /// being replaced.
    pub(super) fn is_finishing(&self, group: &GroupId, server: &ServerId) -> bool {
        let retiring = self.groups.get(group).and_then(|state| state.retiring.as_ref());
        retiring.is_some_and(|retiring| retiring.primary == *server)
    }

    /// Returns the floor to send along: none to a primary that may be used,
    /// which has everything.
    pub(super) fn floor_at(
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
        if pending.need == Need::Primary || usable.as_ref() == Some(&connection.server) {
            return Ok(None);
        }
        self.floor(pending).map(Some).ok_or(UnknownFloor)
    }
}

/// No position is known that a replica must have applied.
pub(super) struct UnknownFloor;

fn no_young_position() -> Failure {
    Failure::new(FailureKind::Lagging, "no recent position of the primary is known")
}

/// Returns the name of a shape on server connections, the same for all callers.
fn handle(shape: &Shape) -> u64 {
    let mut hasher = DefaultHasher::new();
    shape.hash(&mut hasher);
    hasher.finish()
}
