//! The request queue and the connection pool of one upstream server, combined.
//!
//! [`ServerAdmission`] passes requests to a [`ServerQueue`], gives each request
//! that starts a connection from the [`ConnectionPool`], and keeps both informed of
//! the connections' state. It also records which session's transaction holds which
//! connection, and how long statements take. Each [`Submission`]
//! is turned into an [`AdmissionRequest`] for the queue, with an id and the expected
//! time.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::time::{Duration, Instant};

use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::{Incarnation, RequestId};
use masticreel_document::class::Class;

use crate::connection_pool::{
    ConnectionId, ConnectionPool, OwnerLimits, Ownership, PoolAction, PoolSettings,
};
use crate::expected_times::{ExpectedTimes, Fingerprint};
use crate::order::FirstCome;
use crate::request::{
    AdmissionRequest, CallerBase, ConnectionNeed, ConnectionOutcome, QueueAction,
};
use crate::server_queue::ServerQueue;
use crate::server_queue::settings::QueueSettings;
use crate::server_queue::slots::SlotLimits;

/// A request as the server's owner receives it.
#[derive(Debug, Clone)]
pub struct Submission<Session, Target> {
    /// The session that the request belongs to.
    pub session: Session,
    /// What a connection is opened with, such as the address, the database user and
    /// the database; only connections opened with the same values fit the request.
    pub connection_target: Target,
    /// Determines the priority and the slots of the request.
    pub class: Class,
    /// Identifies statements with the same text apart from literals, which share an
    /// expected execution time.
    pub fingerprint: Fingerprint,
    /// When the caller's timeout expires.
    pub deadline: Instant,
    /// The caller base whose fair share of the server the request uses.
    pub caller_base: CallerBase,
    /// The incarnation of the entry instance that sent the request.
    pub entry_incarnation: Incarnation,
    /// How the request uses the server's connections.
    pub need: ConnectionNeed,
}

/// What the server's owner must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerAction<Target> {
    /// Open a connection for a target and report the result with
    /// [`ServerAdmission::connection_opened`] or
    /// [`ServerAdmission::connection_failed`].
    Open(ConnectionId, Target),
    /// Close an idle connection.
    Close(ConnectionId),
    /// Execute a request on a connection.
    Start(RequestId, ConnectionId),
    /// Report to the entry instance that a request was not executed and never will
    /// be.
    Refuse(RequestId, Failure),
}

/// Decides what executes on which connection of one server.
#[derive(Debug)]
pub struct ServerAdmission<Session, Target> {
    max_connections: u32,
    slots: u32,
    queue: ServerQueue<FirstCome>,
    pool: ConnectionPool,
    expected_times: ExpectedTimes,
    next_id: RequestId,
    requests: HashMap<RequestId, Submission<Session, Target>>,
    running: HashMap<RequestId, ConnectionId>,
    held_connections: HashMap<Session, ConnectionId>,
    targets: BTreeMap<ConnectionId, Target>,
    /// Connections wanted in addition to those for the queue, because idle ones
    /// belonged to other targets than requests needed.
    extra_connections: u32,
    /// Target of the request submitted last, even if that was refused.
    last_submitted_target: Option<Target>,
}

/// Statement fingerprints with a recorded execution time, for each server.
const MAX_FINGERPRINTS: usize = 4096;
/// Expected execution time of a statement that was never observed.
const DEFAULT_EXPECTED_TIME: Duration = Duration::from_millis(10);

