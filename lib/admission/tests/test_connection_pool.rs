//! Tests of the connection pool's decisions and of an owner's share of a server.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use masticreel_admission::connection_pool::{
    CONTROL_CONNECTIONS, ConnectionId, ConnectionPool, OwnerLimits, Ownership, PoolAction,
    PoolSettings,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 11;
const MAX_OPENING: u32 = 3;

fn opens(actions: &[PoolAction]) -> Vec<ConnectionId> {
    let ids = actions.iter().filter_map(|action| match action {
        PoolAction::Open(id) => Some(*id),
        PoolAction::Close(_) => None,
    });
    ids.collect()
}

fn closes(actions: &[PoolAction]) -> Vec<ConnectionId> {
    let ids = actions.iter().filter_map(|action| match action {
        PoolAction::Close(id) => Some(*id),
        PoolAction::Open(_) => None,
    });
    ids.collect()
}

#[test]
fn test_crest_opens_a_few_connections_at_a_time() {
    let now = Instant::now();
    let mut pool = ConnectionPool::new(PoolSettings::new(13));
    let first = opens(&pool.plan(100, now));
    assert_eq!(first.len(), 3);
    assert!(pool.plan(100, now).is_empty());
    pool.opened(first[0], now);
    assert_eq!(opens(&pool.plan(100, now)).len(), 1);
}

#[test]
fn test_failure_to_open_delays_the_next_attempt() {
    let now = Instant::now();
    let mut pool = ConnectionPool::new(PoolSettings::new(13));
    let ids = opens(&pool.plan(1, now));
    pool.open_failed(ids[0], now);
    assert!(pool.plan(1, now).is_empty());
    assert_eq!(opens(&pool.plan(1, now + Duration::from_millis(100))).len(), 1);
}

#[test]
fn test_old_connections_are_replaced_one_by_one() {
    let now = Instant::now();
    let mut pool = ConnectionPool::new(PoolSettings::new(13));
    for id in opens(&pool.plan(3, now)) {
        pool.opened(id, now);
    }
    let later = now + Duration::from_secs(600);
    let actions = pool.plan(3, later);
    assert_eq!((closes(&actions).len(), opens(&actions).len()), (1, 1));
}

#[test]
fn test_connections_that_are_not_needed_are_kept_a_while() {
    let now = Instant::now();
    let mut pool = ConnectionPool::new(PoolSettings::new(13));
    for id in opens(&pool.plan(3, now)) {
        pool.opened(id, now);
    }
    assert!(pool.plan(1, now + Duration::from_secs(29)).is_empty());
    assert_eq!(closes(&pool.plan(1, now + Duration::from_secs(30))).len(), 2);
}

#[test]
fn test_fitting_connection_is_taken_before_the_least_recently_used() {
    let now = Instant::now();
    let mut pool = ConnectionPool::new(PoolSettings::new(13));
    let ids = opens(&pool.plan(3, now));
    for (index, id) in ids.iter().enumerate() {
        pool.opened(*id, now + Duration::from_secs(index as u64));
    }
    assert_eq!(pool.check_out(|id| id == ids[1]), Some(ids[1]));
    assert_eq!(pool.check_out(|id| id == ids[1]), Some(ids[0]));
    assert_eq!(pool.check_out(|_| true), Some(ids[2]));
    assert_eq!(pool.check_out(|_| true), None);
}

#[test]
fn test_old_and_new_owner_fit_into_a_servers_connections() {
    for max_connections in 5..200 {
        let sole = OwnerLimits::new(max_connections, 2, Ownership::Sole);
        let handover = OwnerLimits::new(max_connections, 2, Ownership::HandoverPossible);
        let total = sole.connections + handover.connections + CONTROL_CONNECTIONS;
        assert!(total <= max_connections, "{max_connections}: {total}");
        assert!(handover.connections >= 1);
    }
}

#[derive(Debug, Clone)]
enum Step {
    Plan(u32),
    Opened(usize),
    OpenFailed(usize),
    CheckOut,
    CheckIn(usize),
    Closed(usize),
    Limit(u32),
    Wait(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..30u32).prop_map(Step::Plan),
        3 => (0..4usize).prop_map(Step::Opened),
        1 => (0..4usize).prop_map(Step::OpenFailed),
        3 => Just(Step::CheckOut),
        2 => (0..8usize).prop_map(Step::CheckIn),
        1 => (0..8usize).prop_map(Step::Closed),
        1 => (1..14u32).prop_map(Step::Limit),
        2 => (1..100_000u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn test_pool_stays_within_its_bounds(steps in prop::collection::vec(any_step(), 1..150)) {
        let mut now = Instant::now();
        let mut limit = 13;
        let mut pool = ConnectionPool::new(PoolSettings::new(limit));
        let mut opening: BTreeSet<ConnectionId> = BTreeSet::new();
        let mut in_use: BTreeSet<ConnectionId> = BTreeSet::new();
        for step in steps {
            match step {
                Step::Plan(wanted) => {
                    let before = pool.len();
                    let actions = pool.plan(wanted, now);
                    for id in closes(&actions) {
                        prop_assert!(!opening.contains(&id) && !in_use.contains(&id));
                    }
                    opening.extend(opens(&actions));
                    prop_assert!(pool.len() <= limit.max(before));
                }
                Step::Opened(index) => {
                    if let Some(id) = opening.iter().nth(index).copied() {
                        opening.remove(&id);
                        pool.opened(id, now);
                    }
                }
                Step::OpenFailed(index) => {
                    if let Some(id) = opening.iter().nth(index).copied() {
                        opening.remove(&id);
                        pool.open_failed(id, now);
                    }
                }
                Step::CheckOut => {
                    if let Some(id) = pool.check_out(|_| true) {
                        prop_assert!(in_use.insert(id), "a connection is checked out twice");
                    }
                }
                Step::CheckIn(index) => {
                    if let Some(id) = in_use.iter().nth(index).copied() {
                        in_use.remove(&id);
                        pool.check_in(id, now);
                    }
                }
                Step::Closed(index) => {
                    if let Some(id) = in_use.iter().nth(index).copied() {
                        in_use.remove(&id);
                        pool.closed(id);
                    }
                }
                Step::Limit(new_limit) => {
                    limit = new_limit;
                    pool.set_limit(limit);
                }
                Step::Wait(ms) => now += Duration::from_millis(ms),
            }
            prop_assert!(pool.opening() <= MAX_OPENING);
            prop_assert_eq!(pool.opening() as usize, opening.len());
        }
    }
}
