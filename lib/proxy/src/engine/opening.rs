//! Opens connections to servers, and limits the work at their owners, where the configuration
//! has organisations.

use std::sync::Arc;

use masticreel_base::ids::ServerId;

use super::{Context, Engine};
use crate::directory::Server;
use crate::engine::identity::organisations;
use crate::engine::placing::{RELAYED_SESSIONS, RELAYED_STATEMENTS_PER_SLOT};

/// Returns how many statements this instance may have at the owner of a server's connections.
///
/// With organisations, statements may wait there for a connection of their organisation while
/// those of others could run, so all relayed sessions may have one.
pub(super) fn max_relayed_statements(context: Context<'_>, server: &Server) -> usize {
    match organisations(context) {
        Some(_) => RELAYED_SESSIONS,
        None => server.slots * RELAYED_STATEMENTS_PER_SLOT,
    }
}

impl Engine {
    /// Returns whether an organisation has as many statements of at least this urgency and
    /// of this instance at a server's owner as it may. The rest is left to the other organisations, whose requests would
    /// otherwise wait here for those that wait at the owner.
    pub(super) fn is_organisation_at_limit(
        &self,
        context: Context<'_>,
        server: &ServerId,
        organisation: Option<&str>,
        urgency: u8,
    ) -> bool {
        if organisations(context).is_none() {
            return false;
        }
        let Some(server) = context.view.server(server) else {
            return false;
        };
        let limit = (server.slots * RELAYED_STATEMENTS_PER_SLOT).min(RELAYED_SESSIONS / 2);
        let of_organisation = self.connections.iter().filter(|(_, connection)| {
            connection.server == server.id
                && connection.via.is_some()
                && connection.caller.is_some()
                && !connection.expected.is_empty()
                && connection.organisation.as_deref() == organisation
                && self.is_as_urgent(connection, urgency)
        });
        of_organisation.count() >= limit
    }

    /// Opens a connection to a server for an organisation. If this instance may have no more
    /// connections there, closes an idle one of another organisation for it. Returns whether
    /// one is being opened for the organisation now.
    ///
    /// Opening occupies a slot of the server, so one slot is left to statements.
    pub(super) fn open_for_organisation(
        &mut self,
        context: Context<'_>,
        server: &Server,
        max_connections: usize,
        organisation: &Option<Arc<str>>,
    ) -> bool {
        let name = organisation.as_deref();
        let is_direct = self.relay_for(context, server).is_none();
        if is_direct && self.connections.is_opening_for(&server.id, name) {
            return true;
        }
        let health = self.connections.health(&server.id);
        let (connections, opening) = (health.connections, health.opening);
        if is_direct && opening >= server.slots.saturating_sub(1).max(1) {
            return false;
        }
        if !is_direct && opening >= self.waiting_count(&server.group) {
            return true;
        }
        if connections >= max_connections {
            let Some(idle) = self.connections.idle_of_others(&server.id, name) else {
                return false;
            };
            self.metrics.connections_evicted(1);
            self.close(idle);
        }
        self.open(context, server, organisation.clone());
        true
    }
}
