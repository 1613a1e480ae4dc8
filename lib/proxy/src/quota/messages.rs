//! The parts of the datagrams about quotas.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A request for units of one organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaWant {
    /// The organisation.
    pub organisation: Arc<str>,
    /// Identifies the request at its sender.
    pub request: u64,
    /// The units that operations wait for.
    pub needed: u32,
    /// The units that are wanted in advance.
    pub spare: u32,
    /// The limit in the sender's document: operations per second.
    pub operations_per_s: f64,
    /// The limit in the sender's document: burst.
    pub burst: f64,
}

/// The answer to a [`QuotaWant`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantedUnits {
    /// The organisation.
    pub organisation: Arc<str>,
    /// The request that is answered.
    pub request: u64,
    /// The granted units.
    pub units: u32,
    /// If fewer than needed were granted, when to ask again, in ms.
    pub retry_after_ms: Option<u64>,
}

/// What is left of one organisation's units.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandedBucket {
    /// The organisation.
    pub organisation: Arc<str>,
    /// The units.
    pub units: f64,
}
