//! Tests what an instance does with its lease, its registration and its duty when the store
//! comes back from an older copy.

mod support;

use masticreel_proxy::coordinator::{Coordinator, CoordinatorAction as Action, Purpose};
use masticreel_proxy::records::{
    COORDINATOR_KEY, DoubtRecord, StoreAnswer, StoreCall, SuspicionKind, live_key, suspicion_key,
};
use masticreel_proxy::store_era::era_of;
use support::{Fixture, OWN, coordinator, group, is_for, ms, tick_with_store};

const SECOND_ERA: u64 = 1 << 40;

/// Lets the store come back with the present items, in a new era; the instance notices it by
/// an answer, but has not listed the items again.
fn restore(fixture: &mut Fixture, coordinator: &mut Coordinator) {
    for item in fixture.items.values_mut() {
        item.revision += SECOND_ERA;
        item.created += SECOND_ERA;
    }
    fixture.revision += SECOND_ERA;
    fixture.view.observe_era(1);
    coordinator.store_era_changed(1);
}

/// Returns an instance that holds a lease and, if it was given it, the coordinator role.
fn settled(fixture: &mut Fixture) -> Coordinator {
    let mut coordinator = coordinator();
    fixture.refresh();
    for _ in 0..20 {
        tick_with_store(fixture, &mut coordinator);
        fixture.advance(ms(100));
        fixture.refresh();
    }
    coordinator
}

/// Grants a lease of the second era.
fn grant(fixture: &Fixture, coordinator: &mut Coordinator, lease: u64) {
    let answer = StoreAnswer::Lease { lease, lifetime: ms(3200) };
    let now = fixture.now;
    coordinator.store_answered(now, now, &Purpose::Grant, Some(&answer));
}

fn commits(actions: &[Action], purpose: &Purpose) -> Vec<StoreCall> {
    let calls = actions.iter().filter(|action| is_for(action, purpose));
    calls
        .filter_map(|action| match action {
            Action::Store(_, call) => Some(call.clone()),
            _ => None,
        })
        .collect()
}

/// Guards against renewing and using a lease that the restored store has given to another
/// instance, and against a live key that ends with it.
#[test]
fn test_lease_of_an_earlier_era_is_not_used() {
    let mut fixture = Fixture::serving();
    let mut coordinator = settled(&mut fixture);
    restore(&mut fixture, &mut coordinator);
    fixture.advance(ms(1500));
    fixture.refresh();
    coordinator.tick(&fixture.view, fixture.now);
    let actions = coordinator.take_actions();
    assert!(actions.iter().any(|action| is_for(action, &Purpose::Grant)), "{actions:?}");
    assert!(actions.iter().all(|action| is_for(action, &Purpose::Grant)), "{actions:?}");
    grant(&fixture, &mut coordinator, SECOND_ERA + 5);
    coordinator.tick(&fixture.view, fixture.now);
    let calls = commits(&coordinator.take_actions(), &Purpose::Register);
    let [StoreCall::Commit { writes, .. }] = calls.as_slice() else {
        panic!("expected one registration, got {calls:?}");
    };
    let live_key = live_key(&OWN.into());
    let written = writes.iter().find(|write| write.key == live_key);
    assert_eq!(written.and_then(|write| write.lease), Some(SECOND_ERA + 5));
}

/// Guards against a lease that was granted before the restore and whose answer came late.
#[test]
fn test_late_answer_of_an_earlier_era_counts_as_lost() {
    let mut fixture = Fixture::serving();
    fixture.refresh();
    let mut coordinator = coordinator();
    coordinator.tick(&fixture.view, fixture.now);
    coordinator.take_actions();
    restore(&mut fixture, &mut coordinator);
    fixture.refresh();
    grant(&fixture, &mut coordinator, 5);
    fixture.advance(ms(1000));
    coordinator.tick(&fixture.view, fixture.now);
    let actions = coordinator.take_actions();
    assert!(actions.iter().any(|action| is_for(action, &Purpose::Grant)), "{actions:?}");
}

