//! The settings of a database server.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use masticreel_base::ids::Term;

/// The role in which a server starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InitialRole {
    /// It accepts writes in the initial term.
    Primary,
    /// It receives the log of the initial term's primary, if one is given.
    Replica {
        /// The primary's address.
        primary: Option<SocketAddr>,
    },
}

/// The settings of one database server.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// The server's name, which is part of the name of its database directory.
    pub name: String,
    /// The address that it listens on; port 0 selects a free one.
    pub listen: SocketAddr,
    /// Its role when it starts without earlier data; with such data it starts
    /// fenced.
    pub initial_role: InitialRole,
    /// The term in which it starts without earlier data.
    pub initial_term: Term,
    /// The directory that keeps its log across restarts, if any.
    pub data_dir: Option<PathBuf>,
    /// How many statements run at once.
    pub slots: usize,
    /// How many connections it accepts, including those reserved for control.
    pub max_connections: usize,
    /// How long opening a connection takes.
    pub connect_delay: Duration,
    /// How long log entries take from the primary to this server.
    pub receive_lag: Duration,
    /// How long a durable log entry waits until it is applied.
    pub apply_lag: Duration,
    /// The network latency of each request and of each response.
    pub one_way_latency: Duration,
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
            connect_delay: Duration::from_millis(12),
            receive_lag: Duration::ZERO,
            apply_lag: Duration::ZERO,
            one_way_latency: Duration::ZERO,
            lock_timeout: Duration::from_secs(10),
        }
    }
}
