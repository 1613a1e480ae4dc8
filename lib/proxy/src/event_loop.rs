//! Runs an instance: one thread that polls all sockets and drives the engine
//! and the coordinator.
//!
//! The [`Engine`] and the [`Coordinator`] do no I/O: the loop passes them the
//! events and executes the actions that they return. Each iteration waits for
//! events, handles them, runs the periodic work if it is due, executes the
//! resulting actions and writes the output of the sockets.
//!
//! The submodules:
//!
//! - `serve` sets up the loop, handles the engine's connections to servers, and
//!   contains what all kinds of connections have in common.
//! - `callers` handles callers.
//! - `relayed` handles relayed sessions and the pooled connections.
//! - `outbound` handles the instance's own calls to the store, to servers and to the
//!   promoter, the datagrams between instances, and changes of the view of the
//!   store.
//! - `followers` handles calls to the store through another instance, both where
//!   they are made and where they are forwarded or answered.
//! - `quotas` sends the messages about quotas and reports the decisions.
//! - `http` answers HTTP requests for the readiness and the metrics.
//! - `limited` applies the limits on what clients' connections hold.
//! - `socket` buffers the input and output of a connection.
//! - [`store_sync`](crate::store_sync) decides which call keeps the view of the store up to date.

mod callers;
mod followers;
mod http;
mod limited;
mod outbound;
mod quotas;
mod relayed;
mod serve;
mod socket;

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use masticreel_base::ids::InstanceId;
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Interest, Poll, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use slog::{Level, Logger, error, info, warn};

use crate::caller::CallerId;
use crate::connections::ConnectionId;
use crate::coordinator::{ControlRequest, Coordinator, Purpose};
use crate::engine::{Action, Context, Engine, Loss};
use crate::event_loop::followers::{HeldCall, InstanceCall};
use crate::event_loop::socket::{Condition, Socket};
use crate::frames;
use crate::limits::ledger::Ledger;
use crate::limits::progress::Progress;
use crate::limits::{ClientLimits, LineBudget};
use crate::log::{LogBuffer, logger};
use crate::metrics::Metrics;
use crate::moment::{Moment, SteadyClock};
use crate::protocol::{CallerProtocol, Platform, PromotionRequest, UpstreamProtocol};
use crate::records::StoreCall;
use crate::relays::{PooledId, RelayCall, RelaySessionId};
use crate::settings::ProxySettings;
use crate::shutdown::Shutdown;
use crate::store_cache::StoreCache;
use crate::store_route::{ReadCall, StoreRoute};
use crate::store_sync::StoreSync;
use crate::store_view::StoreView;

const CALLER_LISTENER: Token = Token(0);
const READINESS_LISTENER: Token = Token(1);
const METRICS_LISTENER: Token = Token(2);
const SIGNALS: Token = Token(3);
const DATAGRAM_SOCKET: Token = Token(4);
const INSTANCE_LISTENER: Token = Token(5);
const FIRST_SOCKET: usize = 16;

