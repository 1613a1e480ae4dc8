//! Tests which organisation an operation runs for, and which connections its work uses, on
//! direct connections and at the owner of a server's connections.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use masticreel_base::ids::ServerId;
use masticreel_proxy::caller::CallerId;
use masticreel_proxy::connections::ConnectionId;
use masticreel_proxy::directory::Consistency;
use masticreel_proxy::engine::{Action, Engine, Loss};
use masticreel_proxy::frames;
use masticreel_proxy::organisations::{ApiKey, Organisation, Organisations};
use masticreel_proxy::protocol::UpstreamMessage;
use masticreel_proxy::relays::{
    PooledId, RelayAction, RelayAnswer, RelayCall, RelayOptions, RelaySessionId, Relays, is_relayed,
};
use masticreel_proxy::statement::{
    Access, Command, FailureKind, Outcome, SessionState, Statement, Work,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use serde::{Deserialize, Serialize};
use support::*;

const CALLER: CallerId = CallerId(1);

fn organisations(keys: &[(&str, &[&str])]) -> Organisations {
    Organisations::new(keys.iter().map(|(name, keys)| {
        let organisation = Organisation { name: (*name).into(), quota: None };
        (organisation, keys.iter().map(|key| ApiKey::new(key)).collect())
    }))
}

/// Puts the next version of the configuration, with these keys.
fn configure(fixture: &mut Fixture, keys: Option<&[(&str, &[&str])]>) {
    fixture.organisations = keys.map(organisations);
    fixture.put_document(Consistency::Latest);
    fixture.refresh();
}

/// Creates one instance that uses the servers directly.
fn serving(keys: &[(&str, &[&str])]) -> (Fixture, Engine) {
    let mut fixture = Fixture::serving();
    configure(&mut fixture, Some(keys));
    (fixture, engine())
}

fn open(
    fixture: &Fixture,
    engine: &mut Engine,
    caller: CallerId,
    key: Option<&str>,
) -> Result<(), FailureKind> {
    engine
        .open_session(fixture.context(), caller, "db".into(), key.map(ApiKey::new))
        .map_err(|failure| failure.kind)
}

fn request(
    fixture: &Fixture,
    engine: &mut Engine,
    caller: CallerId,
    statement: Statement,
) -> Vec<Action> {
    engine.request(fixture.context(), caller, "t".into(), Ok(statement));
    engine.take_actions()
}

fn write_of(item: &str) -> Statement {
    write(item).expect("a statement")
}

/// Returns the kinds of failures that callers were answered, and whose sessions end.
fn outcomes(actions: &[Action]) -> (Vec<Option<FailureKind>>, Vec<CallerId>) {
    let failure = |outcome: &Outcome| outcome.as_ref().err().map(|failure| failure.kind);
    let mut answers = Vec::new();
    let mut ended = Vec::new();
    for action in actions {
        match action {
            Action::Answer(_, answer) => answers.push(failure(&answer.outcome)),
            Action::EndSession(id) => ended.push(*id),
            _ => {}
        }
    }
    (answers, ended)
}

/// Returns the connections that are opened, with the organisations that servers are told.
fn connects(actions: &[Action]) -> Vec<(ConnectionId, Option<String>)> {
    let connect = |action: &Action| match action {
        Action::Connect { connection, organisation, .. } => {
            Some((*connection, organisation.as_deref().map(str::to_owned)))
        }
        _ => None,
    };
    actions.iter().filter_map(connect).collect()
}

fn runs(actions: &EngineActions) -> Vec<ConnectionId> {
    let is_run = |command: &Command| matches!(command, Command::Run { .. });
    actions.sent.iter().filter(|(_, command)| is_run(command)).map(|(id, _)| *id).collect()
}

#[test]
fn test_unknown_key_is_refused_only_by_an_up_to_date_configuration() {
    let (mut fixture, mut engine) = serving(&[("acme", &["k-1"])]);
    assert_eq!(open(&fixture, &mut engine, CALLER, Some("k-1")), Ok(()));
    let unauthenticated = Err(FailureKind::Unauthenticated);
    assert_eq!(open(&fixture, &mut engine, CallerId(2), Some("k-2")), unauthenticated);
    assert_eq!(open(&fixture, &mut engine, CallerId(2), None), unauthenticated);
    assert_eq!(open(&fixture, &mut engine, CallerId(2), Some("a b")), Err(FailureKind::Malformed));
    fixture.advance(ms(2901));
    assert_eq!(open(&fixture, &mut engine, CallerId(2), Some("k-2")), Err(FailureKind::Busy));
    assert_eq!(open(&fixture, &mut engine, CallerId(2), Some("k-1")), Ok(()));
}

#[test]
fn test_public_route_needs_no_key_and_names_the_organisation_of_a_known_one() {
    let mut fixture = Fixture::serving();
    fixture.is_public = true;
    configure(&mut fixture, Some(&[("acme", &["k-1"])]));
    for (key, name) in [(None, None), (Some("other"), None), (Some("k-1"), Some("acme"))] {
        let mut engine = engine();
        assert_eq!(open(&fixture, &mut engine, CALLER, key), Ok(()));
        let actions = request(&fixture, &mut engine, CALLER, write_of("a"));
        assert_eq!(connects(&actions)[0].1.as_deref(), name);
    }
}

/// Guards against a configuration without organisations that refuses callers for what they
/// send in the place of a key.
#[test]
fn test_configuration_without_organisations_accepts_any_key_and_names_none() {
    let mut fixture = Fixture::serving();
    configure(&mut fixture, None);
    for key in [None, Some("a b"), Some("k-1")] {
        let mut engine = engine();
        assert_eq!(open(&fixture, &mut engine, CALLER, key), Ok(()));
        let actions = request(&fixture, &mut engine, CALLER, write_of("a"));
        assert_eq!(connects(&actions)[0].1, None);
    }
}

/// Guards against a removed key that keeps a session in use: each kind of statement outside a
/// transaction is refused, and nothing that was sent behind it runs.
#[test]
fn test_operation_with_a_removed_key_is_refused_and_ends_the_session() {
    let statements = [
        write_of("a"),
        Statement::Begin { read_only: false },
        Statement::Set { name: "v".into(), value: "1".into() },
    ];
    for statement in statements {
        let (mut fixture, mut engine) = serving(&[("acme", &["k-1"])]);
        open(&fixture, &mut engine, CALLER, Some("k-1")).expect("the key is known");
        configure(&mut fixture, Some(&[("acme", &["k-2"])]));
        let actions = request(&fixture, &mut engine, CALLER, statement);
        assert_eq!(outcomes(&actions), (vec![Some(FailureKind::Unauthenticated)], vec![CALLER]));
        assert_eq!(actions.len(), 2, "nothing is opened or sent: {actions:?}");
        assert_eq!(request(&fixture, &mut engine, CALLER, write_of("b")), []);
    }
}

#[test]
fn test_idle_session_ends_once_its_key_is_removed_and_the_configuration_is_certain() {
    let (mut fixture, mut engine) = serving(&[("acme", &["k-1", "k-2"])]);
    open(&fixture, &mut engine, CALLER, Some("k-1")).expect("the key is known");
    open(&fixture, &mut engine, CallerId(2), Some("k-2")).expect("the key is known");
    engine.tick(fixture.context());
    assert_eq!(outcomes(&engine.take_actions()).1, []);
    configure(&mut fixture, Some(&[("acme", &["k-2"])]));
    fixture.advance(ms(2901));
    engine.tick(fixture.context());
    assert_eq!(outcomes(&engine.take_actions()).1, [], "a newer version may have the key");
    fixture.refresh();
    engine.tick(fixture.context());
    assert_eq!(outcomes(&engine.take_actions()).1, [CALLER]);
}

/// Guards against a transaction that is cut off, or whose end is not followed by that of the
/// session.
#[test]
fn test_transaction_goes_on_when_its_key_is_removed_and_the_session_ends_after_it() {
    let (mut fixture, mut engine) = serving(&[("acme", &["k-1"])]);
    open(&fixture, &mut engine, CALLER, Some("k-1")).expect("the key is known");
    request(&fixture, &mut engine, CALLER, Statement::Begin { read_only: false });
    let opened = connects(&request(&fixture, &mut engine, CALLER, write_of("a")));
    let (connection, name) = opened[0].clone();
    assert_eq!(name.as_deref(), Some("acme"));
    accept(&fixture, &mut engine, connection);
    complete(&fixture, &mut engine, connection, SessionState::Transaction, None);
    complete(&fixture, &mut engine, connection, SessionState::Transaction, None);
    configure(&mut fixture, Some(&[("beta", &["k-1-other"])]));
    engine.tick(fixture.context());
    assert_eq!(outcomes(&engine.take_actions()).1, []);
    let commit = request(&fixture, &mut engine, CALLER, Statement::Commit);
    assert!(matches!(&commit[..], [Action::Send(id, _)] if *id == connection), "{commit:?}");
    let actions = complete(&fixture, &mut engine, connection, SessionState::Idle, None);
    assert_eq!(actions.answers.len(), 1);
    assert!(actions.answers[0].1.outcome.is_ok());
    assert!(actions.others.contains(&Action::EndSession(CALLER)), "{:?}", actions.others);
}

/// A caller whose transaction has run a statement as the organisation `acme`.
struct TransactionOfAcme {
    fixture: Fixture,
    engine: Engine,
    connection: ConnectionId,
}

/// The configuration in which another organisation has the caller's key.
const MOVED: &[(&str, &[&str])] = &[("acme", &[]), ("beta", &["k-1"])];
/// The configuration in which no organisation has it.
const REMOVED: &[(&str, &[&str])] = &[("acme", &[]), ("beta", &[])];

impl TransactionOfAcme {
    fn begin(read_only: bool) -> Self {
        let mut fixture = Fixture::serving();
        fixture.transaction_idle_timeout = Duration::from_secs(60);
        configure(&mut fixture, Some(&[("acme", &["k-1"])]));
        let mut engine = engine();
        open(&fixture, &mut engine, CALLER, Some("k-1")).expect("the key is known");
        request(&fixture, &mut engine, CALLER, Statement::Begin { read_only });
        let opened = connects(&request(&fixture, &mut engine, CALLER, read("a").expect("a read")));
        let connection = opened[0].0;
        accept(&fixture, &mut engine, connection);
        let mut begun = Self { fixture, engine, connection };
        begun.answer(SessionState::Transaction);
        begun.answer(SessionState::Transaction);
        begun
    }

    fn answer(&mut self, state: SessionState) -> EngineActions {
        complete(&self.fixture, &mut self.engine, self.connection, state, None)
    }

    /// Activates a configuration that the store accepted at most 300 ms ago.
    fn configure(&mut self, keys: &[(&str, &[&str])]) {
        self.fixture.advance(ms(300));
        configure(&mut self.fixture, Some(keys));
        self.engine.tick(self.fixture.context());
        self.engine.take_actions();
    }

    /// Lets a time pass in which the store answers; returns what is done at its end.
    fn pass(&mut self, time: Duration) -> Vec<Action> {
        self.fixture.advance(time);
        let actions = self.tick();
        self.fixture.refresh();
        actions
    }

    fn tick(&mut self) -> Vec<Action> {
        self.engine.tick(self.fixture.context());
        self.engine.take_actions()
    }

    fn request(&mut self, statement: Statement) -> Vec<Action> {
        request(&self.fixture, &mut self.engine, CALLER, statement)
    }

    fn is_rolled_back(&self, actions: &[Action]) -> bool {
        actions.contains(&Action::Send(self.connection, Command::Rollback))
    }

    /// Checks that a statement is not run and that its failure says so.
    #[track_caller]
    fn assert_aborted(&mut self, statement: Statement) {
        let actions = self.request(statement);
        assert_eq!(outcomes(&actions).0, [Some(FailureKind::Aborted)]);
        let is_run = |action: &Action| matches!(action, Action::Send(_, Command::Run { .. }));
        assert!(!actions.iter().any(is_run), "{actions:?}");
    }
}

/// Guards against statements that run as an organisation which has lost the caller's key, for
/// as long as its transaction lasts.
#[test]
fn test_transaction_is_rolled_back_once_its_key_must_not_serve_its_organisation() {
    for keys in [MOVED, REMOVED] {
        for is_idle in [true, false] {
            let mut transaction = TransactionOfAcme::begin(is_idle);
            transaction.configure(keys);
            transaction.pass(CONFIGURATION_DEADLINE - ms(301));
            transaction.request(read("a").expect("a read"));
            let served = transaction.answer(SessionState::Transaction).answers;
            assert!(served[0].1.outcome.is_ok(), "it may go on until the deadline");
            transaction.fixture.advance(ms(1));
            if is_idle {
                let actions = transaction.tick();
                assert!(transaction.is_rolled_back(&actions), "{actions:?}");
            }
            transaction.assert_aborted(read("a").expect("a read"));
            let actions = transaction.request(Statement::Rollback);
            let ended = if keys == REMOVED { vec![CALLER] } else { Vec::new() };
            assert_eq!(outcomes(&actions), (vec![None], ended));
        }
    }
}

/// As above, for a commit, which would make the work of the former organisation last.
#[test]
fn test_commit_is_refused_once_the_key_must_not_serve_its_organisation() {
    let mut transaction = TransactionOfAcme::begin(false);
    transaction.request(write_of("a"));
    transaction.answer(SessionState::Transaction);
    transaction.configure(MOVED);
    transaction.fixture.advance(CONFIGURATION_DEADLINE);
    transaction.assert_aborted(Statement::Commit);
    transaction.fixture.refresh();
    let next = transaction.request(write_of("b"));
    assert_eq!(connects(&next).first().and_then(|(_, name)| name.as_deref()), Some("beta"));
}

/// Guards against a deadline that each further version begins anew, and one that is left over
/// when the key is back.
#[test]
fn test_deadline_of_a_transaction_counts_from_the_version_that_took_its_key() {
    let mut transaction = TransactionOfAcme::begin(false);
    transaction.configure(MOVED);
    transaction.pass(ms(2000));
    transaction.configure(&[("acme", &["k-1"]), ("beta", &[])]);
    transaction.pass(CONFIGURATION_DEADLINE);
    transaction.request(read("a").expect("a read"));
    assert!(transaction.answer(SessionState::Transaction).answers[0].1.outcome.is_ok());
    transaction.configure(MOVED);
    transaction.pass(ms(2000));
    transaction.configure(REMOVED);
    transaction.fixture.advance(CONFIGURATION_DEADLINE - ms(2600));
    transaction.assert_aborted(read("a").expect("a read"));
}

/// Guards against a statement that is cut off though it was sent in time.
#[test]
fn test_statement_that_runs_at_the_deadline_of_its_key_is_answered() {
    let mut transaction = TransactionOfAcme::begin(false);
    transaction.configure(MOVED);
    transaction.pass(CONFIGURATION_DEADLINE - ms(400));
    transaction.request(write_of("a"));
    transaction.pass(ms(500));
    assert!(transaction.answer(SessionState::Transaction).answers[0].1.outcome.is_ok());
    let actions = transaction.tick();
    assert!(transaction.is_rolled_back(&actions), "{actions:?}");
}

/// Guards against a transaction that is refused though nothing of it has run yet.
#[test]
fn test_transaction_that_has_run_nothing_follows_its_key() {
    let (mut fixture, mut engine) = serving(&[("acme", &["k-1"])]);
    open(&fixture, &mut engine, CALLER, Some("k-1")).expect("the key is known");
    request(&fixture, &mut engine, CALLER, Statement::Begin { read_only: false });
    configure(&mut fixture, Some(MOVED));
    engine.tick(fixture.context());
    let opened = connects(&request(&fixture, &mut engine, CALLER, write_of("a")));
    assert_eq!(opened.first().and_then(|(_, name)| name.as_deref()), Some("beta"));
}

/// Guards against transactions that end because their route has changed, which counts from the
/// next one on.
#[test]
fn test_transaction_on_a_route_that_was_public_goes_on() {
    let mut fixture = Fixture::serving();
    fixture.is_public = true;
    fixture.transaction_idle_timeout = Duration::from_secs(60);
    configure(&mut fixture, Some(&[("acme", &[])]));
    let mut engine = engine();
    open(&fixture, &mut engine, CALLER, None).expect("the route is public");
    request(&fixture, &mut engine, CALLER, Statement::Begin { read_only: false });
    let connection = connects(&request(&fixture, &mut engine, CALLER, write_of("a")))[0].0;
    accept(&fixture, &mut engine, connection);
    for _ in 0..2 {
        complete(&fixture, &mut engine, connection, SessionState::Transaction, None);
    }
    fixture.is_public = false;
    configure(&mut fixture, Some(&[("acme", &[])]));
    fixture.advance(CONFIGURATION_DEADLINE);
    engine.tick(fixture.context());
    engine.take_actions();
    let actions = request(&fixture, &mut engine, CALLER, write_of("b"));
    assert!(matches!(&actions[..], [Action::Send(id, _)] if *id == connection), "{actions:?}");
}

#[test]
fn test_moved_key_is_served_as_its_new_organisation_from_the_next_operation_on() {
    let (mut fixture, mut engine) = serving(&[("acme", &["k-1"])]);
    open(&fixture, &mut engine, CALLER, Some("k-1")).expect("the key is known");
    let first = connects(&request(&fixture, &mut engine, CALLER, write_of("a")));
    assert_eq!(runs(&accept(&fixture, &mut engine, first[0].0)), [first[0].0]);
    complete(&fixture, &mut engine, first[0].0, SessionState::Idle, None);
    configure(&mut fixture, Some(&[("beta", &["k-1"])]));
    let actions = request(&fixture, &mut engine, CALLER, write_of("b"));
    let second = connects(&actions);
    assert_eq!(second.iter().map(|(_, name)| name.as_deref()).collect::<Vec<_>>(), [Some("beta")]);
    assert!(!actions.iter().any(|action| matches!(action, Action::Send(_, Command::Run { .. }))));
    assert_eq!(runs(&accept(&fixture, &mut engine, second[0].0)), [second[0].0]);
}

/// Guards against an instance without room for another connection that never serves a second
/// organisation, since its connections are idle and kept for the first.
#[test]
fn test_idle_direct_connection_of_another_organisation_makes_room() {
    let mut fixture = Fixture::serving();
    fixture.max_connections = 2;
    configure(&mut fixture, Some(&[("acme", &["k-1"]), ("beta", &["k-2"])]));
    let mut engine = engine();
    open(&fixture, &mut engine, CALLER, Some("k-1")).expect("the key is known");
    open(&fixture, &mut engine, CallerId(2), Some("k-2")).expect("the key is known");
    let first = connects(&request(&fixture, &mut engine, CALLER, write_of("a")))[0].0;
    accept(&fixture, &mut engine, first);
    let waiting = request(&fixture, &mut engine, CallerId(2), write_of("b"));
    assert_eq!(connects(&waiting), [], "the only connection is in use");
    let released = complete(&fixture, &mut engine, first, SessionState::Idle, None);
    assert_eq!(released.disconnects, [first]);
    let second = released.connects[0].0;
    assert_eq!(runs(&accept(&fixture, &mut engine, second)), [second]);
}

/// Relayed sessions of one owner and the organisations told to the server.
struct Owner {
    fixture: Fixture,
    relays: Relays,
    names: BTreeMap<PooledId, Option<String>>,
    /// Connections that were opened, and not accepted yet.
    opening: Vec<PooledId>,
    closed: Vec<PooledId>,
    sent: Vec<(PooledId, String)>,
    failures: Vec<FailureKind>,
    /// Commands besides statements that are unanswered, with the state after them.
    setup: Vec<(PooledId, SessionState)>,
    tags: BTreeMap<String, RelaySessionId>,
}

impl Owner {
    /// The server s2 has two slots, so three statements run at a time, and one connection is
    /// opened at a time.
    fn new(max_connections: usize) -> Self {
        let mut fixture = Fixture::serving();
        fixture.max_connections = max_connections;
        configure(&mut fixture, Some(&[("acme", &["k-1"])]));
        Self {
            fixture,
            relays: Relays::new(OWN.into(), Some(DRAIN_TIMEOUT), log()),
            names: BTreeMap::new(),
            opening: Vec::new(),
            closed: Vec::new(),
            sent: Vec::new(),
            failures: Vec::new(),
            setup: Vec::new(),
            tags: BTreeMap::new(),
        }
    }

    fn execute(&mut self, session: RelaySessionId, name: &str, command: Command) {
        let options = RelayOptions {
            urgency: 2,
            patience: ms(2000),
            wanted_within: ms(2000),
            expected: ms(5),
            organisation: Some(name.into()),
        };
        self.relays.execute(self.fixture.context(), session, command, options);
        self.collect();
    }

    /// Sends a write of an organisation in a session of its own, or in that of an earlier one
    /// of this tag.
    fn run(&mut self, name: &str, tag: &str) {
        let session =
            *self.tags.entry(tag.into()).or_insert_with(|| self.relays.open_session(&"s2".into()));
        let work = Work::Direct { access: Access::Write, text: "WRITE".into() };
        self.execute(
            session,
            name,
            Command::Run { tag: tag.into(), work, handle: None, floor: None },
        );
    }

    fn begin(&mut self, name: &str, tag: &str) {
        let session = self.relays.open_session(&"s2".into());
        self.tags.insert(tag.into(), session);
        self.execute(session, name, Command::Begin { read_only: false, floor: None });
        self.run(name, tag);
    }

    fn collect(&mut self) {
        for action in self.relays.take_actions() {
            match action {
                RelayAction::Open { connection, organisation, .. } => {
                    self.names.insert(connection, organisation.as_deref().map(str::to_owned));
                    self.opening.push(connection);
                }
                RelayAction::Send(id, Command::Run { tag, .. }) => {
                    self.sent.push((id, tag.to_string()));
                }
                RelayAction::Send(id, Command::Begin { .. }) => {
                    self.setup.push((id, SessionState::Transaction));
                }
                RelayAction::Send(id, Command::Rollback) => {
                    self.setup.push((id, SessionState::Idle));
                }
                RelayAction::Close(id) => {
                    self.closed.push(id);
                    self.opening.retain(|known| *known != id);
                    self.setup.retain(|(known, _)| *known != id);
                }
                RelayAction::Answer(_, RelayAnswer::Message(UpstreamMessage::Error(failure))) => {
                    self.failures.push(failure.kind);
                }
                _ => {}
            }
        }
        let is_open = |id: &PooledId| !self.closed.contains(id);
        let names = self.names.iter().filter(|(id, _)| is_open(id)).map(|(_, name)| name);
        // Those without a name test whether a silent server accepts connections.
        let open = names.flatten().count();
        assert!(open <= (self.fixture.max_connections / 2).max(1), "{open} connections");
        assert!(self.opening.len() <= 1, "one slot is left to statements");
    }

    fn ready(&mut self, id: PooledId, state: SessionState) {
        let message = UpstreamMessage::Ready { state, position: Some(position(1, 5)) };
        self.relays.pooled_message(self.fixture.context(), id, message, None);
        self.collect();
    }

    /// Accepts the connections that are being opened, until no more are opened.
    fn accept_all(&mut self) {
        while let Some(id) = self.opening.pop() {
            self.ready(id, SessionState::Idle);
        }
    }

    /// As [`Owner::accept_all`], for connections on which a transaction begins at once.
    fn accept_all_and_begin(&mut self) {
        while let Some(id) = self.opening.pop() {
            self.ready(id, SessionState::Idle);
            self.ready(id, SessionState::Transaction);
        }
    }

    fn tick(&mut self, advance_ms: u64) {
        self.fixture.advance(ms(advance_ms));
        self.fixture.view.confirm(self.fixture.now, self.fixture.revision);
        self.relays.tick(self.fixture.context());
        self.collect();
    }

    /// Returns the name told to the server on the connection on which a statement was sent.
    fn sent_as(&self, tag: &str) -> Option<&str> {
        let (id, _) = self.sent.iter().find(|(_, sent)| sent == tag)?;
        self.names[id].as_deref()
    }

    fn connection_of(&self, tag: &str) -> PooledId {
        self.sent.iter().find(|(_, sent)| sent == tag).expect("the statement was sent").0
    }

    fn complete(&mut self, tag: &str, state: SessionState) {
        let id = self.connection_of(tag);
        let message = UpstreamMessage::Complete(Some("signature".into()));
        self.relays.pooled_message(self.fixture.context(), id, message, None);
        self.ready(id, state);
    }
}

/// Guards against a statement that runs on an idle connection opened under another name.
#[test]
fn test_owner_runs_statements_only_on_connections_of_their_organisation() {
    let mut owner = Owner::new(16);
    for (name, tag) in [("acme", "1"), ("beta", "2"), ("acme", "3")] {
        owner.run(name, tag);
        owner.accept_all();
        assert_eq!(owner.sent_as(tag), Some(name));
        owner.complete(tag, SessionState::Idle);
    }
    assert_eq!(owner.connection_of("1"), owner.connection_of("3"));
}

/// Guards against a transaction that goes on under another name on its connection.
#[test]
fn test_owner_ends_a_session_whose_organisation_changes_in_a_transaction() {
    let mut owner = Owner::new(16);
    owner.begin("acme", "1");
    owner.accept_all();
    let id = *owner.names.keys().next().expect("a connection");
    owner.ready(id, SessionState::Transaction);
    owner.complete("1", SessionState::Transaction);
    owner.run("beta", "1");
    assert_eq!(owner.sent.len(), 1, "{:?}", owner.sent);
}

#[test]
fn test_owner_closes_the_least_recently_used_idle_connection_for_another_organisation() {
    let mut owner = Owner::new(4);
    for (name, tag) in [("acme", "1"), ("beta", "2")] {
        owner.run(name, tag);
        owner.accept_all();
        owner.complete(tag, SessionState::Idle);
        owner.tick(10);
    }
    owner.run("gamma", "3");
    assert_eq!(owner.closed, [owner.connection_of("1")]);
    owner.accept_all();
    assert_eq!(owner.sent_as("3"), Some("gamma"));
    owner.run("beta", "4");
    assert_eq!(owner.connection_of("4"), owner.connection_of("2"), "beta kept its connection");
}

/// Guards against an organisation that waits for a connection, or has all it may have, and
/// holds up those that come after it.
#[test]
fn test_organisation_that_waits_for_a_connection_holds_up_no_other() {
    let mut owner = Owner::new(16);
    owner.run("beta", "b-0");
    owner.accept_all();
    owner.complete("b-0", SessionState::Idle);
    for number in 0..20 {
        owner.run("acme", &format!("a-{number}"));
    }
    assert_eq!(owner.sent.len(), 1, "acme's first connection is being opened");
    owner.run("beta", "b-1");
    assert_eq!(owner.sent_as("b-1"), Some("beta"));
}

/// Guards against one organisation whose idle transactions take the connections of all others
/// while these wait.
#[test]
fn test_organisation_has_no_more_than_slots_and_one_while_others_wait() {
    let mut owner = Owner::new(16);
    for number in 0..3 {
        let tag = format!("a-{number}");
        owner.begin("acme", &tag);
        owner.accept_all_and_begin();
        owner.complete(&tag, SessionState::Transaction);
    }
    for number in 0..4 {
        owner.run("gamma", &format!("g-{number}"));
        owner.accept_all();
    }
    assert_eq!(owner.sent_as("g-2"), Some("gamma"));
    assert_eq!(owner.sent_as("g-3"), None, "three statements run at a time");
    owner.begin("acme", "a-3");
    assert_eq!((owner.names.len(), &owner.opening[..]), (6, &[][..]));
    owner.complete("g-0", SessionState::Idle);
    owner.complete("g-1", SessionState::Idle);
    owner.tick(1);
    owner.accept_all_and_begin();
    assert_eq!(owner.sent_as("a-3"), Some("acme"), "nobody else waits");
}

/// Guards against openings, each of which occupies a slot, that don't speed anything up.
#[test]
fn test_no_further_connection_is_opened_for_an_organisation_while_the_server_is_busy() {
    let mut owner = Owner::new(16);
    for (name, tag) in [("gamma", "g-0"), ("gamma", "g-1"), ("acme", "a-0")] {
        owner.run(name, tag);
        owner.accept_all();
    }
    owner.run("acme", "a-1");
    assert_eq!((owner.names.len(), &owner.opening[..]), (3, &[][..]));
    owner.run("beta", "b-0");
    owner.accept_all();
    assert_eq!(owner.names.len(), 4, "beta has none yet");
    owner.complete("g-0", SessionState::Idle);
    assert!(owner.sent_as("b-0").is_some() || owner.sent_as("a-1").is_some());
}

/// Guards against transactions that are idle on all connections, behind which nothing runs.
#[test]
fn test_idle_transactions_leave_connections_to_other_statements() {
    let mut owner = Owner::new(16);
    for number in 0..10 {
        let (name, tag) = (format!("org-{number}"), format!("t-{number}"));
        owner.begin(&name, &tag);
        owner.accept_all_and_begin();
        if owner.sent_as(&tag).is_some() {
            owner.complete(&tag, SessionState::Transaction);
        }
    }
    // The share is 8, less one connection for each of the two slots.
    assert_eq!(owner.sent.len(), 6, "{:?}", owner.sent);
    owner.run("plain", "p");
    owner.accept_all();
    assert_eq!(owner.sent_as("p"), Some("plain"));
    owner.run("org-0", "t-0");
    owner.complete("t-0", SessionState::Idle);
    owner.accept_all_and_begin();
    assert_eq!(owner.sent_as("t-6"), Some("org-6"), "the first that waited begins");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60, rng_seed: RngSeed::Fixed(12), failure_persistence: None, ..Default::default()
    })]

    /// Guards against an order of commands, answers, losses and timeouts after which a
    /// statement runs under another name, or waits past its deadline.
    #[test]
    fn test_no_order_of_events_runs_a_statement_under_another_name(
        max_connections in prop_oneof![Just(4), Just(8), Just(16)],
        steps in vec((0..12_u8, any::<Index>()), 400),
    ) {
        let mut owner = Owner::new(max_connections);
        let mut unanswered: Vec<(PooledId, String)> = Vec::new();
        for (number, (step, index)) in steps.into_iter().enumerate() {
            let name = format!("org-{}", index.index(6));
            let tag = format!("{name}/{number}");
            match step {
                0..3 => owner.run(&name, &tag),
                3 => owner.begin(&name, &tag),
                4..7 if !unanswered.is_empty() => {
                    let (id, _) = unanswered.swap_remove(index.index(unanswered.len()));
                    let is_idle = index.index(2) == 0;
                    let state = if is_idle { SessionState::Idle } else { SessionState::Transaction };
                    owner.ready(id, state);
                }
                7 | 8 => match (owner.setup.pop(), owner.opening.pop()) {
                    (Some((id, state)), opening) => {
                        owner.opening.extend(opening);
                        owner.ready(id, state);
                    }
                    (None, Some(id)) => owner.ready(id, SessionState::Idle),
                    (None, None) => {}
                },
                9 => owner.tick(u64::try_from(index.index(700)).expect("a small number")),
                10 if !owner.tags.is_empty() => {
                    let tag = owner.tags.keys().nth(index.index(owner.tags.len())).cloned();
                    let session = owner.tags.remove(&tag.expect("in range")).expect("known");
                    owner.relays.end_session(owner.fixture.context(), session);
                    owner.collect();
                }
                11 if !owner.names.is_empty() => {
                    let id = owner.names.keys().nth(index.index(owner.names.len())).copied();
                    let id = id.expect("in range");
                    owner.relays.remove_connection(owner.fixture.context(), id, Loss::Closed);
                    owner.collect();
                }
                _ => {}
            }
            for (id, tag) in owner.sent.drain(..) {
                prop_assert_eq!(tag.split('/').next(), owner.names[&id].as_deref());
                unanswered.push((id, tag));
            }
            unanswered.retain(|(id, _)| !owner.closed.contains(id));
        }
        owner.tick(3000);
        prop_assert_eq!(owner.relays.waiting_commands(), 0);
    }
}

