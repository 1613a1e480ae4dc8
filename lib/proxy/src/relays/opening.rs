//! Opens pooled connections to servers.
//!
//! Without organisations, [`Relays::open_for_waiting`] decides when one is opened, else
//! [`Relays::open_for_organisations`], which also decides which idle one is closed for it.
//!
//! A connection serves one organisation for its whole life, and a server accepts fewer
//! connections than there are organisations. The owner keeps up to its share of them open and
//! closes the least recently used idle one when another organisation needs a connection. It
//! responds to the commands that wait at the moment, in the order of the queue.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::ServerId;
use slog::debug;

use crate::connections::Expected;
use crate::directory::Server;
use crate::engine::Context;
use crate::moment::Moment;
use crate::relays::pool::{STATEMENTS_BEYOND_SLOTS, is_idle};
use crate::relays::{Pooled, PooledId, QueuedCommand, RelayAction, RelaySessionId, Relays};
use crate::statement::Command;

/// How many idle connections are kept beyond a server's slots, since transactions
/// that are idle between two statements occupy connections.
pub(super) const CONNECTIONS_BEYOND_SLOTS: usize = 4;
/// The owner opens at most a server's connection limit divided by this.
///
/// The other half is left for the next owner: after a machine has lost power, the
/// server counts its connections for some seconds more.
const OWNER_SHARE_DIVISOR: usize = 2;
/// How long a connection stays with its organisation at least, if that one has commands
/// waiting or has not used the connection yet. Opening a connection occupies a slot for about
/// as long as a statement, so with a much smaller value, organisations that all have work
/// would spend the slots on taking connections from each other. With a larger one, an
/// organisation without a connection waits longer than its requests can.
const MIN_CONNECTION_TIME: Duration = Duration::from_millis(500);

/// The connections and the waiting commands of one organisation at a server.
#[derive(Debug, Default, Clone, Copy)]
struct Holding {
    /// All connections, open or being opened.
    connections: usize,
    /// Those that the server has not accepted yet.
    opening: usize,
    /// Those that can be assigned to a session.
    idle: usize,
    /// Those whose answers are overdue.
    overdue: usize,
    /// Those whose session is idle inside a transaction.
    idle_in_transaction: usize,
    /// The commands that wait for a connection.
    waiting: usize,
}

type Name = Option<Arc<str>>;

impl Relays {
    /// Opens a connection for waiting sessions, unless enough are open or
    /// opening, the owner's share is used up, or the backoff has not passed.
    pub(super) fn open_for_waiting(&mut self, context: Context<'_>, server: &Server) {
        let share = owner_share(context, server);
        let pool = self.pools.entry(server.id.clone()).or_default();
        let pooled = || pool.connections.iter().filter_map(|id| self.pooled.get(id));
        let overdue = pooled().filter(|pooled| pooled.is_answer_overdue).count();
        let idle_in_transaction = pooled()
            .filter(|pooled| !pooled.is_answer_overdue)
            .filter(|pooled| pooled.in_transaction && pooled.expected.is_empty())
            .count();
        let usable = pool.connections.len() - overdue - idle_in_transaction;
        // More connections could not be used concurrently, and opening a connection
        // occupies a slot of the server. While the server loses answers, more of them are
        // about to become useless.
        let wanted = server.slots + STATEMENTS_BEYOND_SLOTS + overdue.min(CONNECTIONS_BEYOND_SLOTS);
        let is_needed =
            pool.opening < pool.queue.len() && usable < wanted && pool.connections.len() < share;
        if is_needed && context.now >= pool.connect_after {
            self.open(context, server, None);
        }
    }

