//! Tests of how query texts are split into statements and classified.

use masticreel_postgres::statement::{StatementKind, analyze};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn kinds(sql: &str) -> Vec<StatementKind> {
    analyze(sql).into_iter().map(|statement| statement.kind).collect()
}

#[test]
fn test_reads_and_writes_are_told_apart() {
    let cases = [
        ("select 1", StatementKind::Read),
        ("SELECT 'insert into x' -- update\n", StatementKind::Read),
        ("select $1, $$delete$$, $t$ into $t$", StatementKind::Read),
        ("select * from t for update", StatementKind::Write),
        ("select nextval('s')", StatementKind::Write),
        ("with x as (delete from t returning *) select * from x", StatementKind::Write),
        ("insert into t values (1)", StatementKind::Write),
        ("select * into u from t", StatementKind::Write),
        ("begin", StatementKind::Begin),
        ("START TRANSACTION", StatementKind::Begin),
        ("rollback to savepoint a", StatementKind::Write),
        ("rollback", StatementKind::Rollback),
        ("set local x = 1", StatementKind::SetLocal),
        ("set x = 1", StatementKind::Set),
        ("create temp table t(x int)", StatementKind::SessionState),
        ("select pg_advisory_lock(1)", StatementKind::SessionState),
        ("copy t from stdin", StatementKind::Copy),
    ];
    for (sql, kind) in cases {
        assert_eq!(kinds(sql), [kind], "{sql}");
    }
}

#[test]
fn test_statements_are_split_outside_literals() {
    let sql = "begin; insert into t values ('a;b', E'\\';'); /* ; /* ; */ */ commit;";
    let expected = [StatementKind::Begin, StatementKind::Write, StatementKind::Commit];
    assert_eq!(kinds(sql), expected);
    assert_eq!(kinds(" ; -- nothing"), []);
}

#[test]
fn test_any_text_is_analyzed_without_panic() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let config = Config { failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let fragments = prop::sample::select(vec![
        "'", "\"", "$", "$$", "$a$", "/*", "*/", "--", "\n", ";", "é", "E'", "\\", "select", " ",
    ]);
    let strategy = prop::collection::vec(fragments, 0..20);
    runner
        .run(&strategy, |parts| {
            analyze(&parts.concat());
            Ok(())
        })
        .unwrap();
}
