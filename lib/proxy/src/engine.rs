//! Routes callers' statements to servers.
//!
//! [`Engine`] does no I/O: the event loop passes in events and the current
//! time, and executes the [`Action`]s that the engine returns. To let sessions
//! share server connections, the engine stores each session's variables,
//! prepared statements and a pending `BEGIN`, and applies them to a connection
//! only when a statement needs them. See `docs/design/10-platform.md`.
//!
//! A request passes through these functions and submodules:
//!
//! 1. [`Engine::request`] executes a statement from the session's own state, or
//!    `submit` makes it the caller's pending request.
//! 2. `quotas`: a request that begins an operation takes a unit of its organisation's quota,
//!    waits for one, or is refused.
//! 3. `placing`: `place` chooses a server and an idle connection, or queues the
//!    request, or refuses it. `candidates` ranks the servers that may run it.
//! 4. `sending`: `dispatch` takes the connection (`assign`) and sends what the
//!    session needs on it; `send_work` sends the request itself.
//! 5. `answers` processes the server's messages.
//! 6. `outcomes` retries the request or answers the caller; `report` logs and
//!    counts the answer.
//! 7. `releases`: `release` returns the connection to the pool; `abandon` closes
//!    it, and retries or fails the request on it.
//!
//! `identity` decides for which organisation a request runs, and `opening` opens connections
//! for organisations. `expiry` applies timeouts, changed group records and changed server
//! entries. `stopping` ends callers' work before the process stops. `paths` decides
//! whether a server is reached directly or through the owner of its connections.

mod answers;
mod candidates;
mod expiry;
mod identity;
mod opening;
mod outcomes;
mod paths;
mod placing;
mod quotas;
mod releases;
mod report;
mod sending;
mod stopping;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::{FailureDomain, GroupId, InstanceId, ServerId};
use slog::Logger;

pub(crate) use crate::engine::answers::is_server_failure;
use crate::engine::identity::{is_unauthenticated, organisation_at_start};
use crate::engine::paths::Paths;
pub use crate::engine::releases::Loss;
use crate::engine::stopping::STOPPING;

use crate::caller::{
    Caller, CallerId, OpenTransaction, Pending, ServerRequirement, Stage, Transaction,
};
use crate::connections::{ConnectionId, Connections, Expected};
use crate::directory::{Consistency, Route};
use crate::latency::LatencyEstimate;
use crate::metrics::Metrics;
use crate::moment::Moment;
use crate::organisations::ApiKey;
use crate::queue::WaitingQueue;
use crate::quota::Quotas;
use crate::records::SuspicionKind;
use crate::relays::Relays;
use crate::samples::PositionSamples;
use crate::shutdown::Shutdown;
use crate::statement::{
    Access, Answer, Command, Failure, FailureKind, Outcome, RequestTag, Statement, Work,
};
use crate::store_view::StoreView;

/// How much newer a position sample must be than a route's staleness bound
/// requires, to allow for the resolution of clocks.
const STALENESS_MARGIN: Duration = Duration::from_millis(20);
/// The age of the view up to which its configuration counts as up to date. A new one must be
/// active within three seconds.
const MAX_CONFIGURATION_AGE: Duration = Duration::from_millis(2900);
/// How long before its deadline a waiting request is refused, so that the
/// refusal reaches the caller in time.
const REFUSAL_MARGIN: Duration = Duration::from_millis(30);

/// Identity and location of the instance that runs the engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The instance's name.
    pub instance: InstanceId,
    /// Distinguishes this process from earlier ones of the same instance.
    pub incarnation: u64,
    /// The failure domain of the instance; reads prefer servers in it.
    pub domain: FailureDomain,
    /// How long a server may be used after it has announced that it is leaving; without
    /// limit if `None`.
    pub drain_timeout: Option<Duration>,
    /// How long after the store has accepted a configuration nothing may be served by an
    /// earlier one any more.
    pub configuration_deadline: Duration,
}

/// The inputs of a decision besides the state of the engine or the relays.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// The instance's view of the store, which may be out of date.
    pub view: &'a StoreView,
    /// The current time.
    pub now: Moment,
}

