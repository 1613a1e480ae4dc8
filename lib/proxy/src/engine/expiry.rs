//! What the passing of time and changes of the view do to requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::{GroupId, ServerId};
use slog::info;

use super::{Action, Context, Engine, REFUSAL_LEAD, Retiring};
use crate::caller::{CallerId, Stage, Transaction};
use crate::connections::{ConnectionId, Expected};
use crate::engine::paths::OWNER_START_TIMEOUT;
use crate::engine::placing::connections_at_rest;
use crate::moment::Moment;
use crate::records::Phase;
use crate::relays;
use crate::statement::{Access, Failure, FailureKind, Work};

/// How long work at a primary that is being replaced may go on.
const STOP_GRACE: Duration = Duration::from_millis(150);
/// How long a server may take to accept a session, from the connection's start.
const START_TIMEOUT: Duration = Duration::from_millis(1500);
/// A server that answers nothing for this long while work is with it is tried
/// over a new connection.
const SILENCE: Duration = Duration::from_millis(300);
/// A read whose server has answered nothing for this long runs elsewhere.
const READ_SILENCE: Duration = Duration::from_millis(500);
/// How long connections to a server may rest unused.
const IDLE_LIFETIME: Duration = Duration::from_secs(30);
/// How long connections may rest where the instances outnumber what servers
/// accept.
const LENT_LIFETIME: Duration = Duration::from_millis(300);
/// How long connections may rest beyond those that are kept.
const SPARE_LIFETIME: Duration = Duration::from_millis(1000);
/// The rest between statements of a transaction, where the configuration names
/// none.
const DEFAULT_TRANSACTION_IDLE: Duration = Duration::from_secs(10);

impl Engine {
    /// Does what is due.
    pub fn tick(&mut self, context: Context<'_>) {
        self.expire_requests(context);
        self.expire_connections(context);
        self.expire_transactions(context);
        self.stop_retiring(context);
        self.warm_up(context);
        self.relays.tick(context);
        let groups: Vec<GroupId> = self
            .groups
            .iter()
            .filter(|(_, state)| !state.queue.is_empty())
            .map(|(group, _)| group.clone())
            .collect();
        for group in groups {
            self.pump(context, &group, true);
        }
    }

    fn expire_requests(&mut self, context: Context<'_>) {
        let active: Vec<CallerId> = self.active.iter().copied().collect();
        for id in active {
            let Some(pending) = self.callers.get(&id).and_then(|caller| caller.pending.as_ref())
            else {
                continue;
            };
            let stage = pending.stage;
            let give_up_at = pending.give_up_at;
            let has_run_out = context.now >= give_up_at.before(REFUSAL_LEAD);
            match stage {
                Stage::Waiting(_) | Stage::Pausing { .. } if has_run_out => {
                    self.refuse(context, id);
                }
                Stage::Pausing { until } if context.now >= until => self.place(context, id, true),
                Stage::Placed(connection) if context.now >= give_up_at => {
                    self.time_out(context, id, connection);
                }
                Stage::Placed(connection) => self.abandon_silent_read(context, id, connection),
                Stage::Waiting(_) | Stage::Pausing { .. } => {}
            }
        }
    }

    /// Refuses a request that has not run and can't be served in time.
    pub(super) fn refuse(&mut self, context: Context<'_>, id: CallerId) {
        self.dequeue(id);
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let Some(pending) = &caller.pending else {
            return;
        };
        let tag = Arc::clone(&pending.tag);
        let failure = match &pending.last_failure {
            Some(failure) if failure.kind != FailureKind::InDoubt => Failure::new(
                FailureKind::Busy,
                format!("not run: no server could take it in time; the last said {}", failure.kind),
            ),
            // Only a read is tried again after an attempt that may have run.
            Some(_) => Failure::new(
                FailureKind::Busy,
                "no answer in time; an attempt may have run, and nothing of it is kept",
            ),
            None => Failure::new(FailureKind::Busy, "not run: no server could take it in time"),
        };
        if matches!(caller.transaction, Transaction::Open(_)) {
            self.abort(context, id, failure);
        } else {
            self.answer_failure(context, id, &tag, failure);
        }
    }

