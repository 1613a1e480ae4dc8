//! Applies timeouts and changes of the store's records to requests,
//! transactions and server connections.
//!
//! [`Engine::tick`] is called regularly and checks all timeouts.
//! [`Engine::group_changed`] and [`Engine::server_changed`] are called when a
//! record has changed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::{GroupId, ServerId};
use slog::info;

use super::{Action, Context, Engine, OldPrimary, REFUSAL_MARGIN};
use crate::caller::{CallerId, Stage, Transaction};
use crate::connections::{ConnectionId, Expected};
use crate::engine::paths::OWNER_START_TIMEOUT;
use crate::engine::placing::idle_pool_size;
use crate::engine::stopping::STOPPING;
use crate::moment::Moment;
use crate::records::Phase;
use crate::relays;
use crate::statement::{Access, Failure, FailureKind, Work};

/// How long running work at an old primary that is being replaced may continue.
const STOP_GRACE: Duration = Duration::from_millis(150);
/// How long a server may take to answer where no caller waits: to accept a
/// session, from the start of the connection, or to answer commands on a
/// connection that is assigned to no caller.
const NO_WAITER_TIMEOUT: Duration = Duration::from_millis(1500);
/// If a server has not answered running work for this long, a new connection is
/// opened to test whether it still accepts connections.
const TEST_CONNECTION_DELAY: Duration = Duration::from_millis(300);
/// A read whose server has answered nothing for this long after it was sent is
/// retried on another connection, which may lead to the same server. If the server
/// answers on other connections, the read is retried [`STOP_GRACE`] later.
const READ_RETRY_DELAY: Duration = Duration::from_millis(500);
/// How long a connection within the idle pool, or a relayed one, may stay idle.
const IDLE_LIFETIME: Duration = Duration::from_secs(30);
/// How long a direct connection may stay idle where the instance keeps no idle
/// ones, as there are too many instances or the server's connections have an
/// owner.
const TEMPORARY_IDLE_LIFETIME: Duration = Duration::from_millis(300);
/// How long connections beyond the idle pool may stay idle.
const EXCESS_IDLE_LIFETIME: Duration = Duration::from_millis(1000);
/// The idle timeout of transactions if the configuration sets none.
const DEFAULT_TRANSACTION_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

impl Engine {
    /// Handles everything that is due by now: timeouts, retries, waiting
    /// requests and the warm-up of connections.
    pub fn tick(&mut self, context: Context<'_>) {
        self.retry_reads_without_answer(context);
        self.expire_requests(context);
        self.expire_connections(context);
        self.expire_transactions(context);
        self.end_transactions_of_former_holders(context);
        self.end_unauthenticated_sessions(context);
        self.close_old_primaries(context);
        self.warm_up(context);
        self.relays.tick(context);
        self.quotas.tick(context.now);
        self.settle_quotas(context);
        let groups: Vec<GroupId> = self
            .groups
            .iter()
            .filter(|(_, state)| !state.queue.is_empty())
            .map(|(group, _)| group.clone())
            .collect();
        for group in groups {
            self.place_waiting(context, &group, true);
        }
    }

    /// Refuses or times out requests at their deadline, and retries requests
    /// whose backoff is over and reads whose server does not answer.
    fn expire_requests(&mut self, context: Context<'_>) {
        let pending_callers: Vec<CallerId> = self.pending_callers.iter().copied().collect();
        for id in pending_callers {
            let Some(pending) = self.callers.get(&id).and_then(|caller| caller.pending.as_ref())
            else {
                continue;
            };
            let stage = pending.stage;
            let deadline = pending.deadline;
            let is_too_late = context.now >= deadline.saturating_sub(REFUSAL_MARGIN);
            match stage {
                Stage::Queued(_) | Stage::AwaitingQuota | Stage::Backoff { .. } if is_too_late => {
                    self.refuse(context, id);
                }
                Stage::Backoff { until } if context.now >= until => self.place(context, id, true),
                Stage::Assigned(connection) if context.now >= deadline => {
                    self.time_out(context, id, connection);
                }
                Stage::Assigned(connection) => self.abandon_stalled_read(context, id, connection),
                Stage::Queued(_) | Stage::AwaitingQuota | Stage::Backoff { .. } => {}
            }
        }
    }

