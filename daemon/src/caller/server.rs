//! The threads that accept and serve callers.
//!
//! One thread accepts connections and registers them with the poller, a second
//! runs the poller, and worker threads serve the connections that are readable.
//! The number of worker threads bounds the requests that run at a time; within that
//! number `RequestLimits` bounds the requests of each class.

use std::collections::HashMap;
use std::io;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, unbounded};
use masticreel_base::cancellation::CancellationToken;
use masticreel_base::clock::SystemClock;
use masticreel_base::ids::Incarnation;
use masticreel_document::class::Class;
use masticreel_postgres::startup::CancelKey;
use masticreel_wire::message::SessionKey;
use slog::{Logger, error, warn};

use crate::burn::BurnRateTracker;
use crate::caller::connection::{Connection, Next, READ_BYTES};
use crate::caller::idle_connections::IdleConnections;
use crate::caller::session::RequestOutcome;
use crate::directory::OwnerDirectory;
use crate::entry::router::{Router, RunningOwner};
use crate::metrics::Metrics;
use crate::owner::guard::ServerGuard;
use crate::settings::LimitSettings;

/// Stack size of a thread that serves callers.
const WORKER_STACK_BYTES: usize = 512 * 1024;
/// Interval between checks for open connections during a shutdown.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);
/// Backoff after a failed accept, so that the thread does not spin while the
/// process is out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// State shared by the connections of all callers.
pub(super) struct CallerContext<Guard, Directory> {
    pub(super) router: Router<Guard, Directory>,
    pub(super) incarnation: Incarnation,
    pub(super) cancel_keys: CancelKeys,
    pub(super) is_draining: AtomicBool,
    metrics: Metrics,
    burn: BurnRateTracker<SystemClock>,
    connections: AtomicUsize,
}

impl<Guard, Directory> CallerContext<Guard, Directory>
where
    Guard: ServerGuard,
    Directory: OwnerDirectory,
{
    /// Cancels the running request of the session that a cancel key belongs to.
    pub(super) fn cancel(&self, key: CancelKey) {
        let Some((session, running_owner)) = self.cancel_keys.find(key) else { return };
        let owner =
            *running_owner.lock().expect("no thread panics while it holds the running owner lock");
        if let Some(owner) = owner {
            self.router.cancel(owner, session);
        }
    }

    /// Records a finished request in the metrics and for the service levels.
    pub(super) fn record_request(&self, outcome: RequestOutcome, class: Class, elapsed: Duration) {
        let class_name = class.to_string();
        let seconds = self.metrics.request_seconds.with_label_values(&[&class_name]);
        self.metrics.requests.with_label_values(&[outcome.label()]).inc();
        seconds.observe(elapsed.as_secs_f64());
        self.burn.record(class, elapsed, outcome.service_level_result());
    }
}

/// The keys with which callers may cancel their running requests.
#[derive(Debug, Default)]
pub(super) struct CancelKeys {
    /// The next number to use as the first part of a key, where PostgreSQL has the
    /// process id of its backend.
    next_number: AtomicU32,
    sessions: Mutex<HashMap<CancelKey, (SessionKey, RunningOwner)>>,
}

impl CancelKeys {
    /// Issues a key for a session.
    pub(super) fn issue(&self, session: SessionKey, running_owner: RunningOwner) -> CancelKey {
        let process = self.next_number.fetch_add(1, Ordering::Relaxed);
        let key = CancelKey { process, secret: rand::random() };
        self.lock().insert(key, (session, running_owner));
        key
    }

    /// Removes the key of a session that ended.
    pub(super) fn remove(&self, key: CancelKey) {
        self.lock().remove(&key);
    }

