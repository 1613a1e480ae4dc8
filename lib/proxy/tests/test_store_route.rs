//! Tests through whom an instance reads the store, and when it turns elsewhere.

mod support;

use masticreel_base::ids::InstanceId;
use masticreel_proxy::records::{MemberRecord, live_key, member_key};
use masticreel_proxy::store_route::{GiveUpReason, ReadCall, StoreRoute};
use support::{Fixture, address, ms};

/// Two instances each in the domains `east` and `west`; `proxy-11` and `proxy-13` watch.
fn fleet() -> Fixture {
    let mut fixture = Fixture::new();
    for (instance, domain) in
        [("proxy-11", "east"), ("proxy-12", "east"), ("proxy-13", "west"), ("proxy-14", "west")]
    {
        let (id, domain) = (InstanceId::from(instance), Some(domain.into()));
        let record = MemberRecord { address: address(instance), domain, ..MemberRecord::default() };
        fixture.put(&live_key(&id), &1);
        fixture.put(&member_key(&id), &record);
    }
    fixture.refresh();
    fixture
}

fn route(instance: &str) -> StoreRoute {
    StoreRoute::new(instance.into(), "east".into())
}

fn reader(route: &StoreRoute, fixture: &Fixture) -> Option<String> {
    route.reader(&fixture.view, fixture.now, true).map(|instance| instance.to_string())
}

/// Guards against two instances that read the store through each other and learned of nothing.
#[test]
fn test_instance_that_is_asked_reads_the_store_itself() {
    let mut fixture = fleet();
    let mut follower = route("proxy-12");
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
    let mut watcher = route("proxy-11");
    watcher.record_asked(fixture.now);
    watcher.record_direct_call(false, fixture.now);
    assert_eq!(reader(&watcher, &fixture), None, "a call may get lost");
    watcher.record_direct_call(false, fixture.now);
    assert_eq!(reader(&watcher, &fixture).as_deref(), Some("proxy-13"));
    watcher.record_followed_failure(fixture.now);
    assert!(reader(&watcher, &fixture).is_some_and(|next| next != "proxy-11"));
    watcher.record_direct_call(true, fixture.now);
    assert_eq!(reader(&watcher, &fixture), None);
}

/// Guards against many instances that began to read the store when it turned a third of all
/// away: those turned elsewhere from a watcher that still reached it.
#[test]
fn test_follower_without_the_store_goes_on_following_its_watcher() {
    let fixture = fleet();
    let mut follower = route("proxy-12");
    follower.record_direct_call(false, fixture.now);
    follower.record_direct_call(false, fixture.now);
    assert_eq!(reader(&follower, &fixture).as_deref(), Some("proxy-11"));
    follower.record_followed_failure(fixture.now);
    assert_eq!(reader(&follower, &fixture).as_deref(), Some("proxy-13"));
}

/// Guards against calls that were awaited to their timeouts though they could show nothing.
#[test]
fn test_call_is_given_up_for_a_way_that_shows_changes_sooner() {
    let mut fixture = fleet();
    let start = fixture.now;
    let through = |give_up_at| ReadCall { called_at: start, is_through_instance: true, give_up_at };
    let direct = ReadCall { called_at: start, is_through_instance: false, give_up_at: None };
    fixture.advance(ms(500));
    let now = fixture.now;
    let reason = |route: &mut StoreRoute, call, awaited_since| {
        route.reason_to_give_up(&call, &fixture.view, awaited_since, now)
    };
    let mut own = route("proxy-12");
    assert_eq!(reason(&mut own, through(Some(start + ms(600))), None), None);
    let too_old = reason(&mut own, through(Some(now)), None);
    assert_eq!(too_old, Some(GiveUpReason::ViewTooOld));
    assert_eq!(reason(&mut own, direct, Some(start + ms(400))), None, "the store may be slow");
    own.record_asked(now);
    assert_eq!(reason(&mut own, through(None), None), Some(GiveUpReason::Asked));
    assert_eq!(reason(&mut own, direct, Some(start)), Some(GiveUpReason::MissedChange));
    assert!(own.is_direct_failing(), "the next call takes another way");
    assert_eq!(reason(&mut own, direct, None), Some(GiveUpReason::DirectCallsFail));
    assert_eq!(reason(&mut own, through(None), None), None, "there is no way but through others");
}
