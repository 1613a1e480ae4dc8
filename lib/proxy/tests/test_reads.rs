//! Which server a read is sent to, with which minimum position, and what happens if
//! an attempt fails.

mod support;

use masticreel_proxy::caller::CallerId;
use masticreel_proxy::connections::ConnectionId;
use masticreel_proxy::directory::Consistency;
use masticreel_proxy::engine::{Engine, Loss};
use masticreel_proxy::protocol::UpstreamMessage;
use masticreel_proxy::records::Phase;
use masticreel_proxy::statement::{Answer, Command, Failure, FailureKind, SessionState, Statement};
use support::{
    Fixture, accept, complete, engine, group, ms, position, read, ready, take_engine_actions, write,
};

const CALLER: CallerId = CallerId(1);

/// Creates a group whose route promises the latest state, and a session.
fn setup() -> (Fixture, Engine) {
    let fixture = Fixture::serving();
    let mut engine = engine();
    engine.open_session(fixture.context(), CALLER, "db".into(), None).expect("the database exists");
    (fixture, engine)
}

/// Creates a group with reads of a given consistency, a position sample of its
/// primary, and a connection to the replica in the instance's failure domain.
fn setup_with_sample(consistency: Consistency) -> (Fixture, Engine) {
    let mut fixture = Fixture::serving();
    fixture.put_document(consistency);
    fixture.refresh();
    let mut engine = engine();
    engine.open_session(fixture.context(), CALLER, "db".into(), None).expect("the database exists");
    let (connection, _) = send(&mut fixture, &mut engine, write("a"));
    complete(&fixture, &mut engine, connection, SessionState::Idle, Some(position(1, 9)));
    // The first read opens a connection to the replica in its failure domain.
    engine.request(fixture.context(), CALLER, "tag".into(), read("a"));
    let first = take_engine_actions(&mut engine);
    let (replica, server) = &first.connects[0];
    assert_eq!(server.as_str(), "s2");
    accept(&fixture, &mut engine, *replica);
    complete(&fixture, &mut engine, connection, SessionState::Idle, Some(position(1, 9)));
    (fixture, engine)
}

/// Sends a statement and returns the connection that it went to, with the minimum
/// position.
fn send(
    fixture: &mut Fixture,
    engine: &mut Engine,
    statement: Result<masticreel_proxy::statement::Statement, Failure>,
) -> (ConnectionId, Option<masticreel_base::position::TermPosition>) {
    engine.request(fixture.context(), CALLER, "tag".into(), statement);
    next_run(fixture, engine)
}

/// Accepts connections until the caller's work is sent, and returns the connection
/// that it went to, with the minimum position.
fn next_run(
    fixture: &Fixture,
    engine: &mut Engine,
) -> (ConnectionId, Option<masticreel_base::position::TermPosition>) {
    let mut next = take_engine_actions(engine);
    loop {
        let run = next.sent.iter().find_map(|(id, command)| match command {
            Command::Run { floor, .. } => Some((*id, *floor)),
            _ => None,
        });
        if let Some(run) = run {
            return run;
        }
        let (connection, _) = *next.connects.first().expect("a connection is opened");
        next = accept(fixture, engine, connection);
    }
}

fn fail(fixture: &Fixture, engine: &mut Engine, id: ConnectionId, kind: FailureKind) {
    let failure = Failure::new(kind, "");
    engine.upstream_message(fixture.context(), id, UpstreamMessage::Error(failure), None);
    ready(fixture, engine, id, SessionState::Idle, Some(position(1, 1)));
}

/// A read with bounded staleness is sent with a minimum position.
#[test]
fn test_read_that_may_be_old_carries_the_floor_of_its_age() {
    let (mut fixture, mut engine) = setup_with_sample(Consistency::Bounded(ms(1000)));
    fixture.advance(ms(500));
    fixture.refresh();
    let (_, floor) = send(&mut fixture, &mut engine, read("a"));
    assert_eq!(floor, Some(position(1, 9)));
}

