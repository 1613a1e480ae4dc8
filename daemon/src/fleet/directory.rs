//! Owners of servers by the membership of the fleet.

use std::collections::HashMap;
use std::sync::{Arc, RwLock};

use masticreel_base::ids::{InstanceId, ServerId};
use masticreel_document::groups::ServerSpec;
use masticreel_fleet::ownership;

use crate::directory::{OwnerDirectory, OwnerLocation};
use crate::fleet::FleetHandle;
use crate::fleet::snapshot::FleetSnapshot;

/// Computes owners anew only when the membership has changed.
#[derive(Debug, Clone)]
pub struct FleetDirectory {
    fleet: FleetHandle,
    known: Arc<RwLock<KnownOwners>>,
}

#[derive(Debug, Default)]
struct KnownOwners {
    version: (u64, bool),
    owners: HashMap<ServerId, Vec<OwnerLocation>>,
}

impl FleetDirectory {
    /// Creates a directory that follows the fleet.
    pub fn new(fleet: FleetHandle) -> Self {
        Self { fleet, known: Arc::default() }
    }

    fn known(&self, server: &ServerSpec, version: (u64, bool)) -> Option<Vec<OwnerLocation>> {
        let known = self.known.read().expect("no holder of the owners panics");
        if known.version != version {
            return None;
        }
        known.owners.get(&server.name).cloned()
    }

    fn remember(&self, server: &ServerSpec, version: (u64, bool), owners: Vec<OwnerLocation>) {
        let mut known = self.known.write().expect("no holder of the owners panics");
        if known.version != version {
            *known = KnownOwners { version, owners: HashMap::new() };
        }
        known.owners.insert(server.name.clone(), owners);
    }
}

impl OwnerDirectory for FleetDirectory {
    fn owners(&self, server: &ServerSpec) -> Vec<OwnerLocation> {
        let snapshot = self.fleet.snapshot();
        let version = (snapshot.routing_version, snapshot.own.leaving);
        if let Some(owners) = self.known(server, version) {
            return owners;
        }
        let owners = compute(&snapshot, server);
        self.remember(server, version, owners.clone());
        owners
    }
}

fn compute(snapshot: &FleetSnapshot, server: &ServerSpec) -> Vec<OwnerLocation> {
    let order = ownership::owners(&server.name, &server.failure_domain, snapshot.routable());
    let mut owners: Vec<OwnerLocation> =
        order.iter().filter_map(|id| location(snapshot, id)).collect();
    if owners.is_empty() {
        // Nobody else is left, so this instance serves although it leaves.
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
