//! What the few instances that report write into the platform's store.

use std::collections::BTreeMap;

use masticreel_base::ids::{InstanceId, Revision};
use masticreel_burn::report::LevelReport;
use serde::{Deserialize, Serialize};

use crate::groups::GroupReport;
use crate::instances::MemberReport;

/// The fleet as one reporting instance sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetReport {
    /// The instance that wrote the report.
    pub reporter: InstanceId,
    /// When it was written by that instance's clock, in milliseconds since 1970.
    pub written_at_ms: u64,
    /// The document's revision in force at the reporter.
    pub revision: Revision,
    /// The members of the fleet.
    pub members: Vec<MemberReport>,
    /// The database groups.
    pub groups: Vec<GroupReport>,
    /// The service levels.
    pub levels: Vec<LevelReport>,
}

/// On how many instances a revision is in force.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Instances at the revision or a later one.
    pub in_force: usize,
    /// Instances that are expected to follow.
    pub counted: usize,
}

impl Progress {
    /// Counts the members at a revision or a later one.
    pub fn of(members: &[MemberReport], revision: Revision) -> Self {
        let counted = members.iter().filter(|member| member.is_counted());
        let in_force = counted.clone().filter(|member| member.revision >= revision).count();
        Self { in_force, counted: counted.count() }
    }

    /// Returns whether every instance that is expected to follow has done so.
    pub fn is_complete(self) -> bool {
        self.counted > 0 && self.in_force == self.counted
    }
}

/// Counts the instances at each revision.
pub fn instances_by_revision(members: &[MemberReport]) -> BTreeMap<Revision, usize> {
    let mut counts = BTreeMap::new();
    for member in members.iter().filter(|member| member.is_counted()) {
        *counts.entry(member.revision).or_default() += 1;
    }
    counts
}