/// A command from the engine to the event loop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an answer to a caller.
    Answer(CallerId, Answer),
    /// Close the connection of a caller without a pending request after its last answer.
    EndSession(CallerId),
    /// Open a connection to a server.
    Connect {
        /// The id by which the engine refers to the connection.
        connection: ConnectionId,
        /// The server's address.
        address: SocketAddr,
        /// The group that the server is expected to serve.
        group: GroupId,
        /// The server that is expected at the address.
        server: ServerId,
        /// The instance that relays the connection, or `None` to connect to the
        /// server directly.
        via: Option<InstanceId>,
        /// The organisation whose work will run on the connection, which is named to the
        /// server; none if it has no name, and on relayed connections.
        organisation: Option<Arc<str>>,
    },
    /// Send a command to a server.
    Send(ConnectionId, Command),
    /// Close a connection.
    Disconnect(ConnectionId),
    /// Confirm that the instance has no work and no connections left at a primary
    /// that is being replaced, and will not use it any more. Repeated at each tick
    /// until the replacement ends.
    Stopped {
        /// The group.
        group: GroupId,
        /// The epoch of the group's record that started the replacement.
        epoch: u64,
    },
    /// Report that a group's primary is suspected to have failed.
    Suspect {
        /// The group.
        group: GroupId,
        /// The suspected primary.
        primary: ServerId,
        /// The reason for the suspicion.
        kind: SuspicionKind,
    },
    /// Clear the suspicion of a group's primary, because it has answered and
    /// has not reported that it is a replica.
    ClearSuspicion {
        /// The group.
        group: GroupId,
        /// Whether it has run work, and not only reported its role.
        has_run_work: bool,
    },
}

/// The engine's state for one group of servers.
#[derive(Debug, Default)]
struct GroupState {
    queue: WaitingQueue<CallerId>,
    samples: PositionSamples,
    /// The epoch of the last record of the group that was processed.
    epoch: u64,
    old_primary: Option<OldPrimary>,
}

/// The old primary of a group, while it is being replaced.
#[derive(Debug)]
struct OldPrimary {
    server: ServerId,
    /// The epoch of the record that started the replacement.
    epoch: u64,
    /// When the instance first saw that the primary is being replaced.
    since: Moment,
}

/// The state machine of the request path: sessions, server connections and the
/// queues of requests between them.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    log: Logger,
    metrics: Metrics,
    callers: HashMap<CallerId, Caller>,
    /// Callers whose current request has no answer yet.
    pending_callers: BTreeSet<CallerId>,
    /// Callers whose current request was answered, and whose next one is to be processed.
    resumable: VecDeque<CallerId>,
    /// Whether [`Self::resumable`] is being processed.
    is_resuming: bool,
    connections: Connections,
    paths: Paths,
    /// Sessions that this instance relays to servers for other instances.
    pub relays: Relays,
    /// The quotas of organisations.
    pub quotas: Quotas<CallerId>,
    /// Groups whose primary this instance has suspected, until a write succeeds
    /// there. Other answers that clear the suspicion leave the group here; the next
    /// write then clears it once more.
    suspected: BTreeSet<GroupId>,
    groups: BTreeMap<GroupId, GroupState>,
    route_latencies: HashMap<Arc<str>, LatencyEstimate>,
    /// Number of random values drawn so far; makes each of them different.
    draws: u64,
    /// Servers to which `warm_up` has opened a connection, or has found one.
    warmed_up: BTreeSet<ServerId>,
    /// The last version of the configuration in which the keys of idle sessions were checked.
    keys_checked_in: u64,
    /// The last version in which the organisations of open transactions were checked.
    transactions_checked_in: u64,
    /// Callers whose transaction may go on only for a while, as its organisation no longer
    /// holds their key; may contain callers whose transaction has ended since.
    former_holders: BTreeSet<CallerId>,
    /// When `warm_up` checks the next server.
    next_warm_up: Moment,
    /// The shutdown in progress, if the process was told to stop.
    shutdown: Option<Shutdown>,
    actions: Vec<Action>,
}

