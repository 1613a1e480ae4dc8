//! Selects the server and the connection that run a request.
//!
//! [`Engine::place`] ranks the candidate servers and takes the first one, in
//! this order, that is below its concurrency limit and has an idle connection;
//! [`Engine::dispatch`] then sends the request on it. If there is none, the
//! request joins the queue of its group and a connection may be opened;
//! [`Engine::place_waiting`] places it again once a connection is idle.
//!
//! All instances share the number of connections that a server accepts, so each
//! instance bounds its own:
//!
//! - [`idle_pool_size`] is how many idle connections it keeps to each server of
//!   a group: an equal part of half of the server's limit, or one, or none.
//! - [`Engine::max_connections_to`] is how many it may have under load. In general
//!   these are the idle pool and [`EXTRA_CONNECTIONS`], but at most an equal part
//!   of the server's limit without [`RESTART_CONNECTIONS`]. An instance that keeps
//!   no idle connection may open [`TEMPORARY_CONNECTIONS`]. Where the server's
//!   connections have an owner (see `paths`), the instance may open
//!   [`RELAYED_SESSIONS`] at the owner, or [`DIRECT_FALLBACK_CONNECTIONS`] to the
//!   server while the owner can't reach it.
//! - `expiry` closes idle connections: relayed ones and those within the pool
//!   after a long time, those beyond the pool soon, temporary ones even sooner.

use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::{GroupId, ServerId};

use super::candidates::Candidate;
use super::{Action, Context, Engine};
use crate::balancing::Draws;
use crate::caller::{CallerId, Pending, ServerRequirement, Stage, Transaction};
use crate::connections::Expected;
use crate::directory::Server;
use crate::engine::identity::organisations;
use crate::latency::LatencyEstimate;
use crate::queue::Ticket;
use crate::statement::Command;
use crate::{primary_lease, relays};

/// Connections that all instances together leave free at each server, so that an
/// instance that restarts can connect while the server still holds its old
/// connections.
const RESTART_CONNECTIONS: usize = 1;
/// Connections to a server that this instance opens under load, beyond its pool
/// of idle ones.
const EXTRA_CONNECTIONS: usize = 1;
/// Instances keep one idle connection each, even if these are more than half of the
/// connections that a server accepts, while at least an eighth of them stays free
/// for instances that join or restart.
const FREE_FOR_RESTARTS_DIVISOR: usize = 8;
/// Connections to a server that an instance may open on demand where it keeps no
/// idle one.
const TEMPORARY_CONNECTIONS: usize = 3;
/// Direct connections that an instance opens to a server whose owner can't
/// reach it; few, because all instances may do so at the same time.
const DIRECT_FALLBACK_CONNECTIONS: usize = 1;
/// Relayed sessions that an instance opens at the owner of a server's
/// connections; they use no connections of their own to the server.
pub(super) const RELAYED_SESSIONS: usize = 16;
/// Statements that an instance may have at a server's owner at a time, for each
/// slot of the server; a server executes as many statements at a time as it has
/// slots.
pub(super) const RELAYED_STATEMENTS_PER_SLOT: usize = 2;
/// The mean time between two connections that are opened by the warm-up.
const WARM_UP_INTERVAL: Duration = Duration::from_millis(150);
/// The time until the warm-up checks again for servers that need a connection,
/// after it found none.
const WARM_UP_RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The most servers to which the warm-up opens a connection; an instance in a
/// large deployment sends work to only a few of its servers.
const MAX_WARMED_UP_SERVERS: usize = 64;

/// How long a replacement of the primary may last before requests that require
/// the primary are refused at once: twice its normal duration.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long before the end of a leaving server's time the last request is sent to it, so
/// that the request has passed the owner's queue and the network by then.
const DRAIN_MARGIN: Duration = Duration::from_millis(300);
/// Consecutive failed attempts to connect after which a primary without open
/// connections counts as unreachable.
const UNREACHABLE_ATTEMPTS: u32 = 2;

