//! Which instance owns which upstream server.
//!
//! See `docs/design/02-ownership.md`.

use std::net::SocketAddr;
use std::sync::Arc;

use masticreel_base::ids::{FailureDomain, InstanceId};
use masticreel_document::groups::ServerSpec;
use xxhash_rust::xxh3::xxh3_64;

/// Where the owner of a server is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OwnerLocation {
    /// This instance owns the server.
    Local,
    /// Another instance owns the server and accepts links here.
    Remote(SocketAddr),
}

impl OwnerLocation {
    /// Returns the address of an owner elsewhere.
    pub fn peer(self) -> Option<SocketAddr> {
        match self {
            Self::Local => None,
            Self::Remote(peer) => Some(peer),
        }
    }
}

/// Tells the owner of each server.
pub trait OwnerDirectory: Clone + Send + Sync + 'static {
    /// Returns the owners of a server, the one to ask first in front.
    fn owners(&self, server: &ServerSpec) -> Vec<OwnerLocation>;
}

/// An instance that may own servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The instance's name.
    pub name: InstanceId,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Where it is reached.
    pub location: OwnerLocation,
}

/// A directory of instances that never changes.
#[derive(Debug, Clone)]
pub struct StaticDirectory {
    candidates: Arc<[Candidate]>,
}

impl StaticDirectory {
    /// Creates a directory of the given instances.
    pub fn new(candidates: Vec<Candidate>) -> Self {
        Self { candidates: candidates.into() }
    }
}

impl OwnerDirectory for StaticDirectory {
    fn owners(&self, server: &ServerSpec) -> Vec<OwnerLocation> {
        let mut ranked: Vec<_> = self.candidates.iter().collect();
        ranked.sort_by_key(|candidate| {
            let elsewhere = candidate.failure_domain != server.failure_domain;
            (elsewhere, std::cmp::Reverse(weight(&candidate.name, server)))
        });
        ranked.into_iter().map(|candidate| candidate.location).collect()
    }
}

fn weight(instance: &InstanceId, server: &ServerSpec) -> u64 {
    xxh3_64(format!("{instance}\n{}", server.name).as_bytes())
}