    /// Opens a connection for the work of an organisation.
    pub(super) fn open(
        &mut self,
        context: Context<'_>,
        server: &Server,
        organisation: Option<Arc<str>>,
    ) {
        self.next_pooled += 1;
        let id = PooledId(self.next_pooled);
        self.actions.push(RelayAction::Open {
            connection: id,
            address: server.address,
            group: server.group.clone(),
            server: server.id.clone(),
            organisation: organisation.clone(),
        });
        let mut expected = VecDeque::from([Expected::Start]);
        let is_primary = context.view.group(&server.group).is_some_and(|r| r.primary == server.id);
        if is_primary {
            // A former primary that was demoted while it was unreachable still
            // accepts connections, so its role is checked before it is used as
            // the primary.
            expected.push_back(Expected::RoleBeforeUse);
            self.actions.push(RelayAction::Send(id, Command::Status));
        }
        let pooled = Pooled {
            server: server.id.clone(),
            group: server.group.clone(),
            server_started_ms: server.started_ms,
            organisation,
            opened_at: context.now,
            was_used: false,
            is_open: false,
            session: None,
            expected,
            command: None,
            runs_read: false,
            is_answer_overdue: false,
            failure: None,
            in_transaction: false,
            variables: Default::default(),
            prepared: Default::default(),
            sent_at: context.now,
            idle_since: context.now,
        };
        self.pooled.insert(id, pooled);
        let pool = self.pools.entry(server.id.clone()).or_default();
        pool.connections.push(id);
        pool.opening += 1;
    }

    /// Returns whether the work at a server is that of organisations: the configuration has
    /// some, or an entry instance with another version of it has named one.
    pub(super) fn has_organisations(&self, context: Context<'_>, server: &ServerId) -> bool {
        let is_configured = context.view.document().is_some_and(|d| d.organisations.is_some());
        is_configured
            || self.pools.get(server).is_some_and(|pool| pool.has_named_work)
            || self.pooled_at(server).any(|(_, pooled)| pooled.organisation.is_some())
    }

    /// Returns whether a session has to wait before it begins a transaction, since others hold
    /// as many connections as transactions may.
    ///
    /// The rest of the share, one connection for each slot, is for statements outside
    /// transactions, which would otherwise wait for transactions that are idle.
    pub(super) fn must_wait_to_begin(
        &self,
        context: Context<'_>,
        server: &Server,
        session: RelaySessionId,
    ) -> bool {
        if self.sessions.get(&session).is_none_or(|session| session.begin.is_none()) {
            return false;
        }
        let limit = owner_share(context, server).saturating_sub(server.slots).max(1);
        let begun = self.pooled_at(&server.id).filter(|(_, pooled)| pooled.holds_transaction());
        begun.count() >= limit
    }

