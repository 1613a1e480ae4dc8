//! Tests of retry budgets, the concurrency limit and expected execution times.

use std::time::{Duration, Instant};

use masticreel_admission::concurrency_limit::ConcurrencyLimit;
use masticreel_admission::expected_times::{ExpectedTimes, Fingerprint};
use masticreel_admission::retry_budget::{RetryBudget, refund, spend};
use masticreel_base::failure::Verdict;
use masticreel_document::class::Class;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 7;

fn config() -> Config {
    Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

#[test]
fn test_literals_case_and_comments_do_not_change_a_fingerprint() {
    let first = Fingerprint::of("SELECT * FROM runs WHERE id = 17 AND name = 'a''b'");
    let second =
        Fingerprint::of("select *  from runs\nwhere id = 4 and name = 'c' /*class='urgent'*/");
    let other = Fingerprint::of("select * from runs2 where id = 4 and name = 'c'");
    assert_ne!(first, other);
    assert_eq!(first, Fingerprint::of("select * from runs where id = 1 and name = ''"));
    assert_eq!(second, Fingerprint::of("select * from runs where id = 4 and name = 'c' "));
}

#[test]
fn test_unfinished_literals_and_comments_are_accepted() {
    for statement in ["'", "/*", "/", "''", "'a", "1e", "", "SELECT 'é"] {
        Fingerprint::of(statement);
    }
}

#[test]
fn test_expected_time_follows_observations() {
    let unknown = Duration::from_millis(5);
    let mut times = ExpectedTimes::new(16, unknown);
    let fingerprint = Fingerprint::of("select 1");
    assert_eq!(times.expected(fingerprint), unknown);
    times.observe(fingerprint, Duration::from_millis(80));
    assert_eq!(times.expected(fingerprint), Duration::from_millis(80));
    for _ in 0..100 {
        times.observe(fingerprint, Duration::from_millis(8));
    }
    assert!(times.expected(fingerprint) < Duration::from_millis(9));
}

#[test]
fn test_retries_that_nothing_pays_for_are_probes() {
    let now = Instant::now();
    let mut caller = RetryBudget::for_caller();
    let mut group = RetryBudget::new(10);
    assert!(spend(&mut caller, &mut group, now));
    assert!(!spend(&mut caller, &mut group, now + Duration::from_millis(99)));
    assert!(spend(&mut caller, &mut group, now + Duration::from_millis(100)));
}

#[test]
fn test_retry_that_succeeded_is_refunded() {
    let now = Instant::now();
    let mut group = RetryBudget::new(10);
    for _ in 0..10 {
        group.record_attempt();
    }
    for _ in 0..100 {
        let mut caller = RetryBudget::for_caller();
        assert!(spend(&mut caller, &mut group, now));
        refund(&mut caller, &mut group);
    }
}

#[test]
fn test_door_refuses_with_verdict_not_run() {
    let mut limit = ConcurrencyLimit::new(2);
    limit.acquire(Class::Normal).expect("one normal request is within the limit");
    let failure =
        limit.acquire(Class::Normal).expect_err("the rest is reserved for urgent requests");
    assert_eq!(failure.verdict, Verdict::NotRun);
    limit.acquire(Class::Urgent).expect("a part is reserved for urgent requests");
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn test_memory_of_expected_times_is_bounded(
        capacity in 2..64usize,
        statements in prop::collection::vec(0..500u64, 0..600),
    ) {
        let mut times = ExpectedTimes::new(capacity, Duration::ZERO);
        for number in statements {
            let fingerprint = Fingerprint::of(&format!("select c{number} from t"));
            times.observe(fingerprint, Duration::from_millis(number));
            prop_assert!(times.observed(fingerprint).is_some());
            prop_assert!(times.len() <= capacity);
        }
    }

    #[test]
    fn test_failing_retries_never_exceed_a_tenth_of_attempts_and_the_probes(
        retries_wanted in prop::collection::vec((0..4u8, 0..60u64), 0..400),
        callers in 1..5usize,
    ) {
        let mut group = RetryBudget::new(20);
        let mut budgets: Vec<RetryBudget> =
            (0..callers).map(|_| RetryBudget::for_caller()).collect();
        let mut now = Instant::now();
        let mut elapsed_ms = 0;
        let mut attempts = 0;
        let mut retries = 0;
        for (index, (wanted, gap_ms)) in retries_wanted.into_iter().enumerate() {
            now += Duration::from_millis(gap_ms);
            elapsed_ms += gap_ms;
            let caller = &mut budgets[index % callers];
            caller.record_attempt();
            group.record_attempt();
            attempts += 1;
            for _ in 0..wanted {
                retries += u64::from(spend(caller, &mut group, now));
            }
            let probes = 1 + elapsed_ms / 100;
            prop_assert!(retries <= attempts / 10 + probes);
        }
    }

    #[test]
    fn test_door_keeps_room_for_urgent_requests(
        total in 2..64u32,
        steps in prop::collection::vec((0..3u8, any::<bool>()), 0..300),
    ) {
        let mut limit = ConcurrencyLimit::new(total);
        for (class, acquires) in steps {
            let class = [Class::Urgent, Class::Normal, Class::Long][usize::from(class)];
            if acquires {
                let _ = limit.acquire(class);
            } else {
                limit.release(class);
            }
            let others = limit.running(Class::Normal) + limit.running(Class::Long);
            prop_assert!(others < total);
            prop_assert!(others + limit.running(Class::Urgent) <= total);
            prop_assert!(limit.running(Class::Long) <= (total / 4).max(1));
        }
    }
}