impl<Session, Target> ServerAdmission<Session, Target>
where
    Session: Eq + Hash + Clone,
    Target: Eq + Clone,
{
    /// Creates the state of a server to which no connection is open.
    pub fn new(max_connections: u32, slots: u32, ownership: Ownership) -> Self {
        let limits = OwnerLimits::new(max_connections, slots, ownership);
        Self {
            max_connections,
            slots,
            queue: ServerQueue::new(
                QueueSettings::new(limits.slots, limits.connections),
                FirstCome,
            ),
            pool: ConnectionPool::new(PoolSettings::new(limits.connections)),
            expected_times: ExpectedTimes::new(MAX_FINGERPRINTS, DEFAULT_EXPECTED_TIME),
            next_id: RequestId::default(),
            requests: HashMap::new(),
            running: HashMap::new(),
            held_connections: HashMap::new(),
            targets: BTreeMap::new(),
            extra_connections: 0,
            last_submitted_target: None,
        }
    }

    /// Changes the part of the server that this owner may use.
    pub fn set_ownership(&mut self, ownership: Ownership) {
        let limits = OwnerLimits::new(self.max_connections, self.slots, ownership);
        self.queue.set_limits(SlotLimits::new(limits.slots), limits.connections);
        self.pool.set_limit(limits.connections);
    }

    /// Adds a request and returns its new id with the resulting actions, which may
    /// already start or refuse it.
    pub fn submit(
        &mut self,
        submission: Submission<Session, Target>,
        now: Instant,
    ) -> (RequestId, Vec<ServerAction<Target>>) {
        let id = self.next_id;
        self.next_id = id.next();
        if submission.need == ConnectionNeed::Held
            && !self.held_connections.contains_key(&submission.session)
        {
            return (id, vec![ServerAction::Refuse(id, transaction_lost())]);
        }
        let request = AdmissionRequest {
            id,
            class: submission.class,
            expected: self.expected_times.expected(submission.fingerprint),
            deadline: submission.deadline,
            caller_base: submission.caller_base.clone(),
            entry_incarnation: submission.entry_incarnation,
            need: submission.need,
        };
        self.last_submitted_target = Some(submission.connection_target.clone());
        self.requests.insert(id, submission);
        let actions = self.queue.submit(request, now);
        (id, self.apply_queue_actions(actions, now))
    }

    /// Records that a started request has ended.
    ///
    /// `took` is the execution time, if the request was executed. The slot is free
    /// at once. With [`ConnectionOutcome::Idle`], the connection is used again only
    /// after [`Self::connection_released`], to be called when the response has been
    /// sent and the connection was reset.
    pub fn finished(
        &mut self,
        id: RequestId,
        outcome: ConnectionOutcome,
        took: Option<Duration>,
        now: Instant,
    ) -> Vec<ServerAction<Target>> {
        let (Some(connection), Some(submission)) =
            (self.running.remove(&id), self.requests.remove(&id))
        else {
            return Vec::new();
        };
        if let Some(took) = took {
            self.expected_times.observe(submission.fingerprint, took);
        }
        if outcome == ConnectionOutcome::Pinned {
            self.held_connections.insert(submission.session, connection);
        } else {
            self.held_connections.remove(&submission.session);
        }
        // For the queue, the connection counts as closed until
        // `connection_released` reports it as opened.
        let outcome_for_queue = match outcome {
            ConnectionOutcome::Idle => ConnectionOutcome::Closed,
            ConnectionOutcome::Pinned => outcome,
            ConnectionOutcome::Closed => {
                self.apply_connection_outcome(connection, outcome, now);
                outcome
            }
        };
        let actions = self.queue.finished(id, outcome_for_queue, now);
        self.apply_queue_actions(actions, now)
    }

    /// Records that the connection of a finished request is idle, or that it had to
    /// be closed.
    pub fn connection_released(
        &mut self,
        connection: ConnectionId,
        outcome: ConnectionOutcome,
        now: Instant,
    ) -> Vec<ServerAction<Target>> {
        self.apply_connection_outcome(connection, outcome, now);
        let actions = match outcome {
            ConnectionOutcome::Idle => self.queue.connection_opened(now),
            // No connection became idle, so nothing can start.
            ConnectionOutcome::Pinned | ConnectionOutcome::Closed => self.queue.expire(now),
        };
        self.apply_queue_actions(actions, now)
    }

    /// Records that a session's transaction ended between two statements.
    ///
    /// Refuses the session's waiting statements. If its next statement has already
    /// started, nothing happens: the transaction then ends with that statement's
    /// call of [`Self::finished`].
    pub fn transaction_ended(
        &mut self,
        session: &Session,
        outcome: ConnectionOutcome,
        now: Instant,
    ) -> Vec<ServerAction<Target>> {
        let Some(connection) = self.held_connections.get(session).copied() else {
            return Vec::new();
        };
        if self.running.values().any(|other| *other == connection) {
            return Vec::new();
        }
        self.held_connections.remove(session);
        self.apply_connection_outcome(connection, outcome, now);
        let waiting_statements = self.waiting_of(session);
        let mut actions: Vec<QueueAction> = Vec::new();
        for id in waiting_statements {
            let cancelled = self.queue.cancel(id);
            let lost = cancelled.into_iter().map(|_| QueueAction::Refuse(id, transaction_lost()));
            actions.extend(lost);
        }
        actions.extend(self.queue.transaction_ended(outcome, now));
        self.apply_queue_actions(actions, now)
    }

    /// Records that a connection was opened.
    pub fn connection_opened(
        &mut self,
        connection: ConnectionId,
        target: Target,
        now: Instant,
    ) -> Vec<ServerAction<Target>> {
        self.targets.insert(connection, target);
        self.pool.opened(connection, now);
        let actions = self.queue.connection_opened(now);
        self.apply_queue_actions(actions, now)
    }

    /// Records that a connection could not be opened.
    ///
    /// If no other is open or opening, the waiting requests are refused, so that
    /// the entry instances can send them to another server.
    pub fn connection_failed(
        &mut self,
        connection: ConnectionId,
        now: Instant,
    ) -> Vec<ServerAction<Target>> {
        self.pool.open_failed(connection, now);
        // No connection became idle, so nothing can start.
        let mut actions = self.queue.expire(now);
        if self.pool.is_empty() {
            actions.extend(self.queue.refuse_requests_outside_transactions(&unreachable()));
        }
        self.apply_queue_actions(actions, now)
    }

    /// Records that a connection in use was replaced by one opened with this target.
    pub fn connection_reopened(&mut self, connection: ConnectionId, target: Target) {
        self.targets.insert(connection, target);
    }

    /// Refuses requests that can no longer meet their deadline, and opens and
    /// closes connections.
    ///
    /// To be called about ten times a second.
    pub fn tick(&mut self, now: Instant) -> Vec<ServerAction<Target>> {
        let actions = self.queue.expire(now);
        self.apply_queue_actions(actions, now)
    }

    /// Refuses a session's waiting requests, and returns the connection on which a
    /// request of the session executes, if there is one.
    pub fn cancel(
        &mut self,
        session: &Session,
    ) -> (Vec<ServerAction<Target>>, Option<ConnectionId>) {
        let mut actions = Vec::new();
        for id in self.waiting_of(session) {
            actions.extend(self.queue.cancel(id));
        }
        let running = self.running.iter().find(|(id, _)| self.requests[id].session == *session);
        let connection = running.map(|(_, connection)| *connection);
        (self.refusals(actions), connection)
    }

    /// Returns the connection on which a request executes, or `None` if it does not
    /// execute.
    pub fn connection_of(&self, id: RequestId) -> Option<ConnectionId> {
        self.running.get(&id).copied()
    }

    /// Returns the connection that a session's open transaction holds.
    pub fn held_connection(&self, session: &Session) -> Option<ConnectionId> {
        self.held_connections.get(session).copied()
    }

    /// Returns the sessions whose transactions hold a connection.
    pub fn sessions_holding_connections(&self) -> impl Iterator<Item = &Session> {
        self.held_connections.keys()
    }

    /// Stops accepting new requests: from the given time on, only statements of open
    /// transactions are accepted. Connections stay open.
    pub fn stop_new_requests_at(&mut self, time: Instant) {
        self.queue.stop_new_requests_at(time);
    }

    /// Accepts all requests again after [`Self::stop_new_requests_at`].
    pub fn reopen(&mut self) {
        self.queue.reopen();
    }

    /// Returns the earliest time at which [`Self::tick`] has requests to refuse, see
    /// [`ServerQueue::next_expiry`].
    pub fn next_expiry(&self) -> Option<Instant> {
        self.queue.next_expiry()
    }

    /// Returns the queue, for metrics.
    pub fn queue(&self) -> &ServerQueue<FirstCome> {
        &self.queue
    }

    /// Returns the connections, for metrics.
    pub fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// Returns whether no request waits or executes and no transaction holds a
    /// connection.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.held_connections.is_empty()
    }

    fn waiting_of(&self, session: &Session) -> Vec<RequestId> {
        let waiting = self.requests.iter().filter(|(id, submission)| {
            submission.session == *session && !self.running.contains_key(id)
        });
        waiting.map(|(id, _)| *id).collect()
    }

    fn apply_connection_outcome(
        &mut self,
        connection: ConnectionId,
        outcome: ConnectionOutcome,
        now: Instant,
    ) {
        match outcome {
            ConnectionOutcome::Idle => self.pool.check_in(connection, now),
            ConnectionOutcome::Pinned => {}
            ConnectionOutcome::Closed => {
                self.pool.closed(connection);
                self.targets.remove(&connection);
            }
        }
    }

    fn apply_queue_actions(
        &mut self,
        actions: Vec<QueueAction>,
        now: Instant,
    ) -> Vec<ServerAction<Target>> {
        let mut results = Vec::new();
        for action in actions {
            match action {
                QueueAction::Start(id) => {
                    let connection = self.assign_connection(id);
                    self.running.insert(id, connection);
                    results.push(ServerAction::Start(id, connection));
                }
                QueueAction::Refuse(..) => results.extend(self.refusals(vec![action])),
            }
        }
        results.extend(self.plan_connections(now));
        results
    }

    fn refusals(&mut self, actions: Vec<QueueAction>) -> Vec<ServerAction<Target>> {
        let mut results = Vec::new();
        for action in actions {
            if let QueueAction::Refuse(id, failure) = action {
                self.requests.remove(&id);
                results.push(ServerAction::Refuse(id, failure));
            }
        }
        results
    }

    fn assign_connection(&mut self, id: RequestId) -> ConnectionId {
        let submission = &self.requests[&id];
        if submission.need == ConnectionNeed::Held {
            return self.held_connections[&submission.session];
        }
        let targets = &self.targets;
        let target = &submission.connection_target;
        let fits = |connection| targets.get(&connection) == Some(target);
        let connection = self
            .pool
            .check_out(fits)
            .expect("the queue starts a request only if a connection is idle");
        if !fits(connection) {
            self.extra_connections = (self.extra_connections + 1).min(self.max_connections);
        }
        connection
    }

    /// Returns the connections to open, with the target of the request submitted
    /// last, and those to close.
    ///
    /// A connection to be closed is removed from the queue's count at once, so that
    /// no request is started on it.
    fn plan_connections(&mut self, now: Instant) -> Vec<ServerAction<Target>> {
        let Some(target) = self.last_submitted_target.clone() else {
            return Vec::new();
        };
        let wanted = self.queue.wanted_connections() + self.extra_connections;
        let mut results = Vec::new();
        for action in self.pool.plan(wanted, now) {
            match action {
                PoolAction::Open(id) => {
                    results.push(ServerAction::Open(id, target.clone()));
                }
                PoolAction::Close(id) => {
                    self.queue.connection_lost();
                    self.targets.remove(&id);
                    self.extra_connections = self.extra_connections.saturating_sub(1);
                    results.push(ServerAction::Close(id));
                }
            }
        }
        results
    }
}

fn unreachable() -> Failure {
    Failure::not_run(FailureKind::Unavailable, "the server accepts no connection")
}

fn transaction_lost() -> Failure {
    Failure::not_run(FailureKind::TransactionLost, "the transaction was rolled back")
}
