//! What is reported about database groups.

use std::net::SocketAddr;
use std::sync::Arc;

use masticreel_base::ids::{FailureDomain, GroupId, InstanceId, ServerId, Term};
use serde::{Deserialize, Serialize};

/// What an instance knows of a database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// The group's name.
    pub name: GroupId,
    /// The database that callers connect to.
    pub database: Arc<str>,
    /// The newest term known.
    pub term: Term,
    /// The primary of that term; none while there is no trusted one.
    pub primary: Option<ServerId>,
    /// The servers in the document's order.
    pub servers: Vec<ServerReport>,
}

/// What an instance knows of an upstream server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The server's name.
    pub name: ServerId,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// What it does: `primary`, `replica`, `diverged` (its log does not agree
    /// with the primary's yet), `silent` (did not answer) or `unknown`.
    pub role: Arc<str>,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// The instance that owns its connections, if one does.
    pub owner: Option<InstanceId>,
    /// The position applied, as TERM/POSITION; none if unknown.
    pub applied: Option<Arc<str>>,
}
