//! Assigns and closes the pooled connections to servers.
//!
//! A session with a command for the server waits in the server's queue, which is
//! ordered by urgency, until it is assigned an idle connection. It keeps the
//! connection until its statement is answered or its transaction ends.
//! [`Relays::tick`] applies timeouts and closes connections that are no longer
//! needed.

use std::time::Duration;

use masticreel_base::ids::ServerId;
use slog::info;

use crate::connections::{Expected, setup_cost};
use crate::directory::Server;
use crate::engine::{Context, Loss};
use crate::moment::Moment;
use crate::records::{Phase, SuspicionKind};
use crate::relays::opening::{CONNECTIONS_BEYOND_SLOTS, owner_share};
use crate::relays::{
    Pooled, PooledId, RelayAction, RelayAnswer, RelaySessionId, Relays, rank_owners,
};
use crate::statement::{Access, Command};

/// How many statements are sent to a server beyond its slots, so that no slot is
/// idle while an answer is in transit.
pub(super) const STATEMENTS_BEYOND_SLOTS: usize = 1;
/// How often an instance checks whether it still owns a server's connections.
const OWNERSHIP_INTERVAL: Duration = Duration::from_millis(1000);
/// How long an idle connection beyond the number that is kept may stay unused.
const SPARE_IDLE_TIMEOUT: Duration = Duration::from_millis(1000);
/// If a server with outstanding statements sends no answer for this long, or for as long
/// as reads are retried after, a new connection is opened to find out whether it is
/// reachable.
const TEST_CONNECTION_DELAY: Duration = Duration::from_millis(300);
/// How long a server may take to answer where no session waits: to accept a
/// connection, counted from when it was opened, or to answer a command.
const NO_WAITER_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long before the end of a leaving server's time the last waiting statement is sent to
/// it, so that the statement has passed the network by then.
const DRAIN_MARGIN: Duration = Duration::from_millis(200);
/// The backoff after a failed attempt to connect, multiplied by the number of
/// consecutive failures.
const CONNECT_BACKOFF: Duration = Duration::from_millis(60);
/// The largest factor by which [`CONNECT_BACKOFF`] is multiplied.
const CONNECT_BACKOFF_MAX_FACTOR: u32 = 8;