/// Guards against connections of organisations that are never closed, nor used, after the
/// configuration has none any more.
#[test]
fn test_owner_serves_work_without_organisations_after_they_were_removed() {
    let mut owner = Owner::new(4);
    for (name, tag) in [("acme", "1"), ("beta", "2")] {
        owner.run(name, tag);
        owner.accept_all();
        owner.complete(tag, SessionState::Idle);
    }
    configure(&mut owner.fixture, None);
    let session = owner.relays.open_session(&"s2".into());
    let work = Work::Direct { access: Access::Write, text: "WRITE".into() };
    let run = Command::Run { tag: "3".into(), work, handle: None, floor: None };
    let options = RelayOptions {
        urgency: 2,
        patience: ms(2000),
        wanted_within: ms(2000),
        expected: ms(5),
        organisation: None,
    };
    owner.relays.execute(owner.fixture.context(), session, run, options);
    owner.collect();
    owner.accept_all();
    assert_eq!(owner.sent_as("3"), None);
    assert_eq!(owner.sent.len(), 3);
    owner.complete("3", SessionState::Idle);
    owner.tick(1001);
    assert_eq!(owner.closed.len(), 2, "no connection of an organisation is left");
}

/// Guards against a statement that reaches the owner without its organisation, since its
/// caller has left between the decision to send it and the sending.
#[test]
fn test_relayed_statement_of_a_caller_that_left_keeps_its_organisation() {
    let (mut fixture, mut engine) = serving(&[("acme", &["k-1"])]);
    fixture.put_member("proxy-2", 1);
    fixture.refresh();
    open(&fixture, &mut engine, CALLER, Some("k-1")).expect("the key is known");
    let (connection, name) =
        connects(&request(&fixture, &mut engine, CALLER, write_of("a")))[0].clone();
    assert_eq!(name, None, "the owner is told with each command");
    let ready = UpstreamMessage::Ready { state: SessionState::Idle, position: None };
    engine.upstream_message(fixture.context(), connection, ready, None);
    engine.close_session(fixture.context(), CALLER);
    let actions = take_engine_actions(&mut engine);
    assert_eq!(runs(&actions), [connection]);
    let options = engine.relay_options(fixture.context(), connection);
    assert_eq!(options.organisation.as_deref(), Some("acme"));
}

