//! The settings of an experiment, read from TOML.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticreel_document::class::Class;
use serde::Deserialize;

/// One server, its load and the phases in which the load varies.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentSettings {
    /// The deployment's name in the report.
    pub name: Arc<str>,
    /// The seed of arrivals and execution times.
    pub seed: u64,
    /// Statements that the server executes concurrently.
    pub slots: u32,
    /// Connections that the server accepts, not counting those reserved for the
    /// instances' own queries.
    pub connections: u32,
    /// Instances through which requests arrive, evenly distributed.
    pub entries: u32,
    /// How long the base load runs before each phase, in milliseconds.
    pub warm_up_ms: u64,
    /// The phases; each runs on its own after a warm-up.
    pub phases: Vec<Phase>,
    /// The kinds of requests.
    pub kinds: Vec<Kind>,
}

/// A period in which some kinds of requests arrive at a different rate.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// The phase's name in the report.
    pub name: Arc<str>,
    /// The phase's duration, in milliseconds.
    pub duration_ms: u64,
    /// Factors by which the rates of some kinds are multiplied, by the kind's name.
    #[serde(default)]
    pub factors: BTreeMap<Arc<str>, f64>,
}

/// A kind of request.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The kind's name in the report.
    pub name: Arc<str>,
    /// The class by which requests are admitted.
    pub class: Class,
    /// The caller bases (applications or groups of users) from which that of each
    /// request is drawn.
    pub caller_bases: Vec<Arc<str>>,
    /// Arrivals per second in the base load.
    pub rate_per_s: f64,
    /// The median execution time, in milliseconds.
    pub median_ms: f64,
    /// The standard deviation of the logarithm of the execution time.
    pub spread: f64,
    /// The caller's timeout, in milliseconds.
    pub deadline_ms: u64,
}
