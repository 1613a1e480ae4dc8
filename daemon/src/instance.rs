//! One running instance: creates its parts, starts their threads and stops them.
//!
//! The order of the start matters: the instance joins the fleet before it determines
//! which servers it owns, and accepts callers last.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, UNIX_EPOCH};

use crossbeam_channel::{Receiver, unbounded};
use displaydoc::Display;
use masticreel_base::cancellation::CancellationToken;
use masticreel_base::clock::{Clock, SystemClock};
use masticreel_base::ids::{Incarnation, ServerId};
use masticreel_store::etcd::EtcdStore;
use masticreel_wire::frame::SharedKey;
use masticreel_wire::message::Hello;
use slog::{Logger, info, warn};

use crate::burn::{BurnRateMonitor, BurnRateTracker};
use crate::caller::server::{CallerServer, CallerServerParts};
use crate::documents::Documents;
use crate::entry::dispatch::Dispatcher;
use crate::entry::router::Router;
use crate::fleet::directory::FleetDirectory;
use crate::fleet::{self, FleetHandle, FleetParts};
use crate::groups::Groups;
use crate::link::client::LinkPool;
use crate::link::server::LinkServer;
use crate::metrics::Metrics;
use crate::operator::OperatorServer;
use crate::operator::endpoints::OperatorEndpoints;
use crate::operator::view::SnapshotReports;
use crate::owner::guard::ServerGuard;
use crate::owner::{Owner, OwnerContext};
use crate::reporter::Reporter;
use crate::settings::{InstanceSettings, Settings};
use crate::shutdown::ShutdownDeadline;
use crate::views::Views;
use crate::watch::guard::WatchGuard;
use crate::watch::{ObserverIdentity, Watch};

/// The error of an instance that can't start.
#[derive(Debug, Display)]
pub enum StartError {
    /// can't listen at {address}: {error}
    Listen {
        /// The address in the settings.
        address: SocketAddr,
        /// What the system reported.
        error: io::Error,
    },
    /// the system refused a resource: {0}
    Resources(io::Error),
}

impl std::error::Error for StartError {}

impl From<io::Error> for StartError {
    fn from(error: io::Error) -> Self {
        Self::Resources(error)
    }
}

/// How long a stopping instance still answers the requests of entry instances
/// that have not yet received the update that it is leaving.
const HANDOVER_NOTICE_TIME: Duration = Duration::from_millis(500);

type Guard = WatchGuard<FleetDirectory>;
type SharedWatch = Arc<Watch<FleetDirectory>>;
type SharedOwner = Arc<Owner<Guard>>;

/// One running instance, from its start until [`Instance::stop`].
pub struct Instance {
    callers: Arc<CallerServer<Guard, FleetDirectory>>,
    owner: Arc<Owner<Guard>>,
    fleet: FleetHandle,
    caller_address: SocketAddr,
    shutdown_timeout: Duration,
    logger: Logger,
    /// Cancelled when the shutdown begins, so that the status shows it.
    stopping: CancellationToken,
    /// Until when requests are served once the shutdown has begun.
    shutdown: ShutdownDeadline,
    /// Cancelled when the shutdown has ended, which stops the threads.
    cancellation: CancellationToken,
}

