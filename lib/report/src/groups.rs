//! Reports about database groups.

use std::net::SocketAddr;
use std::sync::Arc;

use masticreel_base::ids::{FailureDomain, GroupId, InstanceId, ServerId, Term};
use serde::{Deserialize, Serialize};

/// The state of a database group as known to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// The group's name.
    pub name: GroupId,
    /// The database that callers connect to.
    pub database: Arc<str>,
    /// The newest term known.
    pub term: Term,
    /// The primary of that term; `None` while no server is confirmed as such.
    pub primary: Option<ServerId>,
    /// The servers in the document's order.
    pub servers: Vec<ServerReport>,
}

/// The state of an upstream server as known to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The server's name.
    pub name: ServerId,
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    pub failure_domain: FailureDomain,
    /// Its role: `primary`, `replica`, `diverged` (its log does not agree with
    /// the primary's yet), `silent` (it did not answer) or `unknown`.
    pub role: Arc<str>,
    /// Whether it is leaving and receives no new work.
    pub leaving: bool,
    /// The instance that owns its connections, if there is one.
    pub owner: Option<InstanceId>,
    /// The position that reads on it see, as TERM/POSITION; `None` if unknown or if
    /// reads there are not safe.
    pub applied: Option<Arc<str>>,
}
