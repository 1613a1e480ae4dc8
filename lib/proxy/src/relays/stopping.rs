//! Ends relayed sessions before the process stops.
//!
//! Entry instances leave an owner that is stopping as soon as their view of the store shows
//! it. Those that don't learn of it in time are told to use another path while nothing of
//! their command has run, so that no outcome is unknown only because the owner stopped.

use slog::info;

use super::{RelayAction, RelayAnswer, RelayOptions, RelaySessionId, Relays};
use crate::engine::Context;
use crate::moment::Moment;
use crate::shutdown::Shutdown;

impl Relays {
    /// Sets when the process stops.
    pub fn set_shutdown(&mut self, shutdown: Shutdown) {
        self.shutdown = Some(shutdown);
    }

    /// Returns whether the process stops before a command that arrives now would be answered.
    pub(super) fn stops_before_answer(&self, options: &RelayOptions, now: Moment) -> bool {
        self.shutdown
            .is_some_and(|shutdown| !shutdown.may_start(options.expected, options.patience, now))
    }

    /// Refuses a session's command, of which nothing was sent to the server, as the process
    /// stops. Rolls the session's transaction back if one is open at the server; else the
    /// entry instance is sent to another path.
    pub(super) fn refuse_as_stopping(&mut self, context: Context<'_>, id: RelaySessionId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        info!(self.log, "relayed command refused: the instance is stopping";
            "server" => %session.server, "relayed_session" => %id,
            "in_transaction" => session.connection.is_some());
        match session.connection.take() {
            Some(connection) => {
                if let Some(pooled) = self.pooled.get_mut(&connection) {
                    pooled.session = None;
                }
                self.release(context, connection);
                self.refuse(id, "not run: the owner of the server is stopping");
            }
            None => {
                self.sessions.remove(&id);
                self.actions.push(RelayAction::Answer(id, RelayAnswer::Unreachable));
            }
        }
    }

    /// Ends what can't be answered any more once the process is about to stop: commands that
    /// wait are handed back, and idle transactions are rolled back. Statements at a server
    /// go on until the process ends.
    pub(super) fn end_sessions(&mut self, context: Context<'_>) {
        let is_due = |shutdown: Shutdown| context.now >= shutdown.answers_end_at();
        if !self.shutdown.is_some_and(is_due) {
            return;
        }
        let servers: Vec<_> = self.pools.keys().cloned().collect();
        for server in servers {
            self.report_unreachable(&server);
        }
        let idle: Vec<RelaySessionId> = self
            .pooled
            .values()
            .filter(|pooled| pooled.expected.is_empty() && pooled.command.is_none())
            .filter_map(|pooled| pooled.session)
            .collect();
        for id in idle {
            self.end_session(context, id);
            self.actions.push(RelayAction::End(id));
        }
    }
}