impl Engine {
    /// Creates an engine without sessions and connections.
    pub fn new(settings: EngineSettings, log: Logger, metrics: Metrics) -> Self {
        Self {
            metrics,
            callers: HashMap::new(),
            pending_callers: BTreeSet::new(),
            resumable: VecDeque::new(),
            is_resuming: false,
            connections: Connections::default(),
            paths: Paths::default(),
            quotas: Quotas::new(settings.instance.clone(), settings.incarnation),
            relays: Relays::new(settings.instance.clone(), settings.drain_timeout, log.clone()),
            suspected: BTreeSet::new(),
            groups: BTreeMap::new(),
            route_latencies: HashMap::new(),
            draws: 0,
            warmed_up: BTreeSet::new(),
            keys_checked_in: 0,
            transactions_checked_in: 0,
            former_holders: BTreeSet::new(),
            next_warm_up: Moment::default(),
            shutdown: None,
            actions: Vec::new(),
            settings,
            log,
        }
    }

    /// Returns the actions that have accumulated since the last call, in the
    /// order in which they must be executed.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns whether the next answer on a connection is the one to
    /// [`Command::Status`], which contains the server's role.
    pub fn expects_role(&self, id: ConnectionId) -> bool {
        self.connections.get(id).and_then(|connection| connection.expected.front()).is_some_and(
            |expected| matches!(expected, Expected::RoleBeforeUse | Expected::RoleAfterRead),
        )
    }

    /// Returns whether there is any work: a pending request of this instance's
    /// callers, or a relayed session that waits for a connection or holds one.
    pub fn has_work(&self) -> bool {
        !self.pending_callers.is_empty() || self.relays.is_busy()
    }

    /// Returns the number of requests that have no answer yet.
    pub fn pending(&self) -> usize {
        self.pending_callers.len()
    }

    /// Returns whether a request of a caller is not answered yet. The event loop passes on the
    /// next one only after that, so that requests sent ahead stay in the bounded input.
    pub fn has_pending(&self, caller: CallerId) -> bool {
        self.callers.get(&caller).is_some_and(|caller| caller.pending.is_some())
    }

    /// Returns what a caller's session holds, in bytes: its variables and prepared statements,
    /// and these with its pending request.
    pub fn held_bytes(&self, caller: CallerId) -> (usize, usize) {
        let caller = self.callers.get(&caller);
        caller.map_or((0, 0), |caller| (caller.state_bytes, caller.held_bytes()))
    }

    /// Returns whether a caller has neither a pending request nor an open or
    /// failed transaction; unknown callers count as idle.
    pub fn is_idle(&self, caller: CallerId) -> bool {
        self.callers.get(&caller).is_none_or(Caller::is_idle)
    }

    /// Opens a session of a caller on a database.
    ///
    /// # Errors
    ///
    /// Fails if no configuration was received yet, or it has no such database, or it requires
    /// a key and the caller's is missing, not valid or unknown, or if the process stops before
    /// a statement would be answered.
    pub fn open_session(
        &mut self,
        context: Context<'_>,
        id: CallerId,
        database: Arc<str>,
        key: Option<ApiKey>,
    ) -> Result<(), Failure> {
        let outcome = organisation_at_start(context, &database, key.as_ref());
        if outcome.as_ref().is_err_and(|f| f.kind == FailureKind::Unauthenticated) {
            self.metrics.unauthenticated("start");
        }
        let organisation = outcome?;
        let route = route(context, &database)?;
        if self.stops_before_answer(route, context.now) {
            return Err(Failure::new(FailureKind::Busy, STOPPING));
        }
        self.callers.insert(id, Caller::new(database, key, organisation));
        Ok(())
    }