impl Engine {
    /// Dispatches a request to an idle connection, or queues it until one is idle.
    ///
    /// A request in a transaction that holds a connection is sent on that one.
    /// A request for which no server is expected to become available is refused, and one that
    /// would not be answered before the process stops.
    /// With `may_open`, a new connection may be opened for a request that is
    /// queued.
    pub(super) fn place(&mut self, context: Context<'_>, id: CallerId, may_open: bool) {
        let seed = self.draw();
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        if let Transaction::Open(open) = &caller.transaction
            && let Some(connection) = open.connection
        {
            self.assign(id, connection);
            self.send_work(context, connection);
            return;
        }
        let Some(pending) = &caller.pending else {
            return;
        };
        if self.stops_before_answer(&pending.route, context.now) {
            self.refuse(context, id);
            return;
        }
        let candidates = self.candidates(context, pending, Draws::new(seed));
        let variables = caller.variables.clone();
        let organisation = pending.organisation.clone();
        let urgency = pending.route.urgency;
        for candidate in &candidates {
            let name = organisation.as_deref();
            if candidate.is_at_limit
                || self.is_organisation_at_limit(context, &candidate.server, name, urgency)
            {
                continue;
            }
            let best = self.connections.best_idle(&candidate.server, &variables, name);
            if let Some(connection) = best {
                if let Some(expectation) = candidate.expectation {
                    let has_report = expectation.reported_ms_ago.is_some();
                    self.metrics.server_chosen(expectation.is_primary, has_report);
                }
                if let Some(caller) = self.callers.get_mut(&id)
                    && let Some(pending) = &mut caller.pending
                {
                    pending.expectation = candidate.expectation;
                }
                self.dispatch(context, id, connection);
                self.open_if_none(context, &candidates, &candidate.server, organisation);
                return;
            }
        }
        let cannot_be_served = candidates.is_empty() && !self.may_be_served(context, pending);
        let has_left = candidates.is_empty() && self.has_primary_left(context, pending);
        if cannot_be_served || has_left || self.is_primary_unreachable(context, pending) {
            self.refuse(context, id);
            return;
        }
        self.enqueue(id);
        if may_open {
            let group = self.group_of(id);
            if let Some(group) = group {
                self.open_for_waiting(context, &group, &candidates, organisation);
            }
        }
    }

    /// Returns whether a server may soon become available for a request that has
    /// no candidate now; the request's own deadline is not considered.
    ///
    /// A replacement of the primary is expected to end within
    /// [`REPLACEMENT_TIMEOUT`]. Without the lease on primaries, or without a
    /// record of the group, no server will become available.
    fn may_be_served(&self, context: Context<'_>, pending: &Pending) -> bool {
        let has_lease = context
            .view
            .confirmed_at()
            .is_some_and(|at| context.now < at + primary_lease::PRIMARY_LEASE);
        let group = &pending.route.group;
        let replacement_may_finish = self.groups.get(group).is_none_or(|state| {
            state
                .old_primary
                .as_ref()
                .is_none_or(|old| context.now.since(old.since) < REPLACEMENT_TIMEOUT)
        });
        has_lease && replacement_may_finish && context.view.group(group).is_some()
    }

    /// Returns whether a request requires a primary that can't be reached, and
    /// that can't be replaced now because the store has not answered recently
    /// either.
    fn is_primary_unreachable(&self, context: Context<'_>, pending: &Pending) -> bool {
        if pending.requirement != ServerRequirement::Primary
            || primary_lease::is_view_fresh(context.view, &pending.route.group, context.now)
        {
            return false;
        }
        let primary = context.view.group(&pending.route.group).map(|record| &record.primary);
        let health = primary.and_then(|primary| self.connections.known_health(primary));
        health.is_some_and(|health| {
            // All connections are still being opened, so none is open.
            health.failed_connects >= UNREACHABLE_ATTEMPTS && health.connections == health.opening
        })
    }

    /// Returns whether the primary of a request's group must not be used any more because
    /// it announced long ago that it is leaving, though no other server could replace it.
    fn has_primary_left(&self, context: Context<'_>, pending: &Pending) -> bool {
        let record = context.view.group(&pending.route.group);
        record.is_some_and(|record| self.is_departure_over(context, &record.primary))
    }

    /// Returns whether a server has been leaving for so long that nothing new may be sent to
    /// it.
    pub(super) fn is_departure_over(&self, context: Context<'_>, server: &ServerId) -> bool {
        let allowed = self.settings.drain_timeout;
        allowed.is_some_and(|allowed| {
            let allowed = allowed.saturating_sub(DRAIN_MARGIN);
            context.view.is_departure_over(server, allowed, context.now)
        })
    }

    fn group_of(&self, id: CallerId) -> Option<GroupId> {
        let pending = self.callers.get(&id)?.pending.as_ref()?;
        Some(pending.route.group.clone())
    }

    /// Adds a request to the queue of its group, unless it is queued already.
    fn enqueue(&mut self, id: CallerId) {
        let Some(pending) = self.callers.get_mut(&id).and_then(|caller| caller.pending.as_mut())
        else {
            return;
        };
        if matches!(pending.stage, Stage::Queued(_)) {
            return;
        }
        let group = pending.route.group.clone();
        let urgency = pending.route.urgency;
        let due_at = pending.received_at + pending.route.target_latency;
        let expected_duration = self
            .route_latencies
            .get(&pending.route.name)
            .map(LatencyEstimate::baseline)
            .unwrap_or_default();
        let organisation = pending.organisation.clone();
        let ticket = self.group_state(&group).queue.push_for(
            organisation.as_deref(),
            urgency,
            id,
            due_at,
            expected_duration,
        );
        if let Some(pending) = self.callers.get_mut(&id).and_then(|caller| caller.pending.as_mut())
        {
            pending.stage = Stage::Queued(ticket);
        }
    }

