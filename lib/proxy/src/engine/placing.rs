//! Which server runs a request, and on which connection.

use std::time::Duration;

use masticreel_base::ids::{GroupId, ServerId};
use masticreel_base::position::TermPosition;

use super::{Action, Context, Engine};
use crate::caller::{CallerId, Need, Pending, Stage, Transaction};
use crate::connections::Expected;
use crate::directory::Server;
use crate::pace::Pace;
use crate::statement::Command;
use crate::{relays, trust};

/// Connections to a server that no instance uses, so that one that restarts
/// finds room while the server still holds its old ones.
const SPARE_CONNECTIONS: usize = 1;
/// Connections to a server beyond those kept at rest that this instance opens
/// under load.
const EXTRA_CONNECTIONS: usize = 1;
/// The part of a server's connections that is left for instances that come and
/// go, where all together keep more than half.
const TURNOVER_PART: usize = 8;
/// Connections to a server that an instance opens for its work of the moment
/// where it can't keep one at rest.
const LENT_CONNECTIONS: usize = 3;
/// Connections that an instance opens itself to a server whose owner can't reach
/// it; all instances may do so at the same time.
const UNOWNED_CONNECTIONS: usize = 1;
/// Sessions that an instance keeps with the owner of a server's connections;
/// they cost the server nothing.
const RELAYED_SESSIONS: usize = 16;
/// Statements for each slot of a server that an instance has with its owner.
const RELAYED_PER_SLOT: usize = 2;
/// The mean pause between two connections that are opened ahead of need.
const WARM_UP_PAUSE: Duration = Duration::from_millis(150);
/// How long nothing is looked for after all wanted connections were opened.
const WARM_REST: Duration = Duration::from_secs(1);
/// Servers to which a connection is opened ahead of need at most; an instance of
/// a large fleet works at few of its servers.
const WARMED_SERVERS: usize = 64;
/// How long what a replica last said of its position is taken for its position
/// now.
const POSITION_MEMORY: Duration = Duration::from_millis(60);

/// How long a replica that lacked a floor is not asked for it again: one request
/// in this time finds out whether it has caught up.
const LAG_MEMORY: Duration = Duration::from_millis(250);

/// How long a change of the primary may last before requests that need it are
/// refused at once: twice the time that changes take without trouble.
const CHANGE_PATIENCE: Duration = Duration::from_millis(2000);
/// Failed attempts to connect in a row after which a primary is out of reach.
const UNREACHABLE_ATTEMPTS: u32 = 2;

/// A server that may run a request.
#[derive(Debug)]
struct Candidate {
    server: ServerId,
    /// Whether the instance has as much work there as the server takes.
    is_full: bool,
}

impl Engine {
    /// Puts a request on a connection, or lets it wait for one.
    pub(super) fn place(&mut self, context: Context<'_>, id: CallerId, may_open: bool) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        if let Transaction::Open(open) = &caller.transaction
            && let Some(connection) = open.connection
        {
            self.assign(id, connection);
            self.send_main(context, connection);
            return;
        }
        let Some(pending) = &caller.pending else {
            return;
        };
        let candidates = self.candidates(context, pending);
        let values = caller.values.clone();
        for candidate in &candidates {
            if candidate.is_full {
                continue;
            }
            if let Some(connection) = self.connections.best_idle(&candidate.server, &values) {
                self.dispatch(context, id, connection);
                self.open_first(context, &candidates);
                return;
            }
        }
        let is_hopeless = candidates.is_empty() && !self.may_be_served(context, pending);
        if is_hopeless || self.is_primary_out_of_reach(context, pending) {
            self.refuse(context, id);
            return;
        }
        self.enqueue(id);
        if may_open {
            let group = self.group_of(id);
            if let Some(group) = group {
                self.open_for(context, &group, &candidates);
            }
        }
    }

