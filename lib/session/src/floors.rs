//! Floors: the minimum positions that a session's reads must see.
//!
//! A [`Floor`] holds two of them for one group; which of the two counts depends on
//! the read, see [`crate::routing::ReadRequirements`].

use std::collections::BTreeMap;

use masticreel_base::ids::{GroupId, Term};
use masticreel_base::position::TermPosition;

/// The two minimum positions of a session's reads in one group.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Floor {
    /// Covers the session's acknowledged writes.
    pub written: TermPosition,
    /// Covers everything that the session has written or read.
    pub seen: TermPosition,
}

/// A session's floors, one for each group that it has used.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Floors {
    by_group: BTreeMap<GroupId, Floor>,
}

impl Floors {
    /// Returns the floor for a group, or `None` if the session has none yet.
    pub fn get(&self, group: &GroupId) -> Option<Floor> {
        self.by_group.get(group).copied()
    }

    /// Raises both positions of the group's floor after an acknowledged write.
    pub fn record_write(&mut self, group: &GroupId, position: TermPosition) {
        let floor = self.entry(group);
        floor.written = raise(floor.written, position);
        floor.seen = raise(floor.seen, position);
    }

    /// Raises the position `seen` of the group's floor after a read.
    pub fn record_read(&mut self, group: &GroupId, position: TermPosition) {
        let floor = self.entry(group);
        floor.seen = raise(floor.seen, position);
    }

    /// Raises all floors to those that the session reached elsewhere, such as on
    /// another instance.
    pub fn merge(&mut self, others: &Self) {
        for (group, other) in &others.by_group {
            let floor = self.entry(group);
            floor.written = raise(floor.written, other.written);
            floor.seen = raise(floor.seen, other.seen);
        }
    }

    /// Returns the floors in the order of the groups' names.
    pub fn iter(&self) -> impl Iterator<Item = (&GroupId, &Floor)> {
        self.by_group.iter()
    }

    fn entry(&mut self, group: &GroupId) -> &mut Floor {
        self.by_group.entry(group.clone()).or_default()
    }
}

impl FromIterator<(GroupId, Floor)> for Floors {
    fn from_iter<Items>(items: Items) -> Self
    where
        Items: IntoIterator<Item = (GroupId, Floor)>,
    {
        Self { by_group: items.into_iter().collect() }
    }
}

/// Returns the lowest minimum position that covers both.
///
/// Term and position are raised separately: a read that was allowed to be stale
/// may report a low position of a new term, and an acknowledged write keeps its
/// position under every later primary.
fn raise(floor: TermPosition, position: TermPosition) -> TermPosition {
    let term: Term = floor.term.max(position.term);
    TermPosition::new(term, floor.position.max(position.position))
}