impl Instance {
    /// Starts all threads of an instance.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or the system refuses threads or sockets.
    pub fn start(settings: &Settings, logger: &Logger) -> Result<Self, StartError> {
        let own = &settings.instance;
        let sockets = Sockets::open(own)?;
        let caller_address = sockets.callers.local_addr()?;
        let shared = SharedParts::new(settings, logger);
        let documents = Documents::new(shared.metrics.clone(), logger.clone());
        documents.refresh(&store(settings));
        let groups = Groups::new(documents.cell());
        let hello = Hello { instance: own.name.clone(), incarnation: shared.incarnation };
        let links = LinkPool::new(hello, shared.key.clone());

        let fleet = shared.join_fleet(sockets.peers.local_addr()?, &documents, &links)?;
        let directory = FleetDirectory::new(fleet.clone());
        let (watch, owner) = shared.start_owner(&groups, &directory)?;
        shared.serve_links(sockets.peers, &owner, &watch, &documents)?;

        let views = Views::start(
            watch,
            directory.clone(),
            groups.clone(),
            links.clone(),
            shared.cancellation.clone(),
        )?;

        let burn = BurnRateTracker::new(SystemClock);
        let operators = sockets.operators;
        let operator_address = operators.local_addr()?;
        let reports = SnapshotReports::new(
            fleet.clone(),
            operator_address,
            documents.clone(),
            groups.clone(),
            views.clone(),
        );
        let endpoints = shared.endpoints(reports, &documents, &burn);
        start_operator_services(
            settings,
            endpoints,
            operators,
            &shared.metrics,
            logger,
            &shared.cancellation,
        )?;
        let dispatcher = Dispatcher::new(owner.clone(), links, directory, shared.shutdown.clone());
        let router = Router::new(
            dispatcher,
            groups,
            views,
            own.failure_domain.clone(),
            settings.limits.clone(),
            shared.metrics.clone(),
            shared.shutdown.clone(),
        );
        let callers = CallerServer::start(shared.caller_parts(router, burn), sockets.callers)?;
        info!(logger, "instance started";
            "callers" => %caller_address, "incarnation" => %shared.incarnation);
        Ok(Self {
            callers,
            owner,
            fleet,
            caller_address,
            shutdown_timeout: settings.limits.shutdown_timeout(),
            logger: logger.clone(),
            stopping: shared.stopping,
            shutdown: shared.shutdown,
            cancellation: shared.cancellation,
        })
    }

    /// Returns the address at which callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Completes the requests in flight, for at most the shutdown timeout, then tells all
    /// threads to stop without waiting for them. Requests that take longer are answered
    /// shortly before as possibly run, and transactions that are still open are rolled back.
    ///
    /// The instance's own callers are drained first, then its servers. After that
    /// it answers requests of other instances for a while with the failure that
    /// it is not the owner, so that no request is in flight when the links close.
    pub fn stop(self) {
        info!(self.logger, "instance stopping");
        self.stopping.cancel();
        self.fleet.set_leaving(true);
        let now = Instant::now();
        self.shutdown.set(now, self.shutdown_timeout);
        let deadline = now + self.shutdown_timeout;
        if !self.callers.drain(self.shutdown_timeout) {
            warn!(self.logger, "shutdown timeout reached with callers still connected"; "reason" => "timeout");
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if !self.owner.drain(remaining) {
            warn!(self.logger, "shutdown timeout reached with requests still running"; "reason" => "timeout");
        }
        self.cancellation.wait_timeout(HANDOVER_NOTICE_TIME);
        self.fleet.announce_stop(&self.cancellation);
        self.cancellation.cancel();
        info!(self.logger, "instance stopped");
    }
}

/// The sockets on which an instance listens.
struct Sockets {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

impl Sockets {
    fn open(own: &InstanceSettings) -> Result<Self, StartError> {
        Ok(Self {
            callers: listen(own.caller_address)?,
            peers: listen(own.peer_address)?,
            operators: listen(own.operator_address)?,
        })
    }
}

/// What the parts of one running instance share.
struct SharedParts<'process> {
    settings: &'process Settings,
    logger: &'process Logger,
    metrics: Metrics,
    incarnation: Incarnation,
    key: SharedKey,
    stopping: CancellationToken,
    shutdown: ShutdownDeadline,
    cancellation: CancellationToken,
}

impl<'process> SharedParts<'process> {
    fn new(settings: &'process Settings, logger: &'process Logger) -> Self {
        let cancellation = CancellationToken::new();
        Self {
            settings,
            logger,
            metrics: Metrics::new(),
            incarnation: incarnation(&SystemClock),
            key: SharedKey::from_text(&settings.instance.shared_key),
            stopping: cancellation.child(),
            shutdown: ShutdownDeadline::default(),
            cancellation,
        }
    }

    /// Joins the fleet. Before that an instance has no records of other members and would
    /// be computed as the owner of all servers.
    fn join_fleet(
        &self,
        address: SocketAddr,
        documents: &Documents,
        links: &LinkPool,
    ) -> io::Result<FleetHandle> {
        let parts = FleetParts {
            clock: SystemClock,
            address,
            documents: documents.clone(),
            links: links.clone(),
            key: self.key.clone(),
            metrics: self.metrics.clone(),
            logger: self.logger.clone(),
            cancellation: self.cancellation.clone(),
        };
        let fleet = fleet::start(self.settings, parts)?;
        fleet.wait_until_joined(&self.cancellation);
        Ok(fleet)
    }

