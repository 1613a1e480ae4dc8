//! Classes of requests.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Says how a request competes with others for a server.
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
    /// Goes before all other work and may use the reserved slot.
    Urgent,
    /// Ordinary short work.
    #[default]
    Normal,
    /// Runs many times longer than the rest and never holds the last slot.
    Long,
}
