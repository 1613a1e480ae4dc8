//! Routes callers' statements to servers.
//!
//! Pure: events and the time go in, [`Action`]s come out. A session's values,
//! prepared statements and the beginning of a transaction are kept here and
//! given to a server connection only when a statement needs them, so that
//! sessions share connections. See `docs/design/10-platform.md`.

mod answers;
mod expiry;
mod outcomes;
mod paths;
mod placing;
mod releases;
mod report;
mod sending;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::{FailureDomain, GroupId, InstanceId, ServerId};
use slog::Logger;

use crate::engine::paths::Paths;
pub use crate::engine::releases::Loss;

use crate::caller::{Caller, CallerId, Need, OpenTransaction, Pending, Stage, Transaction};
use crate::connections::{ConnectionId, Connections, Expected};
use crate::directory::{Consistency, Route};
use crate::metrics::Metrics;
use crate::moment::Moment;
use crate::pace::Pace;
use crate::queue::WaitingQueue;
use crate::records::DoubtKind;
use crate::relays::Relays;
use crate::samples::Samples;
use crate::statement::{
    Access, Answer, Command, Failure, FailureKind, Outcome, RequestTag, Statement, Work,
};
use crate::store_view::StoreView;

/// Added to the age of samples, for the resolution of clocks.
const STALENESS_MARGIN: Duration = Duration::from_millis(20);
/// How long before a statement's time-out a waiting request is refused, so
/// that the refusal arrives in time.
const REFUSAL_LEAD: Duration = Duration::from_millis(30);

/// What the engine has to know about its instance.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The instance.
    pub instance: InstanceId,
    /// This life of the instance.
    pub incarnation: u64,
    /// Where the instance runs; servers there are preferred.
    pub domain: FailureDomain,
}

/// What the engine decides by.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// What the store says.
    pub view: &'a StoreView,
    /// The present moment.
    pub now: Moment,
}

/// What the event loop has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Answer a caller.
    Answer(CallerId, Answer),
    /// Open a connection to a server.
    Connect {
        /// The connection.
        connection: ConnectionId,
        /// The server's address.
        address: SocketAddr,
        /// The group that the server is expected to serve.
        group: GroupId,
        /// The server that is expected at the address.
        server: ServerId,
        /// The instance through which the server is reached, none for the
        /// direct way.
        via: Option<InstanceId>,
    },
    /// Send a command.
    Send(ConnectionId, Command),
    /// Close a connection.
    Disconnect(ConnectionId),
    /// All work at a retiring primary has ended.
    Stopped {
        /// The group.
        group: GroupId,
        /// The epoch of the change.
        epoch: u64,
    },
    /// The primary is doubted.
    Doubt {
        /// The group.
        group: GroupId,
        /// The primary.
        primary: ServerId,
        /// What was seen.
        kind: DoubtKind,
    },
    /// The primary answers again.
    Trust {
        /// The group.
        group: GroupId,
    },
}

/// What the engine keeps of a group.
#[derive(Debug, Default)]
struct GroupState {
    queue: WaitingQueue<CallerId>,
    samples: Samples,
    epoch: u64,
    retiring: Option<Retiring>,
}

/// A primary that is being replaced.
#[derive(Debug)]
struct Retiring {
    primary: ServerId,
    epoch: u64,
    since: Moment,
}

/// The decisions of the request path.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    log: Logger,
    metrics: Metrics,
    callers: HashMap<CallerId, Caller>,
    active: BTreeSet<CallerId>,
    connections: Connections,
    paths: Paths,
    /// The servers whose connections this instance owns for others.
    pub relays: Relays,
    /// Groups whose primary this instance doubted.
    doubted: BTreeSet<GroupId>,
    groups: BTreeMap<GroupId, GroupState>,
    route_paces: HashMap<Arc<str>, Pace>,
    spreads: u64,
    warmed: BTreeSet<ServerId>,
    warm_at: Moment,
    actions: Vec<Action>,
}

