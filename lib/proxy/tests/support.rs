//! Fixtures for tests of the proxy without sockets: an in-memory store with a
//! clock ([`Fixture`]), and functions that drive an engine or a coordinator.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::{GroupId, InstanceId, LogPosition, ServerId, Term};
use masticreel_base::position::TermPosition;
use masticreel_proxy::caller::CallerId;
use masticreel_proxy::connections::ConnectionId;
use masticreel_proxy::coordinator::{
    ControlRequest, Coordinator, CoordinatorAction, Purpose, StoreLease,
};
use masticreel_proxy::directory::{Consistency, Document, GroupLimits, Route, Server};
use masticreel_proxy::engine::{Action, Context, Engine, EngineSettings};
use masticreel_proxy::metrics::Metrics;
use masticreel_proxy::moment::Moment;
use masticreel_proxy::organisations::Organisations;
use masticreel_proxy::protocol::{ProtocolError, StoreContent, StoreProtocol, UpstreamMessage};
use masticreel_proxy::records::{
    COORDINATOR_KEY, Capacity, GroupRecord, Item, MemberRecord, Phase, Placement, StoreAnswer,
    StoreCall, StoreReply, group_key, live_key, member_key,
};
use masticreel_proxy::statement::{Access, Answer, Command, Role, SessionState, Statement};
use masticreel_proxy::store_view::StoreView;
use serde::Serialize;
use slog::{Discard, Logger, o};

pub const GROUP: &str = "ledger";
pub const OWN: &str = "proxy-1";
pub const INCARNATION: u64 = 7;
/// How long servers may be used after they have announced that they are leaving.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(7);
/// How soon a configuration must be active everywhere.
pub const CONFIGURATION_DEADLINE: Duration = Duration::from_secs(5);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn group() -> GroupId {
    GROUP.into()
}

pub fn position(term: u64, number: u64) -> TermPosition {
    TermPosition::new(Term(term), LogPosition(number))
}

/// A store protocol that looks up the parsed content of a key instead of decoding
/// its value.
#[derive(Debug, Default)]
pub struct StubStore {
    contents: HashMap<String, StoreContent>,
}

impl StoreProtocol for StubStore {
    fn encode(&self, _call: &StoreCall, _output: &mut Vec<u8>) {}

    fn decode(
        &self,
        _call: &StoreCall,
        _input: &mut Vec<u8>,
    ) -> Result<Option<StoreReply>, ProtocolError> {
        Ok(None)
    }

    fn parse_content(&self, key: &str, _value: &[u8]) -> StoreContent {
        self.contents.get(key).cloned().unwrap_or(StoreContent::Record)
    }

    fn server_of_key(&self, _key: &str) -> Option<ServerId> {
        None
    }
}

/// Returns a status query of the coordinator.
pub fn status_request(server: &str, sent_at: Moment) -> ControlRequest {
    ControlRequest {
        server: server.into(),
        address: ([127, 0, 0, 1], 1000).into(),
        group: group(),
        command: Command::Status,
        sent_at,
    }
}

/// The items of a store, an instance's view of them, and the current time.
#[derive(Debug)]
pub struct Fixture {
    pub store: StubStore,
    pub items: BTreeMap<String, Item>,
    pub revision: u64,
    pub now: Moment,
    pub view: StoreView,
    /// Whether [`Fixture::refresh`] does nothing, as if the store did not answer the
    /// instance's watch calls.
    pub is_cut_off: bool,
    /// How many connections each server accepts, for documents put afterwards.
    pub max_connections: usize,
    /// How many replicas must receive a commit before it is acknowledged, for documents put
    /// afterwards.
    pub sync_replicas: usize,
    /// The organisations, for documents put afterwards.
    pub organisations: Option<Organisations>,
    /// Whether routes are public, in documents put afterwards.
    pub is_public: bool,
    /// How long transactions may be idle, by documents put afterwards.
    pub transaction_idle_timeout: Duration,
    /// The group of routes, servers and records that are put afterwards.
    pub group: GroupId,
}

