//! The threads that accept and serve callers.
//!
//! One thread accepts connections and registers them with the poller, a second
//! runs the poller, and worker threads serve the connections that are readable.
//! The number of worker threads bounds the requests that run at a time; within that
//! number `RequestLimits` bounds the requests of each class.

use std::cmp::Reverse;
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
use crate::caller::closures::{Closures, Reason};
use crate::caller::connection::{Connection, Next, READ_BYTES};
use crate::caller::idle_connections::{Awaited, IdleConnections};
use crate::caller::session::RequestOutcome;
use crate::directory::OwnerDirectory;
use crate::entry::router::{Router, RunningOwner};
use crate::memory::{CallerMemory, descriptor_limit};
use crate::metrics::Metrics;
use crate::owner::guard::ServerGuard;
use crate::settings::LimitSettings;
use crate::shutdown::ShutdownDeadline;

/// Stack size of a thread that serves callers.
const WORKER_STACK_BYTES: usize = 512 * 1024;
/// Interval between checks for open connections during a shutdown.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);
/// Backoff after a failed accept, so that the thread does not spin while the
/// process is out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Interval between searches for connections that have passed a time limit.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a caller has to send its start before it may be closed for others; those that
/// send it at once need less, also when many connect together.
const START_GRACE: Duration = Duration::from_millis(250);
/// Interval between decisions about memory while much of it is used; what connections can
/// read meanwhile is bounded by the budget itself.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// State shared by the connections of all callers.
pub(super) struct CallerContext<Guard, Directory> {
    pub(super) router: Router<Guard, Directory>,
    pub(super) incarnation: Incarnation,
    pub(super) cancel_keys: CancelKeys,
    pub(super) is_draining: AtomicBool,
    pub(super) shutdown: ShutdownDeadline,
    pub(super) memory: CallerMemory,
    pub(super) limits: LimitSettings,
    /// Connections that have not opened a session.
    pub(super) starting: AtomicUsize,
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
    /// Until when requests are served once the shutdown has begun.
    pub shutdown: ShutdownDeadline,
    /// Stops the poller thread.
    pub cancellation: CancellationToken,
}

