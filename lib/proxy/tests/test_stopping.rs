//! Tests of what is taken, refused and ended between the signal to stop and the end of the
//! process, as the callers' instance and as the owner of a server's connections.

mod support;

use std::time::Duration;

use masticreel_proxy::caller::CallerId;
use masticreel_proxy::connections::ConnectionId;
use masticreel_proxy::engine::Engine;
use masticreel_proxy::moment::Moment;
use masticreel_proxy::protocol::UpstreamMessage;
use masticreel_proxy::relays::{
    PooledId, RelayAction, RelayAnswer, RelayOptions, RelaySessionId, Relays,
};
use masticreel_proxy::shutdown::Shutdown;
use masticreel_proxy::statement::{Access, Command, FailureKind, SessionState, Statement, Work};
use support::*;

const CALLER: CallerId = CallerId(1);
/// The time after which the platform kills a process that was told to stop.
const TIMEOUT: Duration = Duration::from_secs(6);
/// How long the statements of these tests usually take.
const USUAL: Duration = Duration::from_millis(12);

fn shutdown(fixture: &Fixture) -> Shutdown {
    Shutdown::new(fixture.now, TIMEOUT)
}

/// Opens a session with a connection that has answered a write after [`USUAL`].
fn open(fixture: &mut Fixture) -> (Engine, ConnectionId) {
    let mut engine = engine();
    engine.group_changed(fixture.context(), &group());
    engine.open_session(fixture.context(), CALLER, "db".into(), None).expect("the database exists");
    engine.request(fixture.context(), CALLER, "first".into(), write("a"));
    let connection = take_engine_actions(&mut engine).connects[0].0;
    accept(fixture, &mut engine, connection);
    fixture.advance(USUAL);
    complete(fixture, &mut engine, connection, SessionState::Idle, Some(position(1, 1)));
    (engine, connection)
}

/// Advances the time as far as a confirmed view and a tick at that moment.
fn advance_to(fixture: &mut Fixture, engine: &mut Engine, moment: Moment) {
    fixture.advance(moment.since(fixture.now));
    fixture.refresh();
    engine.tick(fixture.context());
}

/// Returns the kind and the text of the failure with which the caller's request was answered.
fn failure(actions: &EngineActions) -> Option<(FailureKind, String)> {
    let (_, answer) = actions.answers.first()?;
    let failure = answer.outcome.as_ref().err()?;
    Some((failure.kind, failure.text.clone().to_string()))
}

fn is_sent(actions: &EngineActions) -> bool {
    actions.sent.iter().any(|(_, command)| matches!(command, Command::Run { .. }))
}

/// Guards against statements that are refused though they would be answered in time.
#[test]
fn test_statement_is_taken_for_as_long_as_its_answer_can_arrive() {
    let start = Moment::from_start(Duration::from_secs(100));
    let shutdown = Shutdown::new(start, TIMEOUT);
    let (limit, long) = (Duration::from_secs(4), Duration::from_secs(2));
    let starts = |usual: Duration, at_ms: u64| shutdown.may_start(usual, limit, start + ms(at_ms));
    assert!(starts(USUAL, 5150) && !starts(USUAL, 5250));
    assert!(starts(long, 2150) && !starts(long, 2250), "a longer one is refused earlier");
    assert!(starts(Duration::ZERO, 4150) && !starts(Duration::ZERO, 4250), "unknown duration");
    let short = ms(20);
    assert!(shutdown.may_start(long, short, start + ms(5270)), "none takes more than its limit");
    assert!(!shutdown.may_start(USUAL, limit, start + ms(9000)));
    assert!(shutdown.answers_end_at() < shutdown.exits_at());
    assert!(shutdown.exits_at() < start + TIMEOUT);
}

/// Guards against a write that a server is running when the process ends, and whose caller
/// loses its connection without an answer, also if it was received before the signal to stop.
#[test]
fn test_write_that_a_server_still_runs_is_answered_before_the_process_ends() {
    for is_from_before in [true, false] {
        let mut fixture = Fixture::serving();
        let (mut engine, connection) = open(&mut fixture);
        let shutdown = Shutdown::new(fixture.now, ms(1500));
        if is_from_before {
            engine.request(fixture.context(), CALLER, "early".into(), write("a"));
            engine.set_shutdown(shutdown);
        } else {
            engine.set_shutdown(shutdown);
            advance_to(
                &mut fixture,
                &mut engine,
                shutdown.answers_end_at().saturating_sub(ms(200)),
            );
            engine.request(fixture.context(), CALLER, "late".into(), write("a"));
        }
        assert!(is_sent(&take_engine_actions(&mut engine)), "its answer can arrive in time");
        advance_to(&mut fixture, &mut engine, shutdown.answers_end_at());
        let actions = take_engine_actions(&mut engine);
        let (kind, text) = failure(&actions).expect("the write is answered");
        assert_eq!(kind, FailureKind::Timeout, "a server may have run it");
        assert!(!text.contains("not run"), "{text}");
        assert_eq!(actions.disconnects, [connection]);
    }
}

/// Guards against statements and sessions that are taken when they can't be answered any more.
#[test]
fn test_what_would_not_be_answered_in_time_is_refused_as_not_run() {
    let mut fixture = Fixture::serving();
    let (mut engine, _) = open(&mut fixture);
    let shutdown = shutdown(&fixture);
    engine.set_shutdown(shutdown);
    advance_to(&mut fixture, &mut engine, shutdown.answers_end_at().saturating_sub(ms(50)));
    take_engine_actions(&mut engine);
    for statement in [read("a"), write("a")] {
        engine.request(fixture.context(), CALLER, "late".into(), statement);
        let actions = take_engine_actions(&mut engine);
        assert!(!is_sent(&actions));
        let (kind, text) = failure(&actions).expect("it is refused at once");
        assert_eq!(kind, FailureKind::Busy);
        assert!(text.starts_with("not run"), "{text}");
    }
    let refused = engine.open_session(fixture.context(), CallerId(2), "db".into(), None);
    assert_eq!(refused.expect_err("no session opens").kind, FailureKind::Busy);
}