    /// Returns whether a request that no server may run now may find one in time.
    ///
    /// A change of the primary is over within its patience. An instance that has
    /// lost the store, or does not know the group, has no such hope.
    fn may_be_served(&self, context: Context<'_>, pending: &Pending) -> bool {
        let is_in_touch =
            context.view.confirmed_at().is_some_and(|at| context.now < at + trust::ENTITLEMENT);
        let group = &pending.route.group;
        let is_hopeful = self.groups.get(group).is_none_or(|state| {
            state
                .retiring
                .as_ref()
                .is_none_or(|retiring| context.now.since(retiring.since) < CHANGE_PATIENCE)
        });
        is_in_touch && is_hopeful && context.view.group(group).is_some()
    }

    /// Returns whether a request waits for a primary that nobody can replace now:
    /// it can't be reached, and the store is silent.
    fn is_primary_out_of_reach(&self, context: Context<'_>, pending: &Pending) -> bool {
        if pending.need != Need::Primary || trust::is_fresh(context.view, context.now) {
            return false;
        }
        let primary = context.view.group(&pending.route.group).map(|record| &record.primary);
        let health = primary.and_then(|primary| self.connections.known_health(primary));
        health.is_some_and(|health| {
            health.failed_opens >= UNREACHABLE_ATTEMPTS && health.connections == health.opening
        })
    }

    fn group_of(&self, id: CallerId) -> Option<GroupId> {
        let pending = self.callers.get(&id)?.pending.as_ref()?;
        Some(pending.route.group.clone())
    }

    fn enqueue(&mut self, id: CallerId) {
        let Some(pending) = self.callers.get_mut(&id).and_then(|caller| caller.pending.as_mut())
        else {
            return;
        };
        if matches!(pending.stage, Stage::Waiting(_)) {
            return;
        }
        let group = pending.route.group.clone();
        let urgency = pending.route.urgency;
        let wanted_by = pending.received_at + pending.route.target_latency;
        let expected =
            self.route_paces.get(&pending.route.name).map(Pace::usual).unwrap_or_default();
        let turn = self.group(&group).queue.push(urgency, id, wanted_by, expected);
        if let Some(pending) = self.callers.get_mut(&id).and_then(|caller| caller.pending.as_mut())
        {
            pending.stage = Stage::Waiting(turn);
        }
    }

    /// Takes a request out of the queue of its group.
    pub(super) fn dequeue(&mut self, id: CallerId) {
        let Some(pending) = self.callers.get(&id).and_then(|caller| caller.pending.as_ref()) else {
            return;
        };
        if let Stage::Waiting(turn) = pending.stage {
            let group = pending.route.group.clone();
            self.group(&group).queue.remove(turn);
        }
    }

    /// Gives waiting requests the connections that have become idle.
    pub(super) fn pump(&mut self, context: Context<'_>, group: &GroupId, may_open: bool) {
        let answered_at = context.now + self.expected_time(context, group);
        for id in self.group(group).queue.in_order(answered_at) {
            if !may_open && !self.connections.has_idle(group) {
                return;
            }
            self.place(context, id, may_open);
        }
    }

    /// Returns how long a statement takes at the primary of a group.
    fn expected_time(&self, context: Context<'_>, group: &GroupId) -> Duration {
        let primary = context.view.group(group).map(|record| &record.primary);
        let health = primary.and_then(|primary| self.connections.known_health(primary));
        health.map_or(Duration::ZERO, |health| health.pace.mean())
    }

    /// Opens a connection to the first candidate that has room for one.
    fn open_for(&mut self, context: Context<'_>, group: &GroupId, candidates: &[Candidate]) {
        let waiting = self.waiting(group);
        let opening: usize = candidates
            .iter()
            .filter_map(|candidate| self.connections.known_health(&candidate.server))
            .map(|health| health.opening)
            .sum();
        if opening >= waiting {
            return;
        }
        for candidate in candidates {
            let Some(server) = context.view.server(&candidate.server) else {
                continue;
            };
            let share = self.connection_share(context, server);
            let health = self.connections.health(&server.id);
            if health.connections < share && context.now >= health.open_after {
                self.open(context, server);
                return;
            }
        }
    }