/// Without a recent sample of the primary's position, reads are sent to the primary.
#[test]
fn test_without_a_young_sample_the_primary_answers() {
    let (mut fixture, mut engine) = setup_with_sample(Consistency::Bounded(ms(1000)));
    fixture.advance(ms(1000));
    fixture.refresh();
    let (_, floor) = send(&mut fixture, &mut engine, read("a"));
    assert_eq!(floor, None, "the read is sent to the primary, without a minimum position");
}

/// A replacement of the primary, which raises the epoch of the group's record,
/// discards the samples.
#[test]
fn test_samples_of_an_earlier_epoch_are_no_floors() {
    let (mut fixture, mut engine) = setup_with_sample(Consistency::Bounded(ms(1000)));
    fixture.put_record(2, Phase::Changing, "s1");
    fixture.refresh();
    engine.group_changed(fixture.context(), &support::group());
    fixture.put_record(3, Phase::Serving, "s3");
    fixture.refresh();
    engine.group_changed(fixture.context(), &support::group());
    let (_, floor) = send(&mut fixture, &mut engine, read("a"));
    assert_eq!(floor, None, "the read is sent to the primary, without a minimum position");
}

/// A replica that lagged gets no reads during a backoff of 250 ms.
#[test]
fn test_replica_that_lacked_a_floor_is_left_alone_for_a_while() {
    let (mut fixture, mut engine) = setup_with_sample(Consistency::Bounded(ms(60_000)));
    let (first, _) = send(&mut fixture, &mut engine, read("a"));
    fail(&fixture, &mut engine, first, FailureKind::Lagging);
    let (second, _) = next_run(&fixture, &mut engine);
    assert_ne!(second, first);
    complete(&fixture, &mut engine, second, SessionState::Idle, Some(position(1, 9)));
    fixture.advance(ms(200));
    fixture.refresh();
    let (third, _) = send(&mut fixture, &mut engine, read("a"));
    assert_ne!(third, first, "it had not applied this position 200 ms ago");
    complete(&fixture, &mut engine, third, SessionState::Idle, Some(position(1, 9)));
    fixture.advance(ms(100));
    fixture.refresh();
    let (fourth, _) = send(&mut fixture, &mut engine, read("a"));
    assert_eq!(fourth, first, "after 300 ms it may have caught up");
}

/// A write is refused at once if the instance's primary lease has expired.
#[test]
fn test_what_can_not_be_served_is_refused_at_once() {
    let mut fixture = Fixture::serving();
    let mut engine = engine();
    engine.open_session(fixture.context(), CALLER, "db".into(), None).expect("the database exists");
    fixture.advance(masticreel_proxy::primary_lease::PRIMARY_LEASE);
    engine.request(fixture.context(), CALLER, "tag".into(), write("a"));
    let answers = take_engine_actions(&mut engine).answers;
    let failure = answers[0].1.outcome.as_ref().expect_err("the primary lease has ended");
    assert_eq!(failure.kind, FailureKind::Busy);
}

/// After the loss of a connection, the outcome of a write is unknown, whereas a read
/// is retried.
#[test]
fn test_write_whose_connection_broke_is_in_doubt_and_a_read_is_repeated() {
    let mut fixture = Fixture::serving();
    let mut engine = engine();
    engine.open_session(fixture.context(), CALLER, "db".into(), None).expect("the database exists");
    let (connection, _) = send(&mut fixture, &mut engine, write("a"));
    let closed = masticreel_proxy::engine::Loss::Closed;
    engine.connection_lost(fixture.context(), connection, closed);
    let answers = take_engine_actions(&mut engine).answers;
    let failure = answers[0].1.outcome.as_ref().expect_err("the write may have run");
    assert_eq!(failure.kind, FailureKind::InDoubt);
    let (connection, _) = send(&mut fixture, &mut engine, read("a"));
    engine.connection_lost(fixture.context(), connection, closed);
    let (again, _) = next_run(&fixture, &mut engine);
    assert_ne!(again, connection);
}

