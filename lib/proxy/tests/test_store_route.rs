//! Tests through whom an instance reads the store.

mod support;

use masticreel_base::ids::InstanceId;
use masticreel_proxy::records::{MemberRecord, live_key, member_key};
use masticreel_proxy::store_route::StoreRoute;
use support::{Fixture, address, ms};

/// Puts an instance that is live in a failure domain.
fn put_live(fixture: &mut Fixture, instance: &str, domain: &str) {
    let id = InstanceId::from(instance);
    fixture.put(&live_key(&id), &1);
    let domain = Some(domain.into());
    let record = MemberRecord { address: address(instance), domain, ..MemberRecord::default() };
    fixture.put(&member_key(&id), &record);
}

/// Two instances each in the domains `east` and `west`; `proxy-11` and `proxy-13` watch.
fn fleet() -> Fixture {
    let mut fixture = Fixture::new();
    for (instance, domain) in
        [("proxy-11", "east"), ("proxy-12", "east"), ("proxy-13", "west"), ("proxy-14", "west")]
    {
        put_live(&mut fixture, instance, domain);
    }
    fixture.refresh();
    fixture
}

fn route(instance: &str, domain: &str) -> StoreRoute {
    StoreRoute::new(instance.into(), domain.into())
}

fn reader(route: &StoreRoute, fixture: &Fixture) -> Option<String> {
    route.reader(&fixture.view, fixture.now, true).map(|instance| instance.to_string())
}

fn cut_from_store(route: &mut StoreRoute, fixture: &Fixture) {
    for _ in 0..2 {
        route.record_direct_call(false, fixture.now);
    }
    assert!(route.is_direct_failing());
}

/// Guards against two instances that read the store through each other and learned of nothing.
#[test]
fn test_instance_that_is_asked_reads_the_store_itself() {
    let mut fixture = fleet();
    let mut follower = route("proxy-12", "east");
    assert_eq!(reader(&follower, &fixture).as_deref(), Some("proxy-11"));
    follower.record_asked(fixture.now);
    assert_eq!(reader(&follower, &fixture), None, "proxy-11 may be the one that asks");
    fixture.advance(ms(4000));
    assert_eq!(reader(&follower, &fixture).as_deref(), Some("proxy-11"), "nobody asks any more");
}

/// An instance that is asked but can't reach the store has no other way than through others.
#[test]
fn test_instance_without_the_store_asks_one_that_reads_it_already() {
    let fixture = fleet();
    let mut watcher = route("proxy-11", "east");
    watcher.record_asked(fixture.now);
    cut_from_store(&mut watcher, &fixture);
    assert_eq!(reader(&watcher, &fixture).as_deref(), Some("proxy-13"));
    watcher.record_followed_failure(fixture.now);
    let next = reader(&watcher, &fixture);
    assert!(next.is_some_and(|next| next != "proxy-11"), "any other one is asked then");
    watcher.record_direct_call(true, fixture.now);
    assert_eq!(reader(&watcher, &fixture), None);
}

#[test]
fn test_watch_that_misses_a_known_change_is_left_at_once() {
    let fixture = fleet();
    let mut watcher = route("proxy-11", "east");
    assert_eq!(reader(&watcher, &fixture), None);
    watcher.record_missed_change(fixture.now);
    assert_eq!(reader(&watcher, &fixture).as_deref(), Some("proxy-13"));
    assert!(!watcher.tests_direct_calls(fixture.now));
}

#[test]
fn test_follower_of_a_failed_watcher_tries_others_before_the_store() {
    let mut fixture = fleet();
    let mut follower = route("proxy-12", "east");
    for _ in 0..2 {
        follower.record_followed_failure(fixture.now);
        assert_eq!(reader(&follower, &fixture).as_deref(), Some("proxy-13"));
    }
    follower.record_followed_failure(fixture.now);
    assert_eq!(reader(&follower, &fixture), None);
    fixture.advance(ms(3000));
    assert_eq!(reader(&follower, &fixture).as_deref(), Some("proxy-11"));
}
