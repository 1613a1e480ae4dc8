//! Snapshots of the fleet for other threads.

use masticreel_base::ids::{GroupId, InstanceId};
use masticreel_fleet::fleet::Fleet;
use masticreel_fleet::member::Member;
use masticreel_fleet::message::GroupPrimary;

/// The fleet at one moment. A snapshot never changes; a newer one replaces it.
#[derive(Debug, Clone)]
pub struct FleetSnapshot {
    /// This instance's own member record.
    pub own: Member,
    /// The records of the other members, in the order of their names.
    pub others: Vec<Member>,
    /// The instances that watch the store and report to it.
    pub store_watchers: Vec<InstanceId>,
    /// The primaries of the groups, in the order of the groups' names.
    pub group_primaries: Vec<GroupPrimary>,
    /// Whether the records of the other members were received, or no instance
    /// answered.
    pub has_finished_joining: bool,
    /// A number that changes whenever routing is affected.
    pub routing_version: u64,
}

impl FleetSnapshot {
    /// Copies the current state of the fleet.
    pub fn of(fleet: &Fleet) -> Self {
        let membership = fleet.membership();
        Self {
            own: membership.own().clone(),
            others: membership.roster().iter().cloned().collect(),
            store_watchers: fleet.dissemination().watchers().to_vec(),
            group_primaries: fleet.group_primaries().iter().cloned().collect(),
            has_finished_joining: membership.has_finished_joining(),
            routing_version: membership.roster().routing_version(),
        }
    }

    /// Returns all instances that requests may be sent to.
    pub fn routable(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(&self.others).filter(|member| member.is_routable())
    }

    /// Returns the primary of a group in its newest known term.
    pub fn primary_of(&self, group: &GroupId) -> Option<&GroupPrimary> {
        let position =
            self.group_primaries.binary_search_by(|primary| primary.group.cmp(group)).ok()?;
        self.group_primaries.get(position)
    }
}
