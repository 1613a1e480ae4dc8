//! Tests of a server's request queue and connection pool together.
//!
//! The last test applies random steps and checks after each that connections
//! stay within their limit and serve one session at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use masticreel_admission::connection_pool::{ConnectionId, Ownership};
use masticreel_admission::expected_times::Fingerprint;
use masticreel_admission::request::{ConnectionNeed, ConnectionOutcome};
use masticreel_admission::server_admission::{ServerAction, ServerAdmission, Submission};
use masticreel_base::failure::{FailureKind, Verdict};
use masticreel_base::ids::{Incarnation, RequestId};
use masticreel_document::class::Class;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 13;
const MAX_CONNECTIONS: u32 = 16;
const SOLE_CONNECTIONS: usize = 10;

type Admission = ServerAdmission<u8, u8>;
type Actions = Vec<ServerAction<u8>>;

fn submission(session: u8, need: ConnectionNeed, deadline: Instant) -> Submission<u8, u8> {
    Submission {
        session,
        connection_target: session % 3,
        class: Class::Normal,
        fingerprint: Fingerprint::of("select 1"),
        deadline,
        caller_base: format!("base-{}", session % 3).into(),
        entry_incarnation: Incarnation(1),
        need,
    }
}

/// Returns an admission with all its connections open and no request.
fn opened_admission(now: Instant) -> Admission {
    let mut admission = Admission::new(MAX_CONNECTIONS, 2, Ownership::Sole);
    let deadline = now + Duration::from_millis(1);
    let (_, mut actions) =
        admission.submit(submission(0, ConnectionNeed::Statement, deadline), now);
    while let Some(action) = actions.pop() {
        if let ServerAction::Open(connection, target) = action {
            actions.extend(admission.connection_opened(connection, target, now));
        }
    }
    finish(&mut admission, RequestId(0), None, now);
    admission
}

/// Finishes a request and releases its connection.
fn finish(admission: &mut Admission, id: RequestId, took: Option<Duration>, now: Instant) {
    let connection = admission.connection_of(id).expect("the request has started");
    admission.finished(id, ConnectionOutcome::Idle, took, now);
    admission.connection_released(connection, ConnectionOutcome::Idle, now);
}

fn started_on(actions: &Actions) -> Option<ConnectionId> {
    actions.iter().find_map(|action| match action {
        ServerAction::Start(_, connection) => Some(*connection),
        _ => None,
    })
}

#[test]
fn test_transaction_keeps_its_connection_until_it_ends() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let mut admission = opened_admission(now);
    let (begin, actions) =
        admission.submit(submission(1, ConnectionNeed::Transaction, deadline), now);
    let connection = started_on(&actions);
    admission.finished(begin, ConnectionOutcome::Pinned, None, now);
    assert_eq!(admission.held_connection(&1), connection);
    let (other, actions) =
        admission.submit(submission(2, ConnectionNeed::Statement, deadline), now);
    assert_ne!(started_on(&actions), connection);
    finish(&mut admission, other, None, now);
    let (commit, actions) = admission.submit(submission(1, ConnectionNeed::Held, deadline), now);
    assert_eq!(started_on(&actions), connection);
    finish(&mut admission, commit, None, now);
    assert_eq!(admission.held_connection(&1), None);
    assert!(admission.is_idle());
}

#[test]
fn test_statement_of_a_lost_transaction_is_refused() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let mut admission = opened_admission(now);
    let (_, actions) = admission.submit(submission(1, ConnectionNeed::Held, deadline), now);
    let [ServerAction::Refuse(_, failure)] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!((failure.kind, failure.verdict), (FailureKind::TransactionLost, Verdict::NotRun));
}

#[test]
fn test_request_for_a_server_that_accepts_no_connection_is_refused() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let mut admission = Admission::new(MAX_CONNECTIONS, 2, Ownership::Sole);
    let (_, actions) = admission.submit(submission(1, ConnectionNeed::Statement, deadline), now);
    let mut refusals = Vec::new();
    for action in actions {
        let ServerAction::Open(connection, _) = action else { panic!("{action:?}") };
        refusals.extend(admission.connection_failed(connection, now));
    }
    let [ServerAction::Refuse(_, failure)] = &refusals[..] else {
        panic!("{refusals:?}");
    };
    assert_eq!((failure.kind, failure.verdict), (FailureKind::Unavailable, Verdict::NotRun));
    let later = now + Duration::from_millis(100);
    assert!(matches!(admission.tick(later)[..], [ServerAction::Open(..), ..]));
}