/// The interval of the periodic work while requests are in progress or primaries
/// are replaced.
const BUSY_TICK: Duration = Duration::from_millis(12);
/// The interval of the periodic work while the instance is idle.
const IDLE_TICK: Duration = Duration::from_millis(100);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a command may take on a connection of its own, outside the pools.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(700);
/// How long the promoter may take to answer a request.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(800);
/// How long an HTTP client may take to send a request and to read the answer.
const HTTP_TIMEOUT: Duration = Duration::from_secs(5);
/// How long after its last answer a session is closed during the shutdown, though it sends
/// nothing.
const QUIET_SESSION_TIME: Duration = Duration::from_millis(500);
/// How long a caller may take to close its connection after the instance has ended its
/// session.
const CALLER_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// What a connection is used for, which decides how its events are handled.
#[derive(Debug)]
enum Use {
    /// A caller. Its session is open once its database has been accepted; it was last
    /// answered at `answered_at`.
    Caller { id: CallerId, is_open: bool, answered_at: Moment },
    /// A caller whose session has ended and who has not closed the connection yet.
    EndedCaller,
    /// The engine's work at a server, over a connection to the server itself or,
    /// if `is_relayed` is set, to the owner of the server's connections.
    Upstream { id: ConnectionId, status_row: Option<std::sync::Arc<str>>, is_relayed: bool },
    /// A pooled connection to a server whose connections this instance owns.
    Pooled { id: PooledId, status_row: Option<std::sync::Arc<str>> },
    /// A relayed session, opened by another instance.
    Relay { session: RelaySessionId },
    /// A single command to a server from the coordinator.
    Control {
        request: ControlRequest,
        status_row: Option<std::sync::Arc<str>>,
        /// 0 until the server has accepted the session, 1 once the command is
        /// sent.
        stage: u8,
    },
    /// Calls to the store, either directly or through the instance at `via`, with
    /// the call in flight: its use, the call and when it was made.
    Store { call: Option<(StoreUse, StoreCall, Moment)>, via: Option<SocketAddr> },
    /// Another instance that calls the store through this one, or has not sent
    /// anything yet; with the call that is held until there are changes. Becomes
    /// [`Use::Relay`] if the instance opens a relayed session.
    Instance { call: Option<HeldCall> },
    /// A request to the promoter.
    Promoter { request: PromotionRequest },
    /// An HTTP client that requests the readiness or the metrics.
    Http,
}

/// What a call to the store is used for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum StoreUse {
    /// Keeping the view of the store up to date.
    Sync,
    /// The coordinator.
    Coordinator(Purpose),
    /// Another instance that can't reach the store itself, by its connection.
    Forwarded(Token),
}

/// A connection, established or being opened, with its use and its deadline, after
/// which it is closed.
#[derive(Debug)]
struct Connection {
    socket: Socket,
    used_for: Use,
    deadline: Option<Moment>,
    /// When it last sent and took bytes.
    progress: Progress,
    /// What the answer holds that a server is sending on it, in bytes.
    answer_bytes: usize,
}

impl Connection {
    fn new(socket: Socket, used_for: Use, deadline: Option<Moment>, now: Moment) -> Self {
        Self { socket, used_for, deadline, progress: Progress::new(now), answer_bytes: 0 }
    }
}

/// An operating system call without which the instance can't run has failed.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("{what}: {source}")]
pub struct RunError {
    /// The operation that failed.
    pub what: String,
    /// The cause.
    pub source: io::Error,
}

impl RunError {
    fn new<T>(what: T) -> impl FnOnce(io::Error) -> Self
    where
        T: Into<String>,
    {
        let what = what.into();
        move |source| Self { what, source }
    }
}

/// The state of the loop.
struct EventLoop<'a, Protocols, Clock> {
    platform: &'a Protocols,
    settings: ProxySettings,
    clock: Clock,
    log: Logger,
    buffer: LogBuffer,
    metrics: Metrics,
    poll: Poll,
    /// Accepts callers, also during the shutdown.
    callers_listener: Option<TcpListener>,
    http_listeners: Vec<(Token, TcpListener)>,
    /// The socket for datagrams between instances.
    peers: UdpSocket,
    /// Accepts connections of other instances: calls to the store and relayed
    /// sessions.
    instance_listener: TcpListener,
    connections: HashMap<Token, Connection>,
    next_token: usize,
    next_caller: u64,
    caller_tokens: HashMap<CallerId, Token>,
    upstream_tokens: HashMap<ConnectionId, Token>,
    pooled_tokens: HashMap<PooledId, Token>,
    relay_tokens: HashMap<RelaySessionId, Token>,
    limits: ClientLimits,
    /// What the connections hold.
    ledger: Ledger<Token>,
    limit_lines: LineBudget,
    incomplete_checked_at: Moment,
    /// Connections and listeners that were not read to the end and are to be read again.
    unread: BTreeSet<Token>,
    /// Connections with unread bytes that are not read because too much is held.
    not_read: BTreeSet<Token>,
    /// Listeners whose last connection could not be accepted, until the periodic work.
    failed_listeners: BTreeSet<Token>,
    /// Callers' connections without a session, the oldest first.
    starting: BTreeSet<Token>,
    /// The number of callers' connections, also of ended ones.
    caller_sockets: usize,
    /// Connections whose output has to be written.
    dirty: BTreeSet<Token>,
    view: StoreView,
    store_sync: StoreSync,
    store_cache: StoreCache,
    store_route: StoreRoute,
    /// The instance through which the store was last read, for the log.
    read_through: Option<InstanceId>,
    /// The call of the store sync in flight, with its connection.
    sync_call: Option<(Token, ReadCall)>,
    /// Whether the last call to the store, also one through another instance, failed.
    is_store_failing: bool,
    engine: Engine,
    coordinator: Coordinator,
    /// The shutdown in progress, if the process was told to stop.
    shutdown: Option<Shutdown>,
    is_ready: bool,
    quota_report: quotas::QuotaReport,
    ticked_at: Moment,
    now: Moment,
}