/// A primary that has stepped down answers reads as a replica does. An instance
/// that has lost the store would deliver them as the latest state, so it has to
/// check the server's role before it delivers them.
#[test]
fn test_latest_read_is_proved_when_the_store_is_silent() {
    let mut fixture = Fixture::serving();
    let mut engine = engine();
    engine.open_session(fixture.context(), CALLER, "db".into(), None).expect("the database exists");
    fixture.advance(masticreel_proxy::primary_lease::MAX_FRESH_VIEW_AGE);
    let (connection, _) = send(&mut fixture, &mut engine, read("a"));
    let after =
        complete(&fixture, &mut engine, connection, SessionState::Idle, Some(position(1, 9)));
    assert!(after.answers.is_empty(), "the server's role is not known yet");
    assert_eq!(after.sent, [(connection, Command::Status)]);
    let status = |role| masticreel_proxy::statement::ServerStatus {
        role,
        term: position(1, 0).term,
        received: position(1, 9),
    };
    let end = UpstreamMessage::Ready { state: SessionState::Idle, position: Some(position(1, 9)) };
    let primary = Some(status(masticreel_proxy::statement::Role::Primary));
    engine.upstream_message(fixture.context(), connection, end.clone(), primary);
    assert_eq!(take_engine_actions(&mut engine).answers.len(), 1);

    let (connection, _) = send(&mut fixture, &mut engine, read("a"));
    complete(&fixture, &mut engine, connection, SessionState::Idle, Some(position(1, 9)));
    let replica = Some(status(masticreel_proxy::statement::Role::Replica));
    engine.upstream_message(fixture.context(), connection, end, replica);
    let after = take_engine_actions(&mut engine);
    assert!(after.answers.is_empty(), "a replica's answer may not be the latest state");
}

/// Sends the rows and the result of an answer, and ends the connection before its last message.
fn cut_answer(fixture: &Fixture, engine: &mut Engine, id: ConnectionId, loss: Loss) {
    let result = UpstreamMessage::Complete(Some("signature".into()));
    for message in [UpstreamMessage::Row("old".into()), result] {
        engine.upstream_message(fixture.context(), id, message, None);
    }
    engine.connection_lost(fixture.context(), id, loss);
}

/// Guards against a cut-off answer of a replaced primary that is delivered although the whole
/// answer would need a role check.
#[test]
fn test_cut_off_answer_to_a_read_that_needs_a_proof_is_not_delivered() {
    let consistencies = [Consistency::Latest, Consistency::Bounded(ms(1000))];
    for loss in [Loss::Closed, Loss::Abandoned, Loss::Garbage] {
        for consistency in consistencies {
            let (mut fixture, mut engine) = match consistency {
                Consistency::Latest => setup(),
                _ => setup_with_sample(consistency),
            };
            fixture.advance(masticreel_proxy::primary_lease::MAX_FRESH_VIEW_AGE);
            let (connection, floor) = send(&mut fixture, &mut engine, read("a"));
            assert_eq!(floor, None);
            cut_answer(&fixture, &mut engine, connection, loss);
            let after = take_engine_actions(&mut engine);
            assert!(after.answers.is_empty(), "{loss:?}, {consistency:?}: {:?}", after.answers);
        }
    }
}

/// As above, in a read-only transaction, which can't be tried again as its caller has already
/// got an answer.
#[test]
fn test_cut_off_answer_that_needs_a_proof_rolls_a_read_only_transaction_back() {
    let (mut fixture, mut engine) = setup();
    let begin = Statement::Begin { read_only: true };
    engine.request(fixture.context(), CALLER, "b".into(), Ok(begin));
    take_engine_actions(&mut engine);
    engine.request(fixture.context(), CALLER, "tag".into(), read("a"));
    let connection = take_engine_actions(&mut engine).connects[0].0;
    accept(&fixture, &mut engine, connection);
    let in_transaction = SessionState::Transaction;
    complete(&fixture, &mut engine, connection, in_transaction, None);
    let first = complete(&fixture, &mut engine, connection, in_transaction, Some(position(1, 9)));
    assert!(first.answers[0].1.outcome.is_ok());
    fixture.advance(masticreel_proxy::primary_lease::MAX_FRESH_VIEW_AGE);
    let (again, _) = send(&mut fixture, &mut engine, read("b"));
    assert_eq!(again, connection);
    cut_answer(&fixture, &mut engine, connection, Loss::Closed);
    let answers = take_engine_actions(&mut engine).answers;
    let failure = answers[0].1.outcome.as_ref().expect_err("the answer may be old");
    assert_eq!(failure.kind, FailureKind::Aborted);
}

