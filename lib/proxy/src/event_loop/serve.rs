//! Handles the engine's connections to servers and to the owners of servers' connections.
//!
//! Also contains the constructor of the loop, and what all kinds of connections
//! have in common: writability and readability events, timeouts, and the end of a
//! connection.

use std::collections::{BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use masticreel_base::ids::{GroupId, InstanceId, ServerId};
use mio::net::{TcpListener, UdpSocket};
use mio::{Interest, Poll, Token};
use slog::{Logger, debug, info, warn};

use super::{
    CALLER_LISTENER, CONNECT_TIMEOUT, Condition, Connection, DATAGRAM_SOCKET, EventLoop,
    FIRST_SOCKET, INSTANCE_LISTENER, METRICS_LISTENER, READINESS_LISTENER, RunError, Use,
};
use crate::connections::ConnectionId;
use crate::coordinator::Coordinator;
use crate::engine::{Context, Engine, EngineSettings, Loss};
use crate::event_loop::followers::InstanceCall;
use crate::frames;
use crate::limits::ledger::Ledger;
use crate::limits::{ClientLimits, LimitReason, LineBudget};
use crate::log::LogBuffer;
use crate::metrics::Metrics;
use crate::moment::{Moment, SteadyClock};
use crate::protocol::{CallerProtocol, Platform, UpstreamMessage, UpstreamProtocol};
use crate::records::Placement;
use crate::relays::RelayCall;
use crate::settings::ProxySettings;
use crate::statement::{Failure, FailureKind, ServerStatus};
use crate::store_cache::StoreCache;
use crate::store_route::StoreRoute;
use crate::store_sync::StoreSync;
use crate::store_view::StoreView;

/// What a row of an answer holds besides its text.
const ROW_BYTES: usize = 32;

impl<'a, Protocols, Clock> EventLoop<'a, Protocols, Clock>
where
    Protocols: Platform,
    Clock: SteadyClock,
{
    /// Opens the listeners and creates the state of the loop.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be listened at or a socket can't be
    /// registered.
    pub(super) fn new(
        platform: &'a Protocols,
        settings: &ProxySettings,
        clock: Clock,
        log: Logger,
        buffer: LogBuffer,
    ) -> Result<Self, RunError> {
        let poll = Poll::new().map_err(RunError::new("can't create the poller"))?;
        let listen = |address: SocketAddr, token: Token| {
            let what = format!("can't listen at {address}");
            let mut listener = TcpListener::bind(address).map_err(RunError::new(what.clone()))?;
            poll.registry()
                .register(&mut listener, token, Interest::READABLE)
                .map_err(RunError::new(what))?;
            Ok(listener)
        };
        let callers_listener = listen(settings.callers, CALLER_LISTENER)?;
        let http_listeners = vec![
            (READINESS_LISTENER, listen(settings.readiness, READINESS_LISTENER)?),
            (METRICS_LISTENER, listen(settings.metrics, METRICS_LISTENER)?),
        ];
        let instance_listener = listen(settings.instance_address, INSTANCE_LISTENER)?;
        let mut peers = UdpSocket::bind(settings.peers)
            .map_err(RunError::new(format!("can't receive datagrams at {}", settings.peers)))?;
        poll.registry()
            .register(&mut peers, DATAGRAM_SOCKET, Interest::READABLE)
            .map_err(RunError::new("can't poll the datagram socket"))?;
        let metrics = Metrics::new();
        let incarnation = new_incarnation(&clock);
        let engine_settings = EngineSettings {
            instance: settings.instance.clone(),
            incarnation,
            domain: settings.domain.clone(),
            drain_timeout: settings.drain_timeout,
            configuration_deadline: settings.configuration_deadline,
        };
        let lease = crate::coordinator::StoreLease::new(settings.min_store_lease);
        let coordinator = Coordinator::new(
            settings.instance.clone(),
            incarnation,
            Placement {
                address: settings.peers,
                domain: settings.domain.clone(),
                capacity: settings.capacity,
            },
            lease,
            log.clone(),
        );
        info!(log, "started"; "version" => env!("CARGO_PKG_VERSION"),
            "domain" => %settings.domain, "callers" => %settings.callers,
            "store" => %settings.store, "incarnation" => incarnation);
        let now = clock.now();
        let limits = ClientLimits::new(&settings.limits, system_descriptors());
        info!(log, "limits of clients"; "held_bytes" => limits.memory.total_bytes,
            "callers" => limits.connections, "starting" => limits.starting_connections,
            "sockets" => limits.sockets);
        Ok(Self {
            limits,
            ledger: Ledger::new(limits.memory),
            limit_lines: LineBudget::default(),
            incomplete_checked_at: now,
            unread: BTreeSet::new(),
            not_read: BTreeSet::new(),
            failed_listeners: BTreeSet::new(),
            starting: BTreeSet::new(),
            caller_sockets: 0,
            platform,
            settings: settings.clone(),
            clock,
            engine: Engine::new(engine_settings, log.clone(), metrics.clone()),
            coordinator,
            log,
            buffer,
            metrics,
            poll,
            callers_listener: Some(callers_listener),
            http_listeners,
            peers,
            instance_listener,
            connections: HashMap::new(),
            next_token: FIRST_SOCKET,
            next_caller: 0,
            caller_tokens: HashMap::new(),
            upstream_tokens: HashMap::new(),
            pooled_tokens: HashMap::new(),
            relay_tokens: HashMap::new(),
            dirty: BTreeSet::new(),
            view: StoreView::default(),
            store_sync: StoreSync::new(),
            store_cache: StoreCache::default(),
            store_route: StoreRoute::new(settings.instance.clone(), settings.domain.clone()),
            read_through: None,
            sync_call: None,
            is_store_failing: false,
            shutdown: None,
            is_ready: false,
            quota_report: Default::default(),
            ticked_at: now,
            now,
        })
    }

    /// Opens a connection to a server itself for the engine.
    pub(super) fn connect_upstream(
        &mut self,
        id: ConnectionId,
        address: SocketAddr,
        group: &GroupId,
        server: &ServerId,
        organisation: Option<&str>,
    ) {
        let used_for = Use::Upstream { id, status_row: None, is_relayed: false };
        match self.connect(address, used_for, CONNECT_TIMEOUT) {
            Ok(token) => {
                self.upstream_tokens.insert(id, token);
                if let Some(connection) = self.connections.get_mut(&token) {
                    let output = &mut connection.socket.output;
                    self.platform.upstreams().encode_start(group, server, organisation, output);
                }
            }
            Err(error) => {
                warn!(self.log, "connection to a server for this instance's callers can't be opened"; "server" => %server,
                    "error" => %error);
                let context = Context { view: &self.view, now: self.now };
                self.engine.connection_lost(context, id, loss_of_unopened(&error));
            }
        }
    }

    /// Opens a relayed session with the owner of a server's connections, for the
    /// engine.
    pub(super) fn connect_owner(&mut self, id: ConnectionId, owner: &InstanceId, server: ServerId) {
        let used_for = Use::Upstream { id, status_row: None, is_relayed: true };
        let result = match self.instance_address(owner) {
            Some(address) => self.connect(address, used_for, CONNECT_TIMEOUT),
            None => Err(io::ErrorKind::AddrNotAvailable.into()),
        };
        match result {
            Ok(token) => {
                self.upstream_tokens.insert(id, token);
                if let Some(connection) = self.connections.get_mut(&token) {
                    let call = InstanceCall::Relay(RelayCall::Start { server });
                    frames::encode(&call, &mut connection.socket.output);
                }
            }
            Err(error) => {
                warn!(self.log, "connection to the owner of a server's connections can't be opened";
                    "server" => %server, "owner" => %owner, "error" => %error);
                let context = Context { view: &self.view, now: self.now };
                self.engine.connection_lost(context, id, Loss::Closed);
            }
        }
    }

    /// Handles that a socket became writable, or that an attempt to connect
    /// succeeded or failed.
    pub(super) fn writable(&mut self, token: Token) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let was_connected = connection.socket.is_connected();
        match connection.socket.check_connected() {
            Ok(true) => {
                if !was_connected {
                    // A process that was stopped can find the connection established
                    // long after what it wanted to send has become outdated.
                    if connection.deadline.is_some_and(|deadline| self.now >= deadline) {
                        self.connection_timed_out(token);
                        return;
                    }
                    let timeout = established_timeout(&connection.used_for);
                    connection.deadline = timeout.map(|timeout| self.now + timeout);
                }
                self.dirty.insert(token);
            }
            Ok(false) => {}
            Err(error) => {
                let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
                self.connection_ended(token, is_refused);
            }
        }
    }

    /// Reads a connection and handles the complete messages.
    pub(super) fn readable(&mut self, token: Token) {
        let allowed_bytes = self.read_allowance(token);
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        if !connection.socket.is_connected() {
            return;
        }
        let condition = match allowed_bytes {
            Some(bytes) => {
                let length = connection.socket.input.len();
                let condition = connection.socket.fill(bytes);
                if connection.socket.input.len() > length {
                    connection.progress.received(self.now);
                }
                condition
            }
            None => {
                connection.socket.has_unread = true;
                Condition::Open
            }
        };
        match connection.used_for {
            Use::Caller { .. } => self.read_caller(token),
            Use::Upstream { is_relayed: true, .. } => self.read_relayed(token),
            Use::Upstream { .. } => self.read_upstream(token),
            Use::Pooled { .. } => self.read_pooled(token),
            Use::Control { .. } => self.read_control(token),
            Use::Store { .. } => self.read_store(token),
            Use::Promoter { .. } => self.read_promoter(token),
            Use::Http => self.read_http(token),
            Use::Instance { .. } | Use::Relay { .. } => self.read_instance(token),
            Use::EndedCaller => connection.socket.input.clear(),
        }
        if condition == Condition::Open {
            self.after_reading(token);
        } else {
            self.connection_ended(token, false);
        }
    }

    fn read_upstream(&mut self, token: Token) {
        loop {
            let Some(Connection {
                socket,
                used_for: Use::Upstream { id, status_row, .. },
                answer_bytes,
                ..
            }) = self.connections.get_mut(&token)
            else {
                return;
            };
            let id = *id;
            let context = Context { view: &self.view, now: self.now };
            match self.platform.upstreams().decode_next(&mut socket.input) {
                Ok(None) => return,
                Ok(Some(message)) => {
                    add_answer_bytes(answer_bytes, &message);
                    if *answer_bytes > self.limits.answer_bytes {
                        self.limit_exceeded(token, LimitReason::ServerAnswer);
                        let context = Context { view: &self.view, now: self.now };
                        self.engine.connection_lost(context, id, Loss::Garbage);
                        return;
                    }
                    let expects_role = self.engine.expects_role(id);
                    let upstreams = self.platform.upstreams();
                    let status = take_status(upstreams, status_row, &message, expects_role);
                    self.engine.upstream_message(context, id, message, status);
                }
                Err(error) => {
                    warn!(self.log, "server's message on a connection for this instance's callers can't be read"; "reason" => error.reason);
                    self.engine.connection_lost(context, id, Loss::Garbage);
                    return;
                }
            }
        }
    }

    /// Removes a connection that has ended or timed out, and reports its end to
    /// the component that uses it.
    ///
    /// [`Loss::Silent`] is reported only if the connection was never established. A
    /// timeout on an established connection is reported as [`Loss::Closed`].
    pub(super) fn connection_ended(&mut self, token: Token, is_refused: bool) {
        let Some(mut connection) = self.remove_connection(token) else {
            return;
        };
        connection.socket.deregister(self.poll.registry());
        let is_connected = connection.socket.is_connected();
        let context = Context { view: &self.view, now: self.now };
        let loss = match (is_refused, is_connected) {
            (true, _) => Loss::Refused,
            (false, true) => Loss::Closed,
            (false, false) => Loss::Silent,
        };
        match connection.used_for {
            Use::Caller { id, .. } => {
                self.caller_tokens.remove(&id);
                self.engine.close_session(context, id);
            }
            Use::Upstream { id, .. } => {
                self.upstream_tokens.remove(&id);
                debug!(self.log, "connection to a server for this instance's callers ended"; "connection" => %id, "loss" => ?loss);
                self.engine.connection_lost(context, id, loss);
            }
            Use::Control { request, .. } => self.control_failed(&request, loss),
            Use::Store { call, via } => {
                // The end of a connection without a call says nothing: an instance that stops
                // is left before its process ends.
                if via.is_some() && call.is_some() {
                    self.store_route.record_followed_failure(self.now);
                }
                if let Some((store_use, call, called_at)) = call {
                    if via.is_none() {
                        self.store_route.record_direct_call(false, self.now);
                    }
                    self.store_answered(store_use, &call, called_at, None);
                }
            }
            Use::Promoter { request } => {
                self.coordinator.promoter_answered(self.now, &request, None);
            }
            Use::Pooled { id, .. } => {
                self.pooled_tokens.remove(&id);
                self.engine.relays.remove_connection(context, id, loss);
            }
            Use::Relay { session } => {
                self.relay_tokens.remove(&session);
                self.engine.relays.end_session(context, session);
            }
            Use::Http | Use::Instance { .. } | Use::EndedCaller => {}
        }
    }

    /// Ends the connections whose deadline has passed.
    pub(super) fn expire_connections(&mut self) {
        let expired: Vec<Token> = self
            .connections
            .iter()
            .filter(|(_, conn)| conn.deadline.is_some_and(|deadline| self.now >= deadline))
            .map(|(token, _)| *token)
            .collect();
        for token in expired {
            if let Some(connection) = self.connections.get(&token)
                && let Use::Caller { is_open: false, .. } = connection.used_for
            {
                self.metrics.limit_exceeded(LimitReason::StartTimeout);
                let failure = Failure::new(FailureKind::Busy, "the session could not be opened");
                info!(self.log, "session refused"; "outcome" => %failure.kind,
                    "reason" => %failure.text, "store_in_view" => self.view.confirmed_at().is_some());
                if let Some(connection) = self.connections.get_mut(&token) {
                    let output = &mut connection.socket.output;
                    self.platform.callers().encode_start(Err(&failure), output);
                    connection.socket.flush();
                }
            }
            self.connection_timed_out(token);
        }
    }

    /// Removes a connection whose deadline has passed.
    ///
    /// A server that accepted a coordinator's connection and has not even opened the
    /// session counts as silent: its machine accepts connections also for a process
    /// that hangs.
    fn connection_timed_out(&mut self, token: Token) {
        if let Some(Connection { socket, used_for, .. }) = self.connections.get(&token)
            && socket.is_connected()
            && let Use::Control { request, stage: 0, .. } = used_for
        {
            let request = request.clone();
            self.close(token);
            self.control_failed(&request, Loss::Silent);
            return;
        }
        self.connection_ended(token, false);
    }
}

