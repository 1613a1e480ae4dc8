//! Which server a read is sent to, with which minimum position, and what happens if
//! an attempt fails.

mod support;

use masticreel_proxy::caller::CallerId;
use masticreel_proxy::connections::ConnectionId;
use masticreel_proxy::directory::Consistency;
use masticreel_proxy::engine::{Engine, Loss};
use masticreel_proxy::protocol::UpstreamMessage;
use masticreel_proxy::records::Phase;
use masticreel_proxy::statement::{Answer, Command, Failure, FailureKind, SessionState};
use support::{World, accept, complete, engine, group, ms, position, read, ready, wanted, write};

const CALLER: CallerId = CallerId(1);

/// Creates a group with reads of a given consistency, a position sample of its
/// primary, and a connection to the replica in the instance's failure domain.
fn world_with_sample(consistency: Consistency) -> (World, Engine) {
    let mut world = World::serving();
    world.document(consistency);
    world.refresh();
    let mut engine = engine();
    engine.open_session(world.context(), CALLER, "db".into()).expect("the database exists");
    let (connection, _) = send(&mut world, &mut engine, write("a"));
    complete(&world, &mut engine, connection, SessionState::Idle, Some(position(1, 9)));
    // The first read opens a connection to the replica in its failure domain.
    engine.request(world.context(), CALLER, "tag".into(), read("a"));
    let first = wanted(&mut engine);
    let (replica, server) = &first.connects[0];
    assert_eq!(server.as_str(), "s2");
    accept(&world, &mut engine, *replica);
    complete(&world, &mut engine, connection, SessionState::Idle, Some(position(1, 9)));
    (world, engine)
}

/// Sends a statement and returns the connection that it went to, with the minimum
/// position.
fn send(
    world: &mut World,
    engine: &mut Engine,
    statement: Result<masticreel_proxy::statement::Statement, Failure>,
) -> (ConnectionId, Option<masticreel_base::position::TermPosition>) {
    engine.request(world.context(), CALLER, "tag".into(), statement);
    next_run(world, engine)
}

/// Accepts connections until the caller's work is sent, and returns the connection
/// that it went to, with the minimum position.
fn next_run(
    world: &World,
    engine: &mut Engine,
) -> (ConnectionId, Option<masticreel_base::position::TermPosition>) {
    let mut next = wanted(engine);
    loop {
        let run = next.sent.iter().find_map(|(id, command)| match command {
            Command::Run { floor, .. } => Some((*id, *floor)),
            _ => None,
        });
        if let Some(run) = run {
            return run;
        }
        let (connection, _) = *next.connects.first().expect("a connection is opened");
        next = accept(world, engine, connection);
    }
}

fn fail(world: &World, engine: &mut Engine, id: ConnectionId, kind: FailureKind) {
    let failure = Failure::new(kind, "");
    engine.upstream_message(world.context(), id, UpstreamMessage::Error(failure), None);
    ready(world, engine, id, SessionState::Idle, Some(position(1, 1)));
}

#[test]
fn test_read_that_may_be_old_carries_the_floor_of_its_age() {
    let (mut world, mut engine) = world_with_sample(Consistency::Bounded(ms(1000)));
    world.pass(ms(500));
    world.refresh();
    let (_, floor) = send(&mut world, &mut engine, read("a"));
    assert_eq!(floor, Some(position(1, 9)));
}

#[test]
fn test_without_a_young_sample_the_primary_answers() {
    let (mut world, mut engine) = world_with_sample(Consistency::Bounded(ms(1000)));
    world.pass(ms(1000));
    world.refresh();
    let (_, floor) = send(&mut world, &mut engine, read("a"));
    assert_eq!(floor, None, "only the primary needs no floor");
}

#[test]
fn test_samples_of_an_earlier_epoch_are_no_floors() {
    let (mut world, mut engine) = world_with_sample(Consistency::Bounded(ms(1000)));
    world.record(2, Phase::Changing, "s1");
    world.refresh();
    engine.group_changed(world.context(), &support::group());
    world.record(3, Phase::Serving, "s3");
    world.refresh();
    engine.group_changed(world.context(), &support::group());
    let (_, floor) = send(&mut world, &mut engine, read("a"));
    assert_eq!(floor, None, "only the primary needs no floor");
}

#[test]
fn test_replica_that_lacked_a_floor_is_left_alone_for_a_while() {
    let (mut world, mut engine) = world_with_sample(Consistency::Bounded(ms(60_000)));
    let (first, _) = send(&mut world, &mut engine, read("a"));
    fail(&world, &mut engine, first, FailureKind::Lagging);
    let (second, _) = next_run(&world, &mut engine);
    assert_ne!(second, first);
    complete(&world, &mut engine, second, SessionState::Idle, Some(position(1, 9)));
    world.pass(ms(200));
    world.refresh();
    let (third, _) = send(&mut world, &mut engine, read("a"));
    assert_ne!(third, first, "it had not applied this floor 200 ms ago");
    complete(&world, &mut engine, third, SessionState::Idle, Some(position(1, 9)));
    world.pass(ms(100));
    world.refresh();
    let (fourth, _) = send(&mut world, &mut engine, read("a"));
    assert_eq!(fourth, first, "after 300 ms it may have caught up");
}

#[test]
fn test_what_can_not_be_served_is_refused_at_once() {
    let mut world = World::serving();
    let mut engine = engine();
    engine.open_session(world.context(), CALLER, "db".into()).expect("the database exists");
    world.pass(masticreel_proxy::primary_lease::PRIMARY_LEASE);
    engine.request(world.context(), CALLER, "tag".into(), write("a"));
    let answers = wanted(&mut engine).answers;
    let failure = answers[0].1.outcome.as_ref().expect_err("the primary lease has ended");
    assert_eq!(failure.kind, FailureKind::Busy);
}