    /// Answers a request that can't be served in time with a failure of kind
    /// `Busy`, or aborts its transaction.
    ///
    /// Either it has not run, or it is a read that may have run and has no
    /// effect.
    pub(super) fn refuse(&mut self, context: Context<'_>, id: CallerId) {
        self.dequeue(id);
        self.give_unit_back(context, id);
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let Some(pending) = &caller.pending else {
            return;
        };
        let tag = Arc::clone(&pending.tag);
        let failure = match &pending.last_failure {
            // Only reads are retried after an attempt that may have run.
            _ if pending.may_have_run => Failure::new(
                FailureKind::Busy,
                "no answer in time; an attempt may have run, and nothing of it is kept",
            ),
            Some(failure) if failure.kind != FailureKind::InDoubt => Failure::new(
                FailureKind::Busy,
                format!("not run: no server could take it in time; the last said {}", failure.kind),
            ),
            _ if self.stops_before_answer(&pending.route, context.now) => {
                Failure::new(FailureKind::Busy, STOPPING)
            }
            _ => Failure::new(FailureKind::Busy, "not run: no server could take it in time"),
        };
        if matches!(caller.transaction, Transaction::Open(_)) {
            self.abort(context, id, failure);
        } else {
            self.answer_failure(context, id, &tag, failure);
        }
    }