impl Relays {
    /// Applies timeouts, closes unneeded connections and dispatches waiting
    /// sessions.
    pub fn tick(&mut self, context: Context<'_>) {
        self.find_overdue_answers(context);
        self.expire_waiting(context);
        self.check_ownership(context);
        self.expire_connections(context);
        self.end_sessions(context);
        let servers: Vec<ServerId> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(server, _)| server.clone())
            .collect();
        for server in servers {
            self.dispatch_waiting(context, &server);
        }
    }

    /// Assigns idle connections of a server to waiting sessions in the order of
    /// the queue, and opens a connection if there is none. Ends the waiting sessions
    /// instead if the view has no entry of the server.
    pub(super) fn dispatch_waiting(&mut self, context: Context<'_>, server: &ServerId) {
        let Some(known) = context.view.server(server).cloned() else {
            self.report_unreachable(server);
            return;
        };
        if is_being_replaced(context, &known) {
            return;
        }
        let is_departure_over = self.drain_timeout.is_some_and(|allowed| {
            let allowed = allowed.saturating_sub(DRAIN_MARGIN);
            context.view.is_departure_over(server, allowed, context.now)
        });
        if is_departure_over {
            for id in self.waiting(server) {
                self.refuse_waiting(context, id, "not run: the server is leaving");
            }
            return;
        }
        let Some(pool) = self.pools.get(server) else {
            return;
        };
        let has_organisations = self.has_organisations(context, server);
        if pool.running >= known.slots + STATEMENTS_BEYOND_SLOTS && !has_organisations {
            return;
        }
        let mut unassigned = Vec::new();
        for session in pool.queue.in_order(context.now + pool.latency.baseline()) {
            let running = self.pools.get(server).map_or(0, |pool| pool.running);
            let is_busy = running >= known.slots + STATEMENTS_BEYOND_SLOTS;
            if is_busy && !has_organisations {
                return;
            }
            if has_organisations && self.must_wait_to_begin(context, &known, session) {
                continue;
            }
            if is_busy {
                unassigned.push(session);
                continue;
            }
            match self.best_idle(server, session) {
                Some(connection) => self.assign(context, session, connection),
                None if has_organisations => unassigned.push(session),
                None => {
                    self.open_for_waiting(context, &known);
                    return;
                }
            }
        }
        if !unassigned.is_empty() {
            self.open_for_organisations(context, &known, &unassigned);
        }
    }

    /// Assigns an idle connection to a waiting session and sends its command.
    fn assign(&mut self, context: Context<'_>, id: RelaySessionId, connection: PooledId) {
        let Some(command) = self.start(id) else {
            return;
        };
        if let Some(pooled) = self.pooled.get_mut(&connection) {
            pooled.session = Some(id);
            pooled.was_used = true;
        }
        if let Some(session) = self.sessions.get_mut(&id) {
            session.connection = Some(connection);
        }
        self.prepare_and_send(context, connection, command);
    }

    /// Returns the idle connection with the lowest [`setup_cost`] for the session's
    /// variables, among those of its organisation.
    fn best_idle(&self, server: &ServerId, session: RelaySessionId) -> Option<PooledId> {
        let session = self.sessions.get(&session)?;
        let variables = &session.variables;
        let organisation = &session.waiting.as_ref()?.organisation;
        let pool = self.pools.get(server)?;
        let idle = pool.connections.iter().filter_map(|id| {
            let pooled = self.pooled.get(id)?;
            let is_usable = is_idle(pooled) && pooled.organisation == *organisation;
            is_usable.then_some((setup_cost(&pooled.variables, variables), *id))
        });
        idle.min().map(|(_, id)| id)
    }

    /// Sends the session's command on a connection once all setup commands are
    /// answered. Releases the connection if its session has ended.
    pub(super) fn send_command(&mut self, context: Context<'_>, id: PooledId) {
        let Some(pooled) = self.pooled.get_mut(&id) else {
            return;
        };
        if !pooled.expected.is_empty() {
            return;
        }
        if pooled.session.is_none() {
            self.release(context, id);
            return;
        }
        let Some(command) = pooled.command.take() else {
            return;
        };
        pooled.expected.push_back(Expected::Work);
        pooled.runs_read =
            matches!(&command, Command::Run { work, .. } if work.access() == Access::Read);
        pooled.sent_at = context.now;
        self.pools.entry(pooled.server.clone()).or_default().running += 1;
        self.actions.push(RelayAction::Send(id, command));
    }

    /// Makes a connection idle if no answer is outstanding and no transaction is
    /// open, and dispatches the next waiting session. Also used for a connection that
    /// the server has just accepted.
    ///
    /// An open transaction whose session has ended is rolled back first. A connection
    /// that must not be used any more is closed instead.
    pub(super) fn release(&mut self, context: Context<'_>, id: PooledId) {
        let Some(pooled) = self.pooled.get_mut(&id) else {
            return;
        };
        if !pooled.expected.is_empty() || !pooled.is_open {
            return;
        }
        if pooled.in_transaction {
            if pooled.session.is_none() {
                pooled.sent_at = context.now;
                pooled.expected.push_back(Expected::Rollback);
                self.actions.push(RelayAction::Send(id, Command::Rollback));
            }
            return;
        }
        pooled.command = None;
        pooled.idle_since = context.now;
        if let Some(session) = pooled.session.take().and_then(|id| self.sessions.get_mut(&id)) {
            session.connection = None;
        }
        let server = pooled.server.clone();
        if is_obsolete(context, pooled) {
            self.close(id);
        }
        self.dispatch_waiting(context, &server);
    }

    /// Closes a connection and removes it from its pool.
    pub(super) fn close(&mut self, id: PooledId) -> Option<Pooled> {
        let pooled = self.pooled.remove(&id)?;
        self.actions.push(RelayAction::Close(id));
        let pool = self.pools.entry(pooled.server.clone()).or_default();
        pool.connections.retain(|known| *known != id);
        if !pooled.is_open {
            pool.opening -= 1;
        }
        if pooled.expected.contains(&Expected::Work) && !pooled.is_answer_overdue {
            pool.running -= 1;
        }
        Some(pooled)
    }

    /// Removes a connection that could not be opened, has ended, or is closed by this
    /// instance because of a timeout or a replacement, and informs its session.
    ///
    /// If the session's command was sent or a transaction was open, the session
    /// ends: the outcome of the command may be unknown. Otherwise the command
    /// is refused as not run.
    pub fn remove_connection(&mut self, context: Context<'_>, id: PooledId, loss: Loss) {
        let Some(pooled) = self.close(id) else {
            return;
        };
        if !pooled.is_open {
            self.connect_failed(context, &pooled, loss);
        }
        if loss == Loss::Closed && pooled.expected.contains(&Expected::Work) {
            self.work_lost(context, &pooled);
        }
        let Some(session) = pooled.session else {
            return;
        };
        info!(self.log, "connection lost"; "server" => %pooled.server, "loss" => ?loss,
            "relayed_session" => %session);
        if let Some(known) = self.sessions.get_mut(&session) {
            known.connection = None;
        }
        if pooled.expected.contains(&Expected::Work) || pooled.in_transaction {
            self.sessions.remove(&session);
            self.actions.push(RelayAction::End(session));
        } else {
            self.refuse(session, "not run: the connection to the server broke");
            self.run_backlog(context, session);
        }
    }

    /// Records that a server has closed a connection with work on it, and reports a
    /// primary that does so with all work as suspect.
    fn work_lost(&mut self, context: Context<'_>, pooled: &Pooled) {
        let pool = self.pools.entry(pooled.server.clone()).or_default();
        pool.load.record_failure(context.now);
        let is_failing = pool.dropped_work.record_loss(context.now);
        let group = pooled.group.clone();
        let primary = pooled.server.clone();
        let is_primary = context.view.group(&group).is_some_and(|r| r.primary == primary);
        if is_failing && is_primary {
            let kind = SuspicionKind::Failing;
            self.actions.push(RelayAction::Suspect { group, primary, kind });
        }
    }

    /// Starts the backoff after a failed attempt to connect. If the connection was
    /// refused or not established, reports a primary as suspect, and ends the
    /// sessions that wait for the server if it is unreachable.
    fn connect_failed(&mut self, context: Context<'_>, pooled: &Pooled, loss: Loss) {
        let pool = self.pools.entry(pooled.server.clone()).or_default();
        pool.failed_connects += 1;
        pool.connect_after =
            context.now + CONNECT_BACKOFF * pool.failed_connects.min(CONNECT_BACKOFF_MAX_FACTOR);
        let kind = match loss {
            Loss::Refused => SuspicionKind::Refused,
            Loss::Silent => SuspicionKind::Silent,
            Loss::Closed | Loss::Abandoned | Loss::Garbage => return,
        };
        let group = pooled.group.clone();
        let primary = pooled.server.clone();
        if context.view.group(&group).is_some_and(|record| record.primary == primary) {
            self.actions.push(RelayAction::Suspect { group, primary, kind });
        }
        let is_other_open = self.pools.get(&pooled.server).is_some_and(|pool| {
            pool.connections.iter().any(|id| self.pooled.get(id).is_some_and(|p| p.is_open))
        });
        if kind == SuspicionKind::Refused || !is_other_open {
            self.report_unreachable(&pooled.server);
        }
    }

    /// Returns the sessions that wait for a server.
    fn waiting(&self, server: &ServerId) -> Vec<RelaySessionId> {
        let pool = self.pools.get(server);
        pool.map(|pool| pool.queue.in_order(Moment::default())).unwrap_or_default()
    }

    /// Ends the sessions that wait for a server and reports to their entry
    /// instances that the server is unreachable from here, so that they use
    /// another path.
    pub(super) fn report_unreachable(&mut self, server: &ServerId) {
        for id in self.waiting(server) {
            self.dequeue(id);
            self.sessions.remove(&id);
            self.actions.push(RelayAction::Answer(id, RelayAnswer::Unreachable));
        }
    }

    /// Checks at intervals of [`OWNERSHIP_INTERVAL`] which servers' connections
    /// this instance owns.
    fn check_ownership(&mut self, context: Context<'_>) {
        for (server, pool) in &mut self.pools {
            if context.now.since(pool.ownership_checked_at) >= OWNERSHIP_INTERVAL {
                pool.ownership_checked_at = context.now;
                let was_owned = pool.is_owned;
                pool.is_owned = context
                    .view
                    .server(server)
                    .is_some_and(|s| rank_owners(context.view, s).first() == Some(&self.instance));
                if pool.is_owned != was_owned {
                    info!(self.log, "ownership of a server's connections changed";
                        "server" => %server, "owned" => pool.is_owned,
                        "connections" => pool.connections.len(),
                        "waiting" => pool.queue.len(),
                        "fleet" => context.view.instance_count());
                }
            }
        }
    }

    /// Finds answers that are overdue although the server has answered commands which
    /// were sent later.
    ///
    /// The server has probably ended these statements and lost the answers, so others are
    /// sent in their place. Work that was not sent yet, and after a while a read outside
    /// a transaction, is handed back to its entry instance, which retries it. Anything
    /// else keeps its connection until its caller gives up, since its outcome can't be
    /// learned in another way.
    fn find_overdue_answers(&mut self, context: Context<'_>) {
        let mut handed_back = Vec::new();
        for pool in self.pools.values_mut() {
            let overdue_time = pool.latency.overdue_time();
            for id in &pool.connections {
                let Some(pooled) = self.pooled.get_mut(id) else {
                    continue;
                };
                let waited = context.now.since(pooled.sent_at);
                let is_overdue = pooled.is_open
                    && !pooled.expected.is_empty()
                    && waited > overdue_time
                    && pool.answered_sent_at > pooled.sent_at;
                if !is_overdue {
                    continue;
                }
                let was_sent = pooled.expected.contains(&Expected::Work);
                if !std::mem::replace(&mut pooled.is_answer_overdue, true) {
                    pool.running -= usize::from(was_sent);
                }
                let is_plain_read = pooled.runs_read && !pooled.in_transaction;
                let session = pooled.session.and_then(|session| self.sessions.get(&session));
                let expected = session.map(|session| session.expected).unwrap_or_default();
                let may_retry = if was_sent {
                    is_plain_read
                        && waited > pool.latency.retry_time(expected)
                        && pool.latency.take_retry()
                } else {
                    true
                };
                if may_retry && pooled.session.is_some() {
                    handed_back.push(*id);
                }
            }
        }
        for id in handed_back {
            self.remove_connection(context, id, Loss::Abandoned);
        }
    }

    /// Closes spare idle connections and those on which the server timed out,
    /// and opens a new connection to servers that have stopped answering.
    fn expire_connections(&mut self, context: Context<'_>) {
        let mut unused = Vec::new();
        let mut timed_out = Vec::new();
        let mut silent = Vec::new();
        let is_configured = context.view.document().is_some_and(|d| d.organisations.is_some());
        for (server, pool) in &self.pools {
            let slots = context.view.server(server).map_or(0, |server| server.slots);
            let idle_limit = match pool.is_owned {
                // Test connections to a silent server may have exceeded the share.
                true if is_configured => {
                    let share = context.view.server(server).map_or(0, |s| owner_share(context, s));
                    let pooled = pool.connections.iter().filter_map(|id| self.pooled.get(id));
                    share.saturating_sub(pooled.filter(|pooled| !is_idle(pooled)).count())
                }
                true => slots + CONNECTIONS_BEYOND_SLOTS,
                false => 0,
            };
            let mut idle = 0;
            for id in &pool.connections {
                let Some(pooled) = self.pooled.get(id) else {
                    continue;
                };
                let waited = context.now.since(pooled.sent_at);
                if is_idle(pooled) {
                    idle += 1;
                    let is_left_over = !is_configured && pooled.organisation.is_some();
                    let is_spare = (idle > idle_limit || is_left_over)
                        && context.now.since(pooled.idle_since) > SPARE_IDLE_TIMEOUT;
                    if is_spare || is_obsolete(context, pooled) {
                        unused.push(*id);
                    }
                    continue;
                }
                if pooled.expected.is_empty() {
                    continue;
                }
                let has_no_waiter = pooled.session.is_none();
                if has_no_waiter && (waited > NO_WAITER_TIMEOUT || pooled.is_answer_overdue) {
                    timed_out.push(*id);
                } else if waited
                    > TEST_CONNECTION_DELAY.min(pool.latency.retry_time(Duration::ZERO))
                    && pool.answered_at < pooled.sent_at
                    && pool.opening == 0
                    && context.now >= pool.connect_after
                    && silent.last() != Some(server)
                {
                    silent.push(server.clone());
                }
            }
        }
        for id in unused {
            self.close(id);
        }
        for id in timed_out {
            let loss = self.loss_after_timeout(id);
            self.remove_connection(context, id, loss);
        }
        for server in silent {
            if let Some(server) = context.view.server(&server).cloned() {
                self.open(context, &server, None);
            }
        }
    }

    /// Returns the loss of a connection that timed out: a server that has answered
    /// nothing since it was opened hangs, though its machine accepts connections.
    fn loss_after_timeout(&self, id: PooledId) -> Loss {
        let is_silent = self.pooled.get(&id).is_some_and(|pooled| {
            let pool = self.pools.get(&pooled.server);
            !pooled.is_open && pool.is_none_or(|pool| pool.answered_at < pooled.sent_at)
        });
        if is_silent { Loss::Silent } else { Loss::Abandoned }
    }

    /// Ends work at a primary that is being replaced.
    ///
    /// Closes unused connections and refuses waiting sessions at once; also
    /// closes the connections in use if the deadline for the remaining work has
    /// passed.
    pub fn drain_server(
        &mut self,
        context: Context<'_>,
        server: &ServerId,
        is_deadline_past: bool,
    ) {
        let connections: Vec<PooledId> =
            self.pools.get(server).map(|pool| pool.connections.clone()).unwrap_or_default();
        for id in connections {
            let is_unused =
                self.pooled.get(&id).is_some_and(|pooled| is_idle(pooled) || !pooled.is_open);
            if is_unused || is_deadline_past {
                self.remove_connection(context, id, Loss::Abandoned);
            }
        }
        for id in self.waiting(server) {
            self.refuse_waiting(context, id, "not run: the group's primary is being replaced");
        }
    }
}

/// Returns whether a connection can be assigned to a session.
pub(super) fn is_idle(pooled: &Pooled) -> bool {
    pooled.is_open && pooled.session.is_none() && pooled.expected.is_empty()
}

fn is_being_replaced(context: Context<'_>, server: &Server) -> bool {
    let record = context.view.group(&server.group);
    record.is_some_and(|r| r.phase == Phase::Changing && r.primary == server.id)
}

/// Returns whether a connection must not be used any more: its server was
/// removed, changed its group, restarted, is leaving or is being replaced.
///
/// A primary stays in use while it is leaving and after its entry was removed.
fn is_obsolete(context: Context<'_>, pooled: &Pooled) -> bool {
    let is_primary = context.view.group(&pooled.group).is_some_and(|r| r.primary == pooled.server);
    context.view.server(&pooled.server).map_or(!is_primary, |known| {
        known.group != pooled.group
            || known.started_ms != pooled.server_started_ms
            || (known.is_leaving && !is_primary)
            || is_being_replaced(context, known)
    })
}
