//! The settings of an experiment, read from TOML.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticreel_document::class::Class;
use serde::Deserialize;

/// One server, its work and the phases in which the work varies.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentSettings {
    /// The deployment's name in the report.
    pub name: Arc<str>,
    /// Determines arrivals and execution times.
    pub seed: u64,
    /// Statements that the server executes at a time.
    pub slots: u32,
    /// Connections that the server accepts, without those for control.
    pub connections: u32,
    /// Entry instances over which the arrivals spread evenly.
    pub entries: u32,
    /// How long the calm load runs before each phase.
    pub warm_up_ms: u64,
    /// The phases; each runs on its own after a warm-up.
    pub phases: Vec<Phase>,
    /// The kinds of requests.
    pub kinds: Vec<Kind>,
}

/// A time during which some kinds arrive more often.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// The phase's name in the report.
    pub name: Arc<str>,
    /// How long arrivals of the phase last.
    pub duration_ms: u64,
    /// By how much the rate of a kind is multiplied.
    #[serde(default)]
    pub factors: BTreeMap<Arc<str>, f64>,
}

/// A kind of request.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The kind's name in the report.
    pub name: Arc<str>,
    /// How the request competes.
    pub class: Class,
    /// The caller bases among which the arrivals are drawn.
    pub caller_bases: Vec<Arc<str>>,
    /// Arrivals a second at calm.
    pub rate_per_s: f64,
    /// The median execution time.
    pub median_ms: f64,
    /// The standard deviation of the logarithm of the execution time.
    pub spread: f64,
    /// How long the caller waits for the answer.
    pub deadline_ms: u64,
}