    /// Removes a request from the queue of its group, if it is queued.
    pub(super) fn dequeue(&mut self, id: CallerId) {
        if let Some((group, ticket)) = self.ticket_of(id) {
            self.group_state(&group).queue.remove(ticket);
        }
    }

    /// Removes a request that starts from the queue of its group, if it is queued.
    pub(super) fn start(&mut self, id: CallerId) {
        if let Some((group, ticket)) = self.ticket_of(id) {
            self.group_state(&group).queue.start(ticket);
        }
    }

    fn ticket_of(&self, id: CallerId) -> Option<(GroupId, Ticket)> {
        let pending = self.callers.get(&id)?.pending.as_ref()?;
        match pending.stage {
            Stage::Queued(ticket) => Some((pending.route.group.clone(), ticket)),
            Stage::AwaitingQuota | Stage::Backoff { .. } | Stage::Assigned(_) => None,
        }
    }

    /// Calls [`Engine::place`] for the queued requests of a group, in queue order.
    ///
    /// With `may_open`, a connection may be opened for each request that finds
    /// none; otherwise, this stops when no idle connection is left.
    pub(super) fn place_waiting(&mut self, context: Context<'_>, group: &GroupId, may_open: bool) {
        // An idle connection may be of an organisation for which nothing waits, and is then
        // closed to open another one.
        let may_open = may_open || organisations(context).is_some();
        let would_be_answered_at = context.now + self.expected_time(context, group);
        for id in self.group_state(group).queue.in_order(would_be_answered_at) {
            if !may_open && !self.connections.has_idle(group) {
                return;
            }
            self.place(context, id, may_open);
        }
    }

    /// Returns the latency estimate for statements at the primary of a group.
    fn expected_time(&self, context: Context<'_>, group: &GroupId) -> Duration {
        let primary = context.view.group(group).map(|record| &record.primary);
        let health = primary.and_then(|primary| self.connections.known_health(primary));
        health.map_or(Duration::ZERO, |health| health.latency.mean())
    }

    /// Opens a connection to the first candidate where this instance may open
    /// another one, unless one is already being opened for each waiting
    /// request.
    fn open_for_waiting(
        &mut self,
        context: Context<'_>,
        group: &GroupId,
        candidates: &[Candidate],
        organisation: Option<Arc<str>>,
    ) {
        let has_organisations = organisations(context).is_some();
        let waiting = self.waiting_count(group);
        let opening: usize = candidates
            .iter()
            .filter_map(|candidate| self.connections.known_health(&candidate.server))
            .map(|health| health.opening)
            .sum();
        if opening >= waiting && !has_organisations {
            return;
        }
        for candidate in candidates {
            let Some(server) = context.view.server(&candidate.server) else {
                continue;
            };
            let max_connections = self.max_connections_to(context, server);
            let health = self.connections.health(&server.id);
            if context.now < health.connect_after {
                continue;
            }
            if has_organisations {
                if self.open_for_organisation(context, server, max_connections, &organisation) {
                    return;
                }
            } else if health.connections < max_connections {
                self.open(context, server, organisation);
                return;
            }
        }
    }

    /// Opens a connection to the best candidate below its concurrency limit, for
    /// later requests, if there is none, or if its owner relays and another server was
    /// `used` for lack of an idle one.
    fn open_if_none(
        &mut self,
        context: Context<'_>,
        candidates: &[Candidate],
        used: &ServerId,
        organisation: Option<Arc<str>>,
    ) {
        let best = candidates.iter().find(|candidate| !candidate.is_at_limit);
        let Some(server) = best.and_then(|best| context.view.server(&best.server)) else {
            return;
        };
        let health = self.connections.health(&server.id);
        let connections = health.connections;
        let may_open = health.opening == 0 && context.now >= health.connect_after;
        // The request was sent to another server since this one has no idle connection. A
        // session at an owner uses no connection of its own to the server.
        let needs_session = organisation.is_some()
            && server.id != *used
            && self.uses_owner(context, server)
            && connections < self.max_connections_to(context, server);
        if may_open && (connections == 0 || needs_session) {
            self.open(context, server, organisation);
        }
    }