#[test]
fn test_write_whose_connection_broke_is_in_doubt_and_a_read_is_repeated() {
    let mut world = World::serving();
    let mut engine = engine();
    engine.open_session(world.context(), CALLER, "db".into()).expect("the database exists");
    let (connection, _) = send(&mut world, &mut engine, write("a"));
    let closed = masticreel_proxy::engine::Loss::Closed;
    engine.connection_lost(world.context(), connection, closed);
    let answers = wanted(&mut engine).answers;
    let failure = answers[0].1.outcome.as_ref().expect_err("the write may have run");
    assert_eq!(failure.kind, FailureKind::InDoubt);
    let (connection, _) = send(&mut world, &mut engine, read("a"));
    engine.connection_lost(world.context(), connection, closed);
    let (again, _) = next_run(&world, &mut engine);
    assert_ne!(again, connection);
}

/// A primary that has stepped down answers reads as a replica does. An instance
/// that has lost the store would deliver them as the latest state, so it has to
/// check the server's role before it delivers them.
#[test]
fn test_latest_read_is_proved_when_the_store_is_silent() {
    let mut world = World::serving();
    let mut engine = engine();
    engine.open_session(world.context(), CALLER, "db".into()).expect("the database exists");
    world.pass(masticreel_proxy::primary_lease::MAX_FRESH_VIEW_AGE);
    let (connection, _) = send(&mut world, &mut engine, read("a"));
    let after = complete(&world, &mut engine, connection, SessionState::Idle, Some(position(1, 9)));
    assert!(after.answers.is_empty(), "the server's role is not known yet");
    assert_eq!(after.sent, [(connection, Command::Status)]);
    let status = |role| masticreel_proxy::statement::ServerStatus {
        role,
        term: position(1, 0).term,
        received: position(1, 9),
    };
    let end = UpstreamMessage::Ready { state: SessionState::Idle, position: Some(position(1, 9)) };
    let primary = Some(status(masticreel_proxy::statement::Role::Primary));
    engine.upstream_message(world.context(), connection, end.clone(), primary);
    assert_eq!(wanted(&mut engine).answers.len(), 1);

    let (connection, _) = send(&mut world, &mut engine, read("a"));
    complete(&world, &mut engine, connection, SessionState::Idle, Some(position(1, 9)));
    let replica = Some(status(masticreel_proxy::statement::Role::Replica));
    engine.upstream_message(world.context(), connection, end, replica);
    let after = wanted(&mut engine);
    assert!(after.answers.is_empty(), "a replica's answer may be old");
}

#[test]
fn test_write_needs_no_proof() {
    let mut world = World::serving();
    let mut engine = engine();
    engine.open_session(world.context(), CALLER, "db".into()).expect("the database exists");
    world.pass(masticreel_proxy::primary_lease::MAX_FRESH_VIEW_AGE);
    let (connection, _) = send(&mut world, &mut engine, write("a"));
    let after = complete(&world, &mut engine, connection, SessionState::Idle, Some(position(1, 9)));
    assert_eq!(after.answers.len(), 1);
}

/// While the store is down, a crashed primary can't be replaced. Requests that need
/// it used to wait until they timed out.
#[test]
fn test_unreachable_primary_without_the_store_is_refused_at_once() {
    let mut world = World::serving();
    let mut engine = engine();
    engine.open_session(world.context(), CALLER, "db".into()).expect("the database exists");
    world.pass(masticreel_proxy::primary_lease::MAX_FRESH_VIEW_AGE);
    engine.request(world.context(), CALLER, "tag".into(), write("a"));
    for _ in 0..2 {
        let connects = wanted(&mut engine).connects;
        let refused = masticreel_proxy::engine::Loss::Refused;
        engine.connection_lost(world.context(), connects[0].0, refused);
        world.pass(ms(150));
        engine.tick(world.context());
    }
    let answers = wanted(&mut engine).answers;
    let failure = answers[0]
        .1
        .outcome
        .as_ref()
        .expect_err("the primary is unreachable and can't be replaced");
    assert_eq!(failure.kind, FailureKind::Busy);
    engine.request(world.context(), CALLER, "tag2".into(), write("a"));
    assert_eq!(wanted(&mut engine).answers.len(), 1, "the next request is refused at once");
}

/// A read whose connection broke may have run, so its refusal must not state that
/// it has not.
#[test]
fn test_refusal_of_a_read_that_may_have_run_does_not_say_not_run() {
    let mut world = World::serving();
    let mut engine = engine();
    engine.group_changed(world.context(), &group());
    let caller = CallerId(1);
    engine.open_session(world.context(), caller, "db".into()).expect("the database exists");
    engine.request(world.context(), caller, "t".into(), read("a"));
    let connection = wanted(&mut engine).connects[0].0;
    assert_eq!(accept(&world, &mut engine, connection).sent.len(), 1, "the read was sent");
    engine.connection_lost(world.context(), connection, Loss::Closed);
    world.pass(ms(900));
    engine.tick(world.context());
    let answers = wanted(&mut engine).answers;
    let Some((_, Answer { outcome: Err(failure), .. })) = answers.first() else {
        panic!("{answers:?}");
    };
    assert_eq!(failure.kind, FailureKind::Busy);
    assert!(!failure.text.contains("not run"), "{}", failure.text);
}