    /// Starts the watch of the groups, and the owner of servers, which depends on
    /// it.
    fn start_owner(
        &self,
        groups: &Groups,
        directory: &FleetDirectory,
    ) -> io::Result<(SharedWatch, SharedOwner)> {
        let own = &self.settings.instance;
        let identity = ObserverIdentity {
            instance: own.name.clone(),
            failure_domain: own.failure_domain.clone(),
            incarnation: self.incarnation,
        };
        let (replaced, replaced_primaries) = unbounded();
        let watch = Watch::start(
            identity,
            groups.clone(),
            directory.clone(),
            replaced,
            self.logger.clone(),
            self.cancellation.clone(),
        )?;
        let context = OwnerContext {
            guard: WatchGuard::new(watch.clone()),
            limits: self.settings.limits.clone(),
            metrics: self.metrics.clone(),
            logger: self.logger.clone(),
            cancellation: self.cancellation.clone(),
        };
        let owner = Arc::new(Owner::new(context, groups.clone()));
        disconnect_replaced(owner.clone(), replaced_primaries)?;
        owner.start_ticker(directory.clone())?;
        Ok((watch, owner))
    }

    fn serve_links(
        &self,
        listener: TcpListener,
        owner: &SharedOwner,
        watch: &SharedWatch,
        documents: &Documents,
    ) -> io::Result<()> {
        let server = LinkServer::new(
            owner.clone(),
            watch.clone(),
            documents.clone(),
            self.key.clone(),
            self.logger.clone(),
            self.cancellation.clone(),
        );
        server.start(listener)
    }

    fn endpoints(
        &self,
        fleet: SnapshotReports,
        documents: &Documents,
        burn: &BurnRateTracker<SystemClock>,
    ) -> OperatorEndpoints<SnapshotReports, SystemClock> {
        let own = &self.settings.instance;
        OperatorEndpoints {
            name: own.name.clone(),
            failure_domain: own.failure_domain.clone(),
            documents: documents.clone(),
            fleet,
            burn: burn.clone(),
            key: self.key.clone(),
            stopping: self.stopping.clone(),
        }
    }

    fn caller_parts(
        &self,
        router: Router<Guard, FleetDirectory>,
        burn: BurnRateTracker<SystemClock>,
    ) -> CallerServerParts<Guard, FleetDirectory> {
        CallerServerParts {
            router,
            incarnation: self.incarnation,
            limits: self.settings.limits.clone(),
            metrics: self.metrics.clone(),
            burn,
            logger: self.logger.clone(),
            shutdown: self.shutdown.clone(),
            cancellation: self.cancellation.clone(),
        }
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|error| StartError::Listen { address, error })
}

/// Returns the time as an incarnation, so that each restart of the instance has
/// a higher one.
fn incarnation<C>(clock: &C) -> Incarnation
where
    C: Clock,
{
    let since_epoch = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}

fn store(settings: &Settings) -> EtcdStore {
    let timeout = Duration::from_millis(settings.platform.store_timeout_ms);
    EtcdStore::new(&settings.platform.store_endpoint, timeout)
}

/// Starts the burn-rate monitor, the reports to the store and the operators' port.
fn start_operator_services(
    settings: &Settings,
    endpoints: OperatorEndpoints<SnapshotReports, SystemClock>,
    listener: TcpListener,
    metrics: &Metrics,
    logger: &Logger,
    cancellation: &CancellationToken,
) -> io::Result<()> {
    let document = endpoints.documents.cell();
    BurnRateMonitor::new(endpoints.burn.clone(), document, metrics, logger.clone())
        .start(cancellation.clone())?;
    Reporter::new(endpoints.clone(), SystemClock, store(settings), logger.clone())
        .start(cancellation.clone())?;
    OperatorServer::new(metrics.clone(), endpoints).start(listener, cancellation.clone())
}

/// Starts the thread that closes connections to replaced primaries.
fn disconnect_replaced<Guard>(
    owner: Arc<Owner<Guard>>,
    replaced_primaries: Receiver<ServerId>,
) -> io::Result<()>
where
    Guard: ServerGuard,
{
    thread::Builder::new().name("demotions".to_owned()).spawn(move || {
        for server in replaced_primaries {
            owner.disconnect(&server);
        }
    })?;
    Ok(())
}