    /// Opens connections for sessions that could not be assigned one, in the order of the
    /// queue. A session whose organisation can't get one now does not hold up the others.
    pub(super) fn open_for_organisations(
        &mut self,
        context: Context<'_>,
        server: &Server,
        sessions: &[RelaySessionId],
    ) {
        // Opening occupies slots of the server; one is left to statements.
        let max_opening = server.slots.saturating_sub(1).max(1);
        let pool = self.pools.entry(server.id.clone()).or_default();
        if pool.opening >= max_opening || context.now < pool.connect_after {
            return;
        }
        let is_busy = pool.running >= server.slots + STATEMENTS_BEYOND_SLOTS;
        let mut holdings = self.holdings(&server.id);
        'sessions: for session in sessions {
            if self.pools.get(&server.id).is_none_or(|pool| pool.opening >= max_opening) {
                return;
            }
            let waiting = self.sessions.get(session).and_then(|s| s.waiting.as_ref());
            let Some(organisation) = waiting.map(|waiting| waiting.organisation.clone()) else {
                continue;
            };
            if !may_open(&holdings, &organisation, server.slots, is_busy) {
                continue;
            }
            // A test connection to a silent server may have exceeded the share.
            while self.pooled_at(&server.id).count() >= owner_share(context, server) {
                let Some(evicted) = self.evictable(context, &server.id, &organisation, &holdings)
                else {
                    continue 'sessions;
                };
                self.evict(server, evicted, &mut holdings);
            }
            self.open(context, server, organisation.clone());
            let holding = holdings.entry(organisation).or_default();
            holding.connections += 1;
            holding.opening += 1;
        }
    }

    /// Closes an idle connection for another organisation.
    fn evict(&mut self, server: &Server, id: PooledId, holdings: &mut BTreeMap<Name, Holding>) {
        let Some(pooled) = self.close(id) else {
            return;
        };
        debug!(self.log, "idle connection closed for another organisation";
            "server" => %server.id, "organisation" => pooled.organisation.as_deref());
        self.evictions += 1;
        if let Some(holding) = holdings.get_mut(&pooled.organisation) {
            holding.connections -= 1;
            holding.idle -= 1;
        }
    }

    /// Returns the connection that is closed for an organisation: the one idle for longest of
    /// other organisations. Those that their own organisation is about to use are kept for a
    /// while.
    fn evictable(
        &self,
        context: Context<'_>,
        server: &ServerId,
        organisation: &Name,
        holdings: &BTreeMap<Name, Holding>,
    ) -> Option<PooledId> {
        let evictable = self.pooled_at(server).filter(|(_, pooled)| {
            let is_awaited =
                holdings.get(&pooled.organisation).is_some_and(|holding| holding.waiting > 0);
            let is_settled = context.now.since(pooled.opened_at) >= MIN_CONNECTION_TIME;
            is_idle(pooled)
                && pooled.organisation != *organisation
                && (is_settled || (pooled.was_used && !is_awaited))
        });
        let (id, _) = evictable.min_by_key(|(id, pooled)| {
            let is_awaited =
                holdings.get(&pooled.organisation).is_some_and(|holding| holding.waiting > 0);
            (is_awaited, pooled.idle_since, *id)
        })?;
        Some(id)
    }

    /// Returns what each organisation has at a server.
    fn holdings(&self, server: &ServerId) -> BTreeMap<Name, Holding> {
        let mut holdings: BTreeMap<Name, Holding> = BTreeMap::new();
        for (_, pooled) in self.pooled_at(server) {
            let holding = holdings.entry(pooled.organisation.clone()).or_default();
            holding.connections += 1;
            holding.opening += usize::from(!pooled.is_open);
            holding.idle += usize::from(is_idle(pooled));
            if pooled.is_answer_overdue {
                holding.overdue += 1;
            } else if pooled.in_transaction && pooled.expected.is_empty() {
                holding.idle_in_transaction += 1;
            }
        }
        let pool = self.pools.get(server);
        let waiting = pool.map(|pool| pool.queue.in_order(Moment::default())).unwrap_or_default();
        for session in waiting {
            let waiting = self.sessions.get(&session).and_then(|s| s.waiting.as_ref());
            if let Some(QueuedCommand { organisation, .. }) = waiting {
                holdings.entry(organisation.clone()).or_default().waiting += 1;
            }
        }
        holdings
    }

    fn pooled_at(&self, server: &ServerId) -> impl Iterator<Item = (PooledId, &Pooled)> {
        let connections = self.pools.get(server).map(|pool| pool.connections.as_slice());
        let connections = connections.unwrap_or_default().iter();
        connections.filter_map(|id| Some((*id, self.pooled.get(id)?)))
    }
}

/// Returns how many connections the owner of a server may have to it.
pub(super) fn owner_share(context: Context<'_>, server: &Server) -> usize {
    let limits = context.view.document().and_then(|d| d.groups.get(&server.group));
    let limit = limits.map_or(1, |limits| limits.max_connections);
    (limit / OWNER_SHARE_DIVISOR).max(1)
}

impl Pooled {
    /// Returns whether the connection is in a transaction, or about to begin one.
    fn holds_transaction(&self) -> bool {
        self.in_transaction || self.expected.contains(&Expected::Begin)
    }
}

/// Returns whether another connection may be opened for an organisation.
///
/// More connections than the server executes statements could not be used concurrently, and
/// while the server is busy, more than one would not be used either. While other
/// organisations wait, connections that are idle in transactions count too, so that no
/// organisation takes the connections of all.
fn may_open(
    holdings: &BTreeMap<Name, Holding>,
    organisation: &Name,
    slots: usize,
    is_busy: bool,
) -> bool {
    let holding = holdings.get(organisation).copied().unwrap_or_default();
    let do_others_wait =
        holdings.iter().any(|(name, holding)| name != organisation && holding.waiting > 0);
    let wanted = slots + STATEMENTS_BEYOND_SLOTS;
    // While the server loses answers, more connections are about to become useless.
    let spare = holding.overdue.min(CONNECTIONS_BEYOND_SLOTS);
    let usable = holding.connections - holding.overdue - holding.idle_in_transaction;
    holding.opening + holding.idle < holding.waiting
        && usable < if is_busy { 1 } else { wanted + spare }
        && (!do_others_wait || holding.connections < wanted)
}
