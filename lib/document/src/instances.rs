//! Instances that operators add or take away.

use std::net::SocketAddr;

use derive_more::Display;
use masticreel_base::ids::InstanceId;
use serde::{Deserialize, Serialize};

/// Says what operators intend for an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum InstanceIntent {
    /// The instance is being added and may be contacted before any list names it.
    Arriving,
    /// The instance must finish its work and take on none.
    Leaving,
}

/// An instance whose arrival or departure operators announce.
///
/// Instances that merely run are not listed; the fleet finds them by itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSpec {
    /// The instance's name in its own settings.
    pub name: InstanceId,
    /// What operators intend.
    pub state: InstanceIntent,
    /// Where other instances reach it; needed for one that arrives.
    #[serde(default)]
    pub address: Option<SocketAddr>,
}
