//! Watching the database groups whose servers this instance owns.
//!
//! Only the owners of a group's servers poll them. They confirm commits, bound
//! the age of replicas and replace a failed primary. See
//! `docs/design/03-acknowledgement.md` and `docs/design/04-failover.md`.

pub mod group;
pub mod guard;
mod poller;

use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use masticreel_base::cancellation::CancellationToken;
use masticreel_base::ids::{FailureDomain, GroupId, Incarnation, InstanceId, ServerId};
use masticreel_document::groups::{GroupSpec, ServerSpec};
use masticreel_group::suspicion::Finding;
use slog::{Logger, info};

use crate::directory::{OwnerDirectory, OwnerLocation};
use crate::groups::Groups;
use crate::watch::group::WatchedGroup;

/// Time between two looks at suspicions and attempts.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two looks at which groups are to be watched.
const DUTY_INTERVAL: Duration = Duration::from_millis(250);

/// Who this instance is towards other observers.
#[derive(Debug, Clone)]
pub struct ObserverIdentity {
    /// The instance's name.
    pub instance: InstanceId,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// This life of the instance.
    pub incarnation: Incarnation,
}

/// The groups that this instance watches.
pub struct Watch<Directory> {
    identity: ObserverIdentity,
    groups: Groups,
    directory: Directory,
    watched: Mutex<HashMap<GroupId, Arc<WatchedGroup>>>,
    demoted: Sender<ServerId>,
    logger: Logger,
    cancellation: CancellationToken,
}

impl<Directory> Watch<Directory>
where
    Directory: OwnerDirectory,
{
    /// Starts watching, on threads of its own.
    ///
    /// Servers that were replaced as primary are told on the channel.
    ///
    /// # Errors
    ///
    /// Fails when the system has no room for the threads.
    pub fn start(
        identity: ObserverIdentity,
        groups: Groups,
        directory: Directory,
        demoted: Sender<ServerId>,
        logger: Logger,
        cancellation: CancellationToken,
    ) -> io::Result<Arc<Self>> {
        let watched = Mutex::new(HashMap::new());
        let watch = Self { identity, groups, directory, watched, demoted, logger, cancellation };
        let watch = Arc::new(watch);
        watch.take_up_duties();
        let duties = watch.clone();
        thread::Builder::new().name("watch-duties".to_owned()).spawn(move || {
            while !duties.cancellation.wait_timeout(DUTY_INTERVAL) {
                duties.take_up_duties();
            }
        })?;
        let ticker = watch.clone();
        thread::Builder::new().name("watch-ticker".to_owned()).spawn(move || {
            while !ticker.cancellation.wait_timeout(TICK_INTERVAL) {
                ticker.tick();
            }
        })?;
        Ok(watch)
    }

    /// Returns a group that this instance watches.
    pub fn group(&self, name: &GroupId) -> Option<Arc<WatchedGroup>> {
        self.lock().get(name).cloned()
    }

    /// Returns what this instance makes of the primaries that it watches.
    pub fn findings(&self) -> Vec<(GroupId, Finding)> {
        let now = Instant::now();
        let groups: Vec<Arc<WatchedGroup>> = self.lock().values().cloned().collect();
        groups.iter().map(|group| (group.name().clone(), group.finding(now))).collect()
    }

    /// Takes in what another observer found out.
    pub fn on_finding(&self, group: &GroupId, finding: Finding) {
        if let Some(group) = self.group(group) {
            group.on_finding(finding, Instant::now());
        }
    }

    fn take_up_duties(&self) {
        let document = self.groups.document();
        let duties: Vec<&GroupSpec> =
            document.groups().iter().filter(|group| self.is_observer(group)).collect();
        let mut watched = self.lock();
        watched.retain(|_, known| {
            let stays = duties.iter().any(|group| **group == *known.spec());
            if !stays {
                known.stop();
            }
            stays
        });
        for group in duties {
            watched.entry(group.name.clone()).or_insert_with(|| {
                info!(self.logger, "group taken up"; "group" => %group.name);
                let token = self.cancellation.child();
                WatchedGroup::start(group.clone(), &self.identity, self.logger.clone(), token)
            });
        }
    }

    fn is_observer(&self, group: &GroupSpec) -> bool {
        observers(&self.directory, group, None).contains(&OwnerLocation::Local)
    }

    fn tick(&self) {
        let groups: Vec<Arc<WatchedGroup>> = self.lock().values().cloned().collect();
        for group in groups {
            let primary = group.view().primary;
            let order = observers(&self.directory, group.spec(), primary.as_ref());
            let rank = order.iter().position(|location| *location == OwnerLocation::Local);
            let rank = rank.and_then(|rank| u32::try_from(rank).ok());
            if let Some(server) = group.tick(rank, Instant::now()) {
                // The receiver ends only with the whole instance.
                let _ = self.demoted.send(server);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GroupId, Arc<WatchedGroup>>> {
        self.watched.lock().expect("no holder of the watched groups panics")
    }
}

/// Returns who watches a group, in the order in which they act on a failure.
///
/// The owner of the primary's server comes first.
pub fn observers<Directory>(
    directory: &Directory,
    group: &GroupSpec,
    primary: Option<&ServerId>,
) -> Vec<OwnerLocation>
where
    Directory: OwnerDirectory,
{
    let mut servers: Vec<&ServerSpec> = group.servers.iter().collect();
    servers.sort_by_key(|server| Some(&server.name) != primary);
    let mut locations = Vec::new();
    for server in servers {
        let owner = directory.owners(server).into_iter().next();
        locations.extend(owner.filter(|location| !locations.contains(location)));
    }
    locations
}
