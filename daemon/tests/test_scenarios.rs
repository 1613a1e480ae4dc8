//! Scripted scenarios; the language is described in `docs/scenarios.md`.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use masticreel_testutils::scenario;

/// The scenarios that have a test below.
const TESTED: [&str; 11] = [
    "failover_cut.txt",
    "failover_freeze.txt",
    "failover_kill.txt",
    "golden_session.txt",
    "graceful_shutdown.txt",
    "instance_killed.txt",
    "lost_transaction.txt",
    "operators.txt",
    "store_outage.txt",
    "transactions.txt",
    "two_instances.txt",
];

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios")
}

fn run(name: &str) {
    scenario::run(&folder().join(name));
}

#[test]
fn test_every_scenario_has_a_test() {
    let entries = std::fs::read_dir(folder()).unwrap();
    let names = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    let expected: BTreeSet<String> = TESTED.iter().map(|name| (*name).to_owned()).collect();
    assert_eq!(names.collect::<BTreeSet<_>>(), expected);
}

#[test]
fn test_failover_cut() {
    run("failover_cut.txt");
}

#[test]
fn test_failover_freeze() {
    run("failover_freeze.txt");
}

#[test]
fn test_failover_kill() {
    run("failover_kill.txt");
}

#[test]
fn test_golden_session() {
    run("golden_session.txt");
}

#[test]
fn test_graceful_shutdown() {
    run("graceful_shutdown.txt");
}

#[test]
fn test_instance_killed() {
    run("instance_killed.txt");
}

#[test]
fn test_lost_transaction() {
    run("lost_transaction.txt");
}

#[test]
fn test_operators() {
    run("operators.txt");
}

#[test]
fn test_store_outage() {
    run("store_outage.txt");
}

#[test]
fn test_transactions() {
    run("transactions.txt");
}

#[test]
fn test_two_instances() {
    run("two_instances.txt");
}
