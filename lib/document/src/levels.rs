//! Service levels, as listed in the document.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::class::Class;

/// An objective: at least this share of a class's requests must succeed within this
/// time.
///
/// The output of `masticreel report` and the alerts compare measurements with
/// these objectives. See `docs/design/08-document.md`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLevel {
    /// The level's name in reports, metrics and logs.
    pub name: Arc<str>,
    /// The class of requests that the level covers.
    pub class: Class,
    /// The time within which a request counts as good, in milliseconds.
    pub latency_ms: u64,
    /// The share of requests that must be good, in percent, below 100.
    pub objective_percent: f64,
}

impl ServiceLevel {
    /// Returns the time within which a request counts as good.
    pub fn latency(&self) -> Duration {
        Duration::from_millis(self.latency_ms)
    }

    /// Returns the share of requests that need not be good, between 0 and 1.
    pub fn error_budget(&self) -> f64 {
        1.0 - self.objective_percent / 100.0
    }
}
