//! Tests of floors, read routing and retries.

use std::time::{Duration, Instant};

use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::{GroupId, LogPosition, Term};
use masticreel_base::position::TermPosition;
use masticreel_group::view::{ConfirmedPosition, GroupView, ServerView};
use masticreel_session::floors::{Floor, Floors};
use masticreel_session::retry::{FailedAttempt, RetryDecision, decide};
use masticreel_session::routing::{Candidate, ReadRequirements, ReadRoute, ReadRouter};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const MS: Duration = Duration::from_millis(1);
const SERVERS: [&str; 3] = ["a", "b", "c"];

fn position(term: u64, position: u64) -> TermPosition {
    TermPosition::new(Term(term), LogPosition(position))
}

/// Returns the view of a group whose primary `a` is at position 100.
///
/// The data of the servers is `lag_ms` old.
fn view(now: Instant, applied: [u64; 3], lag_ms: [u32; 3]) -> GroupView {
    let servers = (0..3).map(|index| ServerView {
        server: SERVERS[index].into(),
        reachable: true,
        readable: Some(position(2, applied[index])),
        fresh_as_of: now.checked_sub(MS * lag_ms[index]),
    });
    GroupView {
        term: Term(2),
        primary: Some("a".into()),
        confirmed: Some(ConfirmedPosition { position: position(2, 100), as_of: now }),
        servers: servers.collect(),
    }
}

fn candidates() -> Vec<Candidate> {
    let candidate = |name: &str| Candidate {
        server: name.into(),
        failure_domain: format!("domain-{name}").into(),
        leaving: false,
    };
    SERVERS.map(candidate).into()
}

fn router() -> ReadRouter {
    ReadRouter { failure_domain: "domain-c".into(), catch_up_timeout: 100 * MS }
}

fn requirements(written: TermPosition, max_staleness: Duration) -> ReadRequirements {
    ReadRequirements::new(Floor { written, seen: written }, max_staleness)
}

#[test]
fn test_replica_past_the_floor_is_preferred_by_failure_domain() {
    let now = Instant::now();
    let view = view(now, [100, 90, 90], [0, 50, 50]);
    let route =
        |floor| router().route(&view, &candidates(), &requirements(floor, Duration::ZERO), 0, now);
    assert_eq!(route(position(2, 90)), ReadRoute::Replica("c".into()));
    assert_eq!(route(position(1, 90)), ReadRoute::Replica("c".into()));
    assert!(matches!(route(position(2, 91)), ReadRoute::CatchingUpReplica(_)));
    assert_eq!(route(position(3, 1)), ReadRoute::NoServer);
}

#[test]
fn test_read_goes_to_the_primary_when_replicas_are_far_behind() {
    let now = Instant::now();
    let view = view(now, [100, 10, 10], [0, 500, 900]);
    let requirements = requirements(position(2, 100), Duration::ZERO);
    let route = router().route(&view, &candidates(), &requirements, 0, now);
    assert_eq!(route, ReadRoute::Primary("a".into()));
}

#[test]
fn test_stated_age_is_never_exceeded_even_by_the_primary() {
    let now = Instant::now();
    let requirements = requirements(position(2, 1), 200 * MS);
    let fresh = view(now, [100, 90, 10], [0, 150, 500]);
    let route = router().route(&fresh, &candidates(), &requirements, 0, now);
    assert_eq!(route, ReadRoute::Replica("b".into()));
    let cut_off = view(now, [100, 90, 90], [900, 900, 900]);
    assert_eq!(router().route(&cut_off, &candidates(), &requirements, 0, now), ReadRoute::NoServer);
}

#[test]
fn test_leaving_and_unreachable_replicas_get_no_reads() {
    let now = Instant::now();
    let mut view = view(now, [100, 100, 100], [0, 0, 0]);
    view.servers[1].reachable = false;
    let mut candidates = candidates();
    candidates[2].leaving = true;
    let requirements = requirements(position(2, 100), Duration::ZERO);
    let route = router().route(&view, &candidates, &requirements, 0, now);
    assert_eq!(route, ReadRoute::Primary("a".into()));
}

#[test]
fn test_chosen_replica_always_meets_the_needs() {
    let config = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let strategy = (
        prop::array::uniform3(0..100_u64),
        prop::array::uniform3(0..300_u32),
        (1..3_u64, 0..110_u64),
        0..300_u64,
        any::<u64>(),
    );
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, |(applied, lag_ms, (term, floor), age_ms, tie_breaker)| {
            let now = Instant::now();
            let view = view(now, applied, lag_ms);
            let requirements = requirements(position(term, floor), Duration::from_millis(age_ms));
            let route = router().route(&view, &candidates(), &requirements, tie_breaker, now);
            if let ReadRoute::Replica(server) = route {
                let index = SERVERS.iter().position(|name| *name == server.as_str());
                let index = index.expect("the replica belongs to the group");
                prop_assert!(index != 0 && applied[index] >= floor);
                prop_assert!(age_ms == 0 || u64::from(lag_ms[index]) <= age_ms);
            }
            Ok(())
        })
        .expect("every chosen replica meets the requirements");
}

#[test]
fn test_stale_read_in_a_new_term_keeps_the_written_position() {
    let group = GroupId::from("g");
    let mut floors = Floors::default();
    floors.record_write(&group, position(1, 100));
    floors.record_read(&group, position(2, 50));
    let floor = floors.get(&group).expect("the group was used");
    assert_eq!(floor.written, position(1, 100));
    assert_eq!(floor.seen, position(2, 100));
}

#[test]
fn test_only_work_that_did_not_run_is_retried() {
    let now = Instant::now();
    let attempt =
        |idempotent| FailedAttempt { earlier_attempts: 0, idempotent, deadline: now + 100 * MS };
    let not_run = Failure::not_run(FailureKind::Unavailable, "down");
    let lost = Failure::may_have_run(FailureKind::Lost, "cut");
    let decide = |attempt, failure| decide(&attempt, failure, 1.0, now);
    assert_eq!(decide(attempt(false), &not_run), RetryDecision::RetryAfter(5 * MS));
    assert_eq!(decide(attempt(false), &lost), RetryDecision::GiveUp);
    assert_eq!(decide(attempt(true), &lost), RetryDecision::RetryAfter(5 * MS));
    let late = FailedAttempt { earlier_attempts: 9, ..attempt(true) };
    let late = FailedAttempt { deadline: now + 80 * MS, ..late };
    assert_eq!(decide(late, &not_run), RetryDecision::GiveUp);
}