/// Serves callers until it is drained.
pub struct CallerServer<Guard, Directory> {
    context: CallerContext<Guard, Directory>,
    idle_connections: IdleConnections,
    max_callers: usize,
    closures: Closures,
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
        let limits = parts.limits;
        let memory =
            CallerMemory::new(limits.memory_budget_mb, parts.metrics.caller_memory.clone());
        let closures = Closures::new(parts.metrics.closed_callers.clone(), parts.logger.clone());
        let context = CallerContext {
            router: parts.router,
            incarnation: parts.incarnation,
            cancel_keys: CancelKeys::default(),
            is_draining: AtomicBool::new(false),
            shutdown: parts.shutdown,
            memory: memory.clone(),
            limits: limits.clone(),
            starting: AtomicUsize::new(0),
            metrics: parts.metrics,
            burn: parts.burn,
            connections: AtomicUsize::new(0),
        };
        let server = Arc::new(Self {
            context,
            idle_connections: IdleConnections::new(ready, memory)?,
            max_callers: limits.callers_within(descriptor_limit().unwrap_or(usize::MAX)),
            closures,
            logger: parts.logger,
            cancellation: parts.cancellation,
        });
        for number in 0..limits.max_concurrent_requests {
            server.clone().spawn_worker(number, receiver.clone())?;
        }
        server.clone().spawn_poller()?;
        server.clone().spawn_acceptor(listener)?;
        Ok(server)
    }

    /// Stops accepting callers, closes connections without a request or transaction,
    /// and waits until the others have finished theirs and are closed. Once no request is
    /// served any more, transactions that wait for their next statement are rolled back.
    ///
    /// Returns whether all connections were closed before the timeout.
    pub fn drain(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        self.context.is_draining.store(true, Ordering::Release);
        while self.context.connections.load(Ordering::Acquire) > 0 {
            let may_close = |connection: &Connection| connection.may_end(&self.context);
            for mut connection in self.idle_connections.take_if(may_close) {
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
                    if let Some(reason) = connection.closed_for() {
                        connection.send_closed(reason);
                        self.close(connection);
                        continue;
                    }
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
        let mut checked_at = Instant::now();
        let mut decided_at = checked_at;
        self.idle_connections.run(
            || self.cancellation.is_cancelled(),
            || {
                let now = Instant::now();
                if now.saturating_duration_since(checked_at) >= OVERDUE_CHECK_INTERVAL {
                    checked_at = now;
                    self.close_overdue(now);
                }
                // Events may come more often than a decision is worth its cost.
                let pause = MEMORY_CHECK_INTERVAL.saturating_sub(now - decided_at);
                if !pause.is_zero() {
                    return pause;
                }
                decided_at = now;
                self.enforce_memory_budget(now)
            },
        )
    }

    fn close_overdue(&self, now: Instant) {
        let limits = &self.context.limits;
        let is_overdue = |connection: &Connection| connection.overdue(limits, now).is_some();
        for connection in self.idle_connections.take_if(is_overdue) {
            if let Some(reason) = connection.overdue(limits, now) {
                self.close_for(connection, reason);
            }
        }
        while self.context.starting.load(Ordering::Acquire) > limits.max_starting_callers {
            let Some(oldest) = self.take_oldest_starting(now) else { return };
            self.close_for(oldest, Reason::MaxStarting);
        }
    }

    /// Closes the connections that the budget demands, and lets others read on; returns
    /// when this must be repeated.
    ///
    /// A connection that a thread is serving is closed at a later decision.
    fn enforce_memory_budget(&self, now: Instant) -> Duration {
        let memory = &self.context.memory;
        let has_paused = self.idle_connections.has_paused();
        if !has_paused && !memory.is_tight() {
            return OVERDUE_CHECK_INTERVAL;
        }
        for number in memory.decide(now).closed {
            if let Some(connection) = self.idle_connections.take(number) {
                self.close_for(connection, Reason::Memory);
            }
        }
        self.idle_connections.resume_paused();
        MEMORY_CHECK_INTERVAL
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
        if self.context.connections.load(Ordering::Acquire) >= self.max_callers
            && !self.displace_greedy()
        {
            self.closures.record(Reason::MaxCallers, Instant::now());
            return Ok(());
        }
        let connection = Connection::new(number, stream)?;
        self.context.starting.fetch_add(1, Ordering::AcqRel);
        if let Err(error) = self.idle_connections.watch_new(connection) {
            self.context.starting.fetch_sub(1, Ordering::AcqRel);
            return Err(error);
        }
        self.context.connections.fetch_add(1, Ordering::AcqRel);
        self.context.metrics.callers.inc();
        Ok(())
    }

    /// Closes a connection that does not only carry ordinary work; returns whether there
    /// is one.
    fn displace_greedy(&self) -> bool {
        let now = Instant::now();
        let greedy = self.idle_connections.take_greatest(|connection| {
            let held = connection.held(0);
            (held.bytes > 0 && !held.is_ordinary(now)).then_some(held.bytes)
        });
        let displaced = greedy.or_else(|| self.take_oldest_starting(now));
        let is_any = displaced.is_some();
        displaced.into_iter().for_each(|one| self.close_for(one, Reason::Displaced));
        is_any
    }

    /// Takes the connection that has waited longest for its session to open, if it had
    /// the time to.
    fn take_oldest_starting(&self, now: Instant) -> Option<Connection> {
        self.idle_connections.take_greatest(|connection| {
            let since = connection.starting_since()?;
            let had_time = now.saturating_duration_since(since) >= START_GRACE;
            had_time.then_some(Reverse(since))
        })
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
            Next::Served | Next::Idle => self.watch_again(connection, Awaited::Input),
            Next::Blocked => self.watch_again(connection, Awaited::Reader),
            Next::Paused => self.watch_again(connection, Awaited::Memory),
            Next::Close => self.close(connection),
        }
    }

    fn watch_again(&self, connection: Connection, awaited: Awaited) {
        let number = connection.number();
        let is_starting = connection.starting_since().is_some();
        if let Err(error) = self.idle_connections.watch_again(connection, awaited) {
            self.context.memory.remove(number);
            self.context.starting.fetch_sub(usize::from(is_starting), Ordering::AcqRel);
            warn!(self.logger, "caller connection closed: it can't be polled for new requests";
                "error" => %error);
            self.count_closed();
        }
    }

    /// Closes a connection for a limit, at a worker thread if it has a session, since its
    /// transaction must be rolled back.
    fn close_for(&self, connection: Connection, reason: Reason) {
        self.closures.record(reason, Instant::now());
        if connection.starting_since().is_some() {
            self.close(connection);
        } else {
            self.idle_connections.pass_to_close(connection, reason);
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