/// Guards against a write whose condition holds by accident, since the restored store has
/// given out the revision again.
#[test]
fn test_condition_of_an_earlier_era_is_not_sent() {
    let mut fixture = Fixture::serving();
    fixture.make_coordinator();
    let mut coordinator = settled(&mut fixture);
    assert!(coordinator.is_active(&fixture.view, fixture.now));
    restore(&mut fixture, &mut coordinator);
    grant(&fixture, &mut coordinator, SECOND_ERA + 5);
    fixture.advance(ms(1000));
    coordinator.tick(&fixture.view, fixture.now);
    for action in coordinator.take_actions() {
        let Action::Store(purpose, call) = action else { continue };
        assert!(call.is_of_era(1), "{purpose:?}: {call:?}");
    }
}

/// Guards against two active coordinators after a restore: the copy named an earlier holder,
/// and the role key was bound to its earlier lease.
#[test]
fn test_role_counts_as_held_only_by_the_present_lease() {
    let mut fixture = Fixture::serving();
    fixture.make_coordinator();
    let mut coordinator = settled(&mut fixture);
    let role = |fixture: &Fixture| fixture.view.coordinator_role().cloned().expect("it is held");
    let token_before = role(&fixture).fencing_token;
    restore(&mut fixture, &mut coordinator);
    fixture.refresh();
    assert!(!coordinator.is_active(&fixture.view, fixture.now), "it has no lease");
    coordinator.tick(&fixture.view, fixture.now);
    coordinator.take_actions();
    grant(&fixture, &mut coordinator, SECOND_ERA + 5);
    assert!(!coordinator.is_active(&fixture.view, fixture.now), "the key has another lease");
    coordinator.tick(&fixture.view, fixture.now);
    let calls = commits(&coordinator.take_actions(), &Purpose::TakeDuty);
    let [call @ StoreCall::Commit { expected, writes }] = calls.as_slice() else {
        panic!("expected the role to be written, got {calls:?}");
    };
    assert_eq!(expected, &[(COORDINATOR_KEY.to_owned(), role(&fixture).revision)]);
    assert_eq!(writes[0].lease, Some(SECOND_ERA + 5));
    let answer = fixture.commit(call);
    coordinator.store_answered(fixture.now, fixture.now, &Purpose::TakeDuty, Some(&answer));
    fixture.refresh();
    assert!(coordinator.is_active(&fixture.view, fixture.now));
    let token = role(&fixture).fencing_token;
    assert!(token > token_before && era_of(token) == 1, "{token_before} {token}");
}

/// Guards against a suspicion that ends with another instance's lease.
#[test]
fn test_suspicion_is_written_again_with_the_new_lease() {
    let mut fixture = Fixture::serving();
    let mut coordinator = settled(&mut fixture);
    coordinator.suspect(&fixture.view, &group(), &"s1".into(), SuspicionKind::Silent);
    tick_with_store(&mut fixture, &mut coordinator);
    let key = suspicion_key(&group(), &OWN.into());
    let suspicion = DoubtRecord { primary: "s1".into(), epoch: 1, kind: SuspicionKind::Silent };
    fixture.put(&key, &suspicion);
    restore(&mut fixture, &mut coordinator);
    fixture.refresh();
    coordinator.tick(&fixture.view, fixture.now);
    coordinator.take_actions();
    grant(&fixture, &mut coordinator, SECOND_ERA + 5);
    coordinator.tick(&fixture.view, fixture.now);
    let calls = commits(&coordinator.take_actions(), &Purpose::Doubt(group()));
    let [StoreCall::Commit { writes, .. }] = calls.as_slice() else {
        panic!("expected the suspicion, got {calls:?}");
    };
    assert_eq!(writes[0].lease, Some(SECOND_ERA + 5));
}