/// Guards against answers that are discarded although nothing speaks against them.
#[test]
fn test_cut_off_answer_is_delivered_if_the_whole_one_would_be() {
    let (mut fixture, mut engine) = setup();
    for statement in [read("a"), write("a")] {
        let (connection, _) = send(&mut fixture, &mut engine, statement);
        cut_answer(&fixture, &mut engine, connection, Loss::Closed);
        let answers = take_engine_actions(&mut engine).answers;
        assert!(answers[0].1.outcome.is_ok(), "{answers:?}");
    }
}

/// Guards against "not run" for a read that has run, and whose connection broke before the
/// server had answered the role check.
#[test]
fn test_read_that_lost_its_role_check_is_not_reported_as_not_run() {
    let (mut fixture, mut engine) = setup();
    fixture.advance(masticreel_proxy::primary_lease::MAX_FRESH_VIEW_AGE);
    let (connection, _) = send(&mut fixture, &mut engine, read("a"));
    let checked =
        complete(&fixture, &mut engine, connection, SessionState::Idle, Some(position(1, 9)));
    assert_eq!(checked.sent, [(connection, Command::Status)]);
    engine.connection_lost(fixture.context(), connection, Loss::Closed);
    fixture.advance(ms(900));
    engine.tick(fixture.context());
    let answers = take_engine_actions(&mut engine).answers;
    let failure = answers[0].1.outcome.as_ref().expect_err("no server answers");
    assert!(!failure.text.contains("not run"), "{}", failure.text);
}

/// Guards against an answer of a replaced primary that counts as recent because the view of
/// the store was renewed while the read was under way.
#[test]
fn test_read_sent_with_an_old_view_is_proved_if_the_new_view_names_another_primary() {
    for (epoch, phase, primary) in [(3, Phase::Serving, "s3"), (2, Phase::Changing, "s1")] {
        let mut fixture = Fixture::serving();
        let mut engine = engine();
        engine
            .open_session(fixture.context(), CALLER, "db".into(), None)
            .expect("the database exists");
        fixture.advance(masticreel_proxy::primary_lease::MAX_FRESH_VIEW_AGE);
        let (connection, _) = send(&mut fixture, &mut engine, read("a"));
        fixture.put_record(epoch, phase, primary);
        fixture.advance(ms(5));
        fixture.refresh();
        engine.group_changed(fixture.context(), &group());
        take_engine_actions(&mut engine);
        let after =
            complete(&fixture, &mut engine, connection, SessionState::Idle, Some(position(1, 9)));
        assert!(after.answers.is_empty(), "epoch {epoch}: s1 may have been replaced before");
    }
}

/// Guards against role checks of reads that the renewed view shows to be right.
#[test]
fn test_read_sent_with_an_old_view_needs_no_proof_if_the_new_view_names_the_same_primary() {
    let mut fixture = Fixture::serving();
    let mut engine = engine();
    engine.open_session(fixture.context(), CALLER, "db".into(), None).expect("the database exists");
    fixture.advance(masticreel_proxy::primary_lease::MAX_FRESH_VIEW_AGE);
    let (connection, _) = send(&mut fixture, &mut engine, read("a"));
    fixture.advance(ms(5));
    fixture.refresh();
    let after =
        complete(&fixture, &mut engine, connection, SessionState::Idle, Some(position(1, 9)));
    assert_eq!(after.answers.len(), 1);
}

/// Guards against reads without a minimum position that a replaced primary answers, for an
/// instance whose view of the store is old.
#[test]
fn test_read_without_a_floor_is_proved_whatever_its_route_allows() {
    for consistency in [Consistency::Bounded(ms(1000)), Consistency::OwnWrites(ms(1000))] {
        let (mut fixture, mut engine) = setup_with_sample(consistency);
        fixture.advance(masticreel_proxy::primary_lease::MAX_FRESH_VIEW_AGE);
        let (connection, floor) = send(&mut fixture, &mut engine, read("a"));
        assert_eq!(floor, None);
        let after =
            complete(&fixture, &mut engine, connection, SessionState::Idle, Some(position(1, 9)));
        assert!(after.answers.is_empty(), "{consistency:?}: the server's role is not known");
        assert_eq!(after.sent, [(connection, Command::Status)]);
    }
}

