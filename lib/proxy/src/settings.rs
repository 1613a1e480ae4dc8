//! What an instance is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use masticreel_base::ids::{FailureDomain, InstanceId};

use crate::records::Capacity;

/// The settings of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProxySettings {
    /// The instance's name.
    pub instance: InstanceId,
    /// Where it runs.
    pub domain: FailureDomain,
    /// What its machine can carry.
    pub capacity: Capacity,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether the instance is ready.
    pub readiness: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Where other instances reach this one with datagrams.
    pub peers: SocketAddr,
    /// Where other instances ask this one about the store.
    pub followers: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Who carries promotions out, if the platform has one.
    pub promoter: Option<SocketAddr>,
    /// How long the process may run on after it was told to stop.
    pub stop_grace: Duration,
    /// The shortest lease that the store grants.
    pub shortest_lease: Duration,
}
