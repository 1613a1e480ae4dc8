//! Decides whether a server is reached directly or through the instance that
//! owns its connections.
//!
//! A direct connection leads from this instance to the server. Where there
//! are many more instances than a server has slots, one instance, the owner,
//! keeps the connections to the server, and all instances, the owner
//! included, send their statements to the owner, which relays them (see
//! [`crate::relays`]). A relayed connection is a session at the owner, which
//! this instance uses like a connection to the server; [`Connection::via`]
//! names the owner.
//!
//! All instances rank the possible owners of a server in the same order. Work
//! is relayed by the first of [`MAX_OWNERS_TRIED`] that is not in a backoff.
//! While all of these are, and for a while after the owner could not reach the
//! server, this instance connects to the server directly.
//!
//! [`Connection::via`]: crate::connections::Connection::via

use std::collections::HashMap;
use std::time::Duration;

use masticreel_base::ids::{InstanceId, ServerId};
use slog::info;

use super::{Action, Context, Engine};
use crate::caller::Pending;
use crate::connections::ConnectionId;
use crate::directory::Server;
use crate::engine::releases::Loss;
use crate::latency::LatencyEstimate;
use crate::moment::Moment;
use crate::relays::{self, RelayOptions};
use crate::statement::{Failure, FailureKind};

/// The number of possible owners of a server, best first, that are tried before
/// a direct connection.
const MAX_OWNERS_TRIED: usize = 2;
/// Backoff after an owner did not answer.
const OWNER_BACKOFF: Duration = Duration::from_secs(3);
/// Backoff after an owner's machine refused the connection: its process is not
/// running, and processes that end are restarted at once.
const OWNER_RESTART_BACKOFF: Duration = Duration::from_millis(200);
/// How long a server that its owner can't reach is connected to directly.
const DIRECT_FALLBACK_TIME: Duration = Duration::from_secs(2);
/// How long an owner may take to accept a relayed session.
pub(super) const OWNER_START_TIMEOUT: Duration = Duration::from_millis(400);
/// Backoff before a server is connected to through another owner or directly.
const PATH_SWITCH_BACKOFF: Duration = Duration::from_millis(20);
/// How long before the request's deadline an owner must refuse relayed work, so
/// that the refusal arrives in time.
const RELAY_REFUSAL_MARGIN: Duration = Duration::from_millis(60);
/// How long commands that no caller waits for may be queued at an owner.
const DETACHED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Owners that have failed recently, and servers that are connected to directly
/// because their owner has failed to reach them.
#[derive(Debug, Default)]
pub(super) struct Paths {
    /// Owners that did not accept a relayed session, and when they may be tried
    /// again.
    avoided: HashMap<InstanceId, Moment>,
    /// Servers that their owner can't reach, and until when this instance
    /// connects to them directly.
    direct_until: HashMap<ServerId, Moment>,
}

impl Engine {
    /// Returns the instance that relays work to a server, or `None` to connect
    /// to the server directly.
    pub(super) fn relay_for(&self, context: Context<'_>, server: &Server) -> Option<InstanceId> {
        if !self.may_use_owner(context, server) {
            return None;
        }
        relays::rank_owners(context.view, server)
            .into_iter()
            .take(MAX_OWNERS_TRIED)
            .find(|owner| self.paths.avoided.get(owner).is_none_or(|until| context.now >= *until))
    }

    /// Returns whether work for a server is relayed by the owner of its connections;
    /// `false` also for a server that has an owner while the owner can't reach it, or
    /// while all owners tried are in a backoff, so that this instance connects to the
    /// server directly.
    pub(super) fn uses_owner(&self, context: Context<'_>, server: &Server) -> bool {
        if !self.may_use_owner(context, server) {
            return false;
        }
        // Ranking the owners takes a while in a large fleet, and is rarely needed.
        let is_any_avoided = self.paths.avoided.values().any(|until| context.now < *until);
        !is_any_avoided || self.relay_for(context, server).is_some()
    }

    /// Returns whether a server has an owner that is not known to be unable to reach it.
    fn may_use_owner(&self, context: Context<'_>, server: &Server) -> bool {
        let direct_until = self.paths.direct_until.get(&server.id);
        relays::is_relayed(context.view, server)
            && direct_until.is_none_or(|until| context.now >= *until)
    }