/// Adds what a message holds to what its answer holds, which ends with [`UpstreamMessage::Ready`].
pub(super) fn add_answer_bytes(answer_bytes: &mut usize, message: &UpstreamMessage) {
    match message {
        UpstreamMessage::Row(row) => *answer_bytes += row.len() + ROW_BYTES,
        UpstreamMessage::Ready { .. } => *answer_bytes = 0,
        UpstreamMessage::Complete(_) | UpstreamMessage::Error(_) => {}
    }
}

/// Returns how many descriptors the system lets the process open.
fn system_descriptors() -> Option<usize> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current?;
    usize::try_from(limit).ok()
}

/// Returns the server's status if `message` ends an answer that contained one.
///
/// Keeps the status row in `status_row` until the end of the answer.
pub(super) fn take_status<Upstreams>(
    upstreams: &Upstreams,
    status_row: &mut Option<Arc<str>>,
    message: &UpstreamMessage,
    expects_role: bool,
) -> Option<ServerStatus>
where
    Upstreams: UpstreamProtocol,
{
    match message {
        UpstreamMessage::Row(row) if expects_role => {
            *status_row = Some(row.clone());
            None
        }
        UpstreamMessage::Ready { .. } => {
            status_row.take().and_then(|row| upstreams.decode_status(&row))
        }
        _ => None,
    }
}