    /// Ends a request whose server has not answered before its deadline.
    ///
    /// A request is refused if its work has not been sent, and also if its work
    /// has been answered but the role check that follows has not.
    fn time_out(&mut self, context: Context<'_>, id: CallerId, connection: ConnectionId) {
        let used = self.connections.get(connection);
        let is_work_unanswered = used.is_some_and(|used| used.expected.contains(&Expected::Work));
        let has_run = used.is_some_and(|used| used.unverified.is_some());
        let text = if self.are_answers_over(context.now) {
            "the server did not answer before the instance stops"
        } else {
            "the server did not answer in time"
        };
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let Some(pending) = &mut caller.pending else {
            return;
        };
        pending.may_have_run |= has_run;
        let tag = Arc::clone(&pending.tag);
        let timeout = Failure::new(FailureKind::Timeout, text);
        if !is_work_unanswered {
            self.detach_caller(connection);
            self.abandon(context, connection);
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
                    self.detach_caller(connection);
                    self.abandon(context, connection);
                    self.answer_failure(context, id, &tag, timeout);
                } else {
                    self.detach_caller(connection);
                    self.abandon(context, connection);
                    self.abort(context, id, timeout);
                }
            }
            _ => {
                self.detach_caller(connection);
                self.abandon(context, connection);
                self.answer_failure(context, id, &tag, timeout);
            }
        }
    }

    /// Retries reads whose answers are overdue, as far as their servers have answered
    /// enough other statements.
    fn retry_reads_without_answer(&mut self, context: Context<'_>) {
        for id in self.connections.find_overdue_answers(context.now) {
            let Some(connection) = self.connections.get(id) else {
                continue;
            };
            let server = connection.server.clone();
            let caller = connection.caller.and_then(|caller| self.callers.get(&caller));
            let pending = caller.and_then(|caller| caller.pending.as_ref());
            let Some(pending) = pending.filter(|pending| pending.work.access() == Access::Read)
            else {
                continue;
            };
            let waited = context.now.since(connection.sent_at);
            let expected = self.expected_duration(pending);
            let latency = &mut self.connections.health(&server).latency;
            if waited > latency.retry_time(expected) && latency.take_retry() {
                self.abandon(context, id);
            }
        }
    }

    /// Retries a read on another connection, to the same or another server, if
    /// its server or its connection has stopped answering.
    fn abandon_stalled_read(&mut self, context: Context<'_>, id: CallerId, on: ConnectionId) {
        let Some(connection) = self.connections.get(on) else {
            return;
        };
        let sent_at = connection.sent_at;
        let is_overdue = context.now.since(sent_at) > READ_RETRY_DELAY;
        let is_server_silent = self
            .connections
            .known_health(&connection.server)
            .is_none_or(|health| health.answered_at < sent_at);
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let is_read = caller.pending.as_ref().is_some_and(|p| p.work.access() == Access::Read)
            && matches!(caller.transaction, Transaction::None);
        // Where other connections to the server get answers, only this one may
        // be broken. A relayed read may simply be queued at the server's owner.
        // Only the value of [`STOP_GRACE`] is used: no primary is replaced here.
        let is_connection_stalled = !is_server_silent
            && connection.via.is_none()
            && context.now.since(sent_at) > READ_RETRY_DELAY + STOP_GRACE;
        if is_overdue && is_read && (is_server_silent || is_connection_stalled) {
            self.abandon(context, on);
        }
    }

    /// Closes connections that were idle for too long or may not be kept, and
    /// those whose server did not accept them in time or does not answer while
    /// no caller waits; opens test connections to servers that don't answer.
    fn expire_connections(&mut self, context: Context<'_>) {
        let mut expired = Vec::new();
        let mut lost = Vec::new();
        let mut unanswered: Vec<(ServerId, Moment)> = Vec::new();
        let mut idle_counts: HashMap<&ServerId, usize> = HashMap::new();
        for (id, connection) in self.connections.iter() {
            let idle_for = context.now.since(connection.idle_since);
            let unanswered_for = context.now.since(connection.sent_at);
            if !connection.is_open {
                // The server has not accepted it yet.
                let is_relayed = connection.via.is_some();
                let timeout = if is_relayed { OWNER_START_TIMEOUT } else { NO_WAITER_TIMEOUT };
                if unanswered_for > timeout {
                    lost.push(id);
                }
            } else if connection.is_idle() {
                // It is in the pool.
                let may_be_kept = self.may_be_kept(
                    context,
                    &connection.group,
                    &connection.server,
                    connection.server_started_ms,
                );
                let idle_count = idle_counts.entry(&connection.server).or_insert(0);
                *idle_count += 1;
                let pool_size = idle_pool_size(context, &connection.group);
                let is_relayed = context
                    .view
                    .server(&connection.server)
                    .is_some_and(|server| relays::is_relayed(context.view, server));
                let may_no_longer_own =
                    connection.via.as_ref().is_some_and(|owner| !context.view.may_own(owner));
                let lifetime = match (&connection.via, pool_size) {
                    (Some(_), _) => IDLE_LIFETIME,
                    (None, 0) => TEMPORARY_IDLE_LIFETIME,
                    (None, _) if is_relayed => TEMPORARY_IDLE_LIFETIME,
                    (None, _) if *idle_count > pool_size => EXCESS_IDLE_LIFETIME,
                    (None, _) => IDLE_LIFETIME,
                };
                if idle_for > lifetime || may_no_longer_own || !may_be_kept {
                    expired.push(id);
                }
            } else if !connection.expected.is_empty() && unanswered_for > TEST_CONNECTION_DELAY {
                // It is in use, and an answer is outstanding.
                unanswered.push((connection.server.clone(), connection.sent_at));
                if connection.caller.is_none() && unanswered_for > NO_WAITER_TIMEOUT {
                    lost.push(id);
                }
            }
        }
        for id in expired {
            self.connections.remove(id);
            self.actions.push(Action::Disconnect(id));
        }
        for id in lost {
            let loss = self.loss_after_timeout(id);
            self.connection_lost(context, id, loss);
        }
        for (server, sent_at) in unanswered {
            self.open_test_connection(context, &server, sent_at);
        }
    }

    /// Returns the loss of a connection that timed out.
    ///
    /// A machine may accept connections for a process that hangs, so a server that has
    /// answered nothing since a direct connection was started counts as silent, which
    /// raises a suspicion if it is the primary. One that is only slow has answered
    /// something on another connection.
    fn loss_after_timeout(&self, id: ConnectionId) -> super::Loss {
        let is_silent = self.connections.get(id).is_some_and(|connection| {
            let health = self.connections.known_health(&connection.server);
            !connection.is_open
                && connection.via.is_none()
                && health.is_none_or(|health| health.answered_at < connection.sent_at)
        });
        if is_silent { super::Loss::Silent } else { super::Loss::Abandoned }
    }

    /// Opens a connection to a server that has not answered since `since`, to
    /// find out whether it still accepts connections.
    fn open_test_connection(&mut self, context: Context<'_>, server: &ServerId, since: Moment) {
        let health = self.connections.health(server);
        let is_due = health.answered_at < since
            && health.opening == 0
            && context.now >= health.connect_after;
        if is_due && let Some(server) = context.view.server(server).cloned() {
            self.open(context, &server, None);
        }
    }

    /// Rolls back transactions that hold a connection and have exceeded the
    /// idle timeout.
    fn expire_transactions(&mut self, context: Context<'_>) {
        let limit = context
            .view
            .document()
            .and_then(|document| document.transaction_idle_timeout)
            .unwrap_or(DEFAULT_TRANSACTION_IDLE_TIMEOUT);
        let expired: Vec<CallerId> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.pending.is_none())
            .filter(|(_, caller)| match &caller.transaction {
                Transaction::Open(open) => {
                    open.connection.is_some() && context.now.since(open.idle_since) > limit
                }
                _ => false,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            info!(self.log, "transaction rolled back at its idle timeout"; "caller" => %id,
                "limit_ms" => limit.as_millis());
            self.abort(context, id, Failure::new(FailureKind::Aborted, "it rested too long"));
        }
    }

    /// Processes a changed record of a group.
    ///
    /// When a replacement of the primary starts, the work at the old primary is
    /// ended; when it is complete, the waiting requests are placed. Records that
    /// are not newer than the last one are ignored.
    pub fn group_changed(&mut self, context: Context<'_>, group: &GroupId) {
        let Some(record) = context.view.group(group).cloned() else {
            return;
        };
        let state = self.group_state(group);
        if state.epoch >= record.epoch {
            return;
        }
        state.epoch = record.epoch;
        info!(self.log, "group's record changed"; "group" => %group, "epoch" => record.epoch,
            "phase" => %record.phase, "primary" => %record.primary, "term" => %record.term);
        let state = self.group_state(group);
        match record.phase {
            Phase::Changing => {
                let is_same_primary = state
                    .old_primary
                    .as_ref()
                    .is_some_and(|old_primary| old_primary.server == record.primary);
                let since = match &state.old_primary {
                    Some(old_primary) if is_same_primary => old_primary.since,
                    _ => context.now,
                };
                state.old_primary =
                    Some(OldPrimary { server: record.primary, epoch: record.epoch, since });
                self.close_old_primaries(context);
            }
            Phase::Serving => {
                state.old_primary = None;
                state.samples.reset();
                self.place_waiting(context, group, true);
            }
        }
    }

    /// Closes connections to old primaries that are being replaced, and reports
    /// each one to which no connection is left; called again at each tick.
    ///
    /// Connections in use are closed once [`STOP_GRACE`] is over.
    fn close_old_primaries(&mut self, context: Context<'_>) {
        let old_primaries: Vec<(GroupId, ServerId, u64, bool)> = self
            .groups
            .iter()
            .filter_map(|(group, state)| {
                let old_primary = state.old_primary.as_ref()?;
                let is_grace_over = context.now.since(old_primary.since) >= STOP_GRACE;
                Some((group.clone(), old_primary.server.clone(), old_primary.epoch, is_grace_over))
            })
            .collect();
        for (group, primary, epoch, is_grace_over) in old_primaries {
            let connections: Vec<(ConnectionId, bool)> = self
                .connections
                .iter()
                .filter(|(_, connection)| connection.server == primary)
                .map(|(id, connection)| (id, connection.is_idle() || !connection.is_open))
                .collect();
            for (id, is_unused) in connections {
                if is_unused || is_grace_over {
                    self.abandon(context, id);
                }
            }
            self.relays.drain_server(context, &primary, is_grace_over);
            let is_in_use = self.relays.has_connections(&primary)
                || self.connections.iter().any(|(_, connection)| connection.server == primary);
            if !is_in_use {
                self.actions.push(Action::Stopped { group, epoch });
            }
        }
    }

    /// Processes a changed or removed entry of a server: closes its idle
    /// connections if they may not be kept.
    pub fn server_changed(&mut self, context: Context<'_>, server: &ServerId) {
        if let Some(known) = context.view.server(server) {
            let load = &mut self.connections.health(server).load;
            load.record_process(known.started_ms, context.now);
        }
        let obsolete: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.server == *server && connection.is_idle())
            .filter(|(_, connection)| {
                !self.may_be_kept(
                    context,
                    &connection.group,
                    &connection.server,
                    connection.server_started_ms,
                )
            })
            .map(|(id, _)| id)
            .collect();
        for id in obsolete {
            self.connections.remove(id);
            self.actions.push(Action::Disconnect(id));
        }
    }

    /// Returns the number of connections on which a caller's work is running.
    pub fn running_count(&self) -> usize {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.expected.contains(&Expected::Work))
            .count()
    }
}
