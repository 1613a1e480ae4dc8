//! Reports about instances, by themselves and by other members of the fleet.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use masticreel_base::ids::{FailureDomain, InstanceId, Revision};
use serde::{Deserialize, Serialize};

/// Whether an instance accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance has no document yet.
    Starting,
    /// The instance accepts work.
    Serving,
    /// The instance finishes its work and accepts no new work.
    Leaving,
}

/// Whether the platform's store is reachable from an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum StoreState {
    /// The instance does not read the store, or has not tried yet.
    Unused,
    /// The last call of the store succeeded.
    Reachable,
    /// The last call of the store failed; the instance continues with the
    /// document that it has.
    Unreachable,
}

/// The state of an instance as reported by itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// The instance's name.
    pub name: InstanceId,
    /// The version of the program.
    pub version: Arc<str>,
    /// The failure domain in which the instance runs.
    pub failure_domain: FailureDomain,
    /// Whether the instance accepts work.
    pub state: InstanceState,
    /// The revision of the active document; 0 if there is none.
    pub revision: Revision,
    /// Why a newer revision was refused and not applied; `None` if no revision was
    /// refused.
    pub refused: Option<Arc<str>>,
    /// Whether the platform's store is reachable.
    pub store: StoreState,
    /// The edits that the store lost when it was restored from a copy, as long as the
    /// last of them is in force; `None` also if the instance's version doesn't tell.
    #[serde(default)]
    pub lost_edits: Option<Arc<str>>,
}

/// The health of a member as known to another instance: its state in the membership
/// protocol, and whether it is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum MemberHealth {
    /// The member responds.
    Alive,
    /// The member did not respond recently, so work is routed around it.
    Suspect,
    /// The member finishes its work and accepts no new work.
    Leaving,
    /// The member has stopped or was declared dead.
    Dead,
}

/// What the reporting instance knows about a member of the fleet, possibly about
/// itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The member's name.
    pub name: InstanceId,
    /// The address at which other instances reach it.
    pub address: SocketAddr,
    /// The address of its operators' port, if it has announced one.
    pub operators: Option<SocketAddr>,
    /// The failure domain in which it runs.
    pub failure_domain: FailureDomain,
    /// The member's health.
    pub health: MemberHealth,
    /// The revision that it last announced as active.
    pub revision: Revision,
}

impl MemberReport {
    /// Returns whether the member is expected to apply new revisions of the
    /// document.
    pub fn is_expected_to_apply(&self) -> bool {
        matches!(self.health, MemberHealth::Alive | MemberHealth::Leaving)
    }
}
