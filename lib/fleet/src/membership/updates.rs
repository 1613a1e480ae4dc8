//! Selects changed member records to attach to messages.
//!
//! [`UpdateQueue`] holds the changed records that were not yet sent often enough.
//! [`ChangeHistory`] keeps the changes of the last seconds for instances that
//! missed these transmissions.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use masticreel_base::ids::InstanceId;

use crate::member::Member;
use crate::message::max_member_bytes;
use crate::roster::Roster;

/// Further transmissions of an update for each doubling of the fleet.
const TRANSMISSIONS_PER_DOUBLING: u32 = 1;

/// Transmissions of an update in the smallest fleet.
const MIN_TRANSMISSIONS: u32 = 6;

/// How long a change is kept as a possible reason why another instance's routing
/// digest differs.
const CHANGE_RETENTION: Duration = Duration::from_secs(10);
/// The shortest time between two messages with missed changes.
const MISSED_CHANGES_INTERVAL: Duration = Duration::from_millis(100);

/// The changed member records that are still to be sent, with how often each was.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    sent: BTreeMap<InstanceId, u32>,
}

impl UpdateQueue {
    /// Adds a member record, or restarts its count of transmissions.
    pub(super) fn add(&mut self, id: &InstanceId) {
        self.sent.insert(id.clone(), 0);
    }

    /// Returns whether no member record is left to send.
    pub(super) fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Returns the least often sent member records that fit into the bytes, and
    /// counts them as sent.
    pub(super) fn take(&mut self, roster: &Roster, mut budget_bytes: usize) -> Vec<Member> {
        if self.sent.is_empty() {
            return Vec::new();
        }
        let limit = transmission_limit(roster.live().len());
        let mut by_count: Vec<(u32, InstanceId)> =
            self.sent.iter().map(|(id, count)| (*count, id.clone())).collect();
        by_count.sort_unstable_by_key(|(count, _)| *count);
        let mut taken = Vec::new();
        for (count, id) in by_count {
            let Some(member) = roster.get(&id) else {
                self.sent.remove(&id);
                continue;
            };
            let bytes = max_member_bytes(member);
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

fn transmission_limit(live: usize) -> u32 {
    let doublings = usize::BITS - live.leading_zeros();
    MIN_TRANSMISSIONS + TRANSMISSIONS_PER_DOUBLING * doublings
}

/// The changes of the last [`CHANGE_RETENTION`], for instances that missed them.
#[derive(Debug, Default)]
pub(super) struct ChangeHistory {
    changes: VecDeque<(Instant, InstanceId)>,
    next_selection: Option<Instant>,
}

impl ChangeHistory {
    /// Records that a member record changed.
    pub(super) fn add(&mut self, id: &InstanceId, now: Instant) {
        self.changes.retain(|(_, other)| other != id);
        self.changes.push_front((now, id.clone()));
    }

    /// Returns the most recently changed member records that fit into the
    /// bytes, or none within [`MISSED_CHANGES_INTERVAL`] of the previous selection.
    pub(super) fn take(
        &mut self,
        roster: &Roster,
        mut budget_bytes: usize,
        now: Instant,
    ) -> Vec<Member> {
        let is_old =
            |(at, _): &(Instant, InstanceId)| now.saturating_duration_since(*at) > CHANGE_RETENTION;
        while self.changes.back().is_some_and(is_old) {
            self.changes.pop_back();
        }
        if self.changes.is_empty() || self.next_selection.is_some_and(|next| now < next) {
            return Vec::new();
        }
        self.next_selection = Some(now + MISSED_CHANGES_INTERVAL);
        let mut taken = Vec::new();
        for member in self.changes.iter().filter_map(|(_, id)| roster.get(id)) {
            let bytes = max_member_bytes(member);
            if bytes > budget_bytes {
                break;
            }
            budget_bytes -= bytes;
            taken.push(member.clone());
        }
        taken
    }
}
