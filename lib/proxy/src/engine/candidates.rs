//! Finds and ranks the servers that may run a request.

use std::time::Duration;

use masticreel_base::ids::{GroupId, ServerId};
use masticreel_base::position::TermPosition;

use super::{Context, Engine};
use crate::balancing::{self, Draws, Expectation, ServerOption};
use crate::caller::{Pending, ServerRequirement};
use crate::connections::{Connection, Expected};
use crate::directory::Server;
use crate::engine::opening::max_relayed_statements;
use crate::primary_lease;

/// The age up to which a replica's last reported position counts as its current
/// one. A replica whose report is older may have caught up, so reads are sent to
/// it (see [`Engine::is_eligible`]).
const POSITION_MAX_AGE: Duration = Duration::from_millis(60);
/// How long a replica that lagged behind a minimum position gets no reads that
/// require this position or a later one; then reads are sent to it again.
const LAG_BACKOFF: Duration = Duration::from_millis(250);

/// A server that may run a request.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) server: ServerId,
    /// Whether the instance's concurrency limit at the server is reached.
    pub(super) is_at_limit: bool,
    /// What its choice was based on, if there were others.
    pub(super) expectation: Option<Expectation>,
}

impl Engine {
    /// Returns the servers that may run a request, the best first.
    ///
    /// Only the primary qualifies for a request that requires it, or if no recent
    /// position of the primary is known.
    pub(super) fn candidates(
        &self,
        context: Context<'_>,
        pending: &Pending,
        mut draws: Draws,
    ) -> Vec<Candidate> {
        let group = &pending.route.group;
        let urgency = pending.route.urgency;
        let usable = self
            .usable_primary(context, group)
            .filter(|primary| !self.is_departure_over(context, primary));
        let primary = || {
            let is_at_limit = usable
                .as_ref()
                .and_then(|id| context.view.server(id))
                .is_some_and(|server| self.is_at_limit(context, server, urgency));
            let candidate =
                |id: &ServerId| Candidate { server: id.clone(), is_at_limit, expectation: None };
            usable.iter().map(candidate).collect()
        };
        if pending.requirement == ServerRequirement::Primary || pending.primary_only {
            return primary();
        }
        let Some(floor) = self.floor_for_replicas(pending) else {
            return primary();
        };
        let current_primary = context.view.group(group).map(|record| record.primary.clone());
        let is_being_replaced =
            primary_lease::primary_being_replaced(context.view, group).is_some();
        let servers: Vec<&Server> = context
            .view
            .servers_of(group)
            .filter(|server| !server.is_leaving)
            .filter(|server| !(is_being_replaced && current_primary.as_ref() == Some(&server.id)))
            .filter(|server| self.is_eligible(server, floor, context))
            .collect();
        let options: Vec<ServerOption<'_>> = servers
            .iter()
            .map(|server| {
                let health = self.connections.known_health(&server.id);
                ServerOption {
                    load: health.map(|health| &health.load),
                    slots: server.slots,
                    running: health.map_or(0, |health| health.running),
                    is_primary: usable.as_ref() == Some(&server.id),
                    is_remote: server.domain != self.settings.domain,
                    has_owner: self.uses_owner(context, server),
                    is_avoided: pending.avoided_server.as_ref() == Some(&server.id),
                    is_at_limit: self.is_at_limit(context, server, urgency),
                }
            })
            .collect();
        let candidate = |index: usize, expectation| Candidate {
            server: servers[index].id.clone(),
            is_at_limit: options[index].is_at_limit,
            expectation,
        };
        // Owners report the load only for work of organisations.
        if pending.organisation.is_none() {
            let order = balancing::rank_by_domain(&options).into_iter();
            return order.map(|index| candidate(index, None)).collect();
        }
        balancing::rank(&options, context.now, &mut draws)
            .into_iter()
            .map(|(index, expectation)| candidate(index, Some(expectation)))
            .collect()
    }

    /// Returns whether this instance's concurrency limit at a server is
    /// reached for requests of this urgency.
    fn is_at_limit(&self, context: Context<'_>, server: &Server, urgency: u8) -> bool {
        let Some(health) = self.connections.known_health(&server.id) else {
            return false;
        };
        // The owner of the server's connections queues the work of all instances by
        // urgency, so less urgent work that waits there must not hold back more urgent
        // work here.
        if self.uses_owner(context, server) {
            let limit = max_relayed_statements(context, server);
            return health.running >= limit && self.running_at(&server.id, urgency) >= limit;
        }
        health.running >= health.latency.concurrency_limit(server.slots, context.now)
    }

    /// Returns how many statements of at least this urgency the server has not answered yet.
    fn running_at(&self, server: &ServerId, urgency: u8) -> usize {
        let running = self.connections.iter().filter(|(_, connection)| {
            connection.server == *server
                && connection.expected.contains(&Expected::Work)
                && !connection.is_answer_overdue
                && self.is_as_urgent(connection, urgency)
        });
        running.count()
    }

    /// Returns whether the work on a connection has at least this urgency, as has work for
    /// which no caller waits.
    pub(super) fn is_as_urgent(&self, connection: &Connection, urgency: u8) -> bool {
        let caller = connection.caller.and_then(|id| self.callers.get(&id));
        let pending = caller.and_then(|caller| caller.pending.as_ref());
        pending.is_none_or(|pending| pending.route.urgency <= urgency)
    }

    /// Returns whether a read with a minimum position may be sent to a server: it
    /// is not in its backoff after a failure, and no recent answer shows that it
    /// has not applied the position.
    fn is_eligible(&self, server: &Server, floor: TermPosition, context: Context<'_>) -> bool {
        let Some(health) = self.connections.known_health(&server.id) else {
            return true;
        };
        if context.now < health.backoff_until {
            return false;
        }
        let lagged_recently = health
            .missed_floor
            .is_some_and(|(missed, at)| missed <= floor && context.now.since(at) < LAG_BACKOFF);
        !lagged_recently
            && health.applied.is_none_or(|(applied, at)| {
                applied >= floor || context.now.since(at) > POSITION_MAX_AGE
            })
    }

    /// Returns the primary of a group if this instance may use it now: it is not
    /// being replaced and the instance holds the lease on primaries.
    pub(super) fn usable_primary(&self, context: Context<'_>, group: &GroupId) -> Option<ServerId> {
        primary_lease::usable_primary(
            context.view,
            &self.settings.instance,
            self.settings.incarnation,
            group,
            context.now,
        )
        .map(|record| record.primary.clone())
    }

    /// Returns the minimum position that a replica must have applied to run a
    /// request.
    ///
    /// `None` if only the primary may run it: it requires the primary, or no
    /// sample of the primary's position is recent enough. See also
    /// [`Engine::floor_on_connection`].
    pub(super) fn floor_for_replicas(&self, pending: &Pending) -> Option<TermPosition> {
        let ServerRequirement::UpToDate { as_of, own_commit } = &pending.requirement else {
            return None;
        };
        let state = self.groups.get(&pending.route.group)?;
        let floor = state.samples.floor(*as_of)?;
        // Surviving commits of an older term are below all positions of newer
        // terms, so comparing positions is sufficient.
        Some(own_commit.map_or(floor, |position| position.max(floor)))
    }
}