#[test]
fn test_learned_time_keeps_slow_statements_out_of_the_reserved_slot() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let mut admission = opened_admission(now);
    let statement = |session| submission(session, ConnectionNeed::Statement, deadline);
    let (id, _) = admission.submit(statement(1), now);
    finish(&mut admission, id, Some(Duration::from_millis(300)), now);
    let (_, actions) = admission.submit(statement(1), now);
    assert!(started_on(&actions).is_some());
    let (_, actions) = admission.submit(statement(2), now);
    assert!(started_on(&actions).is_none());
}

#[derive(Debug, Clone)]
enum Step {
    Submit { session: u8, begins: bool, timeout_ms: u64 },
    Finish { index: usize, outcome: u8 },
    Release { index: usize, closes: bool },
    End { session: u8 },
    Cancel { session: u8 },
    Connect { index: usize, succeeds: bool },
    Wait { ms: u64 },
    SetOwnership(bool),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..24u8, any::<bool>(), 1..2000u64).prop_map(|(session, begins, timeout_ms)| {
            Step::Submit { session, begins, timeout_ms }
        }),
        5 => (0..4usize, 0..5u8).prop_map(|(index, outcome)| Step::Finish { index, outcome }),
        4 => (0..4usize, prop::bool::weighted(0.1))
            .prop_map(|(index, closes)| Step::Release { index, closes }),
        1 => (0..24u8).prop_map(|session| Step::End { session }),
        1 => (0..24u8).prop_map(|session| Step::Cancel { session }),
        4 => (0..3usize, prop::bool::weighted(0.9))
            .prop_map(|(index, succeeds)| Step::Connect { index, succeeds }),
        2 => (1..20_000u64).prop_map(|ms| Step::Wait { ms }),
        1 => any::<bool>().prop_map(Step::SetOwnership),
    ]
}

struct Run {
    admission: Admission,
    now: Instant,
    opening: Vec<(ConnectionId, u8)>,
    open: BTreeSet<ConnectionId>,
    /// Connections whose request has finished, but which are not released yet.
    sending: BTreeSet<ConnectionId>,
    waiting: BTreeMap<RequestId, (u8, ConnectionNeed)>,
    running: BTreeMap<RequestId, (u8, ConnectionNeed, ConnectionId)>,
    held_connections: BTreeMap<u8, ConnectionId>,
}