    /// Closes a session and rolls back its open transaction, if there is one.
    pub fn close_session(&mut self, context: Context<'_>, id: CallerId) {
        self.give_unit_back(context, id);
        let Some(caller) = self.callers.remove(&id) else {
            return;
        };
        self.pending_callers.remove(&id);
        let transaction_connection = match &caller.transaction {
            Transaction::Open(open) => open.connection,
            _ => None,
        };
        match caller.pending.as_ref().map(|pending| (pending.stage, &pending.route)) {
            Some((Stage::Queued(ticket), route)) => {
                let group = route.group.clone();
                self.group_state(&group).queue.remove(ticket);
            }
            // A running statement can't be cancelled; the connection is
            // released once the server has answered.
            Some((Stage::Assigned(connection), _)) => self.detach_caller(connection),
            Some((Stage::AwaitingQuota | Stage::Backoff { .. }, _)) | None => {}
        }
        if let Some(connection) = transaction_connection {
            self.detach_caller(connection);
            self.release_detached(context, connection);
        }
    }

    /// Processes a request of a caller, or the failure to parse it.
    ///
    /// Requests that arrive while another one of the caller is pending are
    /// processed in order after it.
    pub fn request(
        &mut self,
        context: Context<'_>,
        id: CallerId,
        tag: RequestTag,
        statement: Result<Statement, Failure>,
    ) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        if caller.has_ended {
            return;
        }
        if caller.pending.is_some() {
            caller.backlog.push_back((tag, statement));
            return;
        }
        match statement {
            Ok(statement) => match self.admit(context, id) {
                Ok(()) => self.execute(context, id, tag, statement),
                Err(failure) => self.answer_failure(context, id, &tag, failure),
            },
            Err(failure) => self.answer_failure(context, id, &tag, failure),
        }
    }

    /// Executes a statement: answers it from the session's own state or submits
    /// it to a server.
    ///
    /// Only a rollback or a commit ends a failed transaction, and the commit is
    /// answered with a failure; every other statement fails. If the caller has
    /// not received the failure of the transaction yet, its next statement is
    /// answered with it, unless that is a rollback.
    fn execute(
        &mut self,
        context: Context<'_>,
        id: CallerId,
        tag: RequestTag,
        statement: Statement,
    ) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        if let Transaction::Failed { unreported } = &mut caller.transaction {
            let unreported = unreported.take();
            let ends_transaction = matches!(statement, Statement::Rollback | Statement::Commit);
            if ends_transaction {
                caller.transaction = Transaction::None;
            }
            let outcome = match (statement, unreported) {
                (Statement::Rollback, _) => Ok(None),
                (_, Some(failure)) => Err(failure),
                (Statement::Commit, None) => {
                    Err(Failure::new(FailureKind::Aborted, "the transaction was rolled back"))
                }
                (_, None) => Err(Failure::new(
                    FailureKind::Malformed,
                    "the transaction failed; roll it back first",
                )),
            };
            self.answer(context, id, &tag, Vec::new(), outcome);
            return;
        }
        match statement {
            Statement::Begin { read_only } => self.begin(context, id, &tag, read_only),
            Statement::Rollback => self.execute_rollback(context, id, &tag),
            Statement::Set { name, value } => {
                caller.set_variable(name, value);
                self.answer(context, id, &tag, Vec::new(), Ok(None));
            }
            Statement::Prepare { name, shape } => {
                caller.prepare(name, shape);
                self.answer(context, id, &tag, Vec::new(), Ok(None));
            }
            Statement::Deallocate { name } => {
                caller.deallocate(&name);
                self.answer(context, id, &tag, Vec::new(), Ok(None));
            }
            Statement::Commit => match &caller.transaction {
                Transaction::Open(_) => self.submit(context, id, tag, Work::Commit),
                _ => {
                    let failure = Failure::new(FailureKind::Malformed, "no transaction is open");
                    self.answer_failure(context, id, &tag, failure);
                }
            },
            Statement::Direct { access, text } => {
                self.submit(context, id, tag, Work::Direct { access, text });
            }
            Statement::Execute { name, arguments } => match caller.prepared.get(&name) {
                Some(shape) => {
                    let shape = shape.clone();
                    self.submit(context, id, tag, Work::Prepared { shape, arguments });
                }
                None => {
                    let failure =
                        Failure::new(FailureKind::UnknownStatement, "no such prepared statement");
                    self.answer_failure(context, id, &tag, failure);
                }
            },
        }
    }

    /// Opens a transaction; `BEGIN` is sent to a server only with the first
    /// statement.
    fn begin(&mut self, context: Context<'_>, id: CallerId, tag: &RequestTag, read_only: bool) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        if matches!(caller.transaction, Transaction::Open(_)) {
            let failure = Failure::new(FailureKind::Malformed, "a transaction is open already");
            self.answer_failure(context, id, tag, failure);
            return;
        }
        if let Err(failure) = self.check_may_begin(context.now) {
            self.answer_failure(context, id, tag, failure);
            return;
        }
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        match route(context, &caller.database) {
            Ok(route) => {
                caller.transaction = Transaction::Open(OpenTransaction {
                    read_only,
                    route: Arc::clone(route),
                    organisation: caller.organisation.clone(),
                    entitled_until: None,
                    connection: None,
                    has_run: false,
                    has_written: false,
                    has_unit: false,
                    idle_since: context.now,
                });
                self.answer(context, id, tag, Vec::new(), Ok(None));
            }
            Err(failure) => self.answer_failure(context, id, tag, failure),
        }
    }

    /// Executes a caller's rollback; the caller is answered without waiting for the
    /// server.
    fn execute_rollback(&mut self, context: Context<'_>, id: CallerId, tag: &RequestTag) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let Transaction::Open(open) = std::mem::take(&mut caller.transaction) else {
            let failure = Failure::new(FailureKind::Malformed, "no transaction is open");
            self.answer_failure(context, id, tag, failure);
            return;
        };
        if let Some(connection) = open.connection {
            self.send_rollback(context, connection);
        }
        self.answer(context, id, tag, Vec::new(), Ok(None));
    }

    /// Stores work for a server as the caller's pending request, and places it.
    fn submit(&mut self, context: Context<'_>, id: CallerId, tag: RequestTag, work: Work) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let (route, organisation, is_read_only) = match &caller.transaction {
            Transaction::Open(open) => {
                (Arc::clone(&open.route), open.organisation.clone(), open.read_only)
            }
            _ => match route(context, &caller.database) {
                Ok(route) => {
                    let is_read_only = work.access() == Access::Read;
                    (Arc::clone(route), caller.organisation.clone(), is_read_only)
                }
                Err(failure) => {
                    self.answer_failure(context, id, &tag, failure);
                    return;
                }
            },
        };
        let requirement = server_requirement(caller, &route, is_read_only, context.now);
        let deadline = self.deadline(&route, context.now);
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        caller.pending = Some(Pending {
            tag,
            work,
            route,
            organisation,
            requirement,
            received_at: context.now,
            deadline,
            // A placeholder: `place` sets the stage below.
            stage: Stage::Backoff { until: context.now },
            attempts: 0,
            avoided_server: None,
            primary_only: false,
            last_failure: None,
            may_have_run: false,
            unit: None,
            expectation: None,
            unanswered_for: Duration::ZERO,
        });
        self.pending_callers.insert(id);
        if self.has_unit(context, id) {
            self.place(context, id, true);
        }
    }

    /// Answers the current request of a caller; the next request in its backlog is
    /// processed after it.
    fn answer(
        &mut self,
        context: Context<'_>,
        id: CallerId,
        tag: &RequestTag,
        rows: Vec<Arc<str>>,
        outcome: Outcome,
    ) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let pending = caller.pending.take();
        self.pending_callers.remove(&id);
        if let Transaction::Open(open) = &mut caller.transaction {
            open.idle_since = context.now;
        }
        let state = caller.state();
        let has_backlog = !caller.backlog.is_empty();
        // The next request in the backlog is refused and ends the session then.
        let ends_session = !has_backlog && caller.is_idle() && is_unauthenticated(context, caller);
        self.report(context, id, tag, pending.as_ref(), &outcome, state);
        self.actions.push(Action::Answer(id, Answer { rows, outcome, state }));
        if ends_session {
            self.actions.push(Action::EndSession(id));
        }
        if has_backlog {
            self.resumable.push_back(id);
            self.resume_callers(context);
        }
    }

    /// Processes the next requests in the backlogs of callers whose current request was
    /// answered.
    ///
    /// Many requests are answered at once. A call from the processing of one of them returns
    /// without effect, so that the depth of the stack does not grow with the backlog.
    fn resume_callers(&mut self, context: Context<'_>) {
        if std::mem::replace(&mut self.is_resuming, true) {
            return;
        }
        while let Some(id) = self.resumable.pop_front() {
            let Some(caller) = self.callers.get_mut(&id) else {
                continue;
            };
            if caller.pending.is_some() {
                continue;
            }
            if let Some((tag, statement)) = caller.backlog.pop_front() {
                self.request(context, id, tag, statement);
            }
        }
        self.is_resuming = false;
    }

    fn answer_failure(
        &mut self,
        context: Context<'_>,
        id: CallerId,
        tag: &RequestTag,
        failure: Failure,
    ) {
        self.answer(context, id, tag, Vec::new(), Err(failure));
    }

    /// Returns a factor between 0.5 and 1.5 that differs between instances and
    /// between calls, so that delays multiplied by it don't expire together.
    ///
    /// It is computed from the instance's name and a counter, not from a source
    /// of randomness.
    fn jitter(&mut self) -> f64 {
        let thousandths = u16::try_from(self.draw() % 1000).unwrap_or_default();
        0.5 + f64::from(thousandths) / 1000.0
    }

    /// Returns a number that differs between instances, processes and calls.
    fn draw(&mut self) -> u64 {
        self.draws += 1;
        let mut hasher = DefaultHasher::new();
        (&self.settings.instance, self.settings.incarnation, self.draws).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the state of a group, which is created on first use.
    fn group_state(&mut self, group: &GroupId) -> &mut GroupState {
        if !self.groups.contains_key(group) {
            self.groups.insert(group.clone(), GroupState::default());
        }
        self.groups.get_mut(group).expect("group state was inserted above")
    }

    fn waiting_count(&self, group: &GroupId) -> usize {
        self.groups.get(group).map_or(0, |state| state.queue.len())
    }
}

