//! Spreads document revisions to every instance.
//!
//! A few instances, the store's watchers, poll the store often. Each instance
//! announces its active revision in its own member record, which every message
//! carries. An instance that receives a newer revision number fetches the document
//! from the instance that announced it. Infrequent reads of the store by all other
//! instances cover the case that no message arrives. See `docs/design/08-dissemination.md`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticreel_base::ids::{InstanceId, Revision};
use rand::{Rng, RngExt};

use crate::member::Member;
use crate::membership::Membership;
use crate::ownership::store_watchers;

/// How long a fetch from a peer may take before another peer is tried.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

const FALLBACK_INTERVAL: Duration = Duration::from_secs(60);

/// The part of the fallback interval that grows with the fleet, so that the
/// store's load does not.
const FALLBACK_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(200);
const NO_DOCUMENT_INTERVAL: Duration = Duration::from_millis(300);

/// An action that the driver of [`Dissemination`] must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Fetch the document from a peer, over a link.
    Fetch {
        /// The peer.
        from: InstanceId,
        /// The peer's address.
        address: SocketAddr,
    },
    /// Read the document's revision from the store, and the document if newer.
    ReadStore,
}

/// The active document revision, fetches under way and the store's watchers.
#[derive(Debug)]
pub struct Dissemination {
    poll_interval: Duration,
    applied: Revision,
    fetch_started: Option<Instant>,
    next_store_read: Option<Instant>,
    watcher_set: WatcherSet,
}

#[derive(Debug, Default)]
struct WatcherSet {
    routing_version: Option<u64>,
    watchers: Vec<InstanceId>,
}

impl Dissemination {
    /// Creates the state of an instance without a document.
    ///
    /// While the instance is a watcher, it reads the store every `poll_interval`.
    pub fn new(poll_interval: Duration) -> Self {
        Self {
            poll_interval,
            applied: Revision::default(),
            fetch_started: None,
            next_store_read: None,
            watcher_set: WatcherSet::default(),
        }
    }

    /// Returns the revision that is active here.
    pub fn applied(&self) -> Revision {
        self.applied
    }

    /// Returns the store's watchers.
    pub fn watchers(&self) -> &[InstanceId] {
        &self.watcher_set.watchers
    }

    /// Ends the fetch under way and raises the active revision.
    ///
    /// Returns whether it rose; a lower or equal revision has no effect on it.
    pub fn accept(&mut self, revision: Revision) -> bool {
        self.fetch_started = None;
        if revision <= self.applied {
            return false;
        }
        self.applied = revision;
        true
    }

    /// Records that a fetch failed, so that another peer is tried.
    pub fn fetch_failed(&mut self) {
        self.fetch_started = None;
    }

    /// Returns the actions that are due after time passed or membership changed.
    pub fn tick<R>(&mut self, members: &Membership, now: Instant, random: &mut R) -> Vec<Action>
    where
        R: Rng + ?Sized,
    {
        self.update_watchers(members);
        let mut actions = Vec::new();
        actions.extend(self.fetch_from_any(members, now, random));
        if self.next_store_read.is_none_or(|next| now >= next) {
            self.next_store_read = Some(now + self.store_interval(members, random));
            actions.push(Action::ReadStore);
        }
        actions
    }

    /// Starts a fetch from the sender of a message if its revision is newer and no
    /// other fetch is under way.
    pub fn start_fetch_if_newer(&mut self, sender: &Member, now: Instant) -> Option<Action> {
        if sender.revision <= self.applied || self.is_fetching(now) {
            return None;
        }
        self.fetch_started = Some(now);
        Some(Action::Fetch { from: sender.id.clone(), address: sender.address })
    }

    fn fetch_from_any<R>(
        &mut self,
        members: &Membership,
        now: Instant,
        random: &mut R,
    ) -> Option<Action>
    where
        R: Rng + ?Sized,
    {
        if members.roster().newest_revision() <= self.applied || self.is_fetching(now) {
            return None;
        }
        let sources: Vec<&Member> = members
            .roster()
            .iter()
            .filter(|member| member.is_live() && member.revision > self.applied)
            .collect();
        if sources.is_empty() {
            return None;
        }
        self.start_fetch_if_newer(sources[random.random_range(0..sources.len())], now)
    }

    fn is_fetching(&self, now: Instant) -> bool {
        self.fetch_started
            .is_some_and(|started| now.saturating_duration_since(started) < FETCH_TIMEOUT)
    }

    fn store_interval<R>(&self, members: &Membership, random: &mut R) -> Duration
    where
        R: Rng + ?Sized,
    {
        if self.watcher_set.watchers.contains(&members.own().id) {
            return self.poll_interval;
        }
        let live = members.roster().live().len() as u32;
        let interval = match self.applied {
            Revision(0) => NO_DOCUMENT_INTERVAL,
            _ => FALLBACK_INTERVAL + FALLBACK_INTERVAL_PER_INSTANCE * live,
        };
        interval.mul_f64(random.random_range(0.5..1.5))
    }

    fn update_watchers(&mut self, members: &Membership) {
        let version = Some(members.roster().routing_version());
        if self.watcher_set.routing_version == version {
            return;
        }
        let watchers = store_watchers(members.routable());
        let was_watcher = self.watcher_set.watchers.contains(&members.own().id);
        if !was_watcher && watchers.contains(&members.own().id) {
            self.next_store_read = None;
        }
        self.watcher_set = WatcherSet { routing_version: version, watchers };
    }
}
