//! Watches the database groups that have a server owned by this instance.
//!
//! An instance watches a group by polling its servers. The observers of a group, that
//! is, the instances that watch it, are the owners of its servers; no other instance
//! polls them. Observers confirm commits, bound the age of replicas and replace a failed
//! primary. See `docs/design/03-acknowledgement.md` and `docs/design/04-failover.md`.
//!
//! [`Watch`] keeps the set of watched groups up to date and drives their failover.
//! Each [`WatchedGroup`] runs one poller thread for each of its servers. [`guard`]
//! uses the results to admit requests and to confirm commits.

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

/// Interval at which the failover of each watched group is advanced.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which the set of watched groups is updated.
const GROUPS_INTERVAL: Duration = Duration::from_millis(250);

/// How this instance identifies itself to other observers.
#[derive(Debug, Clone)]
pub struct ObserverIdentity {
    /// The instance's name.
    pub instance: InstanceId,
    /// The failure domain in which the instance runs.
    pub failure_domain: FailureDomain,
    /// Distinguishes this start of the instance from earlier ones.
    pub incarnation: Incarnation,
}

/// The groups that this instance watches.
pub struct Watch<Directory> {
    identity: ObserverIdentity,
    groups: Groups,
    directory: Directory,
    watched: Mutex<HashMap<GroupId, Arc<WatchedGroup>>>,
    /// Groups that this instance no longer watches, while commits made before wait for
    /// their confirmation. They take no part in failovers.
    retired: Mutex<HashMap<GroupId, Arc<WatchedGroup>>>,
    replaced: Sender<ServerId>,
    logger: Logger,
    cancellation: CancellationToken,
}

impl<Directory> Watch<Directory>
where
    Directory: OwnerDirectory,
{
    /// Starts the threads that watch the groups.
    ///
    /// Each server that is replaced as a primary is sent to `replaced`.
    ///
    /// # Errors
    ///
    /// Fails if the threads can't be started.
    pub fn start(
        identity: ObserverIdentity,
        groups: Groups,
        directory: Directory,
        replaced: Sender<ServerId>,
        logger: Logger,
        cancellation: CancellationToken,
    ) -> io::Result<Arc<Self>> {
        let watched = Mutex::new(HashMap::new());
        let retired = Mutex::new(HashMap::new());
        let watch =
            Self { identity, groups, directory, watched, retired, replaced, logger, cancellation };
        let watch = Arc::new(watch);
        watch.update_watched_groups();
        let updater = watch.clone();
        thread::Builder::new().name("watch-duties".to_owned()).spawn(move || {
            while !updater.cancellation.wait_timeout(GROUPS_INTERVAL) {
                updater.update_watched_groups();
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

    /// Returns a group by name if this instance watches it.
    pub fn group(&self, name: &GroupId) -> Option<Arc<WatchedGroup>> {
        self.lock().get(name).cloned()
    }

    /// Returns a group by name if its servers are polled, also if that is only to
    /// confirm commits.
    pub fn polled_group(&self, name: &GroupId) -> Option<Arc<WatchedGroup>> {
        self.group(name).or_else(|| self.lock_retired().get(name).cloned())
    }

    /// Returns this instance's current finding about the primary of each watched group.
    pub fn findings(&self) -> Vec<(GroupId, Finding)> {
        let now = Instant::now();
        let groups: Vec<Arc<WatchedGroup>> = self.lock().values().cloned().collect();
        groups.iter().map(|group| (group.name().clone(), group.finding(now))).collect()
    }

    /// Records a finding of another observer, if this instance watches the group.
    pub fn on_finding(&self, group: &GroupId, finding: Finding) {
        if let Some(group) = self.group(group) {
            group.on_finding(finding, Instant::now());
        }
    }

    fn update_watched_groups(&self) {
        let document = self.groups.document();
        let observed: Vec<&GroupSpec> =
            document.groups().iter().filter(|group| self.is_observer(group)).collect();
        // Each group is in one of the maps at any time, for readers that look into
        // `watched` first.
        let mut retired = self.lock_retired();
        let mut watched = self.lock();
        for (name, group) in
            watched.extract_if(|_, known| !observed.iter().any(|group| **group == *known.spec()))
        {
            info!(self.logger, "stopped watching group"; "group" => %name,
                "has_unconfirmed_requests" => group.is_held());
            if let Some(previous) = retired.insert(name, group) {
                previous.stop();
            }
        }
        for group in observed {
            watched.entry(group.name.clone()).or_insert_with(|| {
                info!(self.logger, "started watching group"; "group" => %group.name);
                let token = self.cancellation.child();
                WatchedGroup::start(group.clone(), &self.identity, self.logger.clone(), token)
            });
        }
        drop(watched);
        retired.retain(|_, group| {
            let stays = group.is_held();
            if !stays {
                group.stop();
            }
            stays
        });
    }

    fn is_observer(&self, group: &GroupSpec) -> bool {
        observers(&self.directory, group, None).contains(&OwnerLocation::Local)
    }

    fn tick(&self) {
        let groups: Vec<Arc<WatchedGroup>> = self.lock().values().cloned().collect();
        for group in groups {
            let primary = group.view().primary;
            let ranked = observers(&self.directory, group.spec(), primary.as_ref());
            let rank = ranked.iter().position(|location| *location == OwnerLocation::Local);
            let rank = rank.and_then(|rank| u32::try_from(rank).ok());
            if let Some(server) = group.tick(rank, Instant::now()) {
                // The receiver is dropped only when the instance stops.
                let _ = self.replaced.send(server);
            }
        }
    }

    fn lock_retired(&self) -> MutexGuard<'_, HashMap<GroupId, Arc<WatchedGroup>>> {
        self.retired.lock().expect("no thread panics while it holds the retired groups lock")
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GroupId, Arc<WatchedGroup>>> {
        self.watched.lock().expect("no thread panics while it holds the watched groups lock")
    }
}

/// Returns the observers of a group by rank, which is the order in which they act
/// on a failure of the primary.
///
/// The owner of the primary has the first rank.
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
