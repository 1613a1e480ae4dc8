//! Reports about the whole fleet, which a few instances write to the platform's
//! store.

use std::collections::BTreeMap;

use masticreel_base::ids::{InstanceId, Revision};
use masticreel_burn::report::LevelReport;
use serde::{Deserialize, Serialize};

use crate::groups::GroupReport;
use crate::instances::MemberReport;

/// The state of the fleet as known to the instance that writes the report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetReport {
    /// The instance that wrote the report.
    pub reporter: InstanceId,
    /// The time of writing by that instance's clock, in milliseconds since 1970.
    pub written_at_ms: u64,
    /// The revision of the reporter's active document.
    pub revision: Revision,
    /// The members of the fleet.
    pub members: Vec<MemberReport>,
    /// The database groups.
    pub groups: Vec<GroupReport>,
    /// The service levels.
    pub levels: Vec<LevelReport>,
}

/// On how many instances a revision, or a later one, is active.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The number of instances at the revision or a later one.
    pub in_force: usize,
    /// The number of instances that are expected to apply the revision.
    pub counted: usize,
}

impl Progress {
    /// Determines the progress of a revision among the members.
    pub fn of(members: &[MemberReport], revision: Revision) -> Self {
        let counted = members.iter().filter(|member| member.is_expected_to_apply());
        let in_force = counted.clone().filter(|member| member.revision >= revision).count();
        Self { in_force, counted: counted.count() }
    }

    /// Returns whether every instance that is expected to apply the revision has
    /// done so; false if there is none.
    pub fn is_complete(self) -> bool {
        self.counted > 0 && self.in_force == self.counted
    }
}

/// Counts the instances at each revision, of those that are expected to apply
/// new ones.
pub fn instances_by_revision(members: &[MemberReport]) -> BTreeMap<Revision, usize> {
    let mut counts = BTreeMap::new();
    for member in members.iter().filter(|member| member.is_expected_to_apply()) {
        *counts.entry(member.revision).or_default() += 1;
    }
    counts
}