    /// Avoids an owner for a while after it did not accept a session, and closes
    /// the idle connections through it; requests on the others keep running.
    pub(super) fn owner_failed(&mut self, context: Context<'_>, owner: &InstanceId, loss: Loss) {
        let backoff = if loss == Loss::Refused { OWNER_RESTART_BACKOFF } else { OWNER_BACKOFF };
        let was_avoided = self.paths.avoided.get(owner).is_some_and(|until| context.now < *until);
        self.paths.avoided.insert(owner.clone(), context.now + backoff);
        if !was_avoided {
            info!(self.log, "instance does not accept relayed sessions; avoided for a while";
                "owner" => %owner);
        }
        let idle: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.via.as_ref() == Some(owner))
            .filter(|(_, connection)| connection.is_idle())
            .map(|(id, _)| id)
            .collect();
        for id in idle {
            self.connections.remove(id);
            self.actions.push(Action::Disconnect(id));
        }
    }

    /// Starts the short backoff after which a server is tried through another
    /// owner or directly.
    pub(super) fn start_path_backoff(&mut self, context: Context<'_>, server: &ServerId) {
        self.connections.health(server).connect_after = context.now + PATH_SWITCH_BACKOFF;
    }

    /// Handles an owner's answer that it can't reach a server: retries the
    /// work, which has not run, over a direct connection.
    pub fn owner_cannot_reach_server(&mut self, context: Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.remove(id) else {
            return;
        };
        self.actions.push(Action::Disconnect(id));
        let server = connection.server;
        info!(self.log, "owner can't reach the server; connecting to it directly";
            "server" => %server, "owner" => connection.via.map(|owner| owner.to_string()));
        self.paths.direct_until.insert(server.clone(), context.now + DIRECT_FALLBACK_TIME);
        self.start_path_backoff(context, &server);
        self.connections.health(&server).load.record_failure(context.now);
        if let Some(caller) = connection.caller {
            // The session's unanswered commands were not sent, but the read whose role
            // check is one of them has run.
            if let Some(pending) =
                self.callers.get_mut(&caller).and_then(|caller| caller.pending.as_mut())
            {
                pending.may_have_run |= connection.unverified.is_some();
            }
            let failure = Failure::new(FailureKind::Busy, "the server's owner can't reach it");
            self.retry_attempt(context, caller, &server, failure);
        }
    }

    /// Returns how long a request is expected to run on a server without load: as its
    /// route's requests do, or as long as an attempt of its own stayed unanswered.
    pub(super) fn expected_duration(&self, pending: &Pending) -> Duration {
        let latency = self.route_latencies.get(&pending.route.name);
        latency.map(LatencyEstimate::baseline).unwrap_or_default().max(pending.unanswered_for)
    }

    /// Returns the urgency and the time limits by which the server's owner
    /// queues the work on a connection.
    pub fn relay_options(&self, context: Context<'_>, id: ConnectionId) -> RelayOptions {
        let connection = self.connections.get(id);
        // Also what was sent before the caller was detached runs for its organisation.
        let organisation = connection.and_then(|connection| connection.organisation.clone());
        let id = connection.and_then(|connection| connection.caller);
        let caller = id.and_then(|id| self.callers.get(&id));
        match caller.and_then(|caller| caller.pending.as_ref()) {
            Some(pending) => {
                let due_at = pending.received_at + pending.route.target_latency;
                RelayOptions {
                    urgency: pending.route.urgency,
                    patience: pending
                        .deadline
                        .since(context.now)
                        .saturating_sub(RELAY_REFUSAL_MARGIN),
                    wanted_within: due_at.since(context.now),
                    expected: self.expected_duration(pending),
                    organisation,
                }
            }
            // Commands that no caller waits for; 0 is the highest urgency.
            None => RelayOptions {
                urgency: 0,
                patience: DETACHED_TIMEOUT,
                wanted_within: DETACHED_TIMEOUT,
                expected: Duration::ZERO,
                organisation,
            },
        }
    }
}
