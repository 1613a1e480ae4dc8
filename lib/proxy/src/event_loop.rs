//! One thread that carries the decisions over sockets.

mod followers;
mod links;
mod pages;
mod relayed;
mod serve;
mod socket;
mod store_link;

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use masticreel_base::ids::{GroupId, ServerId};
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Interest, Poll, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use slog::{Level, Logger, error, info, warn};

use crate::caller::CallerId;
use crate::connections::ConnectionId;
use crate::coordinator::{Coordinator, Purpose};
use crate::engine::{Action, Context, Engine, Loss};
use crate::event_loop::followers::{DirectHealth, Followed, HeldCall, InstanceCall};
use crate::event_loop::socket::{Condition, Socket};
use crate::event_loop::store_link::StoreLink;
use crate::frames;
use crate::log::{LogBuffer, logger};
use crate::metrics::Metrics;
use crate::mirror::Mirror;
use crate::moment::{Moment, SteadyClock};
use crate::protocol::{CallerProtocol, Platform, PromotionOrder, UpstreamProtocol};
use crate::records::StoreCall;
use crate::relays::{PooledId, RelayCall, RelaySessionId};
use crate::settings::ProxySettings;
use crate::statement::Command;
use crate::store_view::StoreView;

const CALLER_LISTENER: Token = Token(0);
const READINESS_LISTENER: Token = Token(1);
const METRICS_LISTENER: Token = Token(2);
const SIGNALS: Token = Token(3);
const PEERS: Token = Token(4);
const FOLLOWER_LISTENER: Token = Token(5);
const FIRST_SOCKET: usize = 16;

/// How often what is due is done while requests are under way.
const BUSY_TICK: Duration = Duration::from_millis(12);
/// How often what is due is done at rest.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// How long a connection may take to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a command to a server outside the pools may take.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(700);
/// How long an order to promote may take.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a reader of pages may take.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a caller may take to open its session.
const SESSION_START_TIMEOUT: Duration = Duration::from_secs(10);
/// How long before the end of its grace the process ends.
const STOP_RESERVE: Duration = Duration::from_millis(700);
/// How long after the order to stop callers' idle sessions are kept, so that
/// new connections go elsewhere first.
const STOP_QUIET_DELAY: Duration = Duration::from_millis(2200);

/// What a connection is for.
#[derive(Debug)]
enum Use {
    /// A caller; its session is open once its database was accepted.
    Caller { id: CallerId, is_open: bool },
    /// Work at a server.
    Upstream { id: ConnectionId, last_row: Option<std::sync::Arc<str>>, is_relayed: bool },
    /// A connection to a server whose connections this instance owns.
    Pooled { id: PooledId, last_row: Option<std::sync::Arc<str>> },
    /// A session of another instance at such a server.
    Relay { session: RelaySessionId },
    /// One command to a server.
    Control {
        group: GroupId,
        server: ServerId,
        command: Command,
        row: Option<std::sync::Arc<str>>,
        step: u8,
    },
    /// Calls of the store, or of an instance that watches it.
    Store { call: Option<(StoreUse, StoreCall, Moment)>, via: Option<SocketAddr> },
    /// An instance that asks this one about the store.
    Follower { call: Option<HeldCall> },
    /// An order to promote.
    Promoter { order: PromotionOrder },
    /// A reader of pages.
    Page,
}

/// What a call of the store is for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum StoreUse {
    /// The picture of the store.
    Link,
    /// The coordinator.
    Coordinator(Purpose),
    /// An instance that the store turns away.
    Forwarded(Token),
}

/// A connection, its use and its time-out.
#[derive(Debug)]
struct Entry {
    socket: Socket,
    used_for: Use,
    deadline: Option<Moment>,
}

/// A listener that can't be opened, or a poller that fails.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("{what}: {source}")]
pub struct RunError {
    /// What failed.
    pub what: String,
    /// Why.
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

/// The loop's state.
struct EventLoop<'a, Spoken, Clock> {
    platform: &'a Spoken,
    settings: ProxySettings,
    clock: Clock,
    log: Logger,
    buffer: LogBuffer,
    metrics: Metrics,
    poll: Poll,
    callers_listener: Option<TcpListener>,
    page_listeners: Vec<(Token, TcpListener)>,
    peers: UdpSocket,
    followers_listener: TcpListener,
    entries: HashMap<Token, Entry>,
    next_token: usize,
    next_caller: u64,
    caller_tokens: HashMap<CallerId, Token>,
    upstream_tokens: HashMap<ConnectionId, Token>,
    pooled_tokens: HashMap<PooledId, Token>,
    relay_tokens: HashMap<RelaySessionId, Token>,
    dirty: BTreeSet<Token>,
    view: StoreView,
    link: StoreLink,
    mirror: Mirror,
    followed: Followed,
    direct: DirectHealth,
    engine: Engine,
    coordinator: Coordinator,
    stopping_at: Option<Moment>,
    is_ready: bool,
    ticked_at: Moment,
    now: Moment,
}

