//! Tests of what an observer concludes from status reports.

use std::time::{Duration, Instant};

use masticreel_base::ids::{LogPosition, ServerId, Term};
use masticreel_base::position::TermPosition;
use masticreel_group::observer::{Assessment, GroupObserver, PRIMARY_TIMEOUT, PollReport};
use masticreel_group::server::{Role, ServerStatus};

const MS: Duration = Duration::from_millis(1);

fn observer(now: Instant) -> GroupObserver {
    GroupObserver::new(["a", "b", "c"].map(ServerId::from), now)
}

fn status(term: u64, role: Role, log_term: u64, position: u64) -> ServerStatus {
    ServerStatus {
        term: Term(term),
        role,
        log_term: Term(log_term),
        durable: LogPosition(position),
        applied: LogPosition(position),
    }
}

fn report(server: &str, started_at: Instant, status: ServerStatus) -> PollReport {
    PollReport { server: server.into(), started_at, status: Some(status) }
}

fn position(term: u64, position: u64) -> TermPosition {
    TermPosition::new(Term(term), LogPosition(position))
}

#[test]
fn test_commit_is_durable_once_a_majority_holds_it() {
    let start = Instant::now();
    let mut observer = observer(start);
    observer.record(report("a", start, status(3, Role::Primary, 3, 9)));
    observer.record(report("b", start, status(3, Role::Replica, 3, 8)));
    assert!(!observer.is_on_majority(position(3, 9)));
    observer.record(report("b", start, status(3, Role::Replica, 3, 9)));
    assert!(observer.is_on_majority(position(3, 9)));
}

#[test]
fn test_server_of_a_newer_term_does_not_count() {
    let start = Instant::now();
    let mut observer = observer(start);
    observer.record(report("a", start, status(3, Role::Primary, 3, 9)));
    observer.record(report("b", start, status(4, Role::Fenced, 3, 9)));
    assert!(!observer.is_on_majority(position(3, 9)));
}

#[test]
fn test_entries_about_to_be_discarded_do_not_count() {
    let start = Instant::now();
    let mut observer = observer(start);
    observer.record(report("a", start, status(2, Role::Primary, 2, 9)));
    // The old primary follows but still holds its own entries 9 and 10.
    observer.record(report("b", start, status(2, Role::Replica, 1, 10)));
    assert!(!observer.is_on_majority(position(2, 9)));
}

#[test]
fn test_diverged_server_is_not_readable() {
    let start = Instant::now();
    let mut observer = observer(start);
    observer.record(report("a", start, status(2, Role::Primary, 1, 8)));
    observer.record(report("b", start, status(2, Role::Replica, 1, 10)));
    observer.record(report("c", start, status(2, Role::Replica, 1, 7)));
    let view = observer.view();
    assert_eq!(view.server(&"b".into()).and_then(|server| server.readable), None);
    let readable = view.server(&"c".into()).and_then(|server| server.readable);
    assert_eq!(readable, Some(position(2, 7)));
}

#[test]
fn test_position_needs_a_majority_polled_after_the_question() {
    let start = Instant::now();
    let requested_at = start + 10 * MS;
    let mut observer = observer(start);
    observer.record(report("b", start, status(2, Role::Replica, 2, 5)));
    observer.record(report("a", start + 20 * MS, status(2, Role::Primary, 2, 9)));
    assert_eq!(observer.view().position_covering(requested_at), None);
    observer.record(report("b", start + 15 * MS, status(2, Role::Replica, 2, 5)));
    assert_eq!(observer.view().position_covering(requested_at), Some(position(2, 9)));
}

#[test]
fn test_cut_off_primary_makes_nothing_look_fresh() {
    let start = Instant::now();
    let mut observer = observer(start);
    observer.record(report("a", start, status(2, Role::Primary, 2, 9)));
    observer.record(report("b", start, status(2, Role::Replica, 2, 9)));
    let later = start + 5000 * MS;
    observer.record(report("a", later, status(2, Role::Primary, 2, 9)));
    let view = observer.view();
    let age = |name: &str| view.server(&name.into()).and_then(|server| server.age(later));
    assert_eq!(age("a"), Some(5000 * MS));
    assert_eq!(age("b"), Some(5000 * MS));
}

#[test]
fn test_age_of_a_replica_follows_what_it_applied() {
    let start = Instant::now();
    let mut observer = observer(start);
    for round in 0..20 {
        let at = start + 50 * round * MS;
        let end = u64::from(round);
        observer.record(report("a", at, status(2, Role::Primary, 2, end)));
        observer.record(report("b", at, status(2, Role::Replica, 2, end.saturating_sub(4))));
    }
    let view = observer.view();
    let replica = view.server(&"b".into()).expect("the server is in the group");
    assert_eq!(replica.age(start + 950 * MS), Some(200 * MS));
    assert_eq!(view.lag(replica), Some(200 * MS));
}

#[test]
fn test_late_report_is_ignored() {
    let start = Instant::now();
    let mut observer = observer(start);
    observer.record(report("b", start + 10 * MS, status(2, Role::Replica, 2, 9)));
    observer.record(report("b", start, status(2, Role::Replica, 2, 3)));
    assert_eq!(observer.status(&"b".into()), Some(&status(2, Role::Replica, 2, 9)));
}

#[test]
fn test_observer_without_a_majority_accuses_nobody() {
    let start = Instant::now();
    let mut observer = observer(start);
    observer.record(report("a", start, status(2, Role::Primary, 2, 9)));
    observer.record(report("b", start, status(2, Role::Replica, 2, 9)));
    assert_eq!(observer.assess(start), Assessment::Healthy);
    let later = start + PRIMARY_TIMEOUT + 100 * MS;
    observer.record(report("b", later, status(2, Role::Replica, 2, 9)));
    assert_eq!(observer.assess(later), Assessment::Unclear);
    observer.record(report("c", later, status(2, Role::Replica, 2, 9)));
    assert_eq!(observer.assess(later), Assessment::PrimaryUnseen);
}

#[test]
fn test_primary_that_was_fenced_is_unseen() {
    let start = Instant::now();
    let mut observer = observer(start);
    for server in ["a", "b", "c"] {
        observer.record(report(server, start, status(2, Role::Fenced, 1, 9)));
    }
    assert_eq!(observer.assess(start), Assessment::Unclear);
    let later = start + PRIMARY_TIMEOUT + 100 * MS;
    for server in ["a", "b", "c"] {
        observer.record(report(server, later, status(2, Role::Fenced, 1, 9)));
    }
    assert_eq!(observer.assess(later), Assessment::PrimaryUnseen);
}