/// Returns how a connection counts that the system refused to open.
///
/// An address without a route is the same to callers as a machine that answers nothing.
/// Other errors, such as too many open files, say nothing of the server.
pub(super) fn loss_of_unopened(error: &io::Error) -> Loss {
    match error.kind() {
        io::ErrorKind::NetworkUnreachable | io::ErrorKind::HostUnreachable => Loss::Silent,
        io::ErrorKind::ConnectionRefused => Loss::Refused,
        _ => Loss::Closed,
    }
}

/// Returns the timeout of a connection once it is established, `None` if it has
/// none.
fn established_timeout(used_for: &Use) -> Option<Duration> {
    match used_for {
        // The engine has its own timeouts for its work.
        Use::Upstream { .. } | Use::Caller { .. } | Use::Store { call: None, .. } => None,
        Use::Instance { .. } | Use::Pooled { .. } | Use::Relay { .. } => None,
        Use::EndedCaller => Some(super::CALLER_CLOSE_TIMEOUT),
        Use::Store { call: Some((_, call, _)), .. } => Some(super::outbound::call_timeout(call)),
        Use::Control { .. } => Some(super::CONTROL_TIMEOUT),
        Use::Promoter { .. } => Some(super::PROMOTION_TIMEOUT),
        Use::Http => Some(super::HTTP_TIMEOUT),
    }
}

/// Returns a number that distinguishes this process from earlier ones of the
/// same instance.
fn new_incarnation<Clock>(clock: &Clock) -> u64
where
    Clock: SteadyClock,
{
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut hasher = DefaultHasher::new();
    (unix, clock.now().since(Moment::default()), std::process::id()).hash(&mut hasher);
    hasher.finish()
}
