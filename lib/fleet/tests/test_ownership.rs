//! Tests of the order of a server's owners, how it changes with the membership,
//! and of the selection of store watchers.

mod support;

use masticreel_base::ids::ServerId;
use masticreel_fleet::member::Member;
use masticreel_fleet::ownership::{owners, store_watchers};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::support::{id, member};

fn runner() -> TestRunner {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    TestRunner::new_with_rng(Config::default(), random)
}

fn members(size: usize) -> Vec<Member> {
    (0..size).map(member).collect()
}

#[test]
fn test_owner_is_in_the_failure_domain_of_the_server() {
    let members = members(24);
    for number in 0..100 {
        let server = ServerId::from(format!("server-{number}"));
        let order = owners(&server, &"region-2".into(), &members);
        for owner in &order {
            let owner =
                members.iter().find(|member| member.id == *owner).expect("owner is a member");
            assert_eq!(owner.failure_domain, "region-2".into());
        }
    }
}

#[test]
fn test_servers_are_spread_over_instances() {
    let members = members(6);
    let mut owned = std::collections::BTreeMap::new();
    for number in 0..3_000 {
        let server = ServerId::from(format!("server-{number}"));
        let order = owners(&server, &"elsewhere".into(), &members);
        *owned.entry(order[0].clone()).or_insert(0) += 1;
    }
    assert!(owned.values().all(|count| (400..600).contains(count)), "{owned:?}");
}

#[test]
fn test_a_gone_instance_moves_only_its_own_servers_to_the_next_in_order() {
    let result = runner().run(&(2..40_usize, 0..40_usize, any::<u32>()), |(size, gone, server)| {
        let before = members(size);
        let gone = id(gone % size);
        let after: Vec<Member> =
            before.iter().filter(|member| member.id != gone).cloned().collect();
        let server = ServerId::from(format!("server-{server}"));
        let old = owners(&server, &"region-1".into(), &before);
        let new = owners(&server, &"region-1".into(), &after);
        let expected = if old[0] == gone { &old[1] } else { &old[0] };
        prop_assert_eq!(&new[0], expected);
        Ok(())
    });
    result.expect("no counterexample");
}

#[test]
fn test_store_watchers_are_in_different_failure_domains() {
    let watchers = store_watchers(&members(24));
    let domains: std::collections::BTreeSet<_> =
        watchers.iter().map(|id| id.as_str().trim_start_matches("instance-")).collect();
    let domains: std::collections::BTreeSet<usize> = domains
        .iter()
        .map(|number| number.parse::<usize>().expect("name ends in a number") % 4)
        .collect();
    assert_eq!((watchers.len(), domains.len()), (3, 3));
}