    /// Opens a connection to the best candidate if there is none, for the next
    /// requests.
    fn open_first(&mut self, context: Context<'_>, candidates: &[Candidate]) {
        let best = candidates.iter().find(|candidate| !candidate.is_full);
        let Some(server) = best.and_then(|best| context.view.server(&best.server)) else {
            return;
        };
        let health = self.connections.health(&server.id);
        if health.connections == 0 && context.now >= health.open_after {
            self.open(context, server);
        }
    }

    /// Opens a connection to a server.
    pub(super) fn open(&mut self, context: Context<'_>, server: &Server) {
        let via = self.path(context, server);
        let is_direct = via.is_none();
        let connection = self.connections.open(
            &server.id,
            server.born_ms,
            &server.group,
            via.clone(),
            context.now,
        );
        self.metrics.connection_opened();
        self.actions.push(Action::Connect {
            connection,
            address: server.address,
            group: server.group.clone(),
            server: server.id.clone(),
            via,
        });
        let leads = context.view.group(&server.group).is_some_and(|r| r.primary == server.id);
        if leads && is_direct {
            // A server that was deposed while it was away still accepts
            // sessions, so its role is asked before it is used as a primary.
            if let Some(connection) = self.connections.get_mut(connection) {
                connection.expected.push_back(Expected::Role);
            }
            self.actions.push(Action::Send(connection, Command::Status));
        }
    }

    /// Opens a first connection to the servers that the instance will need, one
    /// after the other, so that its first callers don't wait for them.
    pub(super) fn warm_up(&mut self, context: Context<'_>) {
        if context.now < self.warm_at || self.warmed.len() >= WARMED_SERVERS {
            return;
        }
        self.warm_at = context.now + WARM_UP_PAUSE.mul_f64(self.spread());
        let own_domain = self.settings.domain.clone();
        let mut wanted = context.view.groups().flat_map(|(group, record)| {
            let is_kept = |server: &Server| {
                connections_at_rest(context, group) > 0 || relays::is_relayed(context.view, server)
            };
            let own_domain = &own_domain;
            context.view.servers_of(group).filter(move |server| {
                let is_near = server.domain == *own_domain;
                let leads = record.value.primary == server.id;
                is_kept(server) && !server.is_leaving && (is_near || leads)
            })
        });
        let Some(server) = wanted.find(|server| !self.warmed.contains(&server.id)) else {
            self.warm_at = context.now + WARM_REST;
            return;
        };
        self.warmed.insert(server.id.clone());
        if self.connections.health(&server.id).connections == 0 {
            self.open(context, server);
        }
    }

    /// Returns how many connections this instance may hold to a server.
    pub(super) fn connection_share(&self, context: Context<'_>, server: &Server) -> usize {
        if self.has_owner(context, server) {
            return RELAYED_SESSIONS;
        }
        let at_rest = connections_at_rest(context, &server.group);
        if relays::is_relayed(context.view, server) {
            return UNOWNED_CONNECTIONS;
        }
        if at_rest == 0 {
            return LENT_CONNECTIONS;
        }
        let limit = connection_limit(context, &server.group).saturating_sub(SPARE_CONNECTIONS);
        let share = (limit / context.view.live_count().max(1)).max(1);
        share.min(at_rest + EXTRA_CONNECTIONS)
    }

