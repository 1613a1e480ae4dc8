//! Decides through whom an instance reads the store.
//!
//! Most instances follow another one, which watches the store for its failure domain, and
//! an instance that can't reach the store calls it through another one. What they learn so
//! is as old as the view of the one that is asked. Two rules keep that bounded:
//!
//! - An instance that others ask reads the store itself for as long as they do. Otherwise
//!   two instances could each wait for changes at the other, and learn of none.
//! - An instance that can't reach the store answers no one, so that those who follow it
//!   turn elsewhere at once.
//!
//! See `docs/design/11-relays.md` and `docs/incidents/views-through-each-other.md`.

use std::time::Duration;

use derive_more::Display;
use masticreel_base::ids::{FailureDomain, InstanceId};
use xxhash_rust::xxh3::xxh3_64;

use crate::moment::Moment;
use crate::store_cache::{other_watchers, watcher};
use crate::store_view::StoreView;

/// How long a follower does without the watcher of its domain after a call through an
/// instance that it followed has failed.
const FOLLOWED_BACKOFF: Duration = Duration::from_secs(3);
/// How many failed calls through watchers of other domains a follower makes until it calls
/// the store itself. If all followers of a failed watcher did so at once, each change of
/// the store would return all their watches.
const MAX_OTHER_WATCHERS: usize = 2;
/// After this many consecutive failures of direct calls, the store is called
/// through another instance until a direct call succeeds.
const DIRECT_FAILURES_LIMIT: u32 = 2;
/// The time between direct calls that test whether the store can be reached again.
const DIRECT_BACKOFF: Duration = Duration::from_secs(2);
/// How long after another instance's call an instance goes on reading the store itself;
/// longer than until the next call of an instance that goes on asking.
const ASKED_PERIOD: Duration = Duration::from_secs(3);

/// How long the watch in flight may take to return a change that the store is known to have;
/// longer than an answer of a slow store takes.
const MISSED_CHANGE_TIMEOUT: Duration = Duration::from_millis(450);

/// A call in flight that reads the store.
#[derive(Debug, Clone, Copy)]
pub struct ReadCall {
    /// When it was made.
    pub called_at: Moment,
    /// Whether it was made through another instance.
    pub is_through_instance: bool,
    /// When the view would be too old for a follower to go on waiting; none if it can only
    /// wait, or the answer is arriving.
    pub give_up_at: Option<Moment>,
}

/// Why a call that reads the store is given up before its timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum GiveUpReason {
    /// Other instances ask this one, which therefore reads the store itself. Nothing is
    /// wrong with the instance that was called.
    Asked,
    /// The instance that was called has told of no change for so long that the view
    /// would be too old.
    ViewTooOld,
    /// The store holds a record that this instance has committed, and the call has not
    /// returned it.
    MissedChange,
    /// The store has not answered this instance's other calls.
    DirectCallsFail,
}

/// Whether direct calls to the store succeed.
#[derive(Debug, Default)]
struct DirectHealth {
    failures: u32,
    backoff_until: Moment,
}

/// How calls through other instances went.
#[derive(Debug, Default)]
struct FollowedHealth {
    backoff_until: Moment,
    /// How many calls in a row have failed; starts anew once the backoff is over.
    recent_failures: usize,
    /// How many calls through other instances have failed since the start. It is part
    /// of the index by which an instance is chosen, so that each failure moves the
    /// choice to the next one.
    failures: usize,
}

impl FollowedHealth {
    fn record_failure(&mut self, now: Moment) {
        self.recent_failures = self.recent_failures(now) + 1;
        self.failures += 1;
        self.backoff_until = now + FOLLOWED_BACKOFF;
    }

    fn recent_failures(&self, now: Moment) -> usize {
        if now >= self.backoff_until { 0 } else { self.recent_failures }
    }
}

/// The state of an instance's ways to the store.
#[derive(Debug)]
pub struct StoreRoute {
    own: InstanceId,
    domain: FailureDomain,
    direct: DirectHealth,
    followed: FollowedHealth,
    /// Until when other instances count as reading the store through this one.
    asked_until: Moment,
}

impl StoreRoute {
    /// Creates the state of an instance that has just started.
    pub fn new(own: InstanceId, domain: FailureDomain) -> Self {
        Self {
            own,
            domain,
            direct: DirectHealth::default(),
            followed: FollowedHealth::default(),
            asked_until: Moment::default(),
        }
    }

    /// Records whether a direct call to the store was answered.
    ///
    /// An answer ends the backoff: other instances may still be without the store, and
    /// two that call it through each other would learn nothing.
    pub fn record_direct_call(&mut self, is_answered: bool, now: Moment) {
        if is_answered {
            self.direct = DirectHealth::default();
            return;
        }
        self.direct.failures += 1;
        if self.direct.failures >= DIRECT_FAILURES_LIMIT {
            self.direct.backoff_until = now + DIRECT_BACKOFF;
        }
    }

