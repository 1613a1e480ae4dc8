//! The fleet as other threads see it.

use masticreel_base::ids::{GroupId, InstanceId};
use masticreel_fleet::fleet::Fleet;
use masticreel_fleet::member::Member;
use masticreel_fleet::message::GroupPrimary;

/// The fleet at one moment; it is replaced and never changed.
#[derive(Debug, Clone)]
pub struct FleetSnapshot {
    /// This instance's own account.
    pub own: Member,
    /// The accounts of the others, in the order of their names.
    pub others: Vec<Member>,
    /// The instances that watch the store and report to it.
    pub watchers: Vec<InstanceId>,
    /// Who leads the groups, in the order of their names.
    pub views: Vec<GroupPrimary>,
    /// Whether the others' accounts were fetched, or nobody answered.
    pub is_joined: bool,
    /// Changes whenever routing is affected.
    pub routing_version: u64,
}

impl FleetSnapshot {
    /// Copies what others may see.
    pub fn of(fleet: &Fleet) -> Self {
        let membership = fleet.membership();
        Self {
            own: membership.own().clone(),
            others: membership.roster().iter().cloned().collect(),
            watchers: fleet.dissemination().watchers().to_vec(),
            views: fleet.views().iter().cloned().collect(),
            is_joined: membership.is_joined(),
            routing_version: membership.roster().routing_version(),
        }
    }

    /// Returns all instances that requests may be sent to.
    pub fn routable(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(&self.others).filter(|member| member.is_routable())
    }

    /// Returns the newest known view of a group.
    pub fn view_of(&self, group: &GroupId) -> Option<&GroupPrimary> {
        let position = self.views.binary_search_by(|view| view.group.cmp(group)).ok()?;
        self.views.get(position)
    }
}
