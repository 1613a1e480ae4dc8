//! One running instance: its threads, wired together.

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
use masticreel_platform::etcd::EtcdStore;
use masticreel_wire::frame::SharedKey;
use masticreel_wire::message::Hello;
use slog::{Logger, info, warn};

use crate::burn::{BurnAccount, BurnWatch};
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
use crate::operator::pages::Pages;
use crate::operator::view::SnapshotView;
use crate::owner::guard::ServerGuard;
use crate::owner::{Owner, OwnerContext};
use crate::reporter::Reporter;
use crate::settings::Settings;
use crate::views::Views;
use crate::watch::guard::WatchGuard;
use crate::watch::{ObserverIdentity, Watch};

/// Why an instance can't start.
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

/// How long entries that did not hear of a shutdown are still told of it.
const HANDOVER_NOTICE: Duration = Duration::from_millis(500);

type Guard = WatchGuard<FleetDirectory>;

/// One running instance.
pub struct Instance {
    callers: Arc<CallerServer<Guard, FleetDirectory>>,
    owner: Arc<Owner<Guard>>,
    fleet: FleetHandle,
    caller_address: SocketAddr,
    shutdown_timeout: Duration,
    logger: Logger,
    stopping: CancellationToken,
    cancellation: CancellationToken,
}

impl Instance {
    /// Starts all threads of an instance.
    ///
    /// # Errors
    ///
    /// Fails when an address is taken or the system has no room.
    pub fn start(settings: &Settings, logger: &Logger) -> Result<Self, StartError> {
        let cancellation = CancellationToken::new();
        let stopping = cancellation.child();
        let metrics = Metrics::new();
        let incarnation = incarnation(&SystemClock);
        let own = &settings.instance;
        let caller_listener = listen(own.caller_address)?;
        let peer_listener = listen(own.peer_address)?;
        let operator_listener = listen(own.operator_address)?;
        let caller_address = caller_listener.local_addr()?;
        let operator_address = operator_listener.local_addr()?;
        let peer_address = peer_listener.local_addr()?;

        let documents = Documents::new(metrics.clone(), logger.clone());
        documents.refresh(&store(settings));
        let groups = Groups::new(documents.cell());
        let key = SharedKey::from_text(&own.shared_key);
        let hello = Hello { instance: own.name.clone(), incarnation };
        let links = LinkPool::new(hello, key.clone());
        let fleet_parts = FleetParts {
            clock: SystemClock,
            address: peer_address,
            documents: documents.clone(),
            links: links.clone(),
            key: key.clone(),
            metrics: metrics.clone(),
            logger: logger.clone(),
            cancellation: cancellation.clone(),
        };
        let fleet = fleet::start(settings, fleet_parts)?;
        // Who has not joined believes to be alone and to own all servers.
        fleet.wait_until_joined(&cancellation);
        let directory = FleetDirectory::new(fleet.clone());
        let identity = ObserverIdentity {
            instance: own.name.clone(),
            failure_domain: own.failure_domain.clone(),
            incarnation,
        };
        let (demoted, demotions) = unbounded();
        let watch = Watch::start(
            identity,
            groups.clone(),
            directory.clone(),
            demoted,
            logger.clone(),
            cancellation.clone(),
        )?;
        let context = OwnerContext {
            guard: WatchGuard::new(watch.clone()),
            limits: settings.limits.clone(),
            metrics: metrics.clone(),
            logger: logger.clone(),
            cancellation: cancellation.clone(),
        };
        let owner = Arc::new(Owner::new(context, groups.clone()));
        abandon_demoted(owner.clone(), demotions)?;
        owner.start_ticker(directory.clone())?;
        let link_server = LinkServer::new(
            owner.clone(),
            watch.clone(),
            documents.clone(),
            key.clone(),
            logger.clone(),
            cancellation.clone(),
        );
        link_server.start(peer_listener)?;
        let views = Views::start(
            watch,
            directory.clone(),
            groups.clone(),
            links.clone(),
            cancellation.clone(),
        )?;
        let burn = BurnAccount::new(SystemClock);
        let pages = Pages {
            name: own.name.clone(),
            failure_domain: own.failure_domain.clone(),
            documents: documents.clone(),
            view: SnapshotView::new(
                fleet.clone(),
                operator_address,
                documents.clone(),
                groups.clone(),
                views.clone(),
            ),
            burn: burn.clone(),
            key: key.clone(),
            stopping: stopping.clone(),
        };
        start_reports(settings, pages, operator_listener, &metrics, logger, &cancellation)?;

        let dispatcher = Dispatcher::new(owner.clone(), links, directory);
        let domain = own.failure_domain.clone();
        let router = Router::new(
            dispatcher,
            groups,
            views,
            domain,
            settings.limits.clone(),
            metrics.clone(),
        );
        let parts = CallerServerParts {
            router,
            incarnation,
            limits: settings.limits.clone(),
            metrics,
            burn,
            logger: logger.clone(),
            cancellation: cancellation.clone(),
        };
        let callers = CallerServer::start(parts, caller_listener)?;
        info!(logger, "instance started"; "callers" => %caller_address, "incarnation" => %incarnation);
        Ok(Self {
            callers,
            owner,
            fleet,
            caller_address,
            shutdown_timeout: settings.limits.shutdown_timeout(),
            logger: logger.clone(),
            stopping,
            cancellation,
        })
    }

    /// Returns where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Finishes what is in flight, then ends all threads.
    ///
    /// The instance's own callers go first. Then its servers are handed over:
    /// for a while longer it tells entries that still ask that it is not the
    /// owner, so that no request is under way when the links close.
    pub fn stop(self) {
        info!(self.logger, "instance stopping");
        self.stopping.cancel();
        self.fleet.set_leaving(true);
        let deadline = Instant::now() + self.shutdown_timeout;
        if !self.callers.drain(self.shutdown_timeout) {
            warn!(self.logger, "instance stopped with callers left"; "reason" => "timeout");
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if !self.owner.drain(remaining) {
            warn!(self.logger, "instance stopped with requests left"; "reason" => "timeout");
        }
        self.cancellation.wait_timeout(HANDOVER_NOTICE);
        self.fleet.say_farewell(&self.cancellation);
        self.cancellation.cancel();
        info!(self.logger, "instance stopped");
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|error| StartError::Listen { address, error })
}

/// Numbers this life by the time it began, so that later lives are higher.
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

/// Starts all that tells operators how the instance is.
fn start_reports(
    settings: &Settings,
    pages: Pages<SnapshotView, SystemClock>,
    listener: TcpListener,
    metrics: &Metrics,
    logger: &Logger,
    cancellation: &CancellationToken,
) -> io::Result<()> {
    let document = pages.documents.cell();
    BurnWatch::new(pages.burn.clone(), document, metrics, logger.clone())
        .start(cancellation.clone())?;
    Reporter::new(pages.clone(), SystemClock, store(settings), logger.clone())
        .start(cancellation.clone())?;
    OperatorServer::new(metrics.clone(), pages).start(listener, cancellation.clone())
}

/// Closes connections to replaced primaries, on a thread of its own.
fn abandon_demoted<Guard>(owner: Arc<Owner<Guard>>, demotions: Receiver<ServerId>) -> io::Result<()>
where
    Guard: ServerGuard,
{
    thread::Builder::new().name("demotions".to_owned()).spawn(move || {
        for server in demotions {
            owner.abandon(&server);
        }
    })?;
    Ok(())
}
