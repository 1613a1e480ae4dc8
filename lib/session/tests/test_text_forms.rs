//! Tests of the text forms of tokens, tags and request keys.

use std::time::Duration;

use masticreel_base::ids::{GroupId, LogPosition, Term};
use masticreel_base::position::TermPosition;
use masticreel_document::class::Class;
use masticreel_session::floors::{Floor, Floors};
use masticreel_session::request_key::{KeyedRequest, Replay};
use masticreel_session::tags::parse_tags;
use masticreel_session::token::{decode, encode};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner() -> TestRunner {
    let config = Config { cases: 1000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]))
}

fn position() -> impl Strategy<Value = TermPosition> {
    (any::<u64>(), any::<u64>())
        .prop_map(|(term, position)| TermPosition::new(Term(term), LogPosition(position)))
}

fn floors() -> impl Strategy<Value = Floors> {
    let floor = (position(), position()).prop_map(|(written, seen)| Floor { written, seen });
    prop::collection::btree_map(".{0,8}".prop_map(GroupId::from), floor, 0..4)
        .prop_map(|floors| floors.into_iter().collect())
}

#[test]
fn test_token_keeps_floors_and_needs_no_quoting() {
    runner()
        .run(&floors(), |floors| {
            let token = encode(&floors);
            prop_assert_eq!(decode(&token), Ok(floors));
            prop_assert!(!token.contains(['\'', '"', ' ', '*', '%', '\\', ';']));
            let tags = parse_tags(&format!("SELECT 1 /*token='{token}'*/;"));
            let read_back = tags.expect("tags are valid").token;
            prop_assert_eq!(read_back.as_deref(), Some(&*token));
            Ok(())
        })
        .expect("every token decodes to its floors");
}

#[test]
fn test_malformed_tokens_are_refused() {
    for token in
        ["", "m2", "m1:", "m1:a", "m1:a=1/2", "m1:a=1/2,3", "m1:a=01/2,3/4", "m1:~6=1/2,3/4"]
    {
        assert!(decode(token).is_err(), "{token:?} was accepted");
    }
}

#[test]
fn test_tags_of_the_last_comment_are_read() {
    let sql = "SELECT '/*class=''long''*/' /* note */ \
        /*class='urgent',session='tech%207',request_key='it\\'s',max_staleness_ms='50',\
        idempotent='true',traceparent='00-1'*/ ;";
    let tags = parse_tags(sql).expect("the tags are valid");
    assert_eq!(tags.statement.class, Some(Class::Urgent));
    assert_eq!(tags.statement.max_staleness, Some(Duration::from_millis(50)));
    assert_eq!(tags.statement.idempotent, Some(true));
    assert_eq!(tags.session, Some("tech 7".into()));
    assert_eq!(tags.request_key.as_deref(), Some("it's"));
}

#[test]
fn test_misspelt_values_are_refused() {
    assert!(parse_tags("SELECT 1 /*class='urgend'*/").is_err());
    assert!(parse_tags("SELECT 1 /*max_staleness_ms='soon'*/").is_err());
    assert!(parse_tags("SELECT 1 /*session=''*/").is_err());
}

#[test]
fn test_statement_without_tags_has_none() {
    for sql in ["SELECT 1", "", "/*", "*/", "/*'*/", "/*class='*/", "SELECT 1 /* class */"] {
        assert_eq!(parse_tags(sql), Ok(Default::default()), "{sql:?}");
    }
}

#[test]
fn test_repeat_finds_the_first_result() {
    let request = KeyedRequest { key: "o'k".into(), work_hash: 7 };
    let store = request.store_sql(b"\x00answer\xff");
    let result = store.split('\'').nth(1).expect("the result is a literal").to_owned();
    let row = [Some("0000000000000007".to_owned()), Some(result)];
    assert_eq!(request.replay(Some(&row)), Replay::Result(b"\x00answer\xff".to_vec()));
    let other = KeyedRequest { work_hash: 8, ..request.clone() };
    assert_eq!(other.replay(Some(&row)), Replay::KeyReused);
    assert_eq!(request.replay(None), Replay::Missing);
    assert!(request.reserve_sql().contains("'o''k'"));
}