impl Engine {
    /// Creates an engine without callers.
    pub fn new(settings: EngineSettings, log: Logger, metrics: Metrics) -> Self {
        Self {
            metrics,
            callers: HashMap::new(),
            active: BTreeSet::new(),
            connections: Connections::default(),
            paths: Paths::default(),
            relays: Relays::new(settings.instance.clone(), log.clone()),
            doubted: BTreeSet::new(),
            groups: BTreeMap::new(),
            route_paces: HashMap::new(),
            spreads: 0,
            warmed: BTreeSet::new(),
            warm_at: Moment::default(),
            actions: Vec::new(),
            settings,
            log,
        }
    }

    /// Returns what has to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns whether the next answer on a connection tells the server's role.
    pub fn expects_role(&self, id: ConnectionId) -> bool {
        self.connections
            .get(id)
            .and_then(|connection| connection.expected.front())
            .is_some_and(|expected| matches!(expected, Expected::Role | Expected::Proof))
    }

    /// Returns whether requests or transactions are under way.
    pub fn is_busy(&self) -> bool {
        !self.active.is_empty() || self.relays.is_busy()
    }

    /// Returns how many requests have no answer yet.
    pub fn pending(&self) -> usize {
        self.active.len()
    }

    /// Returns whether a caller has nothing under way.
    pub fn is_resting(&self, caller: CallerId) -> bool {
        self.callers.get(&caller).is_none_or(Caller::is_resting)
    }

    /// Opens a session.
    ///
    /// # Errors
    ///
    /// Fails if the configuration is not known yet or doesn't have the database.
    pub fn open_session(
        &mut self,
        context: Context<'_>,
        id: CallerId,
        database: Arc<str>,
    ) -> Result<(), Failure> {
        route(context.view, &database)?;
        self.callers.insert(id, Caller::new(database));
        Ok(())
    }

    /// Ends a session; an open transaction is rolled back.
    pub fn close_session(&mut self, context: Context<'_>, id: CallerId) {
        let Some(caller) = self.callers.remove(&id) else {
            return;
        };
        self.active.remove(&id);
        let held = match &caller.transaction {
            Transaction::Open(open) => open.connection,
            _ => None,
        };
        match caller.pending.as_ref().map(|pending| (pending.stage, &pending.route)) {
            Some((Stage::Waiting(turn), route)) => {
                let group = route.group.clone();
                self.group(&group).queue.remove(turn);
            }
            // What runs can't be stopped; the connection is released when the
            // server has answered.
            Some((Stage::Placed(connection), _)) => self.orphan(connection),
            Some((Stage::Pausing { .. }, _)) | None => {}
        }
        if let Some(connection) = held {
            self.orphan(connection);
            self.release_orphan(context, connection);
        }
    }

