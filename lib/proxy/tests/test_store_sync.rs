//! Tests which answers an instance takes over while it keeps its view of the store.

mod support;

use std::time::Duration;

use masticreel_base::ids::ServerId;
use masticreel_proxy::directory::Server;
use masticreel_proxy::moment::Moment;
use masticreel_proxy::protocol::{ProtocolError, StoreContent, StoreProtocol};
use masticreel_proxy::records::{Item, StoreAnswer, StoreCall, StoreEvent, StoreReply};
use masticreel_proxy::store_cache::StoreCache;
use masticreel_proxy::store_sync::{AnswerEffect, StoreSync};
use masticreel_proxy::store_view::StoreView;
use support::ms;

/// A protocol whose items are all servers.
struct Servers;

impl StoreProtocol for Servers {
    fn encode(&self, _call: &StoreCall, _output: &mut Vec<u8>) {}

    fn decode(
        &self,
        _call: &StoreCall,
        _input: &mut Vec<u8>,
    ) -> Result<Option<StoreReply>, ProtocolError> {
        Ok(None)
    }

    fn parse_content(&self, key: &str, _value: &[u8]) -> StoreContent {
        StoreContent::Server(Server {
            id: key.into(),
            group: "group-1".into(),
            address: ([127, 0, 0, 1], 1000).into(),
            domain: "domain-1".into(),
            slots: 4,
            is_leaving: false,
            role: None,
            started_ms: 1,
        })
    }

    fn server_of_key(&self, key: &str) -> Option<ServerId> {
        Some(key.into())
    }
}

#[derive(Default)]
struct Follower {
    sync: StoreSync,
    view: StoreView,
    cache: StoreCache,
    now: Moment,
}

impl Follower {
    /// Makes the next call, through another instance or directly, and answers it.
    fn call(&mut self, is_through_instance: bool, answer: StoreAnswer) -> AnswerEffect {
        self.now = self.now + Duration::from_secs(1);
        self.sync
            .start_next_call(&self.view, self.now, is_through_instance)
            .expect("a call is due after a second");
        self.sync.answered(&mut self.view, &mut self.cache, self.now, Some(answer), &Servers)
    }

    fn servers(&self) -> Vec<&str> {
        let known = ["s1", "s2"].into_iter();
        known.filter(|id| self.view.server(&ServerId::from(*id)).is_some()).collect()
    }
}

fn page(servers: &[&str], revision: u64, is_truncated: bool) -> StoreAnswer {
    let items = servers
        .iter()
        .map(|id| Item { key: (*id).into(), value: vec![1], revision: 1, created: 1 })
        .collect();
    StoreAnswer::Page { items, is_truncated, revision, age: ms(0) }
}

fn removal(id: &str, revision: u64) -> StoreAnswer {
    let events = vec![StoreEvent::Removed { key: id.into(), revision }];
    StoreAnswer::Events { events, revision, age: ms(0) }
}

/// Guards against a server that had left and was used again for good: the list came from an
/// instance whose own view lagged, and the watch went on after the removal.
#[test]
fn test_list_of_an_instance_that_lags_brings_no_removed_server_back() {
    let mut follower = Follower::default();
    follower.call(true, page(&["s1", "s2"], 100, false));
    follower.call(true, removal("s1", 101));
    follower.call(true, StoreAnswer::HistoryGone);
    let effect = follower.call(true, page(&["s1", "s2"], 100, false));
    assert_eq!(follower.servers(), ["s2"]);
    assert!(effect.is_outdated && !follower.sync.is_complete(), "the items are listed again");
    follower.call(false, page(&["s2"], 102, false));
    assert_eq!((follower.servers(), follower.sync.is_complete()), (vec!["s2"], true));
}

/// Guards against the same with a list that began at the store.
#[test]
fn test_list_does_not_go_on_with_older_items_of_an_instance() {
    let mut follower = Follower::default();
    follower.call(false, page(&["s2"], 101, true));
    follower.call(true, page(&["s1", "s2"], 100, false));
    assert_eq!(follower.servers(), Vec::<&str>::new());
    follower.call(false, page(&["s2"], 102, false));
    assert_eq!(follower.servers(), ["s2"]);
}

/// The store itself is believed, also after it was restored from a backup.
#[test]
fn test_list_of_the_store_is_taken_over_at_any_revision() {
    let mut follower = Follower::default();
    follower.call(false, page(&["s1"], 100, false));
    follower.call(false, StoreAnswer::HistoryGone);
    follower.call(false, page(&["s2"], 40, false));
    assert_eq!(follower.servers(), ["s2"]);
}

