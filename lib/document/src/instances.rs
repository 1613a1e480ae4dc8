//! Instances that operators are adding or removing.

use std::net::SocketAddr;

use derive_more::Display;
use masticreel_base::ids::InstanceId;
use serde::{Deserialize, Serialize};

/// The change that operators intend for an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum InstanceIntent {
    /// The instance is being added; others may contact it before they have received
    /// it as a member of the fleet.
    Arriving,
    /// The instance is being removed; it must finish its work and accept no more.
    Leaving,
}

/// An instance that operators are adding or removing.
///
/// Other running instances are not listed, since the fleet discovers them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSpec {
    /// The instance's name, as in its own settings.
    pub name: InstanceId,
    /// The intended change.
    pub state: InstanceIntent,
    /// The address at which other instances reach it; required if it is arriving.
    #[serde(default)]
    pub address: Option<SocketAddr>,
}
