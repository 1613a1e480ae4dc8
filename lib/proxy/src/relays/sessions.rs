//! Handles the commands that entry instances send on relayed sessions.
//!
//! The commands of a session are executed one after the other. Session variables,
//! prepared statements and the start of a transaction are recorded here and
//! acknowledged at once. They are sent to a server only when a statement needs
//! them, on the connection that is assigned to the session.

use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::ServerId;
use slog::{error, info};

use crate::caller::SessionVariables;
use crate::connections::{Expected, sync_variables};
use crate::engine::Context;
use crate::protocol::UpstreamMessage;
use crate::relays::{
    PooledId, QueuedCommand, RelayAction, RelayAnswer, RelayOptions, RelaySessionId, Relays,
    Session, ready_idle,
};
use crate::statement::{Command, Failure, FailureKind, SessionState};

impl Relays {
    /// Opens a session at a server.
    ///
    /// Nothing is sent to the server before the first statement.
    pub fn open_session(&mut self, server: &ServerId) -> RelaySessionId {
        self.next_session += 1;
        let id = RelaySessionId(self.next_session);
        let session = Session {
            server: server.clone(),
            variables: SessionVariables::default(),
            prepared: Default::default(),
            begin: None,
            connection: None,
            waiting: None,
            expected: Duration::ZERO,
            backlog: Default::default(),
        };
        self.sessions.insert(id, session);
        self.answer(id, ready_idle());
        id
    }

    /// Executes a command of a session after those that arrived before it.
    pub fn execute(
        &mut self,
        context: Context<'_>,
        id: RelaySessionId,
        command: Command,
        options: RelayOptions,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.backlog.push_back((command, options));
        self.run_backlog(context, id);
    }

    /// Executes the commands in a session's backlog up to the first one that
    /// has to wait for the server.
    pub(super) fn run_backlog(&mut self, context: Context<'_>, id: RelaySessionId) {
        while !self.is_waiting(id) {
            let Some(session) = self.sessions.get_mut(&id) else {
                return;
            };
            let Some((command, options)) = session.backlog.pop_front() else {
                return;
            };
            match command {
                Command::Clear => {
                    session.variables = SessionVariables::default();
                    session.prepared.clear();
                    self.acknowledge(id);
                }
                Command::Set { name, value } => {
                    Arc::make_mut(&mut session.variables).insert(name, value);
                    self.acknowledge(id);
                }
                Command::Prepare { handle, shape } => {
                    session.prepared.insert(handle, shape);
                    self.acknowledge(id);
                }
                Command::Begin { read_only, floor } => {
                    session.begin = Some((read_only, floor));
                    self.acknowledge(id);
                }
                Command::Rollback if session.connection.is_none() => {
                    session.begin = None;
                    self.acknowledge(id);
                }
                command => self.submit(context, id, command, options),
            }
        }
    }

    /// Returns whether a command of the session waits for a connection or for
    /// the server's answer.
    fn is_waiting(&self, id: RelaySessionId) -> bool {
        let Some(session) = self.sessions.get(&id) else {
            return false;
        };
        let connection = session.connection.and_then(|connection| self.pooled.get(&connection));
        session.waiting.is_some()
            || connection
                .is_some_and(|pooled| pooled.command.is_some() || !pooled.expected.is_empty())
    }

    /// Sends a command on the session's connection, or queues it until the
    /// session is assigned one.
    fn submit(
        &mut self,
        context: Context<'_>,
        id: RelaySessionId,
        command: Command,
        options: RelayOptions,
    ) {
        if self.stops_before_answer(&options, context.now) {
            self.refuse_as_stopping(context, id);
            return;
        }
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.expected = options.expected;
        if let Some(connection) = session.connection {
            let is_of_other = self
                .pooled
                .get(&connection)
                .is_some_and(|p| p.organisation != options.organisation);
            if is_of_other {
                // Entry instances don't change the organisation inside a transaction.
                error!(self.log, "relayed session ended: its organisation changed in a transaction";
                    "relayed_session" => %id);
                self.end_session(context, id);
                self.actions.push(RelayAction::End(id));
                return;
            }
            self.prepare_and_send(context, connection, command);
            return;
        }
        let server = session.server.clone();
        let pool = self.pools.entry(server.clone()).or_default();
        pool.has_named_work &= !pool.queue.is_empty();
        pool.has_named_work |= options.organisation.is_some();
        let wanted_by = context.now + options.wanted_within;
        let ticket = pool.queue.push_for(
            options.organisation.as_deref(),
            options.urgency,
            id,
            wanted_by,
            options.expected,
        );
        session.waiting = Some(QueuedCommand {
            command,
            queued_at: context.now,
            deadline: context.now + options.patience,
            ticket,
            organisation: options.organisation,
        });
        pool.record_load(context.now);
        self.dispatch_waiting(context, &server);
    }

    /// Ends a session; an open transaction is rolled back.
    pub fn end_session(&mut self, context: Context<'_>, id: RelaySessionId) {
        self.dequeue(id);
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        if let Some(connection) = session.connection {
            if let Some(pooled) = self.pooled.get_mut(&connection) {
                pooled.session = None;
            }
            self.release(context, connection);
        }
    }

    /// Answers a session's command, which was not sent to the server, with a
    /// failure. Discards the start of the session's transaction, which was not sent
    /// either.
    pub(super) fn refuse(&mut self, id: RelaySessionId, text: &'static str) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.begin = None;
        let failure = Failure::new(FailureKind::Busy, text);
        self.answer(id, UpstreamMessage::Error(failure));
        self.answer(id, ready_idle());
    }

