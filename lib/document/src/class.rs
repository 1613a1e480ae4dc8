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
    /// Served before all other requests; a server with several slots reserves one
    /// for them.
    Urgent,
    /// Ordinary requests; the default.
    #[default]
    Normal,
    /// Runs many times longer than other requests; if the server has several slots,
    /// always leaves one to other classes.
    Long,
}