    /// Opens a connection to a server, directly or through the owner of its
    /// connections. A direct one serves only this organisation.
    pub(super) fn open(
        &mut self,
        context: Context<'_>,
        server: &Server,
        organisation: Option<Arc<str>>,
    ) {
        let via = self.relay_for(context, server);
        let is_direct = via.is_none();
        let organisation = organisation.filter(|_| is_direct);
        let connection = self.connections.register(
            &server.id,
            server.started_ms,
            &server.group,
            via.clone(),
            organisation.clone(),
            context.now,
        );
        self.metrics.connection_opened();
        self.actions.push(Action::Connect {
            connection,
            address: server.address,
            group: server.group.clone(),
            server: server.id.clone(),
            via,
            organisation,
        });
        let is_primary = context.view.group(&server.group).is_some_and(|r| r.primary == server.id);
        if is_primary && is_direct {
            // A primary that was replaced while it was unreachable still
            // accepts sessions, so its role is requested before it is used as
            // the primary.
            if let Some(connection) = self.connections.get_mut(connection) {
                connection.expected.push_back(Expected::RoleBeforeUse);
            }
            self.actions.push(Action::Send(connection, Command::Status));
        }
    }

    /// Opens a first connection to each server that the instance will probably
    /// need, so that its first callers don't wait for connections.
    ///
    /// These are the primaries, and the replicas in the instance's own failure
    /// domain. Each call opens at most one connection.
    pub(super) fn warm_up(&mut self, context: Context<'_>) {
        if context.now < self.next_warm_up || self.warmed_up.len() >= MAX_WARMED_UP_SERVERS {
            return;
        }
        self.next_warm_up = context.now + WARM_UP_INTERVAL.mul_f64(self.jitter());
        let own_domain = self.settings.domain.clone();
        let mut eligible = context.view.groups().flat_map(|(group, record)| {
            let keeps_connection = |server: &Server| {
                idle_pool_size(context, group) > 0 || relays::is_relayed(context.view, server)
            };
            let own_domain = &own_domain;
            context.view.servers_of(group).filter(move |server| {
                let is_in_own_domain = server.domain == *own_domain;
                let is_primary = record.value.primary == server.id;
                keeps_connection(server) && !server.is_leaving && (is_in_own_domain || is_primary)
            })
        });
        let Some(server) = eligible.find(|server| !self.warmed_up.contains(&server.id)) else {
            self.next_warm_up = context.now + WARM_UP_RECHECK_INTERVAL;
            return;
        };
        self.warmed_up.insert(server.id.clone());
        // Which organisation will need a direct connection is not known.
        let is_useful = organisations(context).is_none() || self.uses_owner(context, server);
        if is_useful && self.connections.health(&server.id).connections == 0 {
            self.open(context, server, None);
        }
    }

    /// Returns how many connections this instance may have to a server, or how
    /// many sessions at its owner.
    pub(super) fn max_connections_to(&self, context: Context<'_>, server: &Server) -> usize {
        if self.uses_owner(context, server) {
            return RELAYED_SESSIONS;
        }
        let pool_size = idle_pool_size(context, &server.group);
        if relays::is_relayed(context.view, server) {
            return DIRECT_FALLBACK_CONNECTIONS;
        }
        if pool_size == 0 {
            return TEMPORARY_CONNECTIONS;
        }
        let limit = connection_limit(context, &server.group).saturating_sub(RESTART_CONNECTIONS);
        let share = (limit / context.view.live_count().max(1)).max(1);
        // A connection whose answer is overdue may never be usable again, and without
        // another one nothing would show that the server still answers.
        let overdue = self.connections.overdue_count(&server.id, context.now);
        share.min(pool_size + EXTRA_CONNECTIONS) + overdue.min(EXTRA_CONNECTIONS)
    }
}

/// Returns how many idle connections this instance keeps to each server of a
/// group.
///
/// After a machine loses power, a server still holds its connections for
/// seconds. So in general all instances together keep at most half of the
/// connections that a server accepts, and the other half is free for instances
/// that have restarted. Where an equal part of that half is less than one
/// connection, an instance keeps one if enough others stay free (see
/// [`FREE_FOR_RESTARTS_DIVISOR`]), else none.
pub(super) fn idle_pool_size(context: Context<'_>, group: &GroupId) -> usize {
    let instances = context.view.live_count().max(1);
    let limit = connection_limit(context, group);
    let one_fits = limit.saturating_sub(limit / FREE_FOR_RESTARTS_DIVISOR) >= instances;
    (limit / 2 / instances).max(usize::from(one_fits))
}

/// Returns how many connections each server of a group accepts from all
/// instances together; 1 if the configuration doesn't have the group.
fn connection_limit(context: Context<'_>, group: &GroupId) -> usize {
    let limits = context.view.document().and_then(|document| document.groups.get(group));
    limits.map_or(1, |limits| limits.max_connections)
}