/// Runs an instance until it has stopped after SIGTERM or SIGINT.
///
/// On SIGHUP the settings are read again with `reload`; if that fails, the
/// previous ones stay active. Only the shutdown timeout can be changed
/// without a restart.
///
/// # Errors
///
/// Fails if a listener or the signal handlers can't be set up, or if polling
/// fails.
pub fn run<Protocols, Clock, Reload>(
    platform: &Protocols,
    settings: &ProxySettings,
    clock: Clock,
    level: Level,
    mut reload: Reload,
) -> Result<(), RunError>
where
    Protocols: Platform,
    Clock: SteadyClock,
    Reload: FnMut() -> Result<ProxySettings, String>,
{
    let buffer = LogBuffer::default();
    let log = logger(buffer.clone(), settings.instance.as_str(), level);
    if let Err(error) = crate::log::set_stdout_nonblocking() {
        warn!(log, "standard output can't be made non-blocking; log output may block";
            "error" => %error);
    }
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(RunError::new("can't handle signals"))?;
    let mut event_loop = EventLoop::new(platform, settings, clock, log, buffer)?;
    event_loop
        .poll
        .registry()
        .register(&mut signals, SIGNALS, Interest::READABLE)
        .map_err(RunError::new("can't handle signals"))?;
    let mut events = Events::with_capacity(256);
    while !event_loop.is_finished() {
        event_loop.wait(&mut events).map_err(RunError::new("can't poll for events"))?;
        for event in &events {
            if event.token() == SIGNALS {
                for signal in signals.pending() {
                    event_loop.handle_signal(signal, &mut reload);
                }
            } else {
                event_loop.handle(event);
            }
        }
        event_loop.resume_reading();
        event_loop.finish_iteration();
    }
    event_loop.finish();
    Ok(())
}

