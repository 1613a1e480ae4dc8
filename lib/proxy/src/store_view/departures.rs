//! Since when servers are leaving or have no entry.
//!
//! A primary that is leaving stays in use until it is replaced. Where commits wait for
//! replicas there may be no server that can replace it, so it must not be used for ever: it
//! ends some time after it has announced that it leaves.

use std::collections::HashMap;
use std::time::Duration;

use masticreel_base::ids::ServerId;

use crate::moment::Moment;

/// The part of the allowed time that is left for a server that was leaving already when this
/// instance read the store for the first time, as a divisor: how long it had been leaving by
/// then is unknown.
const UNKNOWN_START_DIVISOR: u32 = 2;

/// When a server began to leave, as far as the view shows.
#[derive(Debug, Clone, Copy)]
struct Departure {
    /// The last moment at which the view was known to be up to date and did not show that
    /// the server leaves, so the server can't have begun earlier. For a server that was
    /// leaving at the first exchange with the store, the start of that exchange; `None`
    /// until it has ended.
    since: Option<Moment>,
    is_start_known: bool,
}

/// The servers that are leaving or have no entry any more.
#[derive(Debug, Default)]
pub(super) struct Departures {
    servers: HashMap<ServerId, Departure>,
}

impl Departures {
    /// Records that the view shows a server as leaving or without an entry.
    ///
    /// `confirmed_at` is the start of the last exchange with the store before that change.
    pub(super) fn begin(&mut self, server: &ServerId, confirmed_at: Option<Moment>) {
        let departure = Departure { since: confirmed_at, is_start_known: confirmed_at.is_some() };
        self.servers.entry(server.clone()).or_insert(departure);
    }

    /// Records that the view shows a server as staying.
    pub(super) fn cancel(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }

    /// Records the first exchange with the store, which began at `called_at`.
    pub(super) fn first_confirmed(&mut self, called_at: Moment) {
        for departure in self.servers.values_mut() {
            departure.since.get_or_insert(called_at);
        }
    }

    /// Forgets the servers that are not to be kept.
    pub(super) fn retain<Keep>(&mut self, is_kept: Keep)
    where
        Keep: Fn(&ServerId) -> bool,
    {
        self.servers.retain(|server, _| is_kept(server));
    }

    /// Returns whether a server has been leaving, or without an entry, for longer than
    /// `allowed`.
    pub(super) fn is_over(&self, server: &ServerId, allowed: Duration, now: Moment) -> bool {
        let Some(departure) = self.servers.get(server) else {
            return false;
        };
        let allowed =
            if departure.is_start_known { allowed } else { allowed / UNKNOWN_START_DIVISOR };
        departure.since.is_some_and(|since| now.since(since) >= allowed)
    }
}