    /// Takes a request of a caller.
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
        if caller.pending.is_some() {
            caller.backlog.push_back((tag, statement));
            return;
        }
        match statement {
            Ok(statement) => self.execute(context, id, tag, statement),
            Err(failure) => self.answer_failure(context, id, &tag, failure),
        }
    }

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
        if let Transaction::Failed { untold } = &mut caller.transaction {
            let untold = untold.take();
            let ends = matches!(statement, Statement::Rollback | Statement::Commit);
            if ends {
                caller.transaction = Transaction::None;
            }
            let outcome = match (statement, untold) {
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
            Statement::Rollback => self.rollback(context, id, &tag),
            Statement::Set { name, value } => {
                Arc::make_mut(&mut caller.values).insert(name, value);
                self.answer(context, id, &tag, Vec::new(), Ok(None));
            }
            Statement::Prepare { name, shape } => {
                caller.prepared.insert(name, shape);
                self.answer(context, id, &tag, Vec::new(), Ok(None));
            }
            Statement::Deallocate { name } => {
                caller.prepared.remove(&name);
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

    fn begin(&mut self, context: Context<'_>, id: CallerId, tag: &RequestTag, read_only: bool) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        if matches!(caller.transaction, Transaction::Open(_)) {
            let failure = Failure::new(FailureKind::Malformed, "a transaction is open already");
            self.answer_failure(context, id, tag, failure);
            return;
        }
        match route(context.view, &caller.database) {
            Ok(route) => {
                caller.transaction = Transaction::Open(OpenTransaction {
                    read_only,
                    route: Arc::clone(route),
                    connection: None,
                    has_run: false,
                    has_written: false,
                    rests_since: context.now,
                });
                self.answer(context, id, tag, Vec::new(), Ok(None));
            }
            Err(failure) => self.answer_failure(context, id, tag, failure),
        }
    }

    fn rollback(&mut self, context: Context<'_>, id: CallerId, tag: &RequestTag) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let Transaction::Open(open) = std::mem::take(&mut caller.transaction) else {
            let failure = Failure::new(FailureKind::Malformed, "no transaction is open");
            self.answer_failure(context, id, tag, failure);
            return;
        };
        if let Some(connection) = open.connection {
            self.roll_back(context, connection);
        }
        self.answer(context, id, tag, Vec::new(), Ok(None));
    }

    fn submit(&mut self, context: Context<'_>, id: CallerId, tag: RequestTag, work: Work) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let (route, is_read_only) = match &caller.transaction {
            Transaction::Open(open) => (Arc::clone(&open.route), open.read_only),
            _ => match route(context.view, &caller.database) {
                Ok(route) => (Arc::clone(route), work.access() == Access::Read),
                Err(failure) => {
                    self.answer_failure(context, id, &tag, failure);
                    return;
                }
            },
        };
        let need = need(caller, &route, is_read_only, context.now);
        let give_up_at = context.now + route.statement_timeout;
        caller.pending = Some(Pending {
            tag,
            work,
            route,
            need,
            received_at: context.now,
            give_up_at,
            stage: Stage::Pausing { until: context.now },
            attempts: 0,
            avoided: None,
            primary_only: false,
            last_failure: None,
        });
        self.active.insert(id);
        self.place(context, id, true);
    }

    /// Answers a caller, and goes on with what it sent meanwhile.
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
        self.active.remove(&id);
        if let Transaction::Open(open) = &mut caller.transaction {
            open.rests_since = context.now;
        }
        let state = caller.state();
        let next = caller.backlog.pop_front();
        self.report(context, id, tag, pending.as_ref(), &outcome, state);
        self.actions.push(Action::Answer(id, Answer { rows, outcome, state }));
        if let Some((tag, statement)) = next {
            self.request(context, id, tag, statement);
        }
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

    /// Returns a number from 0.5 to 1.5 that differs between instances and from
    /// time to time.
    fn spread(&mut self) -> f64 {
        self.spreads += 1;
        let mut hasher = DefaultHasher::new();
        (&self.settings.instance, self.spreads).hash(&mut hasher);
        let thousandths = u16::try_from(hasher.finish() % 1000).unwrap_or_default();
        0.5 + f64::from(thousandths) / 1000.0
    }

    fn group(&mut self, group: &GroupId) -> &mut GroupState {
        if !self.groups.contains_key(group) {
            self.groups.insert(group.clone(), GroupState::default());
        }
        self.groups.get_mut(group).expect("the group was inserted")
    }

    fn waiting(&self, group: &GroupId) -> usize {
        self.groups.get(group).map_or(0, |state| state.queue.len())
    }
}

fn route<'a>(view: &'a StoreView, database: &str) -> Result<&'a Arc<Route>, Failure> {
    let Some(document) = view.document() else {
        return Err(Failure::new(FailureKind::Busy, "the configuration is not known yet"));
    };
    document.routes.get(database).ok_or_else(|| {
        Failure::new(FailureKind::UnknownDatabase, "the configuration has no such database")
    })
}

fn need(caller: &Caller, route: &Route, is_read_only: bool, now: Moment) -> Need {
    let (age, own_commit) = match route.consistency {
        Consistency::Latest => return Need::Primary,
        Consistency::Bounded(age) => (age, None),
        Consistency::OwnWrites(age) => (age, caller.own_commit.as_ref()),
    };
    if !is_read_only {
        return Need::Primary;
    }
    let own_commit =
        own_commit.filter(|(group, _)| *group == route.group).map(|(_, position)| *position);
    Need::NotOlder { than: now.before(age) + STALENESS_MARGIN, own_commit }
}
