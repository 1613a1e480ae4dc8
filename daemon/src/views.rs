//! What this instance knows about groups that others watch.
//!
//! Every instance asks the observers of the groups for their views, and brings
//! its own findings along. See `docs/design/05-read-your-writes.md`.

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

/// Time between two questions to a peer while all primaries are healthy.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two questions to a peer while a primary is not.
const URGENT_EXCHANGE_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two looks at which peers are to be asked.
const PEERS_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for a peer's answer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Stack of a thread that asks one peer, in bytes.
const EXCHANGE_STACK_BYTES: usize = 256 * 1024;

/// The newest view of each group.
pub struct Views<Directory> {
    watch: Arc<Watch<Directory>>,
    directory: Directory,
    groups: Groups,
    links: LinkPool,
    table: Mutex<HashMap<GroupId, GroupView>>,
    peers: Mutex<HashSet<SocketAddr>>,
    cancellation: CancellationToken,
}

impl<Directory> Views<Directory>
where
    Directory: OwnerDirectory,
{
    /// Starts asking peers, on threads of its own.
    ///
    /// # Errors
    ///
    /// Fails when the system has no room for the threads.
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
            table: Mutex::default(),
            peers: Mutex::default(),
            cancellation,
        });
        let looker = views.clone();
        thread::Builder::new().name("view-peers".to_owned()).spawn(move || {
            looker.clone().ask_new_peers();
            while !looker.cancellation.wait_timeout(PEERS_INTERVAL) {
                looker.clone().ask_new_peers();
            }
        })?;
        Ok(views)
    }

    /// Returns the newest view of a group, whoever observed it.
    ///
    /// An observer may itself be cut off from the servers that it watches.
    pub fn view(&self, group: &GroupId) -> GroupView {
        let told = self.lock().get(group).cloned().unwrap_or_default();
        let observed = self.watch.group(group).map(|watched| watched.view());
        observed.filter(|observed| !told.supersedes(observed)).unwrap_or(told)
    }

    fn ask_new_peers(self: Arc<Self>) {
        let document = self.groups.document();
        let locations = document.groups().iter().flat_map(|group| self.observers_of(group));
        for peer in locations.filter_map(OwnerLocation::peer) {
            let is_new = self.peers.lock().expect("no holder of the peers panics").insert(peer);
            if !is_new {
                continue;
            }
            let views = self.clone();
            thread::Builder::new()
                .name("view-exchange".to_owned())
                .stack_size(EXCHANGE_STACK_BYTES)
                .spawn(move || views.ask_peer(peer))
                .expect("the system has room for the exchange threads");
        }
    }

    fn ask_peer(&self, peer: SocketAddr) {
        let mut interval = Duration::ZERO;
        while !self.cancellation.wait_timeout(interval) {
            let Some(request) = self.question_for(peer) else {
                break;
            };
            let is_healthy = request
                .findings
                .iter()
                .all(|finding| finding.assessment == WireAssessment::Healthy);
            interval = if is_healthy { EXCHANGE_INTERVAL } else { URGENT_EXCHANGE_INTERVAL };
            let sent_at = Instant::now();
            if let Some(response) = self.links.request_views(peer, request, EXCHANGE_TIMEOUT) {
                self.take_in(response, sent_at);
            }
        }
        self.peers.lock().expect("no holder of the peers panics").remove(&peer);
    }

    /// Returns what to ask a peer, or nothing if it watches no group.
    fn question_for(&self, peer: SocketAddr) -> Option<ViewRequest> {
        let document = self.groups.document();
        let is_observer =
            |group: &&GroupSpec| self.observers_of(group).any(|at| at.peer() == Some(peer));
        let watched: HashSet<&GroupId> =
            document.groups().iter().filter(is_observer).map(|group| &group.name).collect();
        if watched.is_empty() {
            return None;
        }
        let findings = self.watch.findings();
        let is_own = |group: &GroupId| findings.iter().any(|(own, _)| own == group);
        let groups = watched.iter().filter(|group| !is_own(group)).map(|g| (*g).clone()).collect();
        let findings: Vec<WireFinding> = findings
            .iter()
            .filter(|(group, _)| watched.contains(group))
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

    fn take_in(&self, response: ViewResponse, sent_at: Instant) {
        let mut table = self.lock();
        for wire in response.views {
            let group = wire.group.clone();
            let view = view_from_wire(wire, sent_at);
            let known = table.entry(group).or_default();
            if view.supersedes(known) {
                *known = view;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GroupId, GroupView>> {
        self.table.lock().expect("no holder of the views panics")
    }
}

/// Answers another instance's question about views.
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
