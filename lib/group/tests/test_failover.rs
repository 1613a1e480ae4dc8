//! Tests of suspicion, rank delays, attempts and redirects.

use std::time::{Duration, Instant};

use masticreel_base::ids::{Incarnation, LogPosition, ServerId, Term};
use masticreel_group::failover::{Failover, RANK_DELAY};
use masticreel_group::observer::{Assessment, GroupObserver, PollReport};
use masticreel_group::promotion::{
    Progress, ServerCommand, ServerCommandKind, ServerCommandOutcome,
};
use masticreel_group::server::{Role, ServerStatus};
use masticreel_group::suspicion::{FINDING_LIFETIME, Finding};

const MS: Duration = Duration::from_millis(1);

fn finding(observer: &str, failure_domain: &str, assessment: Assessment) -> Finding {
    Finding {
        observer: observer.into(),
        failure_domain: failure_domain.into(),
        term: Term(1),
        assessment,
    }
}

fn status(term: u64, role: Role, position: u64) -> ServerStatus {
    ServerStatus {
        term: Term(term),
        role,
        log_term: Term(1),
        durable: LogPosition(position),
        applied: LogPosition(position),
    }
}

/// Returns an observer to which only the primary `a` has reported, once.
fn observer(now: Instant) -> GroupObserver {
    let mut observer = GroupObserver::new(["a", "b", "c"].map(ServerId::from), now);
    let status = Some(status(1, Role::Primary, 10));
    observer.record(PollReport { server: "a".into(), started_at: now, status });
    observer
}

fn failover() -> Failover {
    Failover::new("i1".into(), Incarnation(1))
}

fn command_to(commands: &[ServerCommand], server: &str) -> ServerCommand {
    commands
        .iter()
        .find(|command| command.server.as_str() == server)
        .expect("there is a command to the server")
        .clone()
}

#[test]
fn test_one_observer_is_no_reason_to_promote() {
    let now = Instant::now();
    let mut failover = failover();
    failover.on_finding(finding("i1", "x", Assessment::PrimaryUnseen), now);
    failover.on_finding(finding("i2", "x", Assessment::PrimaryUnseen), now);
    assert_eq!(failover.tick(&observer(now), Some(0), now), []);
}

#[test]
fn test_observers_in_two_domains_start_an_attempt() {
    let now = Instant::now();
    let mut failover = failover();
    failover.on_finding(finding("i1", "x", Assessment::PrimaryUnseen), now);
    failover.on_finding(finding("i2", "y", Assessment::PrimaryUnseen), now);
    let commands = failover.tick(&observer(now), Some(0), now);
    assert_eq!(commands.len(), 3);
    assert!(commands.iter().all(|command| matches!(command.kind, ServerCommandKind::Fence { .. })));
}

#[test]
fn test_observer_that_sees_the_primary_prevents_the_attempt() {
    let now = Instant::now();
    let mut failover = failover();
    failover.on_finding(finding("i1", "x", Assessment::PrimaryUnseen), now);
    failover.on_finding(finding("i2", "y", Assessment::PrimaryUnseen), now);
    failover.on_finding(finding("i3", "z", Assessment::Healthy), now);
    assert_eq!(failover.tick(&observer(now), Some(0), now), []);
}

#[test]
fn test_findings_expire() {
    let now = Instant::now();
    let mut failover = failover();
    failover.on_finding(finding("i1", "x", Assessment::PrimaryUnseen), now);
    let later = now + FINDING_LIFETIME + MS;
    failover.on_finding(finding("i2", "y", Assessment::PrimaryUnseen), later);
    assert_eq!(failover.tick(&observer(now), Some(0), later), []);
}

#[test]
fn test_second_in_order_waits_its_turn() {
    let now = Instant::now();
    let observer = observer(now);
    let mut failover = failover();
    let report_unseen = |failover: &mut Failover, at| {
        failover.on_finding(finding("i1", "x", Assessment::PrimaryUnseen), at);
        failover.on_finding(finding("i2", "y", Assessment::PrimaryUnseen), at);
    };
    report_unseen(&mut failover, now);
    assert_eq!(failover.tick(&observer, Some(1), now), []);
    let later = now + RANK_DELAY;
    report_unseen(&mut failover, later);
    assert_eq!(failover.tick(&observer, Some(1), later).len(), 3);
}

#[test]
fn test_attempt_promotes_the_furthest_and_repoints_the_rest() {
    let now = Instant::now();
    let observer = observer(now);
    let mut failover = failover();
    let commands = failover.start_attempt(&observer, now);
    let to_b = command_to(&commands, "b");
    let to_c = command_to(&commands, "c");
    let fenced = |position| ServerCommandOutcome::Done(status(2, Role::Fenced, position));
    assert_eq!(failover.on_outcome(&to_b, fenced(7), now), []);
    let promote = failover.on_outcome(&to_c, fenced(9), now);
    let promote = command_to(&promote, "c");
    let done = ServerCommandOutcome::Done(status(2, Role::Primary, 9));
    let follows = failover.on_outcome(&promote, done, now);
    assert_eq!(failover.progress(), Some(&Progress::Promoted("c".into())));
    let repointed: Vec<&str> = follows.iter().map(|command| command.server.as_str()).collect();
    assert_eq!(repointed, ["a", "b"]);
}

#[test]
fn test_lost_answer_to_the_promotion_is_found_in_a_report() {
    let now = Instant::now();
    let observer = observer(now);
    let mut failover = failover();
    let commands = failover.start_attempt(&observer, now);
    for server in ["b", "c"] {
        let fenced = ServerCommandOutcome::Done(status(2, Role::Fenced, 9));
        failover.on_outcome(&command_to(&commands, server), fenced, now);
    }
    assert_eq!(failover.progress(), Some(&Progress::Promoting));
    let promoted = status(2, Role::Primary, 9);
    assert_eq!(failover.on_status(&"c".into(), &promoted).len(), 2);
}

#[test]
fn test_refused_claim_is_followed_by_a_higher_one() {
    let now = Instant::now();
    let observer = observer(now);
    let mut failover = failover();
    let first = failover.start_attempt(&observer, now);
    failover.on_outcome(&command_to(&first, "b"), ServerCommandOutcome::Refused, now);
    assert_eq!(failover.progress(), Some(&Progress::Abandoned));
    let second = failover.start_attempt(&observer, now);
    assert!(matches!(second[0].kind, ServerCommandKind::Fence { term: Term(3), .. }));
}

#[test]
fn test_old_primary_that_comes_back_is_repointed() {
    let now = Instant::now();
    let mut observer = observer(now);
    let report = |server: &str, status| PollReport {
        server: server.into(),
        started_at: now,
        status: Some(status),
    };
    observer.record(report("b", status(2, Role::Primary, 9)));
    observer.record(report("c", status(2, Role::Replica, 9)));
    let commands = failover().tick(&observer, Some(0), now);
    assert_eq!(commands.len(), 1);
    assert_eq!(commands[0].server.as_str(), "a");
    assert!(
        matches!(&commands[0].kind, ServerCommandKind::Follow { primary, .. } if primary.as_str() == "b")
    );
}
