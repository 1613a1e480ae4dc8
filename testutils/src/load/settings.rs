//! The settings of a load, read from TOML; see `docs/load.md`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

/// What to send, to whom and for how long.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// The addresses that callers connect to, in turn.
    pub targets: Vec<SocketAddr>,
    /// How many callers send at once.
    pub callers: usize,
    /// How long the load lasts.
    pub seconds: f64,
    /// Where the random choices start.
    #[serde(default)]
    pub seed: u64,
    /// The user of the start-up message.
    #[serde(default = "default_user")]
    pub user: String,
    /// The database of the start-up message.
    #[serde(default = "default_user")]
    pub database: String,
    /// How long a caller waits for an answer.
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
    /// The name under which it is reported.
    pub name: String,
    /// The text; `{id}` becomes a random number below `ids`.
    pub sql: String,
    /// How often it is sent, relative to the others.
    #[serde(default = "default_share")]
    pub share: f64,
    /// How many numbers `{id}` is drawn from.
    #[serde(default = "default_ids")]
    pub ids: u64,
    /// The protocol that carries it.
    #[serde(default)]
    pub protocol: Protocol,
}

/// Which of PostgreSQL's query protocols is used.
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
    pub fn start_up(&self) -> [(&str, &str); 2] {
        [("user", &self.user), ("database", &self.database)]
    }

    /// Returns how long a caller waits for an answer.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}
