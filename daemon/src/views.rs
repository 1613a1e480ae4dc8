//! Collects views of the groups that other instances watch.
//!
//! Each instance regularly requests views of the groups from their observers, with
//! one thread for each observing peer. Its requests also carry the instance's own
//! findings, which is how observers exchange them. See
//! `docs/design/05-read-your-writes.md`.

mod convert;
pub mod positions;

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use masticreel_base::cancellation::CancellationToken;
use masticreel_base::ids::{GroupId, RequestId};
use masticreel_document::groups::GroupSpec;
use masticreel_group::view::GroupView;
use masticreel_wire::group::{ViewRequest, ViewResponse, WireAssessment, WireFinding};

use crate::directory::{OwnerDirectory, OwnerLocation};
use crate::groups::Groups;
use crate::link::client::LinkPool;
use crate::views::convert::{finding_from_wire, finding_to_wire, view_from_wire, view_to_wire};
use crate::watch::{Watch, observers};

/// Interval between requests to a peer while all primaries are healthy.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between requests to a peer while a primary is not healthy.
const URGENT_EXCHANGE_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which threads are started for new observing peers.
const PEERS_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for a peer's response.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Stack size of a thread that exchanges views with one peer.
const EXCHANGE_STACK_BYTES: usize = 256 * 1024;

/// The newest known view of each group.
pub struct Views<Directory> {
    watch: Arc<Watch<Directory>>,
    directory: Directory,
    groups: Groups,
    links: LinkPool,
    /// The newest view received of each group.
    received: Mutex<HashMap<GroupId, GroupView>>,
    /// Peers with which a thread exchanges views.
    peers: Mutex<HashSet<SocketAddr>>,
    cancellation: CancellationToken,
}

impl<Directory> Views<Directory>
where
    Directory: OwnerDirectory,
{
    /// Starts a thread that keeps one exchange thread for each peer that observes a group.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start(
        watch: Arc<Watch<Directory>>,
        directory: Directory,
        groups: Groups,
        links: LinkPool,
        cancellation: CancellationToken,
    ) -> io::Result<Arc<Self>> {
        let views = Arc::new(Self {
            watch,
            directory,
            groups,
            links,
            received: Mutex::default(),
            peers: Mutex::default(),
            cancellation,
        });
        let starter = views.clone();
        thread::Builder::new().name("view-peers".to_owned()).spawn(move || {
            starter.clone().start_new_exchanges();
            while !starter.cancellation.wait_timeout(PEERS_INTERVAL) {
                starter.clone().start_new_exchanges();
            }
        })?;
        Ok(views)
    }

    /// Returns the newest view of a group, observed here or received from a peer.
    ///
    /// A received view can be the newer one even of a group that this instance
    /// watches, since the instance may be cut off from the servers.
    pub fn view(&self, group: &GroupId) -> GroupView {
        let received = self.lock().get(group).cloned().unwrap_or_default();
        let observed = self.watch.group(group).map(|watched| watched.view());
        observed.filter(|observed| !received.supersedes(observed)).unwrap_or(received)
    }

    fn start_new_exchanges(self: Arc<Self>) {
        let document = self.groups.document();
        let locations = document.groups().iter().flat_map(|group| self.observers_of(group));
        for peer in locations.filter_map(OwnerLocation::peer) {
            let is_new = self
                .peers
                .lock()
                .expect("no thread panics while it holds the peers lock")
                .insert(peer);
            if !is_new {
                continue;
            }
            let views = self.clone();
            thread::Builder::new()
                .name("view-exchange".to_owned())
                .stack_size(EXCHANGE_STACK_BYTES)
                .spawn(move || views.exchange_with(peer))
                .expect("an exchange thread can be started");
        }
    }

    /// Exchanges views with a peer until it observes no group any more.
    fn exchange_with(&self, peer: SocketAddr) {
        let mut interval = Duration::ZERO;
        while !self.cancellation.wait_timeout(interval) {
            let Some(request) = self.request_for(peer) else {
                break;
            };
            let is_healthy = request
                .findings
                .iter()
                .all(|finding| finding.assessment == WireAssessment::Healthy);
            interval = if is_healthy { EXCHANGE_INTERVAL } else { URGENT_EXCHANGE_INTERVAL };
            let sent_at = Instant::now();
            if let Some(response) = self.links.request_views(peer, request, EXCHANGE_TIMEOUT) {
                self.record(response, sent_at);
            }
        }
        self.peers.lock().expect("no thread panics while it holds the peers lock").remove(&peer);
    }

    /// Returns the next request to a peer, or `None` if the peer observes no group.
    ///
    /// It requests views of the groups that the peer observes and this instance does not
    /// watch itself.
    fn request_for(&self, peer: SocketAddr) -> Option<ViewRequest> {
        let document = self.groups.document();
        let is_observer =
            |group: &&GroupSpec| self.observers_of(group).any(|at| at.peer() == Some(peer));
        let observed_by_peer: HashSet<&GroupId> =
            document.groups().iter().filter(is_observer).map(|group| &group.name).collect();
        if observed_by_peer.is_empty() {
            return None;
        }
        let findings = self.watch.findings();
        let is_own = |group: &GroupId| findings.iter().any(|(own, _)| own == group);
        let groups =
            observed_by_peer.iter().filter(|group| !is_own(group)).map(|g| (*g).clone()).collect();
        let findings: Vec<WireFinding> = findings
            .iter()
            .filter(|(group, _)| observed_by_peer.contains(group))
            .map(|(group, finding)| finding_to_wire(group, finding))
            .collect();
        Some(ViewRequest { id: RequestId::default(), findings, groups })
    }

    fn observers_of(
        &self,
        group: &GroupSpec,
    ) -> impl Iterator<Item = OwnerLocation> + use<Directory> {
        observers(&self.directory, group, None).into_iter()
    }

    fn record(&self, response: ViewResponse, sent_at: Instant) {
        let mut received = self.lock();
        for wire in response.views {
            let group = wire.group.clone();
            let view = view_from_wire(wire, sent_at);
            let known = received.entry(group).or_default();
            if view.supersedes(known) {
                *known = view;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GroupId, GroupView>> {
        self.received.lock().expect("no thread panics while it holds the views lock")
    }
}

/// Records the findings in another instance's request and returns the views that it
/// requests.
pub fn handle_view_request<Directory>(
    watch: &Watch<Directory>,
    request: ViewRequest,
) -> ViewResponse
where
    Directory: OwnerDirectory,
{
    for finding in request.findings {
        let (group, finding) = finding_from_wire(finding);
        watch.on_finding(&group, finding);
    }
    let now = Instant::now();
    let views = request
        .groups
        .iter()
        .filter_map(|name| watch.group(name))
        .map(|group| view_to_wire(group.name(), &group.view(), now))
        .collect();
    ViewResponse { id: request.id, views }
}