    /// Refuses queued commands whose deadline has passed, or would pass before
    /// they can be dispatched, as estimated from the queue position and the
    /// mean latency.
    pub(super) fn expire_waiting(&mut self, context: Context<'_>) {
        let mut too_late = Vec::new();
        for (server, pool) in self.pools.iter().filter(|(_, pool)| !pool.queue.is_empty()) {
            let slots = context.view.server(server).map_or(1, |server| server.slots);
            let mean = pool.latency.mean();
            let order = pool.queue.in_order(context.now + pool.latency.baseline());
            for (index, id) in order.into_iter().enumerate() {
                let rounds = u32::try_from(index / slots).unwrap_or(u32::MAX);
                let starts_at = context.now + mean.saturating_mul(rounds);
                let waiting = self.sessions.get(&id).and_then(|s| s.waiting.as_ref());
                if waiting.is_some_and(|waiting| starts_at >= waiting.deadline) {
                    too_late.push(id);
                }
            }
        }
        for id in too_late {
            self.refuse_waiting(context, id, "not run: the server had no room in time");
        }
    }

    /// Refuses the queued command of a session and continues with its backlog.
    pub(super) fn refuse_waiting(
        &mut self,
        context: Context<'_>,
        id: RelaySessionId,
        reason: &'static str,
    ) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        if let Some(QueuedCommand {
            command: Command::Run { tag, .. },
            queued_at,
            deadline,
            ticket,
            organisation,
        }) = &session.waiting
        {
            let waiting = self.pools.get(&session.server).map_or(0, |pool| pool.queue.len());
            info!(self.log, "relayed request refused"; "request" => %tag,
                "server" => %session.server, "reason" => reason,
                "organisation" => organisation.as_deref(), "urgency" => ticket.urgency(),
                "waited_ms" => context.now.since(*queued_at).as_millis(),
                "left_ms" => deadline.since(context.now).as_millis(), "waiting" => waiting);
        }
        self.dequeue(id);
        self.report_load(context, id);
        self.refuse(id, reason);
        self.run_backlog(context, id);
    }

    /// Removes a session from the queue of its server, since its command starts, and returns
    /// the command.
    pub(super) fn start(&mut self, id: RelaySessionId) -> Option<Command> {
        let session = self.sessions.get_mut(&id)?;
        let waiting = session.waiting.take()?;
        if let Some(pool) = self.pools.get_mut(&session.server) {
            pool.queue.start(waiting.ticket);
        }
        Some(waiting.command)
    }

    /// Removes a session from the queue of its server and returns its command.
    pub(super) fn dequeue(&mut self, id: RelaySessionId) -> Option<Command> {
        let session = self.sessions.get_mut(&id)?;
        let waiting = session.waiting.take()?;
        if let Some(pool) = self.pools.get_mut(&session.server) {
            pool.queue.remove(waiting.ticket);
        }
        Some(waiting.command)
    }

    /// Answers a command that was recorded here without the server.
    fn acknowledge(&mut self, id: RelaySessionId) {
        let in_transaction = self
            .sessions
            .get(&id)
            .is_some_and(|session| session.begin.is_some() || session.connection.is_some());
        let state = if in_transaction { SessionState::Transaction } else { SessionState::Idle };
        self.answer(id, UpstreamMessage::Complete(None));
        self.answer(id, UpstreamMessage::Ready { state, position: None });
    }

    /// Reports the load of a session's server to its entry instance.
    pub(super) fn report_load(&mut self, context: Context<'_>, id: RelaySessionId) {
        let Some(pool) = self.sessions.get(&id).and_then(|s| self.pools.get_mut(&s.server)) else {
            return;
        };
        pool.record_load(context.now);
        let report = pool.meter.report(pool.load.statement_time(context.now), context.now);
        self.actions.push(RelayAction::Answer(id, RelayAnswer::Load(report)));
    }

    pub(super) fn answer(&mut self, id: RelaySessionId, message: UpstreamMessage) {
        self.actions.push(RelayAction::Answer(id, RelayAnswer::Message(message)));
    }

    /// Sends a session's command on its connection, after the commands that set
    /// its variables, prepare its statement and begin its transaction there.
    pub(super) fn prepare_and_send(
        &mut self,
        context: Context<'_>,
        connection: PooledId,
        command: Command,
    ) {
        let Some(pooled) = self.pooled.get_mut(&connection) else {
            return;
        };
        let Some(session) = pooled.session.and_then(|id| self.sessions.get_mut(&id)) else {
            return;
        };
        let commands =
            sync_variables(&mut pooled.variables, &mut pooled.prepared, &session.variables);
        let mut setup: Vec<_> =
            commands.into_iter().map(|command| (Expected::Setup, command)).collect();
        if let Command::Run { handle: Some(handle), .. } = &command
            && let Some(shape) = session.prepared.get(handle)
            && pooled.prepared.insert(*handle)
        {
            let command = Command::Prepare { handle: *handle, shape: shape.clone() };
            setup.push((Expected::Setup, command));
        }
        if let Some((read_only, floor)) = session.begin.take() {
            setup.push((Expected::Begin, Command::Begin { read_only, floor }));
        }
        pooled.command = Some(command);
        pooled.sent_at = context.now;
        for (expected, command) in setup {
            pooled.expected.push_back(expected);
            self.actions.push(RelayAction::Send(connection, command));
        }
        self.send_command(context, connection);
    }
}