impl Run {
    fn new() -> Self {
        Self {
            admission: Admission::new(MAX_CONNECTIONS, 2, Ownership::Sole),
            now: Instant::now(),
            opening: Vec::new(),
            open: BTreeSet::new(),
            sending: BTreeSet::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            held_connections: BTreeMap::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        let actions = match step {
            Step::Submit { session, begins, timeout_ms } => {
                if self.has_request(session) {
                    return;
                }
                self.submit(session, begins, Duration::from_millis(timeout_ms))
            }
            Step::Finish { index, outcome } => self.finish(index, outcome),
            Step::Release { index, closes } => self.release(index, closes),
            Step::End { session } => {
                let is_running = self.running.values().any(|(other, ..)| *other == session);
                if is_running {
                    // The transaction ends with the statement that was started.
                    let connection_outcome = ConnectionOutcome::Idle;
                    let ended =
                        self.admission.transaction_ended(&session, connection_outcome, self.now);
                    assert!(ended.is_empty());
                    return;
                }
                self.held_connections.remove(&session);
                self.admission.transaction_ended(&session, ConnectionOutcome::Idle, self.now)
            }
            Step::Cancel { session } => self.admission.cancel(&session).0,
            Step::Connect { index, succeeds } => self.connect(index, succeeds),
            Step::Wait { ms } => {
                self.now += Duration::from_millis(ms);
                self.admission.tick(self.now)
            }
            Step::SetOwnership(handover_possible) => {
                let ownership =
                    if handover_possible { Ownership::HandoverPossible } else { Ownership::Sole };
                self.admission.set_ownership(ownership);
                self.admission.tick(self.now)
            }
        };
        self.record(actions);
        assert!(self.open.len() + self.opening.len() <= SOLE_CONNECTIONS);
        assert_eq!(self.admission.pool().len() as usize, self.open.len() + self.opening.len());
    }

    fn has_request(&self, session: u8) -> bool {
        self.waiting.values().any(|(other, _)| *other == session)
            || self.running.values().any(|(other, ..)| *other == session)
    }

    fn submit(&mut self, session: u8, begins: bool, timeout: Duration) -> Actions {
        let need = match (self.held_connections.contains_key(&session), begins) {
            (true, _) => ConnectionNeed::Held,
            (false, true) => ConnectionNeed::Transaction,
            (false, false) => ConnectionNeed::Statement,
        };
        let submission = submission(session, need, self.now + timeout);
        let (id, actions) = self.admission.submit(submission, self.now);
        self.waiting.insert(id, (session, need));
        actions
    }

    fn finish(&mut self, index: usize, outcome: u8) -> Actions {
        let Some(id) = self.running.keys().nth(index).copied() else { return Vec::new() };
        let (session, need, connection) =
            self.running.remove(&id).expect("the id is one of the running requests");
        let connection_outcome = match outcome {
            0 | 1 if need != ConnectionNeed::Statement => ConnectionOutcome::Pinned,
            2 => ConnectionOutcome::Closed,
            _ => ConnectionOutcome::Idle,
        };
        self.held_connections.remove(&session);
        match connection_outcome {
            ConnectionOutcome::Pinned => {
                self.held_connections.insert(session, connection);
            }
            ConnectionOutcome::Closed => {
                self.open.remove(&connection);
            }
            ConnectionOutcome::Idle => {
                self.sending.insert(connection);
            }
        }
        self.admission.finished(id, connection_outcome, Some(Duration::from_millis(5)), self.now)
    }

    fn release(&mut self, index: usize, closes: bool) -> Actions {
        let Some(connection) = self.sending.iter().nth(index).copied() else { return Vec::new() };
        self.sending.remove(&connection);
        if closes {
            self.open.remove(&connection);
        }
        let connection_outcome =
            if closes { ConnectionOutcome::Closed } else { ConnectionOutcome::Idle };
        self.admission.connection_released(connection, connection_outcome, self.now)
    }

    fn connect(&mut self, index: usize, succeeds: bool) -> Actions {
        if index >= self.opening.len() {
            return Vec::new();
        }
        let (connection, target) = self.opening.remove(index);
        if !succeeds {
            return self.admission.connection_failed(connection, self.now);
        }
        self.open.insert(connection);
        self.admission.connection_opened(connection, target, self.now)
    }

    fn record(&mut self, actions: Actions) {
        for action in actions {
            match action {
                ServerAction::Open(connection, target) => {
                    self.opening.push((connection, target));
                }
                ServerAction::Close(connection) => {
                    assert!(!self.is_busy(connection), "a connection in use is closed");
                    assert!(self.open.remove(&connection));
                }
                ServerAction::Start(id, connection) => self.start(id, connection),
                ServerAction::Refuse(id, failure) => {
                    assert_eq!(failure.verdict, Verdict::NotRun);
                    assert!(
                        self.waiting.remove(&id).is_some(),
                        "{id} is refused, but was not waiting"
                    );
                }
            }
        }
    }

    fn start(&mut self, id: RequestId, connection: ConnectionId) {
        let (session, need) = self.waiting.remove(&id).expect("only a waiting request is started");
        assert!(self.open.contains(&connection), "a closed connection is used");
        let in_use = self.running.values().any(|(.., other)| *other == connection);
        assert!(!in_use, "two requests share a connection");
        match need {
            ConnectionNeed::Held => assert_eq!(self.held_connections[&session], connection),
            _ => assert!(
                !self.is_busy(connection),
                "a connection in use is given to another request"
            ),
        }
        self.running.insert(id, (session, need, connection));
    }

    fn is_busy(&self, connection: ConnectionId) -> bool {
        self.sending.contains(&connection)
            || self.held_connections.values().any(|held| *held == connection)
            || self.running.values().any(|(.., used)| *used == connection)
    }

    fn drain(&mut self) {
        for _ in 0..1000 {
            self.apply(Step::Wait { ms: 200 });
            while !self.opening.is_empty() {
                self.apply(Step::Connect { index: 0, succeeds: true });
            }
            while !self.running.is_empty() {
                self.apply(Step::Finish { index: 0, outcome: 3 });
            }
            while !self.sending.is_empty() {
                self.apply(Step::Release { index: 0, closes: false });
            }
            for session in self.held_connections.keys().copied().collect::<Vec<_>>() {
                self.apply(Step::End { session });
            }
            if self.admission.is_idle() {
                return;
            }
        }
        panic!("{:?} still wait, {:?} are still held", self.waiting, self.held_connections);
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn test_no_connection_serves_two_sessions_at_once(
        steps in prop::collection::vec(any_step(), 1..250),
    ) {
        let mut run = Run::new();
        for step in steps {
            run.apply(step);
        }
        run.drain();
        prop_assert!(run.waiting.is_empty());
    }
}
