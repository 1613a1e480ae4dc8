//! The owners of servers, computed from the membership of the fleet.

use std::collections::HashMap;
use std::sync::{Arc, RwLock};

use masticreel_base::ids::{InstanceId, ServerId};
use masticreel_document::groups::ServerSpec;
use masticreel_fleet::ownership;

use crate::directory::{OwnerDirectory, OwnerLocation};
use crate::fleet::FleetHandle;
use crate::fleet::snapshot::FleetSnapshot;

/// Computes the owners of servers and caches them until the membership changes.
#[derive(Debug, Clone)]
pub struct FleetDirectory {
    fleet: FleetHandle,
    cache: Arc<RwLock<CachedOwners>>,
}

#[derive(Debug, Default)]
struct CachedOwners {
    /// The routing version and whether this instance is leaving, which affects the owners
    /// too.
    version: (u64, bool),
    owners: HashMap<ServerId, Vec<OwnerLocation>>,
}

impl FleetDirectory {
    /// Creates a directory that follows the fleet.
    pub fn new(fleet: FleetHandle) -> Self {
        Self { fleet, cache: Arc::default() }
    }

    fn cached(&self, server: &ServerSpec, version: (u64, bool)) -> Option<Vec<OwnerLocation>> {
        let cache = self.cache.read().expect("no thread panics while it holds the owners lock");
        if cache.version != version {
            return None;
        }
        cache.owners.get(&server.name).cloned()
    }

    fn store(&self, server: &ServerSpec, version: (u64, bool), owners: Vec<OwnerLocation>) {
        let mut cache =
            self.cache.write().expect("no thread panics while it holds the owners lock");
        if cache.version != version {
            *cache = CachedOwners { version, owners: HashMap::new() };
        }
        cache.owners.insert(server.name.clone(), owners);
    }
}

impl OwnerDirectory for FleetDirectory {
    fn owners(&self, server: &ServerSpec) -> Vec<OwnerLocation> {
        let snapshot = self.fleet.snapshot();
        let version = (snapshot.routing_version, snapshot.own.leaving);
        if let Some(owners) = self.cached(server, version) {
            return owners;
        }
        let owners = compute(&snapshot, server);
        self.store(server, version, owners.clone());
        owners
    }
}

fn compute(snapshot: &FleetSnapshot, server: &ServerSpec) -> Vec<OwnerLocation> {
    let order = ownership::owners(&server.name, &server.failure_domain, snapshot.routable());
    let mut owners: Vec<OwnerLocation> =
        order.iter().filter_map(|id| location(snapshot, id)).collect();
    if owners.is_empty() {
        // No routable instance is left, so this one serves although it leaves.
        owners.push(OwnerLocation::Local);
    }
    owners
}

fn location(snapshot: &FleetSnapshot, id: &InstanceId) -> Option<OwnerLocation> {
    if *id == snapshot.own.id {
        return Some(OwnerLocation::Local);
    }
    let position = snapshot.others.binary_search_by(|member| member.id.cmp(id)).ok()?;
    Some(OwnerLocation::Remote(snapshot.others[position].address))
}