/// Runs an instance until it is told to stop.
///
/// The settings are read again by `reload` when the process gets SIGHUP;
/// settings that can't be read leave the ones in force.
///
/// # Errors
///
/// Fails if an address can't be listened on or the poller fails.
pub fn run<Spoken, Clock, Reload>(
    platform: &Spoken,
    settings: &ProxySettings,
    clock: Clock,
    level: Level,
    mut reload: Reload,
) -> Result<(), RunError>
where
    Spoken: Platform,
    Clock: SteadyClock,
    Reload: FnMut() -> Result<ProxySettings, String>,
{
    let buffer = LogBuffer::default();
    let log = logger(buffer.clone(), settings.instance.as_str(), level);
    if let Err(error) = crate::log::never_block_output() {
        warn!(log, "standard output may block"; "error" => %error);
    }
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(RunError::new("signals"))?;
    let mut event_loop = EventLoop::new(platform, settings, clock, log, buffer)?;
    event_loop
        .poll
        .registry()
        .register(&mut signals, SIGNALS, Interest::READABLE)
        .map_err(RunError::new("signals"))?;
    let mut events = Events::with_capacity(256);
    while !event_loop.is_finished() {
        event_loop.wait(&mut events).map_err(RunError::new("poller"))?;
        for event in &events {
            if event.token() == SIGNALS {
                for signal in signals.pending() {
                    event_loop.signalled(signal, &mut reload);
                }
            } else {
                event_loop.handle(event);
            }
        }
        event_loop.settle();
    }
    event_loop.finish();
    Ok(())
}

