//! The connections to one server, and whose work they carry.

use std::collections::VecDeque;
use std::time::Duration;

use masticreel_base::ids::ServerId;
use slog::info;

use crate::connections::{Expected, setup_cost};
use crate::directory::Server;
use crate::engine::{Context, Loss};
use crate::moment::Moment;
use crate::records::{DoubtKind, Phase};
use crate::relays::{Pooled, PooledId, RelayAction, RelayAnswer, RelaySessionId, Relays, owners};
use crate::statement::Command;

/// Statements beyond a server's slots that are sent to it, so that a slot does
/// not rest while an answer is on its way.
const STATEMENTS_BEYOND_SLOTS: usize = 1;
/// Connections beyond a server's slots that are kept at rest, for transactions
/// that rest between two statements.
const CONNECTIONS_BEYOND_SLOTS: usize = 4;
/// The part of a server's connections that its owner uses: as many are left for
/// the next owner, since a server holds those of a machine that lost its power
/// for seconds.
const OWNER_PART: usize = 2;
/// How often an instance looks whether it still owns a server.
const OWNERSHIP_INTERVAL: Duration = Duration::from_millis(1000);
/// How long connections beyond those at rest are kept.
const SPARE_LIFETIME: Duration = Duration::from_millis(1000);
/// A server that answers nothing for this long while work is with it is tried
/// over a new connection.
const SILENCE: Duration = Duration::from_millis(300);
/// How long a server may take to accept a session, from the connection's start,
/// and to answer what no session waits for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The pause after a failed attempt to connect, times the failures in a row.
const FAILURE_PAUSE: Duration = Duration::from_millis(60);
/// The longest such pause, in pauses.
const LONGEST_PAUSES: u32 = 8;

