//! This instance's membership in the fleet: the threads and the socket that run
//! the state machine of [`masticreel_fleet`].
//!
//! One thread runs the state machine and carries out its actions, one receives
//! datagrams, and one each reads the store, peers and the lists of instances, so
//! that a slow response delays nothing else. See `docs/design/08-membership.md` and
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
use self::socket::{DatagramReceiver, DatagramSender};

/// Capacity of the queue of events for the driver's thread; events beyond it are
/// dropped.
const EVENT_QUEUE_CAPACITY: usize = 4_096;
/// How long a starting instance waits until it has joined the fleet.
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a starting instance checks whether it has joined the fleet.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long a stopping instance waits for its last messages to be sent.
const LAST_MESSAGES_TIME: Duration = Duration::from_millis(100);

/// The parts that the fleet's threads are built from.
pub struct FleetParts<Time> {
    /// The clock whose time in milliseconds becomes the incarnation in this instance's
    /// member record and datagrams. Links use another one, in microseconds.
    pub clock: Time,
    /// The address, for UDP and TCP, at which this instance accepts others.
    pub address: SocketAddr,
    /// The active document, which fetched revisions replace.
    pub documents: Documents,
    /// The links to peers; a peer's are closed when it is declared dead.
    pub links: LinkPool,
    /// The secret that all instances of the fleet share, as used on links.
    pub key: SharedKey,
    /// The metrics of the instance.
    pub metrics: Metrics,
    /// The logger of the instance.
    pub logger: Logger,
    /// Stops the threads.
    pub cancellation: CancellationToken,
}

/// Gives other threads access to the fleet: its current snapshot, and a queue for
/// their events.
#[derive(Debug, Clone)]
pub struct FleetHandle {
    events: Sender<Event>,
    snapshot: Arc<ArcSwap<FleetSnapshot>>,
}

impl FleetHandle {
    /// Returns the current snapshot of the fleet.
    pub fn snapshot(&self) -> Arc<FleetSnapshot> {
        self.snapshot.load_full()
    }

    /// Sends the observed primary of a group to the other instances.
    pub fn announce_primary(&self, primary: GroupPrimary) {
        self.send(Event::PrimaryObserved(primary));
    }

    /// Announces whether this instance is leaving, that is, shuts down or is marked as
    /// leaving by operators, and takes on no new work.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.send(Event::Membership(membership::Event::Leaving(is_leaving)));
    }

    /// Announces that this instance stops, and waits a while for the messages to be sent.
    pub fn announce_stop(&self, cancellation: &CancellationToken) {
        self.send(Event::Membership(membership::Event::Stopping));
        cancellation.wait_timeout(LAST_MESSAGES_TIME);
    }

    /// Waits until the instance has joined the fleet: the other member records
    /// are received, or no instance has answered.
    ///
    /// Returns after a timeout in any case.
    pub fn wait_until_joined(&self, cancellation: &CancellationToken) {
        let deadline = Instant::now() + JOIN_TIMEOUT;
        while !self.snapshot.load().has_finished_joining && Instant::now() < deadline {
            cancellation.wait_timeout(JOIN_CHECK_INTERVAL);
        }
    }

    fn send(&self, event: Event) {
        // A full queue means that the driver's thread is far behind; later
        // events make up for those that are dropped.
        let _ = self.events.try_send(event);
    }
}

/// Starts the fleet's threads.
///
/// # Errors
///
/// Fails if the address is taken or the system has no room for threads.
pub fn start<Time>(settings: &Settings, parts: FleetParts<Time>) -> io::Result<FleetHandle>
where
    Time: Clock,
{
    let own = own_member_record(settings, &parts);
    let socket = UdpSocket::bind(parts.address)?;
    let key = datagram_key(settings);
    let metrics = FleetMetrics::new(&parts.metrics);
    let (events, incoming) = bounded(EVENT_QUEUE_CAPACITY);
    let (fetches, fetch_jobs) = bounded(1);
    let (reads, read_jobs) = bounded(1);
    let incarnation = own.incarnation.0;
    let store_poll_interval = Duration::from_millis(settings.platform.document_poll_ms);
    let mut fleet = Fleet::new(own, store_poll_interval);
    seeds::add_addresses_of_settings(settings, &mut fleet);
    let snapshot = Arc::new(ArcSwap::from_pointee(FleetSnapshot::of(&fleet)));

    let receiver = DatagramReceiver {
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
        datagrams: DatagramSender::new(socket, key, incarnation, metrics.clone()),
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

fn own_member_record<Time>(settings: &Settings, parts: &FleetParts<Time>) -> Member
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

/// Queues a job for a worker, or drops it if another job is queued already.
fn queue_or_drop(jobs: &Sender<DocumentJob>, job: DocumentJob) {
    let _ = jobs.try_send(job);
}
