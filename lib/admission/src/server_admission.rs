//! The queue and the connections of one upstream server, joined.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::time::{Duration, Instant};

use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::{Incarnation, RequestId};
use masticreel_document::class::Class;

use crate::connection_pool::{
    ConnectionId, ConnectionPool, Ownership, PoolAction, PoolSettings, ServerShare,
};
use crate::expected_times::{ExpectedTimes, Fingerprint};
use crate::order::FirstCome;
use crate::request::{Action, AdmissionRequest, CallerBase, ConnectionNeed, ConnectionOutcome};
use crate::server_queue::ServerQueue;
use crate::server_queue::settings::QueueSettings;
use crate::server_queue::slots::SlotLimits;

/// A request as it reaches the server's owner.
#[derive(Debug, Clone)]
pub struct Submission<Session, Identity> {
    /// The session that the request belongs to.
    pub session: Session,
    /// Whom the connection must be opened for.
    pub identity: Identity,
    /// How the request competes with others.
    pub class: Class,
    /// Identifies statements that take about the same time.
    pub fingerprint: Fingerprint,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Whose share of the server the request uses.
    pub caller_base: CallerBase,
    /// The life of the entry instance that sent the request.
    pub entry: Incarnation,
    /// How the request relates to the session's connection.
    pub need: ConnectionNeed,
}

/// What the owner has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerAction<Identity> {
    /// Open a connection for an identity and report how it went.
    Open(ConnectionId, Identity),
    /// Close an idle connection.
    Close(ConnectionId),
    /// Execute a request on a connection.
    Start(RequestId, ConnectionId),
    /// Tell the entry that a request did not run and never will.
    Refuse(RequestId, Failure),
}

/// Decides what executes on which connection of one server.
#[derive(Debug)]
pub struct ServerAdmission<Session, Identity> {
    max_connections: u32,
    slots: u32,
    queue: ServerQueue<FirstCome>,
    pool: ConnectionPool,
    expected_times: ExpectedTimes,
    next_id: RequestId,
    requests: HashMap<RequestId, Submission<Session, Identity>>,
    running: HashMap<RequestId, ConnectionId>,
    holders: HashMap<Session, ConnectionId>,
    identities: BTreeMap<ConnectionId, Identity>,
    /// Connections wanted beyond the queue's need, because identities vary.
    extra_connections: u32,
    last_identity: Option<Identity>,
}

/// Statement fingerprints that are remembered for each server.
const FINGERPRINTS: usize = 4096;
/// What a statement that was never seen is expected to take.
const UNKNOWN_TIME: Duration = Duration::from_millis(10);

