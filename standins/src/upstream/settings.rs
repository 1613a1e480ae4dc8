//! What can be set on a database server.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use masticreel_base::ids::Term;

/// What a server is when it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InitialRole {
    /// It takes writes in the first term.
    Primary,
    /// It copies the log of a primary of the first term, if one is named.
    Replica {
        /// Where the primary listens.
        primary: Option<SocketAddr>,
    },
}

/// The settings of one database server.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// The server's name, for its data directory and its messages.
    pub name: String,
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// What it is when it starts without earlier data.
    pub initial_role: InitialRole,
    /// The term that it starts in.
    pub initial_term: Term,
    /// Where its log outlives it; `None` keeps nothing.
    pub data_dir: Option<PathBuf>,
    /// How many statements run at once.
    pub slots: usize,
    /// How many connections it takes, with those reserved for control.
    pub max_connections: usize,
    /// What a new connection costs.
    pub connect: Duration,
    /// How long log entries are under way from the primary.
    pub receive_lag: Duration,
    /// How long a durable log entry waits until it is applied.
    pub apply_lag: Duration,
    /// The distance that each request and each answer crosses.
    pub one_way: Duration,
    /// How long a write waits for another transaction's write lock.
    pub lock_timeout: Duration,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            name: "upstream".to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            initial_role: InitialRole::Primary,
            initial_term: Term(1),
            data_dir: None,
            slots: 2,
            max_connections: 16,
            connect: Duration::from_millis(12),
            receive_lag: Duration::ZERO,
            apply_lag: Duration::ZERO,
            one_way: Duration::ZERO,
            lock_timeout: Duration::from_secs(10),
        }
    }
}