/// Guards against a role check of each read that carries a minimum position.
#[test]
fn test_read_with_a_floor_needs_no_proof() {
    let (mut fixture, mut engine) = setup_with_sample(Consistency::Bounded(ms(5000)));
    fixture.advance(masticreel_proxy::primary_lease::MAX_FRESH_VIEW_AGE);
    let (connection, floor) = send(&mut fixture, &mut engine, read("a"));
    assert_eq!(floor, Some(position(1, 9)));
    let after =
        complete(&fixture, &mut engine, connection, SessionState::Idle, Some(position(1, 9)));
    assert_eq!(after.answers.len(), 1);
}

/// A write needs no role check, as a server that has stepped down refuses it.
#[test]
fn test_write_needs_no_proof() {
    let mut fixture = Fixture::serving();
    let mut engine = engine();
    engine.open_session(fixture.context(), CALLER, "db".into(), None).expect("the database exists");
    fixture.advance(masticreel_proxy::primary_lease::MAX_FRESH_VIEW_AGE);
    let (connection, _) = send(&mut fixture, &mut engine, write("a"));
    let after =
        complete(&fixture, &mut engine, connection, SessionState::Idle, Some(position(1, 9)));
    assert_eq!(after.answers.len(), 1);
}

/// While the store is down, a crashed primary can't be replaced. Requests that
/// require it used to wait until they timed out. Now they are refused after two
/// failed attempts to connect, and further ones at once.
#[test]
fn test_unreachable_primary_without_the_store_is_refused_at_once() {
    let mut fixture = Fixture::serving();
    let mut engine = engine();
    engine.open_session(fixture.context(), CALLER, "db".into(), None).expect("the database exists");
    fixture.advance(masticreel_proxy::primary_lease::MAX_FRESH_VIEW_AGE);
    engine.request(fixture.context(), CALLER, "tag".into(), write("a"));
    for _ in 0..2 {
        let connects = take_engine_actions(&mut engine).connects;
        let refused = masticreel_proxy::engine::Loss::Refused;
        engine.connection_lost(fixture.context(), connects[0].0, refused);
        fixture.advance(ms(150));
        engine.tick(fixture.context());
    }
    let answers = take_engine_actions(&mut engine).answers;
    let failure = answers[0]
        .1
        .outcome
        .as_ref()
        .expect_err("the primary is unreachable and can't be replaced");
    assert_eq!(failure.kind, FailureKind::Busy);
    engine.request(fixture.context(), CALLER, "tag2".into(), write("a"));
    assert_eq!(
        take_engine_actions(&mut engine).answers.len(),
        1,
        "the next request is refused at once"
    );
}

/// A read whose connection broke may have run, so its refusal must not state that
/// it has not.
#[test]
fn test_refusal_of_a_read_that_may_have_run_does_not_say_not_run() {
    let mut fixture = Fixture::serving();
    let mut engine = engine();
    engine.group_changed(fixture.context(), &group());
    let caller = CallerId(1);
    engine.open_session(fixture.context(), caller, "db".into(), None).expect("the database exists");
    engine.request(fixture.context(), caller, "t".into(), read("a"));
    let connection = take_engine_actions(&mut engine).connects[0].0;
    assert_eq!(accept(&fixture, &mut engine, connection).sent.len(), 1, "the read was sent");
    engine.connection_lost(fixture.context(), connection, Loss::Closed);
    fixture.advance(ms(900));
    engine.tick(fixture.context());
    let answers = take_engine_actions(&mut engine).answers;
    let Some((_, Answer { outcome: Err(failure), .. })) = answers.first() else {
        panic!("{answers:?}");
    };
    assert_eq!(failure.kind, FailureKind::Busy);
    assert!(!failure.text.contains("not run"), "{}", failure.text);
}
