//! Scheduling classes of requests.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Determines how a request competes with others for a server's slots.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Class {
    /// Served before all other requests; may use the reserved slot.
    Urgent,
    /// Ordinary short requests.
    #[default]
    Normal,
    /// Runs many times longer than other requests; never occupies the last slot
    /// of a server that has several.
    Long,
}