impl Fixture {
    pub fn new() -> Self {
        Self {
            store: StubStore::default(),
            items: BTreeMap::new(),
            revision: 100,
            now: Moment::from_start(Duration::from_secs(1000)),
            view: StoreView::default(),
            is_cut_off: false,
            max_connections: 16,
            sync_replicas: 0,
            organisations: None,
            is_public: false,
            transaction_idle_timeout: Duration::from_secs(3),
            group: group(),
        }
    }

    /// Creates a group of three servers whose primary is `s1`, and one instance
    /// that uses it.
    pub fn serving() -> Self {
        Self::serving_with_sync_replicas(0)
    }

    /// Creates the same as [`Fixture::serving`], in a group whose commits are acknowledged
    /// once this many replicas have received them.
    pub fn serving_with_sync_replicas(sync_replicas: usize) -> Self {
        let mut fixture = Self { sync_replicas, ..Self::new() };
        fixture.put_document(Consistency::Latest);
        for (id, role) in [("s1", Role::Primary), ("s2", Role::Replica), ("s3", Role::Replica)] {
            fixture.put_server(id, role, false);
        }
        fixture.put_record(1, Phase::Serving, "s1");
        fixture.put_member(OWN, INCARNATION);
        fixture.refresh();
        fixture
    }

    pub fn put_document(&mut self, consistency: Consistency) {
        self.put_documents(&[("db", consistency, 1)]);
    }

    pub fn put_documents(&mut self, routes: &[(&str, Consistency, u8)]) {
        self.revision += 1;
        let route = |(database, consistency, urgency): &(&str, Consistency, u8)| {
            let route = Route {
                name: (*database).into(),
                group: self.group.clone(),
                consistency: *consistency,
                statement_timeout: ms(800),
                target_latency: ms(100),
                urgency: *urgency,
                is_public: self.is_public,
            };
            (Arc::from(*database), Arc::new(route))
        };
        let document = Document {
            version: self.revision,
            routes: routes.iter().map(route).collect(),
            groups: HashMap::from([(
                self.group.clone(),
                GroupLimits {
                    max_connections: self.max_connections,
                    sync_replicas: self.sync_replicas,
                },
            )]),
            transaction_idle_timeout: Some(self.transaction_idle_timeout),
            organisations: self.organisations.clone(),
        };
        self.put_content("document", StoreContent::Document(document));
    }

    pub fn put_server(&mut self, id: &str, role: Role, is_leaving: bool) {
        let number: u16 =
            id.trim_start_matches('s').parse().expect("server ids are an s and a number");
        self.put_server_at(number, id, role, is_leaving);
    }

    /// Puts the entry of a server with the address and the failure domain of this number.
    pub fn put_server_at(&mut self, number: u16, id: &str, role: Role, is_leaving: bool) {
        let server = Server {
            id: id.into(),
            group: self.group.clone(),
            address: ([127, 0, 0, 1], 1000 + number).into(),
            domain: format!("domain-{number}").as_str().into(),
            slots: 2,
            is_leaving,
            role: Some(role),
            started_ms: 1,
        };
        self.put_content(&format!("server/{id}"), StoreContent::Server(server));
    }

    fn put_content(&mut self, key: &str, content: StoreContent) {
        self.store.contents.insert(key.to_owned(), content);
        self.put(key, &0);
    }