/// Guards against requests of one organisation that wait at the owner and hold up those of
/// others at the entry instance.
#[test]
fn test_statements_at_an_owner_leave_room_for_other_organisations() {
    let (mut fixture, mut engine) = serving(&[("acme", &["k-1"]), ("beta", &["k-2"])]);
    fixture.put_member("proxy-2", 1);
    fixture.refresh();
    for number in 1..=20 {
        let key = if number <= 19 { "k-1" } else { "k-2" };
        open(&fixture, &mut engine, CallerId(number), Some(key)).expect("the key is known");
        engine.request(fixture.context(), CallerId(number), "t".into(), write("a"));
    }
    let mut organisations = Vec::new();
    loop {
        let actions = take_engine_actions(&mut engine);
        for id in runs(&actions) {
            let name = engine.relay_options(fixture.context(), id).organisation;
            organisations.push(name.expect("all have one").to_string());
        }
        if actions.connects.is_empty() {
            break;
        }
        for (id, _) in actions.connects {
            ready(&fixture, &mut engine, id, SessionState::Idle, None);
        }
    }
    organisations.sort();
    assert_eq!(organisations, ["acme", "acme", "acme", "acme", "beta"]);
}

/// The messages to an owner in earlier versions, without organisations.
#[derive(Debug, Serialize, Deserialize)]
enum UnnamedRelayCall {
    Start { server: ServerId },
    Execute { command: Command, terms: UnnamedRelayOptions },
}

