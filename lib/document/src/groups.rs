//! Database groups and their servers, as the document lists them.

use std::net::SocketAddr;
use std::sync::Arc;

use masticreel_base::ids::{FailureDomain, GroupId, ServerId};
use serde::{Deserialize, Serialize};

/// A primary and its replicas, reached under one database name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// The group's name in the document and in reports.
    pub name: GroupId,
    /// The database name that callers connect to.
    pub database: Arc<str>,
    /// The servers; the first is the primary of a group that has no term yet.
    pub servers: Vec<ServerSpec>,
}

/// One upstream server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerSpec {
    /// The server's name.
    pub name: ServerId,
    /// The address at which the server accepts connections.
    pub address: SocketAddr,
    /// The failure domain in which the server runs.
    pub failure_domain: FailureDomain,
    /// Maximum number of connections that the server accepts, including those
    /// reserved for status polls and promotion.
    #[serde(default = "default_max_connections")]
    pub max_connections: u32,
    /// Maximum number of statements that the server executes concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the server is being removed and must get no new work.
    #[serde(default)]
    pub leaving: bool,
}

const DEFAULT_MAX_CONNECTIONS: u32 = 16;
const DEFAULT_SLOTS: u32 = 2;

fn default_max_connections() -> u32 {
    DEFAULT_MAX_CONNECTIONS
}

fn default_slots() -> u32 {
    DEFAULT_SLOTS
}