    pub fn put<T>(&mut self, key: &str, value: &T)
    where
        T: Serialize,
    {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item {
            key: key.into(),
            value: serde_json::to_vec(value).expect("plain values"),
            revision: self.revision,
            created,
        };
        self.items.insert(key.to_owned(), item);
    }

    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.items.remove(key);
    }

    pub fn put_record(&mut self, epoch: u64, phase: Phase, primary: &str) {
        self.put_record_of_term(1, epoch, phase, primary);
    }

    pub fn put_record_of_term(&mut self, term: u64, epoch: u64, phase: Phase, primary: &str) {
        let record = GroupRecord {
            epoch,
            phase,
            primary: primary.into(),
            term: Term(term),
            candidate: None,
            term_starts: Vec::new(),
        };
        self.put(&group_key(&self.group.clone()), &record);
    }

    pub fn put_member(&mut self, instance: &str, incarnation: u64) {
        let instance: InstanceId = instance.into();
        self.put(&live_key(&instance), &incarnation);
        self.put(
            &member_key(&instance),
            &MemberRecord {
                incarnation,
                stopped: Vec::new(),
                address: address(instance.as_str()),
                domain: None,
                allocates_quotas: true,
                ..MemberRecord::default()
            },
        );
    }

    pub fn confirm_stop(&mut self, instance: &str, incarnation: u64, epoch: u64) {
        let record = MemberRecord {
            incarnation,
            stopped: vec![(group(), epoch)],
            address: address(instance),
            domain: None,
            ..MemberRecord::default()
        };
        self.put(&member_key(&instance.into()), &record);
    }

    /// Gives the coordinator role to the instance [`OWN`].
    pub fn make_coordinator(&mut self) {
        self.put(COORDINATOR_KEY, &(OWN, INCARNATION));
    }

    /// Updates the instance's view to the current items.
    pub fn refresh(&mut self) {
        if self.is_cut_off {
            return;
        }
        let items: Vec<Item> = self.items.values().cloned().collect();
        self.view.replace(&items, &self.store);
        self.view.confirm(self.now, self.revision);
    }

    pub fn advance(&mut self, duration: Duration) {
        self.now = self.now + duration;
    }

    pub fn context(&self) -> Context<'_> {
        Context { view: &self.view, now: self.now }
    }

    /// Executes a transaction on the items.
    pub fn commit(&mut self, call: &StoreCall) -> StoreAnswer {
        let StoreCall::Commit { expected, writes } = call else {
            panic!("expected a transaction, got {call:?}");
        };
        let holds = expected.iter().all(|(key, revision)| {
            self.items.get(key).map_or(0, |item| item.revision) == *revision
        });
        if !holds {
            return StoreAnswer::Conflict;
        }
        self.revision += 1;
        for write in writes {
            match &write.value {
                Some(value) => {
                    let known = self.items.get(&write.key).map(|item| item.created);
                    let item = Item {
                        key: write.key.as_str().into(),
                        value: value.clone(),
                        revision: self.revision,
                        created: known.unwrap_or(self.revision),
                    };
                    self.items.insert(write.key.clone(), item);
                }
                None => {
                    self.items.remove(&write.key);
                }
            }
        }
        StoreAnswer::Committed { revision: self.revision }
    }
}

/// Returns the address of an instance, derived from the number in its name.
pub fn address(instance: &str) -> Option<SocketAddr> {
    let number: u16 = instance.rsplit('-').next()?.parse().ok()?;
    Some(([127, 0, 0, 1], 2000 + number).into())
}

pub fn log() -> Logger {
    Logger::root(Discard, o!())
}

pub fn engine() -> Engine {
    let settings = EngineSettings {
        instance: OWN.into(),
        incarnation: INCARNATION,
        domain: "domain-2".into(),
        drain_timeout: Some(DRAIN_TIMEOUT),
        configuration_deadline: CONFIGURATION_DEADLINE,
    };
    Engine::new(settings, log(), Metrics::new())
}

pub fn coordinator() -> Coordinator {
    coordinator_of(OWN)
}

pub fn coordinator_of(instance: &str) -> Coordinator {
    Coordinator::new(
        instance.into(),
        INCARNATION,
        Placement {
            address: address(instance).expect("instance names end in a number"),
            domain: "domain-2".into(),
            capacity: Capacity::default(),
        },
        StoreLease::new(Duration::from_secs(1)),
        log(),
    )
}