impl Relays {
    /// Does what is due.
    pub fn tick(&mut self, context: Context<'_>) {
        self.expire_waiting(context);
        self.look_at_ownership(context);
        self.expire_connections(context);
        let servers: Vec<ServerId> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(server, _)| server.clone())
            .collect();
        for server in servers {
            self.pump(context, &server);
        }
    }

    /// Gives waiting sessions the connections of a server, the urgent first.
    pub(super) fn pump(&mut self, context: Context<'_>, server: &ServerId) {
        let Some(known) = context.view.server(server).cloned() else {
            self.fail_waiting(server);
            return;
        };
        if is_retiring(context, &known) {
            return;
        }
        let Some(pool) = self.pools.get(server) else {
            return;
        };
        if pool.running >= known.slots + STATEMENTS_BEYOND_SLOTS {
            return;
        }
        for session in pool.queue.in_order(context.now + pool.pace.usual()) {
            let running = self.pools.get(server).map_or(0, |pool| pool.running);
            if running >= known.slots + STATEMENTS_BEYOND_SLOTS {
                return;
            }
            match self.best_idle(server, session) {
                Some(connection) => self.assign(context, session, connection),
                None => {
                    self.open_for_waiting(context, &known);
                    return;
                }
            }
        }
    }

    fn assign(&mut self, context: Context<'_>, id: RelaySessionId, connection: PooledId) {
        let Some(command) = self.stop_waiting(id) else {
            return;
        };
        if let Some(pooled) = self.pooled.get_mut(&connection) {
            pooled.session = Some(id);
        }
        if let Some(session) = self.sessions.get_mut(&id) {
            session.connection = Some(connection);
        }
        self.prepare_and_send(context, connection, command);
    }

    /// Chooses the idle connection on which least must be prepared.
    fn best_idle(&self, server: &ServerId, session: RelaySessionId) -> Option<PooledId> {
        let wanted = &self.sessions.get(&session)?.values;
        let pool = self.pools.get(server)?;
        let idle = pool.connections.iter().filter_map(|id| {
            let pooled = self.pooled.get(id)?;
            is_idle(pooled).then_some((setup_cost(&pooled.values, wanted), *id))
        });
        idle.min().map(|(_, id)| id)
    }

    fn open_for_waiting(&mut self, context: Context<'_>, server: &Server) {
        let limits = context.view.document().and_then(|d| d.groups.get(&server.group));
        let limit = limits.map_or(1, |limits| limits.max_connections);
        let pool = self.pools.entry(server.id.clone()).or_default();
        let share = (limit / OWNER_PART).max(1);
        // More could not be used at a time, and each opening takes a slot.
        let resting = pool.connections.iter().filter_map(|id| self.pooled.get(id));
        let resting = resting.filter(|p| p.in_transaction && p.expected.is_empty()).count();
        let usable = pool.connections.len() - resting;
        let is_wanted = pool.opening < pool.queue.len()
            && usable < server.slots + STATEMENTS_BEYOND_SLOTS
            && pool.connections.len() < share;
        if is_wanted && context.now >= pool.open_after {
            self.open(context, server);
        }
    }

    /// Opens a connection to a server.
    fn open(&mut self, context: Context<'_>, server: &Server) {
        self.next_pooled += 1;
        let id = PooledId(self.next_pooled);
        self.actions.push(RelayAction::Open {
            connection: id,
            address: server.address,
            group: server.group.clone(),
            server: server.id.clone(),
        });
        let mut expected = VecDeque::from([Expected::Start]);
        let leads = context.view.group(&server.group).is_some_and(|r| r.primary == server.id);
        if leads {
            // A server that was deposed while it was away still accepts
            // sessions, so its role is asked before it is used as a primary.
            expected.push_back(Expected::Role);
            self.actions.push(RelayAction::Send(id, Command::Status));
        }
        let pooled = Pooled {
            server: server.id.clone(),
            group: server.group.clone(),
            born_ms: server.born_ms,
            is_open: false,
            session: None,
            expected,
            main: None,
            failure: None,
            in_transaction: false,
            values: Default::default(),
            prepared: Default::default(),
            sent_at: context.now,
            idle_since: context.now,
        };
        self.pooled.insert(id, pooled);
        let pool = self.pools.entry(server.id.clone()).or_default();
        pool.connections.push(id);
        pool.opening += 1;
    }

    /// Sends the command of a connection's session once it is prepared.
    pub(super) fn send_main(&mut self, context: Context<'_>, id: PooledId) {
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
        let Some(command) = pooled.main.take() else {
            return;
        };
        pooled.expected.push_back(Expected::Main);
        pooled.sent_at = context.now;
        self.pools.entry(pooled.server.clone()).or_default().running += 1;
        self.actions.push(RelayAction::Send(id, command));
    }

    /// Frees a connection whose work has ended, and gives it to the next
    /// session.
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
        pooled.main = None;
        pooled.idle_since = context.now;
        if let Some(session) = pooled.session.take().and_then(|id| self.sessions.get_mut(&id)) {
            session.connection = None;
        }
        let server = pooled.server.clone();
        if is_unwanted(context, pooled) {
            self.forget(id);
        }
        self.pump(context, &server);
    }

    /// Closes a connection and forgets it.
    fn forget(&mut self, id: PooledId) -> Option<Pooled> {
        let pooled = self.pooled.remove(&id)?;
        self.actions.push(RelayAction::Close(id));
        let pool = self.pools.entry(pooled.server.clone()).or_default();
        pool.connections.retain(|known| *known != id);
        if !pooled.is_open {
            pool.opening -= 1;
        }
        if pooled.expected.contains(&Expected::Main) {
            pool.running -= 1;
        }
        Some(pooled)
    }

    /// Notes that a connection could not be opened or has ended.
    pub fn lost(&mut self, context: Context<'_>, id: PooledId, loss: Loss) {
        let Some(pooled) = self.forget(id) else {
            return;
        };
        if !pooled.is_open {
            self.open_failed(context, &pooled, loss);
        }
        let Some(session) = pooled.session else {
            return;
        };
        info!(self.log, "connection lost"; "server" => %pooled.server, "loss" => ?loss,
            "relayed_session" => %session);
        if let Some(known) = self.sessions.get_mut(&session) {
            known.connection = None;
        }
        if pooled.expected.contains(&Expected::Main) || pooled.in_transaction {
            self.sessions.remove(&session);
            self.actions.push(RelayAction::End(session));
        } else {
            self.refuse(session, "not run: the connection to the server broke");
            self.go_on(context, session);
        }
    }

    fn open_failed(&mut self, context: Context<'_>, pooled: &Pooled, loss: Loss) {
        let pool = self.pools.entry(pooled.server.clone()).or_default();
        pool.failed_opens += 1;
        pool.open_after = context.now + FAILURE_PAUSE * pool.failed_opens.min(LONGEST_PAUSES);
        let kind = match loss {
            Loss::Refused => DoubtKind::Refused,
            Loss::Silent => DoubtKind::Silent,
            Loss::Closed | Loss::Garbage => return,
        };
        let group = pooled.group.clone();
        let primary = pooled.server.clone();
        if context.view.group(&group).is_some_and(|record| record.primary == primary) {
            self.actions.push(RelayAction::Doubt { group, primary, kind });
        }
        let is_other_open = self.pools.get(&pooled.server).is_some_and(|pool| {
            pool.connections.iter().any(|id| self.pooled.get(id).is_some_and(|p| p.is_open))
        });
        if kind == DoubtKind::Refused || !is_other_open {
            self.fail_waiting(&pooled.server);
        }
    }

    /// Returns the sessions that wait for a server.
    fn waiting(&self, server: &ServerId) -> Vec<RelaySessionId> {
        let pool = self.pools.get(server);
        pool.map(|pool| pool.queue.in_order(Moment::default())).unwrap_or_default()
    }

    /// Tells the sessions that wait for a server to reach it in another way.
    fn fail_waiting(&mut self, server: &ServerId) {
        for id in self.waiting(server) {
            self.stop_waiting(id);
            self.sessions.remove(&id);
            self.actions.push(RelayAction::Answer(id, RelayAnswer::Unreachable));
        }
    }

    /// Looks from time to time which servers this instance owns.
    fn look_at_ownership(&mut self, context: Context<'_>) {
        for (server, pool) in &mut self.pools {
            if context.now.since(pool.looked_at) >= OWNERSHIP_INTERVAL {
                pool.looked_at = context.now;
                let was_owned = pool.is_owned;
                pool.is_owned = context
                    .view
                    .server(server)
                    .is_some_and(|s| owners(context.view, s).first() == Some(&self.instance));
                if pool.is_owned != was_owned {
                    info!(self.log, "ownership of a server's connections changed";
                        "server" => %server, "owned" => pool.is_owned,
                        "connections" => pool.connections.len(),
                        "waiting" => pool.queue.len(),
                        "fleet" => context.view.fleet_size());
                }
            }
        }
    }

    fn expire_connections(&mut self, context: Context<'_>) {
        let mut unused = Vec::new();
        let mut lost = Vec::new();
        let mut silent = Vec::new();
        for (server, pool) in &self.pools {
            let slots = context.view.server(server).map_or(0, |server| server.slots);
            let at_rest = if pool.is_owned { slots + CONNECTIONS_BEYOND_SLOTS } else { 0 };
            let mut idle = 0;
            for id in &pool.connections {
                let Some(pooled) = self.pooled.get(id) else {
                    continue;
                };
                let waits = context.now.since(pooled.sent_at);
                if is_idle(pooled) {
                    idle += 1;
                    let is_spare =
                        idle > at_rest && context.now.since(pooled.idle_since) > SPARE_LIFETIME;
                    if is_spare || is_unwanted(context, pooled) {
                        unused.push(*id);
                    }
                    continue;
                }
                if pooled.expected.is_empty() {
                    continue;
                }
                if waits > ANSWER_TIMEOUT && pooled.session.is_none() {
                    lost.push(*id);
                } else if waits > SILENCE
                    && pool.answered_at < pooled.sent_at
                    && pool.opening == 0
                    && context.now >= pool.open_after
                    && silent.last() != Some(server)
                {
                    silent.push(server.clone());
                }
            }
        }
        for id in unused {
            self.forget(id);
        }
        for id in lost {
            self.lost(context, id, Loss::Closed);
        }
        for server in silent {
            if let Some(server) = context.view.server(&server).cloned() {
                self.open(context, &server);
            }
        }
    }

    /// Ends work at a primary that is being replaced: what rests at once,
    /// everything once its time is over.
    pub fn retire(&mut self, context: Context<'_>, server: &ServerId, is_over: bool) {
        let connections: Vec<PooledId> =
            self.pools.get(server).map(|pool| pool.connections.clone()).unwrap_or_default();
        for id in connections {
            let is_unused =
                self.pooled.get(&id).is_some_and(|pooled| is_idle(pooled) || !pooled.is_open);
            if is_unused || is_over {
                self.lost(context, id, Loss::Closed);
            }
        }
        for id in self.waiting(server) {
            self.refuse_waiting(context, id, "not run: the group's primary is being replaced");
        }
    }
}

/// Returns whether a connection waits for a session.
fn is_idle(pooled: &Pooled) -> bool {
    pooled.is_open && pooled.session.is_none() && pooled.expected.is_empty()
}

/// Returns whether a server is the primary that its group is about to replace.
fn is_retiring(context: Context<'_>, server: &Server) -> bool {
    let record = context.view.group(&server.group);
    record.is_some_and(|r| r.phase == Phase::Changing && r.primary == server.id)
}

/// Returns whether a connection is of no more use.
fn is_unwanted(context: Context<'_>, pooled: &Pooled) -> bool {
    let leads = context.view.group(&pooled.group).is_some_and(|r| r.primary == pooled.server);
    context.view.server(&pooled.server).map_or(!leads, |known| {
        known.group != pooled.group
            || known.born_ms != pooled.born_ms
            || (known.is_leaving && !leads)
            || is_retiring(context, known)
    })
}