/// Guards against a transaction that begins only to be rolled back.
#[test]
fn test_no_transaction_begins_once_idle_ones_are_rolled_back() {
    let mut fixture = Fixture::serving();
    let (mut engine, _) = open(&mut fixture);
    let shutdown = shutdown(&fixture);
    engine.set_shutdown(shutdown);
    let half = fixture.now + TIMEOUT / 2;
    advance_to(&mut fixture, &mut engine, half.saturating_sub(ms(10)));
    let begin = || Ok(Statement::Begin { read_only: false });
    engine.request(fixture.context(), CALLER, "begin".into(), begin());
    assert_eq!(failure(&take_engine_actions(&mut engine)), None);
    engine.request(fixture.context(), CALLER, "end".into(), Ok(Statement::Rollback));
    take_engine_actions(&mut engine);
    advance_to(&mut fixture, &mut engine, half);
    engine.request(fixture.context(), CALLER, "begin".into(), begin());
    let answer = failure(&take_engine_actions(&mut engine));
    assert_eq!(answer.map(|(kind, _)| kind), Some(FailureKind::Busy));
}

/// An owner of a server's connections that is stopping.
struct StoppingOwner {
    fixture: Fixture,
    relays: Relays,
    shutdown: Shutdown,
}

impl StoppingOwner {
    fn new() -> Self {
        let fixture = Fixture::serving();
        let mut relays = Relays::new(OWN.into(), Some(DRAIN_TIMEOUT), log());
        let shutdown = shutdown(&fixture);
        relays.set_shutdown(shutdown);
        Self { fixture, relays, shutdown }
    }

    fn execute(&mut self, session: RelaySessionId, command: Command) -> Vec<RelayAction> {
        let options = RelayOptions {
            urgency: 1,
            patience: ms(500),
            wanted_within: ms(200),
            expected: USUAL,
            organisation: None,
        };
        self.relays.execute(self.fixture.context(), session, command, options);
        self.relays.take_actions()
    }

    fn run(&mut self, session: RelaySessionId) -> Vec<RelayAction> {
        let work = Work::Direct { access: Access::Write, text: "WRITE a x".into() };
        self.execute(session, Command::Run { tag: "t".into(), work, handle: None, floor: None })
    }

    fn answer(&mut self, id: PooledId, state: SessionState) {
        let ready = UpstreamMessage::Ready { state, position: Some(position(1, 5)) };
        self.relays.pooled_message(self.fixture.context(), id, ready, None);
    }

    /// Opens a session in whose transaction a statement has run.
    fn open_transaction(&mut self) -> (RelaySessionId, PooledId) {
        let session = self.relays.open_session(&"s2".into());
        self.execute(session, Command::Begin { read_only: false, floor: None });
        let opened = self.run(session).into_iter().find_map(|action| match action {
            RelayAction::Open { connection, .. } => Some(connection),
            _ => None,
        });
        let connection = opened.expect("a connection is opened");
        self.answer(connection, SessionState::Idle);
        self.answer(connection, SessionState::Transaction);
        self.answer(connection, SessionState::Transaction);
        self.relays.take_actions();
        (session, connection)
    }

    fn advance_to(&mut self, moment: Moment) -> Vec<RelayAction> {
        self.fixture.advance(moment.since(self.fixture.now));
        self.fixture.refresh();
        self.relays.tick(self.fixture.context());
        self.relays.take_actions()
    }
}

fn failure_kind(action: &RelayAction) -> Option<FailureKind> {
    match action {
        RelayAction::Answer(_, RelayAnswer::Message(UpstreamMessage::Error(failure))) => {
            Some(failure.kind)
        }
        _ => None,
    }
}

/// Guards against relayed work that a stopping owner sends to a server, and whose outcome the
/// entry instance never learns.
#[test]
fn test_relayed_command_that_comes_too_late_is_handed_back_unrun() {
    let mut owner = StoppingOwner::new();
    let session = owner.relays.open_session(&"s2".into());
    owner.relays.take_actions();
    owner.advance_to(owner.shutdown.answers_end_at().saturating_sub(ms(50)));
    let actions = owner.run(session);
    assert_eq!(actions, [RelayAction::Answer(session, RelayAnswer::Unreachable)]);
    assert!(!owner.relays.is_busy());
}

/// Guards against a commit whose outcome is unknown because the owner stops while a server
/// runs it, and against a transaction that is idle at a server until the process ends.
#[test]
fn test_relayed_transaction_is_rolled_back_before_the_process_ends() {
    for is_idle in [true, false] {
        let mut owner = StoppingOwner::new();
        let (session, connection) = owner.open_transaction();
        let before = owner.advance_to(owner.shutdown.answers_end_at().saturating_sub(ms(50)));
        assert!(!before.contains(&RelayAction::End(session)), "{before:?}");
        let actions = match is_idle {
            true => owner.advance_to(owner.shutdown.answers_end_at()),
            false => owner.run(session),
        };
        assert!(actions.contains(&RelayAction::Send(connection, Command::Rollback)), "{actions:?}");
        assert_eq!(actions.contains(&RelayAction::End(session)), is_idle, "{actions:?}");
        let refused = (!is_idle).then_some(FailureKind::Busy);
        assert_eq!(actions.iter().find_map(failure_kind), refused, "{actions:?}");
        owner.answer(connection, SessionState::Idle);
        assert!(!owner.relays.is_busy());
    }
}
