//! The newest known primary of each database group.

use std::collections::BTreeMap;
use std::ops::Bound;

use masticreel_base::ids::GroupId;

use crate::message::{GroupPrimary, MAX_NAME_BYTES, view_bytes};

/// Repetitions of a new view in messages of this instance.
const REPETITIONS: u32 = 24;

/// Most groups kept, so that a faulty peer can't exhaust the memory.
const MAX_GROUPS: usize = 8_192;

/// Group views of this instance, merged so that the newest term wins.
#[derive(Debug, Default)]
pub struct GroupPrimaries {
    views: BTreeMap<GroupId, GroupPrimary>,
    repetitions_left: BTreeMap<GroupId, u32>,
    filler_after: Option<GroupId>,
}

impl GroupPrimaries {
    /// Returns the newest known view of a group.
    pub fn get(&self, group: &GroupId) -> Option<&GroupPrimary> {
        self.views.get(group)
    }

    /// Returns the views of all groups.
    pub fn iter(&self) -> impl Iterator<Item = &GroupPrimary> {
        self.views.values()
    }

    /// Takes a view in and returns whether it is of a newer term.
    ///
    /// Two views of one term name the same primary, as a server is promoted
    /// only under the claim that the term was fenced with.
    pub fn merge(&mut self, view: &GroupPrimary) -> bool {
        let known = self.views.get(&view.group);
        if known.is_some_and(|known| known.term >= view.term) || !self.is_acceptable(view) {
            return false;
        }
        self.views.insert(view.group.clone(), view.clone());
        self.repetitions_left.insert(view.group.clone(), REPETITIONS);
        true
    }

    fn is_acceptable(&self, view: &GroupPrimary) -> bool {
        let named = view.group.as_str().len().max(view.primary.as_str().len());
        let has_room = self.views.len() < MAX_GROUPS || self.views.contains_key(&view.group);
        named <= MAX_NAME_BYTES && has_room
    }

    /// Returns recent views that fit into the bytes, and older ones in turn.
    pub fn take(&mut self, budget_bytes: usize, filled: bool) -> Vec<GroupPrimary> {
        let mut selection = Selection { views: Vec::new(), budget_bytes };
        let recent: Vec<GroupId> = self.repetitions_left.keys().cloned().collect();
        for group in recent {
            if !selection.add(&self.views[&group]) {
                return selection.views;
            }
            self.count_repetition(&group);
        }
        if filled {
            self.fill(&mut selection);
        }
        selection.views
    }

    fn count_repetition(&mut self, group: &GroupId) {
        if let Some(left) = self.repetitions_left.get_mut(group) {
            *left -= 1;
        }
        self.repetitions_left.retain(|_, left| *left > 0);
    }

    fn fill(&mut self, selection: &mut Selection) {
        let start = self.filler_after.take().map_or(Bound::Unbounded, Bound::Excluded);
        for (group, view) in self.views.range((start, Bound::Unbounded)) {
            if !selection.add(view) {
                return;
            }
            self.filler_after = Some(group.clone());
        }
        self.filler_after = None;
    }
}

struct Selection {
    views: Vec<GroupPrimary>,
    budget_bytes: usize,
}

impl Selection {
    fn add(&mut self, view: &GroupPrimary) -> bool {
        let bytes = view_bytes(view);
        if bytes > self.budget_bytes {
            return false;
        }
        self.budget_bytes -= bytes;
        self.views.push(view.clone());
        true
    }
}