    fn find(&self, key: CancelKey) -> Option<(SessionKey, RunningOwner)> {
        self.lock().get(&key).cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<CancelKey, (SessionKey, RunningOwner)>> {
        self.sessions.lock().expect("no thread panics while it holds the sessions lock")
    }
}

/// The parts that a [`CallerServer`] is built from.
pub struct CallerServerParts<Guard, Directory> {
    /// Routes requests to the servers.
    pub router: Router<Guard, Directory>,
    /// The incarnation of this instance.
    pub incarnation: Incarnation,
    /// The limits on callers and concurrent requests.
    pub limits: LimitSettings,
    /// The metrics of the instance.
    pub metrics: Metrics,
    /// Where requests are recorded for the service levels.
    pub burn: BurnRateTracker<SystemClock>,
    /// The logger of the instance.
    pub logger: Logger,
    /// Stops the poller thread.
    pub cancellation: CancellationToken,
}

/// Serves callers until it is drained.
pub struct CallerServer<Guard, Directory> {
    context: CallerContext<Guard, Directory>,
    idle_connections: IdleConnections,
    max_callers: usize,
    logger: Logger,
    cancellation: CancellationToken,
}

impl<Guard, Directory> CallerServer<Guard, Directory>
where
    Guard: ServerGuard,
    Directory: OwnerDirectory,
{
    /// Starts accepting callers.
    ///
    /// # Errors
    ///
    /// Fails if the system has no room for the threads or the poller.
    pub fn start(
        parts: CallerServerParts<Guard, Directory>,
        listener: TcpListener,
    ) -> io::Result<Arc<Self>> {
        let (ready, receiver) = unbounded();
        let context = CallerContext {
            router: parts.router,
            incarnation: parts.incarnation,
            cancel_keys: CancelKeys::default(),
            is_draining: AtomicBool::new(false),
            metrics: parts.metrics,
            burn: parts.burn,
            connections: AtomicUsize::new(0),
        };
        let server = Arc::new(Self {
            context,
            idle_connections: IdleConnections::new(ready)?,
            max_callers: parts.limits.max_callers,
            logger: parts.logger,
            cancellation: parts.cancellation,
        });
        for number in 0..parts.limits.max_concurrent_requests {
            server.clone().spawn_worker(number, receiver.clone())?;
        }
        server.clone().spawn_poller()?;
        server.clone().spawn_acceptor(listener)?;
        Ok(server)
    }

    /// Stops accepting callers, closes connections without a request or transaction,
    /// and waits until the others have finished theirs and are closed.
    ///
    /// Returns whether all connections were closed before the timeout.
    pub fn drain(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        self.context.is_draining.store(true, Ordering::Release);
        while self.context.connections.load(Ordering::Acquire) > 0 {
            for mut connection in self.idle_connections.take_if(Connection::is_idle) {
                connection.send_shutting_down();
                self.close(connection);
            }
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(DRAIN_INTERVAL);
        }
        true
    }

    fn spawn_worker(
        self: Arc<Self>,
        number: usize,
        receiver: Receiver<Connection>,
    ) -> io::Result<()> {
        thread::Builder::new()
            .name(format!("caller-{number}"))
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || {
                let mut scratch = Vec::new();
                for mut connection in &receiver {
                    scratch.resize(READ_BYTES, 0);
                    let next = self.serve(&mut connection, &mut scratch, &receiver);
                    self.finish(connection, next);
                }
            })?;
        Ok(())
    }

    fn spawn_poller(self: Arc<Self>) -> io::Result<()> {
        thread::Builder::new().name("caller-poll".to_owned()).spawn(move || {
            if let Err(error) = self.poll_idle_connections() {
                error!(self.logger, "polling idle caller connections failed; their new requests are not read"; "error" => %error);
            }
        })?;
        Ok(())
    }

    fn poll_idle_connections(&self) -> io::Result<()> {
        self.idle_connections
            .run(|| self.cancellation.is_cancelled(), |connection| self.close(connection))
    }

    fn spawn_acceptor(self: Arc<Self>, listener: TcpListener) -> io::Result<()> {
        thread::Builder::new().name("caller-accept".to_owned()).spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                if self.context.is_draining.load(Ordering::Acquire) {
                    return;
                }
                let accepted = stream.and_then(|stream| self.accept(number, stream));
                if let Err(error) = accepted {
                    warn!(self.logger, "accepting a caller connection failed"; "error" => %error);
                    thread::sleep(ACCEPT_BACKOFF);
                }
            }
        })?;
        Ok(())
    }

    fn accept(&self, number: usize, stream: std::net::TcpStream) -> io::Result<()> {
        if self.context.connections.load(Ordering::Acquire) >= self.max_callers {
            warn!(self.logger, "caller connection refused"; "reason" => "max_callers reached");
            return Ok(());
        }
        let connection = Connection::new(number, stream)?;
        self.idle_connections.watch_new(connection)?;
        self.context.connections.fetch_add(1, Ordering::AcqRel);
        self.context.metrics.callers.inc();
        Ok(())
    }

    /// Serves a connection until its caller is idle or other connections wait
    /// for a thread.
    fn serve(
        &self,
        connection: &mut Connection,
        scratch: &mut [u8],
        waiting: &Receiver<Connection>,
    ) -> Next {
        loop {
            let next = connection.serve(&self.context, scratch);
            if next != Next::Served || !waiting.is_empty() {
                return next;
            }
        }
    }

    fn finish(&self, connection: Connection, next: Next) {
        match next {
            Next::Served | Next::Idle => {
                if let Err(error) = self.idle_connections.watch_again(connection) {
                    warn!(self.logger, "caller connection closed: it can't be polled for new requests";
                        "error" => %error);
                    self.count_closed();
                }
            }
            Next::Close => self.close(connection),
        }
    }

    fn close(&self, connection: Connection) {
        self.idle_connections.stop_watching(&connection);
        connection.close(&self.context);
        self.count_closed();
    }

    fn count_closed(&self) {
        self.context.connections.fetch_sub(1, Ordering::AcqRel);
        self.context.metrics.callers.dec();
    }
}
