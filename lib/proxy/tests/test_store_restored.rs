//! Tests what an instance does with its lease, its registration and its duty when the store
//! comes back from an older copy.

mod support;

use std::time::Duration;

use masticreel_base::ids::InstanceId;
use masticreel_proxy::coordinator::{
    ControlRequest, Coordinator, CoordinatorAction as Action, Purpose,
};
use masticreel_proxy::moment::Moment;
use masticreel_proxy::primary_lease::{
    MAX_FRESH_VIEW_AGE, PRIMARY_LEASE, PRIMARY_LEASE_MARGIN, is_view_fresh, usable_primary,
};
use masticreel_proxy::records::{
    COORDINATOR_KEY, DoubtRecord, GroupRecord, Item, Phase, StoreAnswer, StoreCall, StoreEvent,
    SuspicionKind, group_key, live_key, member_key, suspicion_key,
};
use masticreel_proxy::statement::{Role, ServerStatus};
use masticreel_proxy::store_era::era_of;
use masticreel_proxy::store_view::StoreView;
use support::{
    Fixture, INCARNATION, OWN, address, coordinator, group, is_for, ms, position, tick_with_store,
};

const SECOND_ERA: u64 = 1 << 40;

/// Lets the store come back with the present items, in a new era; the instance notices it by
/// an answer, but has not listed the items again.
fn restore(fixture: &mut Fixture, coordinator: &mut Coordinator) {
    for item in fixture.items.values_mut() {
        item.revision += SECOND_ERA;
        item.created += SECOND_ERA;
    }
    fixture.revision += SECOND_ERA;
    let era = fixture.view.era() + 1;
    fixture.view.observe_era(era);
    coordinator.store_era_changed(era);
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

/// Lets the store come back from a copy that has the group's first record, while the instance
/// knows the second one, which has another primary; returns the revision of the copy's record.
fn restore_older_record(fixture: &mut Fixture, coordinator: &mut Coordinator) -> u64 {
    let key = group_key(&group());
    let copy = fixture.items[&key].clone();
    fixture.put_record(2, Phase::Serving, "s2");
    fixture.refresh();
    fixture.items.insert(key.clone(), copy);
    restore(fixture, coordinator);
    fixture.refresh();
    let record = fixture.view.versioned_group(&group()).expect("it has a record");
    assert_eq!((record.value.primary.as_str(), record.value.epoch), ("s2", 2));
    fixture.items[&key].revision
}

/// Guards against a primary that can't be replaced any more: all conditions named the revision
/// of a record that the store had lost.
#[test]
fn test_primary_is_replaced_though_the_store_has_lost_its_record() {
    let mut fixture = Fixture::serving();
    fixture.make_coordinator();
    let mut coordinator = settled(&mut fixture);
    restore_older_record(&mut fixture, &mut coordinator);
    fixture.put_server("s2", Role::Primary, true);
    let mut blocked = None;
    for _ in 0..40 {
        fixture.refresh();
        coordinator.tick(&fixture.view, fixture.now);
        for action in coordinator.take_actions() {
            let Action::Store(purpose, call) = action else { continue };
            let answer = match &call {
                StoreCall::Grant { lifetime } => {
                    StoreAnswer::Lease { lease: 6, lifetime: *lifetime }
                }
                StoreCall::Renew { .. } => StoreAnswer::Lease { lease: 0, lifetime: ms(3200) },
                call => fixture.commit(call),
            };
            coordinator.store_answered(fixture.now, fixture.now, &purpose, Some(&answer));
        }
        fixture.advance(ms(50));
        let key = group_key(&group());
        let record: GroupRecord =
            serde_json::from_slice(&fixture.items[&key].value).expect("it is a record");
        blocked = Some(record).filter(|record| record.phase == Phase::Changing).or(blocked);
    }
    let blocked = blocked.expect("the primary is blocked");
    assert_eq!(blocked.primary.as_str(), "s2");
    assert!(blocked.epoch > 1 << 32, "higher than any that was lost: {}", blocked.epoch);
}

/// Guards against instances that start after the restore and use the primary that the copy
/// names.
#[test]
fn test_lost_record_is_written_again_by_those_who_know_it() {
    let mut fixture = Fixture::serving();
    for number in 2..=9 {
        fixture.put_member(&format!("proxy-{number}"), 1);
    }
    let mut coordinator = settled(&mut fixture);
    let revision = restore_older_record(&mut fixture, &mut coordinator);
    let mut written = Vec::new();
    for _ in 0..50 {
        coordinator.tick(&fixture.view, fixture.now);
        written.extend(commits(&coordinator.take_actions(), &Purpose::Restore(group())));
        fixture.advance(ms(10));
    }
    let [call @ StoreCall::Commit { expected, .. }] = written.as_slice() else {
        panic!("expected one write, got {written:?}");
    };
    assert_eq!(expected, &[(group_key(&group()), revision)]);
    let answer = fixture.commit(call);
    coordinator.store_answered(fixture.now, fixture.now, &Purpose::Restore(group()), Some(&answer));
    fixture.refresh();
    assert_eq!(fixture.view.lost_records().count(), 0);
    coordinator.tick(&fixture.view, fixture.now + ms(1000));
    assert!(commits(&coordinator.take_actions(), &Purpose::Restore(group())).is_empty());
}

/// Guards against a lost record that is never written again because an instance that knew only
/// an older one was faster.
#[test]
fn test_lost_record_replaces_an_older_one_that_was_written_again() {
    let mut fixture = Fixture::serving();
    let mut coordinator = settled(&mut fixture);
    restore_older_record(&mut fixture, &mut coordinator);
    fixture.revision += 1;
    let key = group_key(&group());
    let item = fixture.items.get_mut(&key).expect("the copy has a record");
    item.revision = fixture.revision;
    let event = StoreEvent::Written(item.clone());
    fixture.view.apply(&[event], &fixture.store);
    let record = fixture.view.versioned_group(&group()).expect("it has a record");
    assert_eq!((record.value.epoch, record.revision), (2, fixture.revision));
    let lost: Vec<_> = fixture.view.lost_records().collect();
    assert_eq!(lost, [(&group(), fixture.revision)]);
}

/// Answers the status queries among these actions as the group's servers would, if `leader`
/// leads.
fn answer_statuses(now: Moment, coordinator: &mut Coordinator, actions: &[Action], leader: &str) {
    for action in actions {
        if let Action::Control(request @ ControlRequest { server, .. }) = action {
            let is_leader = server.as_str() == leader;
            let role = if is_leader { Role::Primary } else { Role::Replica };
            let term = position(if is_leader { 2 } else { 1 }, 0).term;
            let status = ServerStatus { role, term, received: position(1, 9) };
            coordinator.control_answered(now, request, Ok(status));
        }
    }
}

/// Runs the active coordinator after a restore for a while and returns the group's last record.
fn record_after_restore(leader: &str) -> (GroupRecord, Fixture) {
    let mut fixture = Fixture::serving();
    fixture.make_coordinator();
    let mut coordinator = settled(&mut fixture);
    restore(&mut fixture, &mut coordinator);
    for _ in 0..100 {
        fixture.refresh();
        let actions = tick_with_store(&mut fixture, &mut coordinator);
        answer_statuses(fixture.now, &mut coordinator, &actions, leader);
        fixture.advance(ms(50));
    }
    fixture.refresh();
    (fixture.view.group(&group()).expect("it has a record").clone(), fixture)
}

/// Guards against a primary that nobody can use any more after a restore.
#[test]
fn test_record_of_a_primary_that_leads_is_settled_in_the_new_era() {
    let (record, fixture) = record_after_restore("s1");
    assert_eq!((record.phase, record.primary.as_str()), (Phase::Serving, "s1"));
    assert!(fixture.view.is_settled(&group()));
}

/// Guards against a primary that was replaced in the seconds that the store has lost.
#[test]
fn test_record_of_a_primary_that_was_replaced_is_not_settled() {
    let (record, _) = record_after_restore("s2");
    assert_eq!((record.phase, record.primary.as_str()), (Phase::Serving, "s2"));
}

/// Replaces a primary that can't be used after a restore which has lost the membership of
/// `proxy-2`, and returns how long after the restore the promotion is requested.
fn promotion_after_lost_membership(is_confirmed: bool) -> Duration {
    let mut fixture = Fixture::serving();
    fixture.make_coordinator();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = settled(&mut fixture);
    let lost = InstanceId::from("proxy-2");
    fixture.remove(&live_key(&lost));
    fixture.remove(&member_key(&lost));
    restore(&mut fixture, &mut coordinator);
    fixture.put_server("s1", Role::Primary, true);
    for step in 0..300 {
        fixture.refresh();
        let actions = tick_with_store(&mut fixture, &mut coordinator);
        answer_statuses(fixture.now, &mut coordinator, &actions, "none");
        let epoch = fixture.view.group(&group()).map_or(0, |record| record.epoch);
        coordinator.work_done(fixture.now, &group(), epoch);
        for action in actions {
            match action {
                Action::Promote(_) => return ms(50) * step,
                Action::SendToPeer(to, _) if is_confirmed && Some(to) == address("proxy-2") => {
                    coordinator.peer_stopped(&lost, &group(), epoch);
                }
                _ => {}
            }
        }
        fixture.advance(ms(50));
    }
    panic!("no promotion was requested");
}

/// Guards against a replacement that did not wait for an instance whose membership the store had
/// lost, and which used the old primary by its view of before.
#[test]
fn test_member_that_the_store_has_lost_is_waited_for() {
    let shortest = MAX_FRESH_VIEW_AGE + PRIMARY_LEASE_MARGIN;
    let waited = promotion_after_lost_membership(false);
    assert!(waited >= shortest, "{waited:?}");
    let confirmed = promotion_after_lost_membership(true);
    assert!(confirmed < shortest, "it has confirmed: {confirmed:?}");
}

/// Guards against an instance that starts after the restore and reads at a primary that had
/// been replaced in the seconds that the store has lost.
#[test]
fn test_primary_of_a_record_that_is_not_settled_is_used_only_by_the_lease_of_before() {
    let mut fixture = Fixture::serving();
    let mut coordinator = settled(&mut fixture);
    let is_usable = |view: &StoreView, now: Moment| {
        usable_primary(view, &OWN.into(), INCARNATION, &group(), now).is_some()
    };
    restore(&mut fixture, &mut coordinator);
    fixture.put_record((1 << 32) + 1, Phase::Serving, "s1");
    fixture.refresh();
    let confirmed_at = fixture.view.confirmed_at().expect("it is confirmed");
    restore(&mut fixture, &mut coordinator);
    fixture.advance(ms(5000));
    fixture.refresh();
    assert!(is_usable(&fixture.view, fixture.now), "by the lease of before");
    assert!(!is_view_fresh(&fixture.view, &group(), fixture.now), "reads are checked");
    assert!(!is_usable(&fixture.view, confirmed_at + PRIMARY_LEASE));
    let mut started = StoreView::default();
    started.observe_era(2);
    let items: Vec<Item> = fixture.items.values().cloned().collect();
    started.replace(&items, &fixture.store);
    started.confirm(fixture.now, fixture.revision);
    assert!(!is_usable(&started, fixture.now), "it has no lease of before");
    fixture.put_record((2 << 32) + 1, Phase::Serving, "s1");
    fixture.refresh();
    assert!(is_view_fresh(&fixture.view, &group(), fixture.now));
}