    /// Returns the servers that may run a request, the best first.
    fn candidates(&self, context: Context<'_>, pending: &Pending) -> Vec<Candidate> {
        let group = &pending.route.group;
        let usable = self.usable_primary(context, group);
        let primary = || {
            let is_full = usable
                .as_ref()
                .and_then(|id| context.view.server(id))
                .is_some_and(|server| self.is_full(context, server));
            usable.iter().map(|id| Candidate { server: id.clone(), is_full }).collect()
        };
        if pending.need == Need::Primary || pending.primary_only {
            return primary();
        }
        let Some(floor) = self.floor(pending) else {
            return primary();
        };
        let leading = context.view.group(group).map(|record| record.primary.clone());
        let is_changing = trust::retiring_primary(context.view, group).is_some();
        let mut ranked: Vec<_> = context
            .view
            .servers_of(group)
            .filter(|server| !server.is_leaving)
            .filter(|server| !(is_changing && leading.as_ref() == Some(&server.id)))
            .filter(|server| self.may_have(server, floor, context))
            .map(|server| {
                let health = self.connections.known_health(&server.id);
                let running = health.map_or(0, |health| health.running);
                let is_full = self.is_full(context, server);
                let is_primary = usable.as_ref() == Some(&server.id);
                let rank = (
                    pending.avoided.as_ref() == Some(&server.id),
                    is_full,
                    is_primary && running > 0,
                    server.domain != self.settings.domain,
                    is_primary,
                    running,
                    server.id.clone(),
                );
                (rank, is_full)
            })
            .collect();
        ranked.sort();
        ranked.into_iter().map(|(rank, is_full)| Candidate { server: rank.6, is_full }).collect()
    }

    /// Returns whether a server has as much of this instance's work as it takes.
    fn is_full(&self, context: Context<'_>, server: &Server) -> bool {
        let Some(health) = self.connections.known_health(&server.id) else {
            return false;
        };
        // The owner of the server's connections orders the work of all instances.
        if self.has_owner(context, server) {
            return health.running >= server.slots * RELAYED_PER_SLOT;
        }
        health.running >= health.pace.limit(server.slots, context.now)
    }

    /// Returns whether a server may have applied a position, by what it last
    /// said.
    fn may_have(&self, server: &Server, floor: TermPosition, context: Context<'_>) -> bool {
        let Some(health) = self.connections.known_health(&server.id) else {
            return true;
        };
        if context.now < health.rest_until {
            return false;
        }
        let lacks = health
            .lacked
            .is_some_and(|(lacked, at)| lacked <= floor && context.now.since(at) < LAG_MEMORY);
        !lacks
            && health.applied.is_none_or(|(applied, at)| {
                applied >= floor || context.now.since(at) > POSITION_MEMORY
            })
    }

    /// Returns the primary of a group if it may be used now.
    pub(super) fn usable_primary(&self, context: Context<'_>, group: &GroupId) -> Option<ServerId> {
        trust::usable_primary(
            context.view,
            &self.settings.instance,
            self.settings.incarnation,
            group,
            context.now,
        )
        .map(|record| record.primary.clone())
    }

    /// Returns the position that a server must have applied for a request.
    ///
    /// None if no sample is young enough: then only the primary may answer.
    pub(super) fn floor(&self, pending: &Pending) -> Option<TermPosition> {
        let Need::NotOlder { than, own_commit } = &pending.need else {
            return None;
        };
        let state = self.groups.get(&pending.route.group)?;
        let floor = state.samples.floor(*than)?;
        // Commits of an older term that still exist lie below every position
        // of the newer one, so the order of positions suffices.
        Some(own_commit.map_or(floor, |position| position.max(floor)))
    }
}

/// Returns how many connections to a server of a group this instance keeps at
/// rest.
///
/// A server holds the connections of a machine that lost its power for seconds,
/// so all instances together keep half of what it accepts: the other half is
/// for their next lives. None where there are too many instances for that.
pub(super) fn connections_at_rest(context: Context<'_>, group: &GroupId) -> usize {
    let instances = context.view.live_count().max(1);
    let limit = connection_limit(context, group);
    let one_fits = limit.saturating_sub(limit / TURNOVER_PART) >= instances;
    (limit / 2 / instances).max(usize::from(one_fits))
}

fn connection_limit(context: Context<'_>, group: &GroupId) -> usize {
    let limits = context.view.document().and_then(|document| document.groups.get(group));
    limits.map_or(1, |limits| limits.max_connections)
}