impl<Session, Identity> ServerAdmission<Session, Identity>
where
    Session: Eq + Hash + Clone,
    Identity: Eq + Clone,
{
    /// Creates the state of a server without connections.
    pub fn new(max_connections: u32, slots: u32, ownership: Ownership) -> Self {
        let share = ServerShare::new(max_connections, slots, ownership);
        Self {
            max_connections,
            slots,
            queue: ServerQueue::new(QueueSettings::new(share.slots, share.connections), FirstCome),
            pool: ConnectionPool::new(PoolSettings::new(share.connections)),
            expected_times: ExpectedTimes::new(FINGERPRINTS, UNKNOWN_TIME),
            next_id: RequestId::default(),
            requests: HashMap::new(),
            running: HashMap::new(),
            holders: HashMap::new(),
            identities: BTreeMap::new(),
            extra_connections: 0,
            last_identity: None,
        }
    }

    /// Changes the part of the server that this owner may use.
    pub fn set_ownership(&mut self, ownership: Ownership) {
        let share = ServerShare::new(self.max_connections, self.slots, ownership);
        self.queue.set_limits(SlotLimits::new(share.slots), share.connections);
        self.pool.set_limit(share.connections);
    }

    /// Takes a request in and numbers it; the actions may be about it.
    pub fn submit(
        &mut self,
        submission: Submission<Session, Identity>,
        now: Instant,
    ) -> (RequestId, Vec<ServerAction<Identity>>) {
        let id = self.next_id;
        self.next_id = id.next();
        if submission.need == ConnectionNeed::Held
            && !self.holders.contains_key(&submission.session)
        {
            return (id, vec![ServerAction::Refuse(id, transaction_lost())]);
        }
        let request = AdmissionRequest {
            id,
            class: submission.class,
            expected: self.expected_times.expected(submission.fingerprint),
            deadline: submission.deadline,
            caller_base: submission.caller_base.clone(),
            entry: submission.entry,
            need: submission.need,
        };
        self.last_identity = Some(submission.identity.clone());
        self.requests.insert(id, submission);
        let actions = self.queue.submit(request, now);
        (id, self.carry_out(actions, now))
    }

    /// Notes that a started request ended.
    ///
    /// `took` is the execution time if the request executed. The slot is free at
    /// once; a connection that is to be idle has to be reported by
    /// [`Self::connection_released`], when its answer is on its way.
    pub fn finished(
        &mut self,
        id: RequestId,
        outcome: ConnectionOutcome,
        took: Option<Duration>,
        now: Instant,
    ) -> Vec<ServerAction<Identity>> {
        let (Some(connection), Some(submission)) =
            (self.running.remove(&id), self.requests.remove(&id))
        else {
            return Vec::new();
        };
        if let Some(took) = took {
            self.expected_times.observe(submission.fingerprint, took);
        }
        if outcome == ConnectionOutcome::Pinned {
            self.holders.insert(submission.session, connection);
        } else {
            self.holders.remove(&submission.session);
        }
        // The queue counts a connection that rests as closed and then opened.
        let known_outcome = match outcome {
            ConnectionOutcome::Idle => ConnectionOutcome::Closed,
            ConnectionOutcome::Pinned => outcome,
            ConnectionOutcome::Closed => {
                self.settle(connection, outcome, now);
                outcome
            }
        };
        let actions = self.queue.finished(id, known_outcome, now);
        self.carry_out(actions, now)
    }

    /// Notes that a connection whose request finished can serve another one, or
    /// that it had to be closed.
    pub fn connection_released(
        &mut self,
        connection: ConnectionId,
        outcome: ConnectionOutcome,
        now: Instant,
    ) -> Vec<ServerAction<Identity>> {
        self.settle(connection, outcome, now);
        let actions = match outcome {
            ConnectionOutcome::Idle => self.queue.connection_opened(now),
            ConnectionOutcome::Pinned | ConnectionOutcome::Closed => self.queue.expire(now),
        };
        self.carry_out(actions, now)
    }

    /// Notes that a session's transaction ended between two statements.
    ///
    /// If the session's next statement has been started already, its end
    /// concludes the transaction.
    pub fn transaction_ended(
        &mut self,
        session: &Session,
        outcome: ConnectionOutcome,
        now: Instant,
    ) -> Vec<ServerAction<Identity>> {
        let Some(connection) = self.holders.get(session).copied() else {
            return Vec::new();
        };
        if self.running.values().any(|other| *other == connection) {
            return Vec::new();
        }
        self.holders.remove(session);
        self.settle(connection, outcome, now);
        let orphans = self.waiting_of(session);
        let mut actions: Vec<Action> = Vec::new();
        for id in orphans {
            let cancelled = self.queue.cancel(id);
            let lost = cancelled.into_iter().map(|_| Action::Refuse(id, transaction_lost()));
            actions.extend(lost);
        }
        actions.extend(self.queue.transaction_ended(outcome, now));
        self.carry_out(actions, now)
    }

    /// Notes that a connection was opened.
    pub fn connection_opened(
        &mut self,
        connection: ConnectionId,
        identity: Identity,
        now: Instant,
    ) -> Vec<ServerAction<Identity>> {
        self.identities.insert(connection, identity);
        self.pool.opened(connection, now);
        let actions = self.queue.connection_opened(now);
        self.carry_out(actions, now)
    }

    /// Notes that a connection could not be opened.
    ///
    /// If no other is open or opening, what waits is refused, so that the entries can ask
    /// another server.
    pub fn connection_failed(
        &mut self,
        connection: ConnectionId,
        now: Instant,
    ) -> Vec<ServerAction<Identity>> {
        self.pool.open_failed(connection, now);
        let mut actions = self.queue.expire(now);
        if self.pool.is_empty() {
            actions.extend(self.queue.refuse_new_work(&unreachable()));
        }
        self.carry_out(actions, now)
    }

    /// Notes for whom a connection in use was opened anew.
    pub fn connection_reopened(&mut self, connection: ConnectionId, identity: Identity) {
        self.identities.insert(connection, identity);
    }

    /// Does what the passing of time demands; to be called about ten times a
    /// second, and at [`Self::next_deadline`].
    pub fn tick(&mut self, now: Instant) -> Vec<ServerAction<Identity>> {
        let actions = self.queue.expire(now);
        self.carry_out(actions, now)
    }

    /// Refuses what a session has waiting and returns where it executes.
    pub fn cancel(
        &mut self,
        session: &Session,
    ) -> (Vec<ServerAction<Identity>>, Option<ConnectionId>) {
        let mut actions = Vec::new();
        for id in self.waiting_of(session) {
            actions.extend(self.queue.cancel(id));
        }
        let running = self.running.iter().find(|(id, _)| self.requests[id].session == *session);
        let connection = running.map(|(_, connection)| *connection);
        (self.refusals(actions), connection)
    }

    /// Returns the connection on which a request executes.
    pub fn connection_of(&self, id: RequestId) -> Option<ConnectionId> {
        self.running.get(&id).copied()
    }

    /// Returns the connection that a session's open transaction holds.
    pub fn held_connection(&self, session: &Session) -> Option<ConnectionId> {
        self.holders.get(session).copied()
    }

    /// Returns the sessions that hold a connection.
    pub fn sessions_holding_connections(&self) -> impl Iterator<Item = &Session> {
        self.holders.keys()
    }

    /// Stops taking new work at the given moment; open transactions go on.
    pub fn close_at(&mut self, moment: Instant) {
        self.queue.close_at(moment);
    }

    /// Takes new work again.
    pub fn reopen(&mut self) {
        self.queue.reopen();
    }

    /// Returns when [`Self::tick`] has something to do at the latest.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.queue.next_deadline()
    }

    /// Returns the queue, for metrics.
    pub fn queue(&self) -> &ServerQueue<FirstCome> {
        &self.queue
    }

    /// Returns the connections, for metrics.
    pub fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// Returns whether nothing waits, executes or holds a connection.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.holders.is_empty()
    }

    fn waiting_of(&self, session: &Session) -> Vec<RequestId> {
        let waiting = self.requests.iter().filter(|(id, submission)| {
            submission.session == *session && !self.running.contains_key(id)
        });
        waiting.map(|(id, _)| *id).collect()
    }

    fn settle(&mut self, connection: ConnectionId, outcome: ConnectionOutcome, now: Instant) {
        match outcome {
            ConnectionOutcome::Idle => self.pool.check_in(connection, now),
            ConnectionOutcome::Pinned => {}
            ConnectionOutcome::Closed => {
                self.pool.closed(connection);
                self.identities.remove(&connection);
            }
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>, now: Instant) -> Vec<ServerAction<Identity>> {
        let mut results = Vec::new();
        for action in actions {
            match action {
                Action::Start(id) => {
                    let connection = self.assign(id);
                    self.running.insert(id, connection);
                    results.push(ServerAction::Start(id, connection));
                }
                Action::Refuse(..) => results.extend(self.refusals(vec![action])),
            }
        }
        results.extend(self.plan_connections(now));
        results
    }

    fn refusals(&mut self, actions: Vec<Action>) -> Vec<ServerAction<Identity>> {
        let mut results = Vec::new();
        for action in actions {
            if let Action::Refuse(id, failure) = action {
                self.requests.remove(&id);
                results.push(ServerAction::Refuse(id, failure));
            }
        }
        results
    }

    fn assign(&mut self, id: RequestId) -> ConnectionId {
        let submission = &self.requests[&id];
        if submission.need == ConnectionNeed::Held {
            return self.holders[&submission.session];
        }
        let identities = &self.identities;
        let identity = &submission.identity;
        let fits = |connection| identities.get(&connection) == Some(identity);
        let connection =
            self.pool.check_out(fits).expect("the queue starts within idle connections");
        if !fits(connection) {
            self.extra_connections = (self.extra_connections + 1).min(self.max_connections);
        }
        connection
    }

    /// The queue learns at once of a connection that is about to be closed, so
    /// that it does not count on it.
    fn plan_connections(&mut self, now: Instant) -> Vec<ServerAction<Identity>> {
        let Some(identity) = self.last_identity.clone() else {
            return Vec::new();
        };
        let wanted = self.queue.wanted_connections() + self.extra_connections;
        let mut results = Vec::new();
        for action in self.pool.plan(wanted, now) {
            match action {
                PoolAction::Open(id) => {
                    results.push(ServerAction::Open(id, identity.clone()));
                }
                PoolAction::Close(id) => {
                    self.queue.connection_lost();
                    self.identities.remove(&id);
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
