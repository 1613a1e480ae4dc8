//! The settings with which an instance starts.

use std::net::SocketAddr;
use std::time::Duration;

use masticreel_base::ids::{FailureDomain, InstanceId};

use crate::limits::LimitSettings;
use crate::records::Capacity;

/// How soon a configuration must be active everywhere if the platform doesn't say it.
pub const DEFAULT_CONFIGURATION_DEADLINE: Duration = Duration::from_secs(3);

/// The settings of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProxySettings {
    /// The instance's name.
    pub instance: InstanceId,
    /// The failure domain in which it runs.
    pub domain: FailureDomain,
    /// The resources of its machine.
    pub capacity: Capacity,
    /// The address at which it listens for callers.
    pub callers: SocketAddr,
    /// The address of the HTTP endpoint for readiness.
    pub readiness: SocketAddr,
    /// The address of the HTTP endpoint for metrics.
    pub metrics: SocketAddr,
    /// The address at which it receives datagrams of other instances.
    pub peers: SocketAddr,
    /// The address at which it accepts connections of other instances: their calls to
    /// the store, which it forwards or answers from its store cache, and their relayed
    /// sessions.
    pub instance_address: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The address of the service that promotes servers, if the platform has one.
    pub promoter: Option<SocketAddr>,
    /// The shutdown timeout: how long the process may run on after it received a
    /// signal to stop.
    pub shutdown_timeout: Duration,
    /// How long servers go on serving after they have announced that they are leaving; no
    /// request may reach them later. `None` if the platform sets no limit.
    pub drain_timeout: Option<Duration>,
    /// How long after the store has accepted a configuration nothing may be served by an
    /// earlier one any more.
    pub configuration_deadline: Duration,
    /// The shortest lifetime of a lease that the store grants.
    pub min_store_lease: Duration,
    /// The limits on what clients may hold.
    pub limits: LimitSettings,
}
