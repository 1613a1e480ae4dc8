//! The settings of a load, read from TOML; see `docs/load.md`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

/// The settings of a load: targets, callers, duration and statements.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// The addresses to which callers connect; callers are distributed over them in
    /// turn.
    pub targets: Vec<SocketAddr>,
    /// The number of concurrent callers.
    pub callers: usize,
    /// How long the load lasts, in seconds.
    pub seconds: f64,
    /// The seed of the random choices.
    #[serde(default)]
    pub seed: u64,
    /// The user of the start-up message.
    #[serde(default = "default_user")]
    pub user: String,
    /// The database of the start-up message.
    #[serde(default = "default_user")]
    pub database: String,
    /// How long a caller waits for an answer, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Statements that the first target runs before the load.
    #[serde(default)]
    pub setup: Vec<String>,
    /// The statements of the load.
    pub statements: Vec<StatementSettings>,
}

/// One kind of statement.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatementSettings {
    /// The statement's name in the report.
    pub name: String,
    /// The statement's text; `{id}` is replaced by a random number below `ids`.
    pub sql: String,
    /// The statement's relative weight when statements are drawn.
    #[serde(default = "default_share")]
    pub share: f64,
    /// The exclusive upper bound of `{id}`.
    #[serde(default = "default_ids")]
    pub ids: u64,
    /// The protocol with which the statement is sent.
    #[serde(default)]
    pub protocol: Protocol,
}

/// One of PostgreSQL's query protocols.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// One Query message.
    #[default]
    Simple,
    /// Parse, Bind, Describe, Execute and Sync.
    Extended,
}

fn default_user() -> String {
    "load".to_owned()
}

fn default_timeout_ms() -> u64 {
    10_000
}

fn default_share() -> f64 {
    1.0
}

fn default_ids() -> u64 {
    1000
}

impl LoadSettings {
    /// Returns the parameters of the start-up message.
    pub fn start_up_parameters(&self) -> [(&str, &str); 2] {
        [("user", &self.user), ("database", &self.database)]
    }

    /// Returns how long a caller waits for an answer.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}