/// The first revision of the store's second era.
const SECOND_ERA: u64 = 1 << 40;

/// Guards against a view that stayed at the higher revision of the store that was lost: it
/// missed all changes up to that revision, and listed the items without end meanwhile.
#[test]
fn test_changes_after_a_restore_are_watched_from_its_own_revision() {
    let mut follower = Follower::default();
    follower.call(false, page(&["s1"], 100, false));
    follower.call(false, StoreAnswer::HistoryGone);
    follower.call(false, page(&["s1"], SECOND_ERA + 40, false));
    follower.now = follower.now + Duration::from_secs(1);
    let call = follower.sync.start_next_call(&follower.view, follower.now, false);
    assert!(matches!(call, Some(StoreCall::Watch { after, .. }) if after == SECOND_ERA + 40));
}

/// Guards against changes that were taken for those of the store before its restore.
#[test]
fn test_events_of_a_new_era_lead_to_a_new_list() {
    let mut follower = Follower::default();
    follower.call(true, page(&["s1"], 100, false));
    follower.call(true, removal("s1", SECOND_ERA + 101));
    assert!(!follower.sync.is_complete(), "the items are listed again");
    follower.call(false, page(&["s2"], SECOND_ERA + 101, false));
    assert_eq!((follower.servers(), follower.view.era()), (vec!["s2"], 1));
}

/// Guards against a late list of the store that was lost.
#[test]
fn test_list_of_an_earlier_era_is_discarded() {
    let mut follower = Follower::default();
    follower.call(false, page(&["s2"], SECOND_ERA + 40, false));
    follower.call(false, StoreAnswer::HistoryGone);
    let effect = follower.call(false, page(&["s1"], 100, false));
    assert!(effect.is_outdated && !follower.sync.is_complete());
    assert_eq!(follower.servers(), ["s2"]);
}

/// Guards against a list of which one page shows the store before its restore.
#[test]
fn test_list_does_not_go_on_in_another_era() {
    let mut follower = Follower::default();
    follower.call(false, page(&["s1"], 100, true));
    follower.call(false, page(&["s2"], SECOND_ERA + 40, false));
    assert!(!follower.sync.is_complete());
    follower.call(false, page(&["s1"], SECOND_ERA + 41, false));
    assert_eq!(follower.servers(), ["s1"]);
}

/// Guards against the answer to a watch that began before the restore.
#[test]
fn test_watch_of_an_earlier_era_changes_nothing() {
    let mut follower = Follower::default();
    follower.call(false, page(&["s1"], 100, false));
    follower.now = follower.now + Duration::from_secs(1);
    follower.sync.start_next_call(&follower.view, follower.now, false);
    let confirmed_at = follower.view.confirmed_at();
    follower.view.observe_era(1);
    let answer = Some(removal("s1", 101));
    let Follower { sync, view, cache, now } = &mut follower;
    sync.answered(view, cache, *now, answer, &Servers);
    assert_eq!((follower.servers(), follower.view.confirmed_at()), (vec!["s1"], confirmed_at));
    assert!(!follower.sync.is_complete(), "the items are listed again");
}

/// Returns how long a follower's next watch may be held, given the age of its view.
fn wait_of_next_watch(age: Duration, is_through_instance: bool) -> Duration {
    let mut follower = Follower::default();
    follower.call(false, page(&["s1"], 100, false));
    let now = follower.now + age;
    match follower.sync.start_next_call(&follower.view, now, is_through_instance) {
        Some(StoreCall::Watch { wait, .. }) => wait,
        call => panic!("expected a watch, got {call:?}"),
    }
}

/// Guards against a configuration that became active after 4.2 s: a watch through an instance
/// that learned of no changes began just before the view was too old, and was held for 1.5 s.
#[test]
fn test_watch_is_not_held_until_the_view_is_too_old() {
    const LONGEST: Duration = Duration::from_millis(2800);
    for is_through_instance in [true, false] {
        for age in [ms(0), ms(1250), ms(1700), ms(2600)] {
            let wait = wait_of_next_watch(age, is_through_instance);
            assert!(age + wait <= LONGEST, "{wait:?} at {age:?}");
            assert!(!wait.is_zero());
        }
    }
    assert_eq!(wait_of_next_watch(ms(3000), false), ms(0), "the store answers at once");
    assert!(wait_of_next_watch(ms(3000), true) > ms(1000), "there is no other way to the store");
}
