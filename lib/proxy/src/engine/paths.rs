//! How a server is reached: directly, or through the instance that owns its
//! connections.

use std::collections::HashMap;
use std::time::Duration;

use masticreel_base::ids::{InstanceId, ServerId};
use slog::info;

use super::{Action, Context, Engine};
use crate::connections::ConnectionId;
use crate::directory::Server;
use crate::engine::releases::Loss;
use crate::moment::Moment;
use crate::pace::Pace;
use crate::relays::{self, RelayTerms};
use crate::statement::{Failure, FailureKind};

/// Owners of a server that are tried before the server itself.
const OWNERS_TRIED: usize = 2;
/// How long an owner that did not answer is not tried again.
const OWNER_REST: Duration = Duration::from_secs(3);
/// How long an owner whose process is not running is not tried again; processes
/// that end are started again at once.
const OWNER_RESTART: Duration = Duration::from_millis(200);
/// How long a server that its owner can't reach is tried directly.
const DIRECT_TIME: Duration = Duration::from_secs(2);
/// How long an owner may take to accept a session.
pub(super) const OWNER_START_TIMEOUT: Duration = Duration::from_millis(400);
/// The pause before a server is tried over another path.
const PATH_PAUSE: Duration = Duration::from_millis(20);
/// What a statement's patience leaves for the way back of a refusal.
const RELAY_LEAD: Duration = Duration::from_millis(60);
/// The patience of commands that no caller waits for.
const ORPHAN_PATIENCE: Duration = Duration::from_millis(1500);

/// Which paths to servers have failed.
#[derive(Debug, Default)]
pub(super) struct Paths {
    avoided: HashMap<InstanceId, Moment>,
    direct_until: HashMap<ServerId, Moment>,
}

impl Engine {
    /// Returns the instance through which a server is reached, none for the
    /// direct way.
    pub(super) fn path(&self, context: Context<'_>, server: &Server) -> Option<InstanceId> {
        if !self.has_owner(context, server) {
            return None;
        }
        relays::owners(context.view, server)
            .into_iter()
            .take(OWNERS_TRIED)
            .find(|owner| self.paths.avoided.get(owner).is_none_or(|until| context.now >= *until))
    }

    /// Returns whether work for a server goes to the owner of its connections.
    pub(super) fn has_owner(&self, context: Context<'_>, server: &Server) -> bool {
        let direct_until = self.paths.direct_until.get(&server.id);
        relays::is_relayed(context.view, server)
            && direct_until.is_none_or(|until| context.now >= *until)
    }

    /// Follows the failure of an owner to accept a session.
    pub(super) fn owner_failed(&mut self, context: Context<'_>, owner: &InstanceId, loss: Loss) {
        let rest = if loss == Loss::Refused { OWNER_RESTART } else { OWNER_REST };
        let is_known = self.paths.avoided.get(owner).is_some_and(|until| context.now < *until);
        self.paths.avoided.insert(owner.clone(), context.now + rest);
        if !is_known {
            info!(self.log, "owner of servers does not answer"; "owner" => %owner);
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

    /// Lets another path be tried soon after one to a server has failed.
    pub(super) fn try_other_path(&mut self, context: Context<'_>, server: &ServerId) {
        self.connections.health(server).open_after = context.now + PATH_PAUSE;
    }

    /// Follows an owner's word that it can't reach a server; the work that was
    /// sent has not run.
    pub fn unreachable(&mut self, context: Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.remove(id) else {
            return;
        };
        self.actions.push(Action::Disconnect(id));
        let server = connection.server;
        info!(self.log, "owner can't reach the server; trying it directly"; "server" => %server,
            "owner" => connection.via.map(|owner| owner.to_string()));
        self.paths.direct_until.insert(server.clone(), context.now + DIRECT_TIME);
        self.try_other_path(context, &server);
        if let Some(caller) = connection.owner {
            let failure = Failure::new(FailureKind::Busy, "the server's owner can't reach it");
            self.retry_unsent(context, caller, &server, failure);
        }
    }

    /// Returns how the work on a connection takes its turn at the server's
    /// owner.
    pub fn terms(&self, context: Context<'_>, id: ConnectionId) -> RelayTerms {
        let owner = self.connections.get(id).and_then(|connection| connection.owner);
        let caller = owner.and_then(|owner| self.callers.get(&owner));
        match caller.and_then(|caller| caller.pending.as_ref()) {
            Some(pending) => {
                let wanted_by = pending.received_at + pending.route.target_latency;
                let pace = self.route_paces.get(&pending.route.name);
                RelayTerms {
                    urgency: pending.route.urgency,
                    patience: pending.give_up_at.since(context.now).saturating_sub(RELAY_LEAD),
                    wanted_within: wanted_by.since(context.now),
                    expected: pace.map(Pace::usual).unwrap_or_default(),
                }
            }
            None => RelayTerms {
                urgency: 0,
                patience: ORPHAN_PATIENCE,
                wanted_within: ORPHAN_PATIENCE,
                expected: Duration::ZERO,
            },
        }
    }
}
