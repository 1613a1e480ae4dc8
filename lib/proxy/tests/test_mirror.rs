//! Tests how an instance that watches the store answers its followers, and which
//! instance of a failure domain watches it.

mod support;

use std::sync::Arc;

use masticreel_proxy::moment::Moment;
use masticreel_proxy::records::{
    Item, MemberRecord, StoreAnswer, StoreCall, StoreEvent, member_key,
};
use masticreel_proxy::store_cache::{MAX_SERVED_AGE, StoreCache, other_watchers, watcher};
use masticreel_proxy::store_view::StoreView;
use support::{Fixture, ms};

fn item(key: &str, revision: u64) -> Item {
    Item { key: Arc::from(key), value: vec![1], revision, created: revision }
}

fn watch(after: u64) -> StoreCall {
    StoreCall::Watch { after, wait: ms(1000) }
}

#[test]
fn test_follower_gets_what_it_lacks_and_how_old_that_is() {
    let mut fixture = Fixture::serving();
    let mut store_cache = StoreCache::default();
    store_cache.replace(&[item("a", 100)], 100);
    store_cache.apply(&[StoreEvent::Written(item("b", 101)), StoreEvent::Written(item("c", 102))]);
    fixture.view.confirm(fixture.now, 102);
    fixture.advance(ms(300));
    let answer =
        store_cache.answer(&watch(101), &fixture.view, fixture.now, ms(0), true).expect("a change");
    let StoreAnswer::Events { events, age, .. } = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(events, [StoreEvent::Written(item("c", 102))]);
    assert_eq!(age, ms(300), "the age counts from the last confirmation");
    let held = store_cache
        .answer(&watch(101), &fixture.view, fixture.now, ms(200), true)
        .expect("a change");
    assert!(matches!(held, StoreAnswer::Events { age, .. } if age == ms(100)), "{held:?}");
}

#[test]
fn test_follower_waits_for_news_and_lists_what_it_has_missed() {
    let fixture = Fixture::serving();
    let mut store_cache = StoreCache::default();
    store_cache.replace(&[item("a", 100)], 100);
    let up_to_date = watch(fixture.view.revision());
    assert_eq!(store_cache.answer(&up_to_date, &fixture.view, fixture.now, ms(0), true), None);
    let nothing = store_cache.answer(&up_to_date, &fixture.view, fixture.now, ms(0), false);
    assert!(matches!(nothing, Some(StoreAnswer::Events { events, .. }) if events.is_empty()));
    let behind = store_cache.answer(&watch(99), &fixture.view, fixture.now, ms(0), true);
    assert_eq!(behind, Some(StoreAnswer::HistoryGone));
}

#[test]
fn test_instance_without_a_picture_answers_nothing() {
    let fixture = Fixture::new();
    let answer = StoreCache::default().answer(&watch(0), &fixture.view, fixture.now, ms(0), true);
    assert_eq!(answer, Some(StoreAnswer::Unavailable));
}

/// Guards against two instances that were both without the store and waited for each
/// other's changes, though the store had long been back.
#[test]
fn test_instance_that_is_itself_without_the_store_lets_nobody_wait() {
    let mut fixture = Fixture::serving();
    let mut store_cache = StoreCache::default();
    store_cache.replace(&[item("a", 100)], 100);
    let up_to_date = watch(fixture.view.revision());
    fixture.advance(MAX_SERVED_AGE);
    let answer = store_cache.answer(&up_to_date, &fixture.view, fixture.now, ms(0), true);
    assert_eq!(answer, Some(StoreAnswer::Unavailable));
}

#[test]
fn test_widest_live_member_of_a_domain_watches_the_store() {
    let mut fixture = Fixture::serving();
    for index in 1..=40_u64 {
        let instance = format!("proxy-{index:02}");
        fixture.put_member(&instance, index);
        let record = MemberRecord {
            incarnation: index,
            stopped: Vec::new(),
            address: support::address(&instance),
            domain: Some(if index % 2 == 0 { "east" } else { "west" }.into()),
            ..MemberRecord::default()
        };
        fixture.put(&member_key(&instance.as_str().into()), &record);
    }
    let names = |fixture: &Fixture| -> Vec<String> {
        watcher(&fixture.view, &"east".into()).iter().map(ToString::to_string).collect()
    };
    fixture.remove("masticreel/live/proxy-02");
    fixture.refresh();
    assert_eq!(names(&fixture), ["proxy-04"], "proxy-02 has no live key");
    let key = member_key(&"proxy-38".into());
    let mut wide = fixture.view.member(&"proxy-38".into()).cloned().expect("a member");
    wide.capacity.link_kbps = 200_000;
    fixture.put(&key, &wide);
    fixture.refresh();
    assert_eq!(names(&fixture), ["proxy-38"], "proxy-38 has the widest link");
    wide.is_leaving = true;
    fixture.put(&key, &wide);
    fixture.refresh();
    assert_eq!(names(&fixture), ["proxy-04"], "proxy-38 is leaving");
    let others = other_watchers(&fixture.view, &"west".into());
    assert_eq!(others, ["proxy-04".into()], "the watchers of all other domains");
}

/// Guards against followers that took the items of the store before its restore for present
/// ones, or waited for changes at an instance that had not noticed the restore.
#[test]
fn test_followers_get_nothing_of_another_era() {
    const SECOND_ERA: u64 = 1 << 40;
    let watch = |after| StoreCall::Watch { after, wait: ms(1000) };
    let list = StoreCall::List { after: None, may_be_stale: false };
    let (mut cache, mut view) = (StoreCache::default(), StoreView::default());
    let now = Moment::from_start(ms(1000));
    cache.replace(&[], 100);
    view.confirm(now, 100);
    let answer = |cache: &StoreCache, view: &StoreView, call: StoreCall| {
        cache.answer(&call, view, now, ms(0), true)
    };
    let unavailable = Some(StoreAnswer::Unavailable);
    assert_eq!(answer(&cache, &view, watch(SECOND_ERA + 40)), unavailable);
    view.observe_era(1);
    assert_eq!(answer(&cache, &view, watch(100)), unavailable);
    assert_eq!(answer(&cache, &view, list), unavailable);
    cache.replace(&[], SECOND_ERA + 40);
    view.confirm(now, SECOND_ERA + 40);
    assert_eq!(answer(&cache, &view, watch(100)), Some(StoreAnswer::HistoryGone));
    assert_eq!(answer(&cache, &view, watch(SECOND_ERA + 40)), None);
}