/// Runs one tick of a coordinator, executes its store calls, including those for
/// its lease, and returns all of its actions, the executed ones too.
pub fn tick_with_store(
    fixture: &mut Fixture,
    coordinator: &mut Coordinator,
) -> Vec<CoordinatorAction> {
    let mut actions = Vec::new();
    coordinator.tick(&fixture.view, fixture.now);
    for action in coordinator.take_actions() {
        match action {
            CoordinatorAction::Store(purpose, call) => {
                let answer = match &call {
                    StoreCall::Grant { lifetime } => {
                        StoreAnswer::Lease { lease: 5, lifetime: *lifetime }
                    }
                    StoreCall::Renew { .. } => StoreAnswer::Lease { lease: 0, lifetime: ms(3200) },
                    call => fixture.commit(call),
                };
                let now = fixture.now;
                coordinator.store_answered(now, now, &purpose, Some(&answer));
                for (group, record) in coordinator.take_committed_records() {
                    fixture.view.apply_own_record(&group, record);
                }
                if let Some(member) = coordinator.take_committed_registration() {
                    fixture.view.apply_own_registration(&OWN.into(), member);
                }
                fixture.refresh();
                actions.push(CoordinatorAction::Store(purpose, call));
            }
            action => actions.push(action),
        }
    }
    actions
}

/// Returns whether an action is a store call for a purpose.
pub fn is_for(action: &CoordinatorAction, expected: &Purpose) -> bool {
    matches!(action, CoordinatorAction::Store(purpose, _) if purpose == expected)
}

pub fn read(item: &str) -> Result<Statement, masticreel_proxy::statement::Failure> {
    Ok(Statement::Direct { access: Access::Read, text: format!("READ {item}").into() })
}

pub fn write(item: &str) -> Result<Statement, masticreel_proxy::statement::Failure> {
    Ok(Statement::Direct { access: Access::Write, text: format!("WRITE {item} x").into() })
}

impl Default for Fixture {
    fn default() -> Self {
        Self::new()
    }
}

/// The actions taken from an engine, sorted by kind.
#[derive(Debug, Default)]
pub struct EngineActions {
    pub answers: Vec<(CallerId, Answer)>,
    pub connects: Vec<(ConnectionId, ServerId)>,
    pub sent: Vec<(ConnectionId, Command)>,
    pub disconnects: Vec<ConnectionId>,
    pub others: Vec<Action>,
}

pub fn take_engine_actions(engine: &mut Engine) -> EngineActions {
    let mut actions = EngineActions::default();
    for action in engine.take_actions() {
        match action {
            Action::Answer(id, answer) => actions.answers.push((id, answer)),
            Action::Connect { connection, server, .. } => {
                actions.connects.push((connection, server));
            }
            Action::Send(id, command) => actions.sent.push((id, command)),
            Action::Disconnect(id) => actions.disconnects.push(id),
            other => actions.others.push(other),
        }
    }
    actions
}

/// Makes a server accept a connection. A request for its role, if the engine sends
/// one, is completed without a status, which the engine accepts.
pub fn accept(fixture: &Fixture, engine: &mut Engine, id: ConnectionId) -> EngineActions {
    ready(fixture, engine, id, SessionState::Idle, None);
    if engine.expects_role(id) {
        ready(fixture, engine, id, SessionState::Idle, None);
    }
    take_engine_actions(engine)
}

pub fn ready(
    fixture: &Fixture,
    engine: &mut Engine,
    id: ConnectionId,
    state: SessionState,
    position: Option<TermPosition>,
) {
    let message = UpstreamMessage::Ready { state, position };
    engine.upstream_message(fixture.context(), id, message, None);
}

/// Makes a server complete a command successfully.
pub fn complete(
    fixture: &Fixture,
    engine: &mut Engine,
    id: ConnectionId,
    state: SessionState,
    position: Option<TermPosition>,
) -> EngineActions {
    let message = UpstreamMessage::Complete(Some("signature".into()));
    engine.upstream_message(fixture.context(), id, message, None);
    ready(fixture, engine, id, state, position);
    take_engine_actions(engine)
}
