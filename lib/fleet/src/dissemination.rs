//! How a document revision reaches every instance.
//!
//! A few instances watch the store. All announce the revision in force in
//! their own account, with each message; who hears of a newer one fetches it
//! from the instance that announced it. Rare reads of the store close the gap
//! when no message gets through. See `docs/design/08-dissemination.md`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticreel_base::ids::{InstanceId, Revision};
use rand::{Rng, RngExt};

use crate::member::Member;
use crate::membership::Membership;
use crate::ownership::store_watchers;

/// How long a fetch from a peer may take before another peer is asked.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

const FALLBACK_INTERVAL: Duration = Duration::from_secs(60);

/// The part of the fall-back interval that grows with the fleet, so that the
/// store's load does not.
const FALLBACK_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(200);
const EMPTY_INTERVAL: Duration = Duration::from_millis(300);

/// What the holder of the machine must do.
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

/// What is known about the document's revisions.
#[derive(Debug)]
pub struct Dissemination {
    watch_interval: Duration,
    applied: Revision,
    fetch_started: Option<Instant>,
    next_store_read: Option<Instant>,
    watching: Watching,
}

#[derive(Debug, Default)]
struct Watching {
    routing_version: Option<u64>,
    watchers: Vec<InstanceId>,
}

impl Dissemination {
    /// Starts without a document; a watcher reads the store at the interval.
    pub fn new(watch_interval: Duration) -> Self {
        Self {
            watch_interval,
            applied: Revision::default(),
            fetch_started: None,
            next_store_read: None,
            watching: Watching::default(),
        }
    }

    /// Returns the revision in force here.
    pub fn applied(&self) -> Revision {
        self.applied
    }

    /// Returns the instances that watch the store.
    pub fn watchers(&self) -> &[InstanceId] {
        &self.watching.watchers
    }

    /// Notes that a document was put in force.
    ///
    /// Returns whether it may be: a lower or equal revision never is.
    pub fn accept(&mut self, revision: Revision) -> bool {
        self.fetch_started = None;
        if revision <= self.applied {
            return false;
        }
        self.applied = revision;
        true
    }

    /// Notes that a fetch failed, so that another peer is asked.
    pub fn fetch_failed(&mut self) {
        self.fetch_started = None;
    }

    /// Decides what is due, after time has passed or membership changed.
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

    /// Decides whether to fetch from an instance that was just heard.
    pub fn fetch_if_newer(&mut self, sender: &Member, now: Instant) -> Option<Action> {
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
        self.fetch_if_newer(sources[random.random_range(0..sources.len())], now)
    }

    fn is_fetching(&self, now: Instant) -> bool {
        self.fetch_started
            .is_some_and(|started| now.saturating_duration_since(started) < FETCH_TIMEOUT)
    }

    fn store_interval<R>(&self, members: &Membership, random: &mut R) -> Duration
    where
        R: Rng + ?Sized,
    {
        if self.watching.watchers.contains(&members.own().id) {
            return self.watch_interval;
        }
        let live = members.roster().live().len() as u32;
        let interval = match self.applied {
            Revision(0) => EMPTY_INTERVAL,
            _ => FALLBACK_INTERVAL + FALLBACK_INTERVAL_PER_INSTANCE * live,
        };
        interval.mul_f64(random.random_range(0.5..1.5))
    }

    fn update_watchers(&mut self, members: &Membership) {
        let version = Some(members.roster().routing_version());
        if self.watching.routing_version == version {
            return;
        }
        let watchers = store_watchers(members.routable());
        let was_watcher = self.watching.watchers.contains(&members.own().id);
        if !was_watcher && watchers.contains(&members.own().id) {
            self.next_store_read = None;
        }
        self.watching = Watching { routing_version: version, watchers };
    }
}
