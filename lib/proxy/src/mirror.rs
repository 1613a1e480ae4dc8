//! What an instance that watches the store passes on to others.
//!
//! All instances watching the store would cost calls in proportion to their
//! number. So one of each failure domain watches it, and the others ask that one
//! the same questions. An answer says how old it is, so that nobody takes
//! it for newer than it was. See `docs/design/11-relays.md`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::{FailureDomain, InstanceId};

use crate::moment::Moment;
use crate::records::{Item, StoreAnswer, StoreCall, StoreEvent};
use crate::store_view::StoreView;

/// Changes that are kept for followers that are behind.
const HISTORY_LIMIT: usize = 4096;
/// Instances of one failure domain that watch the store themselves: the one
/// with the widest link, since each change goes over it once for each follower.
/// Where it fails, its followers ask the store until its lease has ended.
const WATCHERS_PER_DOMAIN: usize = 1;

/// The store's items, and the changes since a revision.
#[derive(Debug, Default)]
pub struct Mirror {
    items: BTreeMap<Arc<str>, Item>,
    history: VecDeque<(u64, StoreEvent)>,
    /// Changes after this revision are in the history.
    history_after: u64,
}

impl Mirror {
    /// Takes a full list that was begun at a revision.
    pub fn replace(&mut self, items: &[Item], revision: u64) {
        self.items = items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        self.history.clear();
        self.history_after = revision;
    }

    /// Takes changes.
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
            self.history.push_back((revision, event.clone()));
        }
        while self.history.len() > HISTORY_LIMIT {
            if let Some((revision, _)) = self.history.pop_front() {
                self.history_after = revision;
            }
        }
    }

    /// Answers a follower's call, none if it has to wait for news.
    ///
    /// The follower reckons from the moment of its call, so the time for which
    /// the call was held is taken off the answer's age.
    pub fn answer(
        &self,
        call: &StoreCall,
        view: &StoreView,
        now: Moment,
        held: Duration,
        may_wait: bool,
    ) -> Option<StoreAnswer> {
        let Some(confirmed_at) = view.confirmed_at() else {
            return Some(StoreAnswer::Unavailable);
        };
        let age = now.since(confirmed_at).saturating_sub(held);
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
                let news = self.history.range(first..);
                let events: Vec<StoreEvent> = news.map(|(_, event)| event.clone()).collect();
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

/// Returns the instances of a failure domain that watch the store, in the order
/// that all instances agree on.
pub fn watchers(view: &StoreView, domain: &FailureDomain) -> Vec<InstanceId> {
    let mut ranked: Vec<_> = view
        .members()
        .filter(|(instance, member)| {
            view.is_willing(instance) && member.value.domain.as_ref() == Some(domain)
        })
        .map(|(instance, member)| (Reverse(member.value.capacity.link_kbps), instance))
        .collect();
    ranked.sort();
    ranked.into_iter().map(|(_, instance)| instance.clone()).take(WATCHERS_PER_DOMAIN).collect()
}
