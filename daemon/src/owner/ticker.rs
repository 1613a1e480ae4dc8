//! The thread that regularly expires queued requests of the owned servers and passes on
//! changes of the document and of ownership.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use masticreel_admission::connection_pool::Ownership;
use masticreel_base::ids::ServerId;
use masticreel_document::groups::ServerSpec;

use crate::directory::{OwnerDirectory, OwnerLocation};
use crate::owner::Owner;
use crate::owner::guard::ServerGuard;

/// Interval at which each server is updated.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Calls `OwnedServer::tick` for each owned server.
pub(super) struct Ticker<Guard, Directory> {
    owner: Arc<Owner<Guard>>,
    directory: Directory,
    /// Since when this instance has been the preferred owner of a server.
    preferred_since: HashMap<ServerId, Instant>,
}

impl<Guard, Directory> Ticker<Guard, Directory>
where
    Guard: ServerGuard,
    Directory: OwnerDirectory,
{
    pub(super) fn new(owner: Arc<Owner<Guard>>, directory: Directory) -> Self {
        Self { owner, directory, preferred_since: HashMap::new() }
    }

    pub(super) fn start(mut self) -> io::Result<()> {
        let cancellation = self.owner.context.cancellation.clone();
        thread::Builder::new().name("owner-tick".to_owned()).spawn(move || {
            while !cancellation.wait_timeout(TICK_INTERVAL) {
                self.tick();
            }
        })?;
        Ok(())
    }

    fn tick(&mut self) {
        let document = self.owner.groups.document();
        let specs = document.groups().iter().flat_map(|group| &group.servers);
        let specs: HashMap<&ServerId, &ServerSpec> = specs.map(|spec| (&spec.name, spec)).collect();
        for server in self.owner.all_servers() {
            let current = specs.get(&server.spec().name);
            // A server that was removed from the document counts as leaving.
            let is_leaving = current.is_none_or(|spec| spec.leaving);
            let ownership = self.ownership(server.spec());
            server.tick(is_leaving, ownership);
        }
    }

    /// Returns whether another instance may act as a server's owner.
    ///
    /// Ownership becomes sole when the directory lists no other owner, or when this
    /// instance has been the preferred owner for the handover timeout.
    fn ownership(&mut self, spec: &ServerSpec) -> Ownership {
        let owners = self.directory.owners(spec);
        if owners.first() != Some(&OwnerLocation::Local) {
            self.preferred_since.remove(&spec.name);
            return Ownership::HandoverPossible;
        }
        let now = Instant::now();
        let since = *self.preferred_since.entry(spec.name.clone()).or_insert(now);
        let is_alone = owners.len() == 1;
        let handover_timeout = self.owner.context.limits.handover_timeout();
        if is_alone || now.duration_since(since) >= handover_timeout {
            Ownership::Sole
        } else {
            Ownership::HandoverPossible
        }
    }
}