impl<'a, Spoken, Clock> EventLoop<'a, Spoken, Clock>
where
    Spoken: Platform,
    Clock: SteadyClock,
{
    fn wait(&mut self, events: &mut Events) -> io::Result<()> {
        let tick =
            if self.engine.is_busy() || self.coordinator.is_busy() { BUSY_TICK } else { IDLE_TICK };
        let elapsed = self.clock.now().since(self.ticked_at);
        match self.poll.poll(events, Some(tick.saturating_sub(elapsed))) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => {}
        }
        self.now = self.clock.now();
        Ok(())
    }

    fn handle(&mut self, event: &mio::event::Event) {
        let token = event.token();
        match token {
            CALLER_LISTENER => self.accept_callers(),
            READINESS_LISTENER | METRICS_LISTENER => self.accept_readers(token),
            PEERS => self.read_peers(),
            FOLLOWER_LISTENER => self.accept_followers(),
            _ => {
                if event.is_writable() || event.is_error() {
                    self.writable(token);
                }
                if event.is_readable() || event.is_read_closed() || event.is_error() {
                    self.readable(token);
                }
            }
        }
    }

    /// Does what follows from the events, then writes what is to be sent.
    fn settle(&mut self) {
        let tick =
            if self.engine.is_busy() || self.coordinator.is_busy() { BUSY_TICK } else { IDLE_TICK };
        if self.now.since(self.ticked_at) >= tick {
            self.ticked_at = self.now;
            self.expire_entries();
            let context = Context { view: &self.view, now: self.now };
            self.engine.tick(context);
            self.coordinator.tick(&self.view, self.now);
            self.drain_sessions();
            self.update_gauges();
        }
        self.call_store();
        self.answer_followers();
        self.carry_out();
        self.flush();
        self.buffer.flush(self.now);
    }

    /// Carries out what the decisions demand until nothing is left.
    fn carry_out(&mut self) {
        loop {
            let actions = self.engine.take_actions();
            let relay_actions = self.engine.relays.take_actions();
            let steps = self.coordinator.take_steps();
            if actions.is_empty() && relay_actions.is_empty() && steps.is_empty() {
                return;
            }
            for action in relay_actions {
                self.act_for_relays(action);
            }
            for action in actions {
                self.act(action);
            }
            for step in steps {
                self.step(step);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Answer(id, answer) => {
                let Some(token) = self.caller_tokens.get(&id).copied() else {
                    return;
                };
                if let Some(entry) = self.entries.get_mut(&token) {
                    self.platform.callers().encode_answer(&answer, &mut entry.socket.output);
                    self.dirty.insert(token);
                }
            }
            Action::Connect { connection, address, group, server, via: None } => {
                self.connect_upstream(connection, address, &group, &server);
            }
            Action::Connect { connection, server, via: Some(owner), .. } => {
                self.connect_owner(connection, &owner, server);
            }
            Action::Send(id, command) => {
                let Some(token) = self.upstream_tokens.get(&id).copied() else {
                    return;
                };
                let context = Context { view: &self.view, now: self.now };
                if let Some(entry) = self.entries.get_mut(&token) {
                    let output = &mut entry.socket.output;
                    if let Use::Upstream { is_relayed: true, .. } = entry.used_for {
                        let terms = self.engine.terms(context, id);
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
            Action::Stopped { group, epoch } => self.coordinator.stopped(self.now, &group, epoch),
            Action::Doubt { group, primary, kind } => {
                self.coordinator.doubt(&self.view, &group, &primary, kind);
            }
            Action::Trust { group } => self.coordinator.trust(&group),
        }
    }

    fn flush(&mut self) {
        while let Some(token) = self.dirty.pop_first() {
            let Some(entry) = self.entries.get_mut(&token) else {
                continue;
            };
            match entry.socket.flush() {
                Condition::Open => {}
                Condition::Ended | Condition::Broken => self.ended(token, false),
            }
            self.carry_out();
        }
    }

    fn signalled<Reload>(&mut self, signal: i32, reload: &mut Reload)
    where
        Reload: FnMut() -> Result<ProxySettings, String>,
    {
        if signal == SIGHUP {
            match reload() {
                Ok(settings) => {
                    info!(self.log, "settings reloaded";
                        "changed" => settings != self.settings);
                    self.settings.stop_grace = settings.stop_grace;
                }
                Err(reason) => {
                    error!(self.log, "settings not reloaded; the old ones stay in force";
                        "reason" => reason);
                }
            }
        } else if self.stopping_at.is_none() {
            info!(self.log, "stopping"; "signal" => signal,
                "callers" => self.caller_tokens.len(), "pending" => self.engine.pending(),
                "grace_ms" => self.settings.stop_grace.as_millis());
            self.stopping_at = Some(self.now);
            self.coordinator.leave();
        }
    }

    fn is_finished(&self) -> bool {
        let Some(stopping_at) = self.stopping_at else {
            return false;
        };
        let elapsed = self.now.since(stopping_at);
        elapsed + STOP_RESERVE >= self.settings.stop_grace
            || (elapsed > STOP_QUIET_DELAY
                && self.caller_tokens.is_empty()
                && !self.engine.relays.is_busy())
    }

    fn finish(&mut self) {
        info!(self.log, "stopped"; "callers" => self.caller_tokens.len(),
            "pending" => self.engine.pending());
        self.buffer.finish();
    }

    /// Winds callers' sessions down after the order to stop.
    fn drain_sessions(&mut self) {
        let Some(stopping_at) = self.stopping_at else {
            return;
        };
        let elapsed = self.now.since(stopping_at);
        if elapsed >= self.settings.stop_grace / 2 {
            let context = Context { view: &self.view, now: self.now };
            self.engine.abort_resting_transactions(context);
            self.carry_out();
        }
        if elapsed < STOP_QUIET_DELAY {
            return;
        }
        let resting: Vec<Token> = self
            .caller_tokens
            .iter()
            .filter(|(id, _)| self.engine.is_resting(**id))
            .map(|(_, token)| *token)
            .collect();
        for token in resting {
            let has_input =
                self.entries.get(&token).is_some_and(|entry| !entry.socket.input.is_empty());
            if let Some(entry) = self.entries.get_mut(&token)
                && !has_input
            {
                entry.socket.ends_after_output = true;
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
        let confirmed = self
            .view
            .confirmed_at()
            .map_or(-1, |at| i64::try_from(self.now.since(at).as_millis()).unwrap_or(i64::MAX));
        metrics.confirmed_ms_ago.set(confirmed);
        metrics.holds_duty.set(i64::from(self.coordinator.holds_duty(&self.view, self.now)));
        metrics.relayed_waiting.set(gauge(self.engine.relays.waiting_commands()));
        metrics.pooled_connections.set(gauge(self.engine.relays.pooled_connections()));
        let dropped = i64::try_from(self.buffer.dropped()).unwrap_or(i64::MAX);
        metrics.log_lines_dropped.set(dropped);
    }

    fn new_token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token)
    }

    /// Opens a connection for a use.
    fn connect(
        &mut self,
        address: SocketAddr,
        used_for: Use,
        timeout: Duration,
    ) -> Result<Token, io::Error> {
        let token = self.new_token();
        let socket = Socket::connect(address, self.poll.registry(), token)?;
        let deadline = Some(self.now + timeout);
        self.entries.insert(token, Entry { socket, used_for, deadline });
        Ok(token)
    }

    /// Closes a connection that nothing waits for.
    fn close(&mut self, token: Token) {
        self.dirty.remove(&token);
        if let Some(mut entry) = self.entries.remove(&token) {
            entry.socket.deregister(self.poll.registry());
        }
    }
}
