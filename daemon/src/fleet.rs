//! This instance's part in the fleet: threads and a socket around
//! [`masticreel_fleet`].
//!
//! One thread takes the decisions, one receives datagrams, and one each reads
//! the store, peers and the lists of instances, so that a slow answer delays
//! nothing else. See `docs/design/08-membership.md` and
//! `docs/design/08-dissemination.md`.

pub mod directory;
mod driver;
mod fetch;
pub mod metrics;
mod seeds;
pub mod snapshot;
mod socket;

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use arc_swap::ArcSwap;
use crossbeam_channel::{Sender, bounded};
use masticreel_base::cancellation::CancellationToken;
use masticreel_base::clock::Clock;
use masticreel_base::ids::{Incarnation, Revision};
use masticreel_fleet::codec;
use masticreel_fleet::fleet::{Event, Fleet};
use masticreel_fleet::member::{Member, MemberState};
use masticreel_fleet::membership;
use masticreel_fleet::message::GroupPrimary;
use masticreel_store::etcd::EtcdStore;
use masticreel_wire::frame::SharedKey;
use slog::Logger;

use crate::documents::Documents;
use crate::link::client::LinkPool;
use crate::metrics::Metrics;
use crate::settings::Settings;

use self::driver::Driver;
use self::fetch::{DocumentJob, PeerFetcher, StoreReader};
use self::metrics::FleetMetrics;
use self::seeds::SeedReader;
use self::snapshot::FleetSnapshot;
use self::socket::{Receiver, Transmitter};

/// Events that may wait for the deciding thread; datagrams beyond are dropped.
const EVENT_QUEUE: usize = 4_096;
/// Longest wait for the rest of the fleet when starting.
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks at whether the fleet was joined.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time that the last messages get to leave.
const FAREWELL_TIME: Duration = Duration::from_millis(100);

/// What the fleet's threads work with.
pub struct FleetParts<Time> {
    /// The clock that numbers this life.
    pub clock: Time,
    /// Where this instance is reached.
    pub address: SocketAddr,
    /// The document in force.
    pub documents: Documents,
    /// The links that are closed when their peer is dead.
    pub links: LinkPool,
    /// The secret that all instances share.
    pub key: SharedKey,
    /// What is counted.
    pub metrics: Metrics,
    /// Where events are logged.
    pub logger: Logger,
    /// Ends the threads.
    pub cancellation: CancellationToken,
}

/// Shows other threads the fleet and takes what they learn.
#[derive(Debug, Clone)]
pub struct FleetHandle {
    events: Sender<Event>,
    snapshot: Arc<ArcSwap<FleetSnapshot>>,
}

impl FleetHandle {
    /// Returns the fleet as this instance sees it.
    pub fn snapshot(&self) -> Arc<FleetSnapshot> {
        self.snapshot.load_full()
    }

    /// Spreads who leads a group.
    pub fn announce_primary(&self, view: GroupPrimary) {
        self.send(Event::PrimaryObserved(view));
    }

    /// Tells the others whether this instance takes on work.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.send(Event::Membership(membership::Event::Leaving(is_leaving)));
    }

    /// Tells the others that this instance ends.
    pub fn announce_stop(&self, cancellation: &CancellationToken) {
        self.send(Event::Membership(membership::Event::Stopping));
        cancellation.wait_timeout(FAREWELL_TIME);
    }

    /// Waits until the others' accounts are known, or nobody answers.
    pub fn wait_until_joined(&self, cancellation: &CancellationToken) {
        let deadline = Instant::now() + JOIN_TIMEOUT;
        while !self.snapshot.load().is_joined && Instant::now() < deadline {
            cancellation.wait_timeout(JOIN_CHECK_INTERVAL);
        }
    }

    fn send(&self, event: Event) {
        // A full queue means that the deciding thread is far behind; what is
        // lost is repeated by later events.
        let _ = self.events.try_send(event);
    }
}

/// Starts this instance's part in the fleet.
///
/// # Errors
///
/// Fails when the address is taken or the system has no room for threads.
pub fn start<Time>(settings: &Settings, parts: FleetParts<Time>) -> io::Result<FleetHandle>
where
    Time: Clock,
{
    let own = own_account(settings, &parts);
    let socket = UdpSocket::bind(parts.address)?;
    let key = datagram_key(settings);
    let metrics = FleetMetrics::new(&parts.metrics);
    let (events, incoming) = bounded(EVENT_QUEUE);
    let (fetches, fetch_jobs) = bounded(1);
    let (reads, read_jobs) = bounded(1);
    let life = own.incarnation.0;
    let watch_interval = Duration::from_millis(settings.platform.document_poll_ms);
    let mut fleet = Fleet::new(own, watch_interval);
    seeds::announce_settings(settings, &mut fleet);
    let snapshot = Arc::new(ArcSwap::from_pointee(FleetSnapshot::of(&fleet)));

    let receiver = Receiver {
        socket: socket.try_clone()?,
        address: parts.address,
        key: key.clone(),
        events: events.clone(),
        metrics: metrics.clone(),
    };
    receiver.start(parts.cancellation.clone())?;
    fetcher(&parts, events.clone()).start(fetch_jobs, parts.cancellation.clone())?;
    store_reader(settings, &parts, &metrics).start(read_jobs, parts.cancellation.clone())?;
    SeedReader::new(settings, parts.documents.clone(), events.clone(), parts.logger.clone())
        .start(parts.cancellation.clone())?;
    let driver = Driver {
        fleet,
        transmitter: Transmitter::new(socket, key, life, metrics.clone()),
        events: incoming,
        fetches,
        reads,
        documents: parts.documents,
        links: parts.links,
        snapshot: snapshot.clone(),
        metrics,
        logger: parts.logger,
    };
    driver.start(parts.cancellation)?;
    Ok(FleetHandle { events, snapshot })
}

fn own_account<Time>(settings: &Settings, parts: &FleetParts<Time>) -> Member
where
    Time: Clock,
{
    let since_epoch = parts.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    Member {
        id: settings.instance.name.clone(),
        address: parts.address,
        failure_domain: settings.instance.failure_domain.clone(),
        incarnation: Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)),
        state: MemberState::Alive,
        version: 0,
        leaving: false,
        revision: Revision(0),
    }
}

fn datagram_key(settings: &Settings) -> codec::SharedKey {
    codec::SharedKey::new(&settings.instance.shared_key)
}

fn fetcher<Time>(parts: &FleetParts<Time>, events: Sender<Event>) -> PeerFetcher {
    PeerFetcher {
        key: parts.key.clone(),
        documents: parts.documents.clone(),
        events,
        logger: parts.logger.clone(),
    }
}

fn store_reader<Time>(
    settings: &Settings,
    parts: &FleetParts<Time>,
    metrics: &FleetMetrics,
) -> StoreReader<EtcdStore> {
    let timeout = Duration::from_millis(settings.platform.store_timeout_ms);
    StoreReader {
        store: EtcdStore::new(&settings.platform.store_endpoint, timeout),
        documents: parts.documents.clone(),
        metrics: metrics.clone(),
    }
}

/// Passes a job to a worker unless one is waiting for it already.
fn offer(jobs: &Sender<DocumentJob>, job: DocumentJob) {
    let _ = jobs.try_send(job);
}
