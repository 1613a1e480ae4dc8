//! A cache of the store's items that an instance serves to other instances.
//!
//! If every instance watched the store, the number of store calls would grow with
//! the number of instances. So one instance of each failure domain watches the
//! store, and the others, its followers, send that instance the same calls. Each
//! answer states its age, so that a follower does not take it for more recent than
//! it is. See `docs/design/11-relays.md`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::{FailureDomain, InstanceId};

use crate::moment::Moment;
use crate::records::{Item, StoreAnswer, StoreCall, StoreEvent};
use crate::store_era::era_of;
use crate::store_view::StoreView;

/// How many changes are kept for followers; a follower that is further behind has to
/// list all items.
const MAX_HISTORY_CHANGES: usize = 4096;
/// The most bytes of keys and values in the changes that are kept; half of what an answer
/// to another instance may have.
const MAX_HISTORY_BYTES: usize = 4 << 20;
/// The age of the view from which other instances' calls are not answered from the
/// cache.
///
/// An instance that is itself without the store would let those that call it wait for
/// changes that it does not learn of either. The view of one that reaches the store is
/// confirmed with each answer to its watch, as of when that watch began: two watches and
/// their timeouts ago at most.
pub const MAX_SERVED_AGE: Duration = Duration::from_millis(4400);
/// The store's items, and the history of changes after a revision.
#[derive(Debug, Default)]
pub struct StoreCache {
    items: BTreeMap<Arc<str>, Item>,
    history: VecDeque<(u64, StoreEvent)>,
    /// The bytes of the history's keys and values.
    history_bytes: usize,
    /// The revision after which the history holds all changes.
    history_after: u64,
}

impl StoreCache {
    /// Replaces the items by a full list that was started at a revision, and clears
    /// the history.
    pub fn replace(&mut self, items: &[Item], revision: u64) {
        self.items = items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        self.history.clear();
        self.history_bytes = 0;
        self.history_after = revision;
    }

    /// Applies changes and adds them to the history.
    pub fn apply(&mut self, events: &[StoreEvent]) {
        for event in events {
            let revision = match event {
                StoreEvent::Written(item) => {
                    self.items.insert(item.key.clone(), item.clone());
                    item.revision
                }
                StoreEvent::Removed { key, revision } => {
                    self.items.remove(key);
                    *revision
                }
            };
            self.history_bytes += size_of_event(event);
            self.history.push_back((revision, event.clone()));
        }
        while self.history.len() > MAX_HISTORY_CHANGES || self.history_bytes > MAX_HISTORY_BYTES {
            let Some((revision, event)) = self.history.pop_front() else {
                return;
            };
            self.history_bytes -= size_of_event(&event);
            self.history_after = revision;
        }
    }

    /// Answers another instance's call; none if the call has to wait for a change, which
    /// it does only if `may_wait` is set. Commits and calls for store leases are
    /// rejected here, since the event loop forwards them to the store.
    ///
    /// That instance subtracts the answer's age from the time at which it sent the
    /// call, so the time for which the call was held is not part of the age.
    pub fn answer(
        &self,
        call: &StoreCall,
        view: &StoreView,
        now: Moment,
        held_for: Duration,
        may_wait: bool,
    ) -> Option<StoreAnswer> {
        let Some(confirmed_at) = view.confirmed_at() else {
            return Some(StoreAnswer::Unavailable);
        };
        if now.since(confirmed_at) >= MAX_SERVED_AGE
            && !matches!(call, StoreCall::List { may_be_stale: true, .. })
        {
            return Some(StoreAnswer::Unavailable);
        }
        // The items of an earlier era must not be taken for the present ones, and an instance
        // that knows a later era than this one has to learn of its changes elsewhere.
        let is_from_later_era =
            matches!(call, StoreCall::Watch { after, .. } if era_of(*after) > view.era());
        if !view.shows_present_era() || is_from_later_era {
            return Some(StoreAnswer::Unavailable);
        }
        let age = now.since(confirmed_at).saturating_sub(held_for);
        let revision = view.revision();
        match call {
            StoreCall::List { .. } => Some(StoreAnswer::Page {
                items: self.items.values().cloned().collect(),
                is_truncated: false,
                revision,
                age,
            }),
            StoreCall::Watch { after, .. } if *after < self.history_after => {
                Some(StoreAnswer::HistoryGone)
            }
            StoreCall::Watch { after, .. } => {
                let first = self.history.partition_point(|(revision, _)| revision <= after);
                let changes = self.history.range(first..);
                let events: Vec<StoreEvent> = changes.map(|(_, event)| event.clone()).collect();
                if events.is_empty() && may_wait {
                    return None;
                }
                let revision = revision.max(*after);
                Some(StoreAnswer::Events { events, revision, age })
            }
            StoreCall::Commit { .. } | StoreCall::Grant { .. } | StoreCall::Renew { .. } => {
                Some(StoreAnswer::Rejected)
            }
        }
    }
}

/// Returns the bytes of a change's key and value.
fn size_of_event(event: &StoreEvent) -> usize {
    match event {
        StoreEvent::Written(item) => item.key.len() + item.value.len(),
        StoreEvent::Removed { key, .. } => key.len(),
    }
}

/// Returns the instance of a failure domain that watches the store, none if the domain has
/// no live instance. All instances with the same view get the same result.
///
/// It is the one with the widest link, since each change is sent over it once per
/// follower. Once its store lease has expired, another is chosen.
pub fn watcher(view: &StoreView, domain: &FailureDomain) -> Option<InstanceId> {
    view.members()
        .filter(|(instance, member)| {
            view.accepts_work(instance) && member.value.domain.as_ref() == Some(domain)
        })
        .map(|(instance, member)| (Reverse(member.value.capacity.link_kbps), instance))
        .min()
        .map(|(_, instance)| instance.clone())
}

/// Returns the watchers of all other failure domains.
pub fn other_watchers(view: &StoreView, own_domain: &FailureDomain) -> Vec<InstanceId> {
    let domains: BTreeSet<&FailureDomain> = view
        .members()
        .filter_map(|(_, member)| member.value.domain.as_ref())
        .filter(|domain| *domain != own_domain)
        .collect();
    domains.into_iter().filter_map(|domain| watcher(view, domain)).collect()
}