    /// Gives up a request whose server has not answered in time.
    fn time_out(&mut self, context: Context<'_>, id: CallerId, connection: ConnectionId) {
        let has_sent = self
            .connections
            .get(connection)
            .is_some_and(|connection| connection.expected.contains(&Expected::Main));
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let Some(pending) = &caller.pending else {
            return;
        };
        let tag = Arc::clone(&pending.tag);
        let late = Failure::new(FailureKind::Timeout, "the server did not answer in time");
        if !has_sent {
            self.orphan(connection);
            self.break_off(context, connection);
            if let Some(caller) = self.callers.get_mut(&id)
                && let Transaction::Open(open) = &mut caller.transaction
            {
                open.connection = None;
            }
            self.refuse(context, id);
            return;
        }
        match &caller.transaction {
            Transaction::Open(open) => {
                if pending.work == Work::Commit && open.has_written {
                    caller.transaction = Transaction::None;
                    self.orphan(connection);
                    self.break_off(context, connection);
                    self.answer_failure(context, id, &tag, late);
                } else {
                    self.orphan(connection);
                    self.break_off(context, connection);
                    self.abort(context, id, late);
                }
            }
            _ => {
                self.orphan(connection);
                self.break_off(context, connection);
                self.answer_failure(context, id, &tag, late);
            }
        }
    }

    /// Runs a read elsewhere if its server has answered nothing for long.
    fn abandon_silent_read(&mut self, context: Context<'_>, id: CallerId, on: ConnectionId) {
        let Some(connection) = self.connections.get(on) else {
            return;
        };
        let sent_at = connection.sent_at;
        let is_old = context.now.since(sent_at) > READ_SILENCE;
        let is_silent = self
            .connections
            .known_health(&connection.server)
            .is_none_or(|health| health.answered_at < sent_at);
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let is_read = caller.pending.as_ref().is_some_and(|p| p.work.access() == Access::Read)
            && matches!(caller.transaction, Transaction::None);
        // Another connection may still work where this one went silent. A read
        // that waits at a server's owner has its turn there.
        let is_lone = !is_silent
            && connection.via.is_none()
            && context.now.since(sent_at) > READ_SILENCE + STOP_GRACE;
        if is_old && is_read && (is_silent || is_lone) {
            self.break_off(context, on);
        }
    }

    fn expire_connections(&mut self, context: Context<'_>) {
        let mut dropped = Vec::new();
        let mut lost = Vec::new();
        let mut doubted: Vec<(ServerId, Moment)> = Vec::new();
        let mut kept: HashMap<&ServerId, usize> = HashMap::new();
        for (id, connection) in self.connections.iter() {
            let rested = context.now.since(connection.idle_since);
            let waits = context.now.since(connection.sent_at);
            if !connection.is_open {
                let is_relayed = connection.via.is_some();
                let timeout = if is_relayed { OWNER_START_TIMEOUT } else { START_TIMEOUT };
                if waits > timeout {
                    lost.push(id);
                }
            } else if connection.is_idle() {
                let is_wanted = self.is_wanted(
                    context,
                    &connection.group,
                    &connection.server,
                    connection.server_born_ms,
                );
                let kept = kept.entry(&connection.server).or_insert(0);
                *kept += 1;
                let at_rest = connections_at_rest(context, &connection.group);
                let is_relayed = context
                    .view
                    .server(&connection.server)
                    .is_some_and(|server| relays::is_relayed(context.view, server));
                let is_left =
                    connection.via.as_ref().is_some_and(|owner| !context.view.may_own(owner));
                let lifetime = match (&connection.via, at_rest) {
                    (Some(_), _) => IDLE_LIFETIME,
                    (None, 0) => LENT_LIFETIME,
                    (None, _) if is_relayed => LENT_LIFETIME,
                    (None, _) if *kept > at_rest => SPARE_LIFETIME,
                    (None, _) => IDLE_LIFETIME,
                };
                if rested > lifetime || is_left || !is_wanted {
                    dropped.push(id);
                }
            } else if !connection.expected.is_empty() && waits > SILENCE {
                doubted.push((connection.server.clone(), connection.sent_at));
                if connection.owner.is_none() && waits > START_TIMEOUT {
                    lost.push(id);
                }
            }
        }
        for id in dropped {
            self.connections.remove(id);
            self.actions.push(Action::Disconnect(id));
        }
        for id in lost {
            self.connection_lost(context, id, super::Loss::Closed);
        }
        for (server, sent_at) in doubted {
            self.probe(context, &server, sent_at);
        }
    }

    /// Opens a connection to a server that has been silent since a moment.
    fn probe(&mut self, context: Context<'_>, server: &ServerId, since: Moment) {
        let health = self.connections.health(server);
        let is_due =
            health.answered_at < since && health.opening == 0 && context.now >= health.open_after;
        if is_due && let Some(server) = context.view.server(server).cloned() {
            self.open(context, &server);
        }
    }

