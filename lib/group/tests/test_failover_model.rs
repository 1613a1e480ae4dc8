//! Property tests of failover: random schedules against a model of a group.
//!
//! The model's servers keep the contract of `ServerControl`. Two instances, the
//! actors, poll, write and promote at arbitrary moments while messages are lost,
//! delayed, duplicated and reordered. No schedule may lose an acknowledged write.
//! A naive policy runs in the same schedules and must violate an invariant, which
//! shows that the schedules can find faults.

#[path = "failover_model/server.rs"]
mod server;
#[path = "failover_model/world.rs"]
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use world::{Policy, Step, World};

const SEED: [u8; 32] = [7; 32];
const SCHEDULES: u32 = 3000;

fn runner() -> TestRunner {
    let config = Config { cases: SCHEDULES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let actor = 0..2_usize;
    let server = 0..3_usize;
    let step = prop_oneof![
        4 => (actor.clone(), server.clone()).prop_map(|(a, s)| Step::Poll(a, s)),
        4 => actor.clone().prop_map(Step::Write),
        1 => actor.clone().prop_map(Step::StartPromotion),
        2 => actor.prop_map(Step::Tick),
        12 => any::<prop::sample::Index>().prop_map(Step::Deliver),
        1 => any::<prop::sample::Index>().prop_map(Step::Lose),
        1 => any::<prop::sample::Index>().prop_map(Step::Duplicate),
        6 => server.clone().prop_map(Step::Replicate),
        3 => server.prop_map(Step::Apply),
    ];
    prop::collection::vec(step, 40..160)
}

#[test]
fn test_no_schedule_loses_an_acknowledged_write() {
    let acknowledged = std::cell::Cell::new(0);
    let promotions = std::cell::Cell::new(0);
    let result = runner().run(&steps(), |steps| {
        let mut world = World::new(Policy::Majority);
        world.run(&steps);
        acknowledged.set(acknowledged.get() + world.acknowledged.len());
        promotions.set(promotions.get() + world.promotions.len());
        prop_assert_eq!(world.violation, None);
        Ok(())
    });
    println!("{} acknowledged, {} promotions", acknowledged.get(), promotions.get());
    result.expect("every schedule keeps the invariants");
    assert!(acknowledged.get() > 1000, "too few writes were acknowledged for a meaningful test");
    assert!(promotions.get() > 1000, "too few promotions happened for a meaningful test");
}

#[test]
fn test_naive_policy_fails_in_the_same_schedules() {
    let violations = std::cell::Cell::new(0);
    runner()
        .run(&steps(), |steps| {
            let mut world = World::new(Policy::Naive);
            world.run(&steps);
            violations.set(violations.get() + usize::from(world.violation.is_some()));
            Ok(())
        })
        .expect("the schedules only count violations");
    println!("{} of {SCHEDULES} schedules violate an invariant", violations.get());
    assert!(violations.get() > 0);
}
