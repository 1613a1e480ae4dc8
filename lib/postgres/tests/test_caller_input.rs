//! Tests of reading start-up packets and requests from callers, including
//! invalid bytes.

use bytes::BytesMut;
use masticreel_postgres::message::put_message;
use masticreel_postgres::request::{
    CallerInput, CallerRequest, PreparedStatements, RequestAssembler, RequestPlan,
};
use masticreel_postgres::startup::{StartupError, StartupPacket, take_startup};
use masticreel_postgres::statement::StatementKind;
use pgwire::messages::extendedquery::{Bind, Execute, Parse, Sync};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::Startup;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(seed: u8) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(Config { failure_persistence: None, ..Config::default() }, rng)
}

fn next_request(buffer: &mut BytesMut) -> CallerRequest {
    match RequestAssembler::default().next_input(buffer) {
        Ok(Some(CallerInput::Request(request))) => request,
        other => panic!("expected a complete request, got {other:?}"),
    }
}

fn put_parse(buffer: &mut BytesMut, name: &str, sql: &str) {
    put_message(buffer, &Parse::new(Some(name.to_owned()), sql.to_owned(), vec![]));
}

fn put_bind(buffer: &mut BytesMut, name: &str) {
    put_message(buffer, &Bind::new(None, Some(name.to_owned()), vec![], vec![], vec![]));
    put_message(buffer, &Execute::new(None, 0));
}

#[test]
fn test_startup_options_become_settings() {
    let mut startup = Startup::new();
    let options = "-c search_path=lab --masticreel.token=ab";
    for (key, value) in [("user", "ana"), ("options", options)] {
        startup.parameters.insert(key.to_owned(), value.to_owned());
    }
    let mut buffer = BytesMut::new();
    put_message(&mut buffer, &startup);
    let Ok(Some(StartupPacket::Open(parameters))) = take_startup(&mut buffer) else {
        panic!("the valid start-up packet was refused");
    };
    assert_eq!(parameters.user, "ana");
    assert_eq!(parameters.database, "ana");
    assert_eq!(parameters.settings["search_path"], "lab");
    assert_eq!(parameters.settings["masticreel.token"], "ab");
}

#[test]
fn test_impossible_startup_length_is_refused() {
    let mut buffer = BytesMut::from(&b"GET / HTTP/1.1\r\n"[..]);
    assert!(matches!(take_startup(&mut buffer), Err(StartupError::BadLength(_))));
}

#[test]
fn test_garbage_is_refused_or_waited_for_without_panic() {
    let strategy = prop::collection::vec(any::<u8>(), 0..200);
    runner(11)
        .run(&strategy, |bytes| {
            let _ = take_startup(&mut BytesMut::from(&bytes[..]));
            let mut assembler = RequestAssembler::default();
            let mut buffer = BytesMut::from(&bytes[..]);
            while let Ok(Some(_)) = assembler.next_input(&mut buffer) {}
            Ok(())
        })
        .unwrap();
}

#[test]
fn test_malformed_bodies_are_refused_without_panic() {
    let tags = prop::sample::select(vec![b'P', b'B', b'D', b'C', b'E', b'Q']);
    let strategy = (tags, prop::collection::vec(any::<u8>(), 0..40));
    runner(12)
        .run(&strategy, |(tag, body)| {
            let mut bytes = vec![tag];
            bytes.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
            bytes.extend_from_slice(&body);
            let mut buffer = BytesMut::from(&bytes[..]);
            put_message(&mut buffer, &Sync::new());
            let request = next_request(&mut buffer);
            let _ = RequestPlan::new(&request, &PreparedStatements::default());
            Ok(())
        })
        .unwrap();
}

#[test]
fn test_bind_brings_the_statement_prepared_before() {
    let mut prepared = PreparedStatements::default();
    let mut buffer = BytesMut::new();
    put_parse(&mut buffer, "s1", "insert into t values (1)");
    put_message(&mut buffer, &Sync::new());
    let plan = RequestPlan::new(&next_request(&mut buffer), &prepared).unwrap();
    assert_eq!(plan.needed, []);
    prepared.apply(&plan);

    put_bind(&mut buffer, "s1");
    put_bind(&mut buffer, "unknown");
    put_message(&mut buffer, &Sync::new());
    let plan = RequestPlan::new(&next_request(&mut buffer), &prepared).unwrap();
    assert_eq!(plan.statements[0].kind, StatementKind::Write);
    assert_eq!(plan.needed.len(), 2);
    assert!(!plan.needed[0].message.is_empty());
    assert!(plan.needed[1].message.is_empty(), "another caller's statement must not be used");
}

#[test]
fn test_pipelined_requests_are_taken_one_by_one() {
    let mut buffer = BytesMut::new();
    put_message(&mut buffer, &Query::new("select 1".to_owned()));
    put_message(&mut buffer, &Query::new("select 2".to_owned()));
    let mut assembler = RequestAssembler::default();
    for _ in 0..2 {
        let input = assembler.next_input(&mut buffer).unwrap();
        assert!(matches!(input, Some(CallerInput::Request(_))));
    }
    assert_eq!(assembler.next_input(&mut buffer).unwrap(), None);
}