impl<'a, Protocols, Clock> EventLoop<'a, Protocols, Clock>
where
    Protocols: Platform,
    Clock: SteadyClock,
{
    /// Waits for events until the next periodic work is due.
    fn wait(&mut self, events: &mut Events) -> io::Result<()> {
        let tick = if self.engine.has_work() || self.coordinator.is_busy() {
            BUSY_TICK
        } else {
            IDLE_TICK
        };
        let elapsed = self.clock.now().since(self.ticked_at);
        let timeout = if self.unread.is_empty() {
            let until_give_up = self
                .sync_call
                .and_then(|(_, call)| call.give_up_at)
                .map_or(tick, |give_up_at| give_up_at.since(self.now));
            tick.saturating_sub(elapsed).min(until_give_up)
        } else {
            Duration::ZERO
        };
        match self.poll.poll(events, Some(timeout)) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => {}
        }
        self.now = self.clock.now();
        self.observe_quota_standing();
        Ok(())
    }

    fn handle(&mut self, event: &mio::event::Event) {
        let token = event.token();
        match token {
            CALLER_LISTENER => self.accept_callers(),
            READINESS_LISTENER | METRICS_LISTENER => self.accept_http(token),
            DATAGRAM_SOCKET => self.read_datagrams(),
            INSTANCE_LISTENER => self.accept_instances(),
            _ => {
                if event.is_writable() || event.is_error() {
                    self.writable(token);
                }
                if event.is_readable() || event.is_read_closed() || event.is_error() {
                    self.readable(token);
                }
                if event.is_read_closed() {
                    self.peer_closed(token);
                }
            }
        }
    }

    /// Ends an iteration: runs the periodic work if it is due, makes and answers
    /// calls to the store, executes the actions and writes the output.
    fn finish_iteration(&mut self) {
        let tick = if self.engine.has_work() || self.coordinator.is_busy() {
            BUSY_TICK
        } else {
            IDLE_TICK
        };
        if self.now.since(self.ticked_at) >= tick {
            self.ticked_at = self.now;
            self.expire_connections();
            self.expire_incomplete();
            self.unread.append(&mut self.failed_listeners);
            let context = Context { view: &self.view, now: self.now };
            self.engine.tick(context);
            self.coordinator.tick(&self.view, self.now);
            self.drain_sessions();
            self.update_gauges();
            self.report_quotas();
        }
        self.call_store();
        self.answer_held_calls();
        self.settle_quotas();
        self.execute_actions();
        self.flush();
        self.balance_memory();
        self.buffer.flush(self.now);
    }

    /// Executes the actions of the engine and the coordinator, and those that
    /// result from them, until there are none.
    fn execute_actions(&mut self) {
        loop {
            let actions = self.engine.take_actions();
            let relay_actions = self.engine.relays.take_actions();
            let coordinator_actions = self.coordinator.take_actions();
            if actions.is_empty() && relay_actions.is_empty() && coordinator_actions.is_empty() {
                return;
            }
            for action in relay_actions {
                self.execute_relay_action(action);
            }
            for action in actions {
                self.execute_action(action);
            }
            for action in coordinator_actions {
                self.execute_coordinator_action(action);
            }
        }
    }

    fn execute_action(&mut self, action: Action) {
        match action {
            Action::Answer(id, answer) => {
                let Some(token) = self.caller_tokens.get(&id).copied() else {
                    return;
                };
                let ends_session = self.closes_idle_sessions() && self.engine.is_idle(id);
                if let Some(connection) = self.connections.get_mut(&token) {
                    self.platform.callers().encode_answer(&answer, &mut connection.socket.output);
                    // The end arrives with the answer, so the caller sends nothing more.
                    connection.socket.ends_after_output |= ends_session
                        && connection.socket.input.is_empty()
                        && !connection.socket.has_unread;
                    if let Use::Caller { answered_at, .. } = &mut connection.used_for {
                        *answered_at = self.now;
                    }
                    self.dirty.insert(token);
                }
            }
            Action::EndSession(id) => self.end_session(id),
            Action::Connect { connection, address, group, server, via: None, organisation } => {
                self.connect_upstream(
                    connection,
                    address,
                    &group,
                    &server,
                    organisation.as_deref(),
                );
            }
            Action::Connect { connection, server, via: Some(owner), .. } => {
                self.connect_owner(connection, &owner, server);
            }
            Action::Send(id, command) => {
                let Some(token) = self.upstream_tokens.get(&id).copied() else {
                    return;
                };
                let context = Context { view: &self.view, now: self.now };
                if let Some(connection) = self.connections.get_mut(&token) {
                    let output = &mut connection.socket.output;
                    if let Use::Upstream { is_relayed: true, .. } = connection.used_for {
                        let terms = self.engine.relay_options(context, id);
                        let call = RelayCall::Execute { command, terms };
                        frames::encode(&InstanceCall::Relay(call), output);
                    } else {
                        self.platform.upstreams().encode_command(&command, output);
                    }
                    self.dirty.insert(token);
                }
            }
            Action::Disconnect(id) => {
                if let Some(token) = self.upstream_tokens.remove(&id) {
                    self.close(token);
                }
            }
            Action::Stopped { group, epoch } => self.coordinator.work_done(self.now, &group, epoch),
            Action::Suspect { group, primary, kind } => {
                self.coordinator.suspect(&self.view, &group, &primary, kind);
            }
            Action::ClearSuspicion { group, has_run_work } => {
                self.coordinator.clear_suspicion(&group, has_run_work);
            }
        }
    }

    fn flush(&mut self) {
        while let Some(token) = self.dirty.pop_first() {
            let Some(connection) = self.connections.get_mut(&token) else {
                continue;
            };
            let unsent_bytes = connection.socket.unsent_bytes();
            let condition = connection.socket.flush();
            let unsent_now = connection.socket.unsent_bytes();
            connection.progress.written(unsent_now < unsent_bytes, unsent_now > 0, self.now);
            // What a caller has sent ahead is taken up once there is room for the answer.
            if matches!(connection.used_for, Use::Caller { .. })
                && (connection.socket.has_unread || !connection.socket.input.is_empty())
            {
                self.unread.insert(token);
            }
            match condition {
                Condition::Open => self.charge(token),
                Condition::Ended if matches!(connection.used_for, Use::Caller { .. }) => {
                    self.end_caller(token);
                }
                Condition::Ended | Condition::Broken => self.connection_ended(token, false),
            }
            self.execute_actions();
        }
    }

    /// Reloads the settings on SIGHUP and starts the shutdown on any other
    /// signal.
    fn handle_signal<Reload>(&mut self, signal: i32, reload: &mut Reload)
    where
        Reload: FnMut() -> Result<ProxySettings, String>,
    {
        if signal == SIGHUP {
            match reload() {
                Ok(settings) => {
                    let previous = self.settings.shutdown_timeout;
                    self.settings.shutdown_timeout = settings.shutdown_timeout;
                    if let Some(shutdown) = self.shutdown {
                        self.set_shutdown(shutdown.began_at());
                    }
                    info!(self.log, "settings reloaded";
                        "changed" => settings.shutdown_timeout != previous,
                        "restart_needed" => settings != self.settings);
                }
                Err(reason) => {
                    error!(self.log, "settings not reloaded; the previous ones stay active";
                        "reason" => reason);
                }
            }
        } else if self.shutdown.is_none() {
            info!(self.log, "stopping"; "signal" => signal,
                "callers" => self.caller_tokens.len(), "pending" => self.engine.pending(),
                "grace_ms" => self.settings.shutdown_timeout.as_millis());
            self.set_shutdown(self.now);
            self.coordinator.set_leaving();
            self.observe_quota_standing();
        }
    }

    fn set_shutdown(&mut self, began_at: Moment) {
        let shutdown = Shutdown::new(began_at, self.settings.shutdown_timeout);
        self.shutdown = Some(shutdown);
        self.engine.set_shutdown(shutdown);
    }

    /// Returns whether the process may end: the shutdown timeout is nearly over, or idle
    /// sessions are closed by now, no caller is connected and no relayed session is in use.
    fn is_finished(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| {
            self.now >= shutdown.exits_at()
                || (shutdown.closes_idle_sessions(self.now)
                    && self.caller_tokens.is_empty()
                    && !self.engine.relays.is_busy())
        })
    }

    fn finish(&mut self) {
        info!(self.log, "stopped"; "callers" => self.caller_tokens.len(),
            "pending" => self.engine.pending());
        self.buffer.finish();
    }

    /// Returns whether the shutdown has come to the point at which idle sessions of callers
    /// are closed.
    fn closes_idle_sessions(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| shutdown.closes_idle_sessions(self.now))
    }

    /// Closes sessions of callers that have been idle for a while during the shutdown, once
    /// it closes idle ones. Busy ones end with their next answer: a session that is closed at
    /// any other time may meet a request on its way.
    ///
    /// Transactions that are not executing a command are rolled back after half
    /// of the shutdown timeout, which makes their sessions idle.
    fn drain_sessions(&mut self) {
        if self.shutdown.is_some_and(|shutdown| shutdown.ends_transactions(self.now)) {
            let context = Context { view: &self.view, now: self.now };
            self.engine.abort_idle_transactions(context);
            self.execute_actions();
        }
        if !self.closes_idle_sessions() {
            return;
        }
        let is_quiet = |token: &Token| {
            self.connections.get(token).is_some_and(|connection| {
                matches!(connection.used_for, Use::Caller { answered_at, .. }
                    if self.now.since(answered_at) >= QUIET_SESSION_TIME)
            })
        };
        let idle: Vec<Token> = self
            .caller_tokens
            .iter()
            .filter(|(id, token)| self.engine.is_idle(**id) && is_quiet(token))
            .map(|(_, token)| *token)
            .collect();
        for token in idle {
            // A request that has arrived but was not read yet is served.
            self.readable(token);
            self.execute_actions();
            let is_idle = match self.connections.get(&token).map(|c| &c.used_for) {
                Some(Use::Caller { id, .. }) => self.engine.is_idle(*id),
                _ => false,
            };
            if !is_idle {
                continue;
            }
            let has_input = self
                .connections
                .get(&token)
                .map(|connection| &connection.socket)
                .is_some_and(|socket| !socket.input.is_empty() || socket.has_unread);
            if let Some(connection) = self.connections.get_mut(&token)
                && !has_input
            {
                connection.socket.ends_after_output = true;
                self.dirty.insert(token);
            }
        }
    }

    fn update_gauges(&mut self) {
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let metrics = &self.metrics;
        metrics.callers.set(gauge(self.caller_tokens.len()));
        metrics.pending.set(gauge(self.engine.pending()));
        let version = self.view.document().map_or(0, |document| document.version);
        metrics.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        metrics.store_era.set(i64::try_from(self.view.era()).unwrap_or(i64::MAX));
        let confirmed = self
            .view
            .confirmed_at()
            .map_or(-1, |at| i64::try_from(self.now.since(at).as_millis()).unwrap_or(i64::MAX));
        metrics.confirmed_ms_ago.set(confirmed);
        metrics.reads_through_instance.set(i64::from(self.read_through.is_some()));
        metrics.holds_duty.set(i64::from(self.coordinator.is_active(&self.view, self.now)));
        metrics.relayed_waiting.set(gauge(self.engine.relays.waiting_commands()));
        metrics.connections_evicted(self.engine.relays.take_evictions());
        metrics.pooled_connections.set(gauge(self.engine.relays.pooled_connections()));
        let dropped = i64::try_from(self.buffer.dropped()).unwrap_or(i64::MAX);
        metrics.log_lines_dropped.set(dropped);
        metrics.held_bytes.set(gauge(self.ledger.total_bytes()));
        metrics.not_read.set(gauge(self.not_read.len()));
    }

    fn new_token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token)
    }

    /// Starts to open a connection.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be created or registered.
    fn connect(
        &mut self,
        address: SocketAddr,
        used_for: Use,
        timeout: Duration,
    ) -> Result<Token, io::Error> {
        let token = self.new_token();
        let socket = Socket::connect(address, self.poll.registry(), token)?;
        let deadline = Some(self.now + timeout);
        self.connections.insert(token, Connection::new(socket, used_for, deadline, self.now));
        Ok(token)
    }

    /// Closes a connection without reporting its end to the component that uses
    /// it.
    fn close(&mut self, token: Token) {
        if let Some(mut connection) = self.remove_connection(token) {
            connection.socket.deregister(self.poll.registry());
        }
    }

    /// Removes a connection from everything that the loop records of it.
    fn remove_connection(&mut self, token: Token) -> Option<Connection> {
        self.dirty.remove(&token);
        self.unread.remove(&token);
        self.not_read.remove(&token);
        self.starting.remove(&token);
        self.ledger.remove(token);
        let connection = self.connections.remove(&token)?;
        if matches!(connection.used_for, Use::Caller { .. } | Use::EndedCaller) {
            self.caller_sockets -= 1;
        }
        Some(connection)
    }
}
