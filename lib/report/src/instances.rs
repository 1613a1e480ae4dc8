//! What is reported about instances.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use masticreel_base::ids::{FailureDomain, InstanceId, Revision};
use serde::{Deserialize, Serialize};

/// Whether an instance takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance has no document yet.
    Starting,
    /// The instance takes work.
    Serving,
    /// The instance finishes its work and takes on none.
    Leaving,
}

/// What an instance knows of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum StoreState {
    /// The instance does not read the store, or has not tried yet.
    Unused,
    /// The last call was answered.
    Reachable,
    /// The last call failed; the instance goes on with the document it has.
    Unreachable,
}

/// What one instance tells about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// The instance's name.
    pub name: InstanceId,
    /// The version of the program.
    pub version: Arc<str>,
    /// Where the instance runs.
    pub failure_domain: FailureDomain,
    /// Whether the instance takes work.
    pub state: InstanceState,
    /// The document's revision in force; 0 if there is none.
    pub revision: Revision,
    /// Why a newer revision was refused; it stays out of force.
    pub refused: Option<Arc<str>>,
    /// What the instance knows of the platform's store.
    pub store: StoreState,
}

/// How an instance sees another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum MemberHealth {
    /// It answers.
    Alive,
    /// It did not answer lately and is routed around.
    Suspect,
    /// It finishes its work and takes on none.
    Leaving,
    /// It is gone.
    Dead,
}

/// What an instance knows of a member of the fleet, itself included.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The member's name.
    pub name: InstanceId,
    /// Where other instances reach it.
    pub address: SocketAddr,
    /// Where its operators' port is, if it has told.
    pub operators: Option<SocketAddr>,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Whether it answers.
    pub health: MemberHealth,
    /// The document's revision that it said to be in force.
    pub revision: Revision,
}

impl MemberReport {
    /// Returns whether the member is expected to follow the document.
    pub fn is_counted(&self) -> bool {
        matches!(self.health, MemberHealth::Alive | MemberHealth::Leaving)
    }
}