    fn expire_transactions(&mut self, context: Context<'_>) {
        let limit = context
            .view
            .document()
            .and_then(|document| document.transaction_idle)
            .unwrap_or(DEFAULT_TRANSACTION_IDLE);
        let expired: Vec<CallerId> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.pending.is_none())
            .filter(|(_, caller)| match &caller.transaction {
                Transaction::Open(open) => {
                    open.connection.is_some() && context.now.since(open.rests_since) > limit
                }
                _ => false,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            info!(self.log, "transaction rested too long"; "caller" => %id,
                "limit_ms" => limit.as_millis());
            self.abort(context, id, Failure::new(FailureKind::Aborted, "it rested too long"));
        }
    }

    /// Rolls back the transactions that rest, as before the process ends.
    pub fn abort_resting_transactions(&mut self, context: Context<'_>) {
        let open: Vec<CallerId> = self
            .callers
            .iter()
            .filter(|(_, caller)| matches!(caller.transaction, Transaction::Open(_)))
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            let failure = Failure::new(FailureKind::Aborted, "the instance is stopping");
            if let Some(Stage::Placed(connection)) =
                self.callers.get(&id).and_then(|c| c.pending.as_ref()).map(|p| p.stage)
                && self.connections.get(connection).is_some_and(|c| !c.expected.is_empty())
            {
                continue;
            }
            self.dequeue(id);
            self.abort(context, id, failure);
        }
    }

    /// Follows a change of a group's record.
    pub fn group_changed(&mut self, context: Context<'_>, group: &GroupId) {
        let Some(record) = context.view.group(group).cloned() else {
            return;
        };
        let state = self.group(group);
        if state.epoch >= record.epoch {
            return;
        }
        state.epoch = record.epoch;
        info!(self.log, "group's record changed"; "group" => %group, "epoch" => record.epoch,
            "phase" => %record.phase, "primary" => %record.primary, "term" => %record.term);
        let state = self.group(group);
        match record.phase {
            Phase::Changing => {
                let is_known = state
                    .retiring
                    .as_ref()
                    .is_some_and(|retiring| retiring.primary == record.primary);
                let since = match &state.retiring {
                    Some(retiring) if is_known => retiring.since,
                    _ => context.now,
                };
                state.retiring =
                    Some(Retiring { primary: record.primary, epoch: record.epoch, since });
                self.stop_retiring(context);
            }
            Phase::Serving => {
                state.retiring = None;
                state.samples.reset();
                self.pump(context, group, true);
            }
        }
    }

    /// Closes connections to retiring primaries, and says when none is left.
    fn stop_retiring(&mut self, context: Context<'_>) {
        let retiring: Vec<(GroupId, ServerId, u64, bool)> = self
            .groups
            .iter()
            .filter_map(|(group, state)| {
                let retiring = state.retiring.as_ref()?;
                let is_over = context.now.since(retiring.since) >= STOP_GRACE;
                Some((group.clone(), retiring.primary.clone(), retiring.epoch, is_over))
            })
            .collect();
        for (group, primary, epoch, is_over) in retiring {
            let connections: Vec<(ConnectionId, bool)> = self
                .connections
                .iter()
                .filter(|(_, connection)| connection.server == primary)
                .map(|(id, connection)| (id, connection.is_idle() || !connection.is_open))
                .collect();
            for (id, is_unused) in connections {
                if is_unused || is_over {
                    self.break_off(context, id);
                }
            }
            self.relays.retire(context, &primary, is_over);
            let is_left = self.relays.uses(&primary)
                || self.connections.iter().any(|(_, connection)| connection.server == primary);
            if !is_left {
                self.actions.push(Action::Stopped { group, epoch });
            }
        }
    }

    /// Follows a change of a server's entry.
    pub fn server_changed(&mut self, context: Context<'_>, server: &ServerId) {
        let unwanted: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.server == *server && connection.is_idle())
            .filter(|(_, connection)| {
                !self.is_wanted(
                    context,
                    &connection.group,
                    &connection.server,
                    connection.server_born_ms,
                )
            })
            .map(|(id, _)| id)
            .collect();
        for id in unwanted {
            self.connections.remove(id);
            self.actions.push(Action::Disconnect(id));
        }
    }

    /// Returns the answers that callers still wait for at servers.
    pub fn running(&self) -> usize {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.expected.contains(&Expected::Main))
            .count()
    }
}