#[derive(Debug, Serialize, Deserialize)]
struct UnnamedRelayOptions {
    urgency: u8,
    patience: Duration,
    wanted_within: Duration,
    expected: Duration,
}

/// Guards against an owner of an earlier version that runs statements for this instance and
/// ignores their organisation, and the other way round.
#[test]
fn test_messages_to_owners_of_earlier_versions_are_not_understood() {
    let mut sent = Vec::new();
    frames::encode(&RelayCall::Start { server: "s1".into() }, &mut sent);
    assert!(frames::decode::<UnnamedRelayCall>(&mut sent).is_err());
    let mut received = Vec::new();
    frames::encode(&UnnamedRelayCall::Start { server: "s1".into() }, &mut received);
    let decoded = frames::decode::<RelayCall>(&mut received);
    assert_eq!(decoded, Ok(Some(RelayCall::UnnamedStart)));
    let command = Command::Rollback;
    let terms =
        UnnamedRelayOptions { urgency: 1, patience: ms(1), wanted_within: ms(1), expected: ms(1) };
    frames::encode(&UnnamedRelayCall::Execute { command, terms }, &mut received);
    let decoded = frames::decode::<RelayCall>(&mut received);
    assert_eq!(decoded, Ok(Some(RelayCall::UnnamedExecute)));
}

#[test]
fn test_two_instances_relay_where_there_are_organisations() {
    let mut fixture = Fixture::serving();
    let is_relayed = |fixture: &Fixture| {
        is_relayed(&fixture.view, fixture.view.server(&"s1".into()).expect("known"))
    };
    configure(&mut fixture, Some(&[("acme", &["k-1"])]));
    assert!(!is_relayed(&fixture), "a single instance has nobody to share connections with");
    fixture.put_member("proxy-2", 1);
    fixture.refresh();
    assert!(is_relayed(&fixture));
    configure(&mut fixture, None);
    assert!(!is_relayed(&fixture));
}