/// Returns the route of a database.
///
/// # Errors
///
/// Fails if no configuration was received yet or it has no such database. That database is
/// reported as unknown only if the configuration is up to date; otherwise its caller may
/// succeed at another instance.
fn route<'a>(context: Context<'a>, database: &str) -> Result<&'a Arc<Route>, Failure> {
    let Some(document) = context.view.document() else {
        return Err(Failure::new(FailureKind::Busy, "the configuration is not known yet"));
    };
    document.routes.get(database).ok_or_else(|| {
        if is_configuration_recent(context) {
            Failure::new(FailureKind::UnknownDatabase, "the configuration has no such database")
        } else {
            Failure::new(FailureKind::Busy, "the configuration has no such database, but is old")
        }
    })
}

/// Returns whether the view's configuration counts as up to date.
fn is_configuration_recent(context: Context<'_>) -> bool {
    let confirmed_at = context.view.confirmed_at();
    confirmed_at.is_some_and(|at| context.now.since(at) <= MAX_CONFIGURATION_AGE)
}

/// Returns which servers may run a request.
///
/// Only the primary runs requests that are not read-only, and those of routes
/// that promise the latest state. Other reads may run on any server that is as
/// up to date as their route promises.
fn server_requirement(
    caller: &Caller,
    route: &Route,
    is_read_only: bool,
    now: Moment,
) -> ServerRequirement {
    let (age, own_commit) = match route.consistency {
        Consistency::Latest => return ServerRequirement::Primary,
        Consistency::Bounded(age) => (age, None),
        Consistency::OwnWrites(age) => (age, caller.own_commits.in_group(&route.group)),
    };
    if !is_read_only {
        return ServerRequirement::Primary;
    }
    ServerRequirement::UpToDate { as_of: now.saturating_sub(age) + STALENESS_MARGIN, own_commit }
}