    /// Records that a direct watch has not returned a change that the store certainly has,
    /// which shows as much as several unanswered calls.
    fn record_missed_change(&mut self, now: Moment) {
        self.direct.failures = self.direct.failures.max(DIRECT_FAILURES_LIMIT - 1);
        self.record_direct_call(false, now);
    }

    /// Records that a call through another instance was not answered, or that the
    /// instance could not serve it.
    pub fn record_followed_failure(&mut self, now: Moment) {
        self.followed.record_failure(now);
    }

    /// Records that another instance reads the store through this one.
    pub fn record_asked(&mut self, now: Moment) {
        self.asked_until = now + ASKED_PERIOD;
    }

    /// Returns whether other instances read the store through this one.
    pub fn is_asked(&self, now: Moment) -> bool {
        now < self.asked_until
    }

    /// Returns whether direct calls have failed and none has succeeded since.
    pub fn is_direct_failing(&self) -> bool {
        self.direct.failures >= DIRECT_FAILURES_LIMIT
    }

    /// Returns why another way is likely to show the store's changes sooner than the call in
    /// flight, `None` if that is to be awaited.
    ///
    /// `awaited_since` is since when the store has certainly held a change that the view
    /// does not show.
    pub fn reason_to_give_up(
        &mut self,
        call: &ReadCall,
        view: &StoreView,
        awaited_since: Option<Moment>,
        now: Moment,
    ) -> Option<GiveUpReason> {
        let misses_change = awaited_since
            .is_some_and(|since| now.since(since.max(call.called_at)) >= MISSED_CHANGE_TIMEOUT);
        if call.is_through_instance {
            if self.is_asked(now) && !self.is_direct_failing() {
                return Some(GiveUpReason::Asked);
            }
            if call.give_up_at.is_some_and(|give_up_at| now >= give_up_at) {
                return Some(GiveUpReason::ViewTooOld);
            }
            return misses_change.then_some(GiveUpReason::MissedChange);
        }
        if misses_change {
            self.record_missed_change(now);
            return Some(GiveUpReason::MissedChange);
        }
        // Without a view there is nobody to ask.
        let has_others = view.confirmed_at().is_some() && view.live_count() > 1;
        (self.is_direct_failing() && has_others).then_some(GiveUpReason::DirectCallsFail)
    }

    /// Returns whether the next call for the store lease tests whether the store can be
    /// reached again.
    ///
    /// Other calls are not risked for that: a lost write of a group's record would hold
    /// up a replacement.
    pub fn tests_direct_calls(&self, now: Moment) -> bool {
        now >= self.direct.backoff_until
    }

    /// Returns the instance through which the store is read next, `None` for the store
    /// itself.
    ///
    /// `may_follow` says that the view is complete and recent enough for that of another
    /// instance to be taken over.
    pub fn reader(&self, view: &StoreView, now: Moment, may_follow: bool) -> Option<InstanceId> {
        let is_cut_off = view.confirmed_at().is_some() && self.is_direct_failing();
        if !is_cut_off && (!may_follow || self.is_asked(now)) {
            return None;
        }
        let followed = watcher(view, &self.domain).filter(|watcher| *watcher != self.own);
        let failures = self.followed.recent_failures(now);
        if failures == 0 && followed.is_some() {
            return followed;
        }
        if followed.is_none() && !is_cut_off {
            return None;
        }
        let others = other_watchers(view, &self.domain);
        let tried_others = failures.saturating_sub(usize::from(followed.is_some()));
        if is_cut_off {
            // The watchers read the store already; any other instance would begin to do so.
            return if tried_others < others.len() {
                Some(self.pick(&others).clone())
            } else {
                self.forwarder(view)
            };
        }
        let chosen = || others[(self.followed.failures + failures) % others.len()].clone();
        (tried_others < MAX_OTHER_WATCHERS && !others.is_empty()).then(chosen)
    }

    /// Returns the instance that forwards calls to the store for this one, `None` unless
    /// this instance's own calls fail.
    pub fn forwarder(&self, view: &StoreView) -> Option<InstanceId> {
        if !self.is_direct_failing() {
            return None;
        }
        let others: Vec<&InstanceId> = view.live().filter(|other| **other != self.own).collect();
        (!others.is_empty()).then(|| (*self.pick(&others)).clone())
    }

    /// Picks one of several instances, so that different instances pick different ones.
    fn pick<'a, T>(&self, instances: &'a [T]) -> &'a T {
        let first = xxh3_64(self.own.as_str().as_bytes()) as usize;
        &instances[first.wrapping_add(self.followed.failures) % instances.len()]
    }
}
