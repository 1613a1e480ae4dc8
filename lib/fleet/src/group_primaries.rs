//! The newest known primary of each database group.

use std::collections::BTreeMap;
use std::ops::Bound;

use masticreel_base::ids::GroupId;

use crate::message::{GroupPrimary, MAX_NAME_BYTES, max_group_primary_bytes};

/// How many messages of this instance carry a new primary.
const TRANSMISSIONS: u32 = 24;

/// Bounds the memory that a faulty peer can use.
const MAX_GROUPS: usize = 8_192;

/// The primaries that this instance knows, the newest term for each group.
#[derive(Debug, Default)]
pub struct GroupPrimaries {
    primaries: BTreeMap<GroupId, GroupPrimary>,
    transmissions_left: BTreeMap<GroupId, u32>,
    known_cursor: Option<GroupId>,
}

impl GroupPrimaries {
    /// Returns the newest known primary of a group.
    pub fn get(&self, group: &GroupId) -> Option<&GroupPrimary> {
        self.primaries.get(group)
    }

    /// Returns the newest known primaries of all groups.
    pub fn iter(&self) -> impl Iterator<Item = &GroupPrimary> {
        self.primaries.values()
    }

    /// Merges a group's primary and returns whether it was accepted as newer.
    ///
    /// A record of the same term is ignored, since a term has at most one primary
    /// (see `masticreel_group`).
    pub fn merge(&mut self, entry: &GroupPrimary) -> bool {
        let known = self.primaries.get(&entry.group);
        if known.is_some_and(|known| known.term >= entry.term) || !self.is_acceptable(entry) {
            return false;
        }
        self.primaries.insert(entry.group.clone(), entry.clone());
        self.transmissions_left.insert(entry.group.clone(), TRANSMISSIONS);
        true
    }

    fn is_acceptable(&self, entry: &GroupPrimary) -> bool {
        let longest_name = entry.group.as_str().len().max(entry.primary.as_str().len());
        let has_room =
            self.primaries.len() < MAX_GROUPS || self.primaries.contains_key(&entry.group);
        longest_name <= MAX_NAME_BYTES && has_room
    }

    /// Returns the new primaries that fit into the bytes and, if requested, all
    /// known ones in rotation in the bytes that are left. A new one may occur twice.
    pub fn take(&mut self, budget_bytes: usize, include_known: bool) -> Vec<GroupPrimary> {
        let mut selection = Selection { primaries: Vec::new(), budget_bytes };
        let recent: Vec<GroupId> = self.transmissions_left.keys().cloned().collect();
        for group in recent {
            if !selection.add(&self.primaries[&group]) {
                return selection.primaries;
            }
            self.count_transmission(&group);
        }
        if include_known {
            self.add_known(&mut selection);
        }
        selection.primaries
    }

    fn count_transmission(&mut self, group: &GroupId) {
        if let Some(left) = self.transmissions_left.get_mut(group) {
            *left -= 1;
        }
        self.transmissions_left.retain(|_, left| *left > 0);
    }

    fn add_known(&mut self, selection: &mut Selection) {
        let start = self.known_cursor.take().map_or(Bound::Unbounded, Bound::Excluded);
        for (group, entry) in self.primaries.range((start, Bound::Unbounded)) {
            if !selection.add(entry) {
                return;
            }
            self.known_cursor = Some(group.clone());
        }
        self.known_cursor = None;
    }
}

struct Selection {
    primaries: Vec<GroupPrimary>,
    budget_bytes: usize,
}

impl Selection {
    fn add(&mut self, entry: &GroupPrimary) -> bool {
        let bytes = max_group_primary_bytes(entry);
        if bytes > self.budget_bytes {
            return false;
        }
        self.budget_bytes -= bytes;
        self.primaries.push(entry.clone());
        true
    }
}
