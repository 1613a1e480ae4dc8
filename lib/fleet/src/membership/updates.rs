//! Accounts that are still worth repeating.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use masticreel_base::ids::InstanceId;

use crate::member::Member;
use crate::message::member_bytes;
use crate::roster::Roster;

/// Repetitions per doubling of the fleet.
const REPETITIONS_PER_DOUBLING: u32 = 1;

/// Repetitions in the smallest fleet.
const MIN_REPETITIONS: u32 = 6;

/// How long a change may explain that another instance routes differently.
const RECENT: Duration = Duration::from_secs(10);
const REPAIR_INTERVAL: Duration = Duration::from_millis(100);

/// Counts how often each recent account was sent.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    sent: BTreeMap<InstanceId, u32>,
}

impl UpdateQueue {
    /// Starts the repetitions of an account anew.
    pub(super) fn add(&mut self, id: &InstanceId) {
        self.sent.insert(id.clone(), 0);
    }

    /// Returns whether nothing is left to repeat.
    pub(super) fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Takes the least repeated accounts that fit into the bytes.
    pub(super) fn take(&mut self, roster: &Roster, mut budget_bytes: usize) -> Vec<Member> {
        if self.sent.is_empty() {
            return Vec::new();
        }
        let limit = repetition_limit(roster.live().len());
        let mut order: Vec<(u32, InstanceId)> =
            self.sent.iter().map(|(id, count)| (*count, id.clone())).collect();
        order.sort_unstable_by_key(|(count, _)| *count);
        let mut taken = Vec::new();
        for (count, id) in order {
            let Some(member) = roster.get(&id) else {
                self.sent.remove(&id);
                continue;
            };
            let bytes = member_bytes(member);
            if bytes > budget_bytes {
                break;
            }
            budget_bytes -= bytes;
            taken.push(member.clone());
            self.count_sent(id, count + 1, limit);
        }
        taken
    }

    fn count_sent(&mut self, id: InstanceId, count: u32, limit: u32) {
        if count >= limit {
            self.sent.remove(&id);
        } else {
            self.sent.insert(id, count);
        }
    }
}

fn repetition_limit(live: usize) -> u32 {
    let doublings = usize::BITS - live.leading_zeros();
    MIN_REPETITIONS + REPETITIONS_PER_DOUBLING * doublings
}

/// Remembers recent changes for instances that missed them.
#[derive(Debug, Default)]
pub(super) struct RecentChanges {
    changes: VecDeque<(Instant, InstanceId)>,
    next_repair: Option<Instant>,
}

impl RecentChanges {
    /// Notes that an account changed.
    pub(super) fn add(&mut self, id: &InstanceId, now: Instant) {
        self.changes.retain(|(_, other)| other != id);
        self.changes.push_front((now, id.clone()));
    }

    /// Returns the latest changed accounts that fit into the bytes, none if
    /// others were given some just before.
    pub(super) fn take(
        &mut self,
        roster: &Roster,
        mut budget_bytes: usize,
        now: Instant,
    ) -> Vec<Member> {
        let is_old = |(at, _): &(Instant, InstanceId)| now.saturating_duration_since(*at) > RECENT;
        while self.changes.back().is_some_and(is_old) {
            self.changes.pop_back();
        }
        if self.changes.is_empty() || self.next_repair.is_some_and(|next| now < next) {
            return Vec::new();
        }
        self.next_repair = Some(now + REPAIR_INTERVAL);
        let mut taken = Vec::new();
        for member in self.changes.iter().filter_map(|(_, id)| roster.get(id)) {
            let bytes = member_bytes(member);
            if bytes > budget_bytes {
                break;
            }
            budget_bytes -= bytes;
            taken.push(member.clone());
        }
        taken
    }
}
