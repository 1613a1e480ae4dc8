//! Tests the replacement of primaries against a store in memory.

mod support;

use std::time::Duration;

use masticreel_proxy::coordinator::{
    ControlFailure, ControlRequest, Coordinator, CoordinatorAction as Action, Purpose,
};
use masticreel_proxy::peers::PeerMessage;
use masticreel_proxy::primary_lease::{
    MAX_FRESH_VIEW_AGE, PRIMARY_LEASE, PRIMARY_LEASE_MARGIN, usable_primary,
};
use masticreel_proxy::protocol::PromoterAnswer;
use masticreel_proxy::records::{
    COORDINATOR_KEY, DoubtRecord, Phase, StoreEvent, SuspicionKind, live_key, member_key,
    suspicion_key,
};
use masticreel_proxy::relays::rank_owners;
use masticreel_proxy::statement::{Command, Role, ServerStatus};
use support::{
    Fixture, INCARNATION, OWN, coordinator, coordinator_of, group, is_for, ms, position,
    status_request, tick_with_store,
};

/// Returns the coordinator of an instance that has been the active one long enough
/// to request a promotion at once.
fn active_coordinator(fixture: &mut Fixture) -> Coordinator {
    let mut coordinator = coordinator();
    fixture.make_coordinator();
    fixture.refresh();
    for _ in 0..40 {
        tick_with_store(fixture, &mut coordinator);
        fixture.advance(ms(100));
        fixture.refresh();
    }
    assert!(coordinator.is_active(&fixture.view, fixture.now));
    coordinator
}

/// Ticks with a view that shows none of the store's latest changes.
fn tick_with_store_of_old_view(fixture: &mut Fixture, coordinator: &mut Coordinator) {
    let is_cut_off = std::mem::replace(&mut fixture.is_cut_off, true);
    tick_with_store(fixture, coordinator);
    fixture.is_cut_off = is_cut_off;
}

/// Lets a member be without its live key for a time, which the coordinator sees.
fn lose_lease(fixture: &mut Fixture, coordinator: &mut Coordinator, member: &str, time: Duration) {
    fixture.remove(&live_key(&member.into()));
    fixture.refresh();
    let end = fixture.now + time;
    while fixture.now < end {
        tick_with_store(fixture, coordinator);
        fixture.advance(ms(100));
        fixture.refresh();
    }
}

fn replica(number: u64) -> ServerStatus {
    ServerStatus { role: Role::Replica, term: position(1, 0).term, received: position(1, number) }
}

/// Answers status queries and promotion requests, and returns the servers whose
/// promotion was requested.
fn answer_actions(
    fixture: &mut Fixture,
    coordinator: &mut Coordinator,
    actions: &[Action],
) -> Vec<String> {
    let mut promoted = Vec::new();
    for action in actions {
        match action {
            Action::Control(request @ ControlRequest { server, command, .. }) => {
                let status = match (server.as_str(), command) {
                    ("s1", Command::StepDown { .. }) => replica(9),
                    ("s1", _) => ServerStatus { role: Role::Primary, ..replica(9) },
                    ("s2", _) => replica(9),
                    _ => replica(7),
                };
                coordinator.control_answered(fixture.now, request, Ok(status));
            }
            Action::Promote(request) => {
                promoted.push(request.server.to_string());
                coordinator.promoter_answered(fixture.now, request, Some(PromoterAnswer::Accepted));
            }
            Action::Store(..) | Action::SendToPeer(..) => {}
        }
    }
    promoted
}

/// Runs a replacement until a promotion is requested or the time has passed, and
/// returns the servers whose promotion was requested.
fn promotions_within(
    fixture: &mut Fixture,
    coordinator: &mut Coordinator,
    time: Duration,
) -> Vec<String> {
    let end = fixture.now + time;
    while fixture.now < end {
        let actions = tick_with_store(fixture, coordinator);
        let promoted = answer_actions(fixture, coordinator, &actions);
        if !promoted.is_empty() {
            return promoted;
        }
        fixture.advance(ms(20));
        fixture.refresh();
    }
    Vec::new()
}

#[test]
fn test_leaving_primary_is_replaced_once_all_members_have_stopped() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    assert!(
        promotions_within(&mut fixture, &mut coordinator, ms(1000)).is_empty(),
        "proxy-2 may still write"
    );
    fixture.confirm_stop("proxy-2", 1, 2);
    fixture.refresh();
    coordinator.work_done(fixture.now, &group(), 2);
    assert_eq!(promotions_within(&mut fixture, &mut coordinator, ms(1000)), ["s2"]);
}

#[test]
fn test_member_that_never_confirms_is_waited_for_until_its_entitlement_ends() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    coordinator.work_done(fixture.now, &group(), 2);
    let least = MAX_FRESH_VIEW_AGE + PRIMARY_LEASE_MARGIN;
    assert!(promotions_within(&mut fixture, &mut coordinator, least).is_empty());
    assert_eq!(promotions_within(&mut fixture, &mut coordinator, ms(500)), ["s2"]);
}

/// While the old primary has not answered that it stepped down, a member that is cut
/// off may use it until its primary lease expires.
#[test]
fn test_silent_primary_is_replaced_after_the_whole_entitlement() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    coordinator.work_done(fixture.now, &group(), 2);
    let mut promoted = Vec::new();
    let start = fixture.now;
    while promoted.is_empty() && fixture.now.since(start) < PRIMARY_LEASE * 2 {
        let actions = tick_with_store(&mut fixture, &mut coordinator);
        let (to_old, others): (Vec<Action>, Vec<Action>) = actions.into_iter().partition(
            |action| matches!(action, Action::Control(request) if request.server.as_str() == "s1"),
        );
        for action in to_old {
            if let Action::Control(request) = action {
                let silent = Err(ControlFailure::Silent);
                coordinator.control_answered(fixture.now, &request, silent);
            }
        }
        promoted = answer_actions(&mut fixture, &mut coordinator, &others);
        fixture.advance(ms(20));
        fixture.refresh();
    }
    assert_eq!(promoted, ["s2"]);
    let waited = fixture.now.since(start);
    assert!(waited >= PRIMARY_LEASE + PRIMARY_LEASE_MARGIN, "{waited:?}");
}

/// Guards against waiting for a member whose machine was removed for good: it delayed
/// every later replacement by 13.5 s.
#[test]
fn test_member_that_lost_its_lease_long_ago_holds_no_change_up() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.remove(&live_key(&"proxy-2".into()));
    fixture.refresh();
    let end = fixture.now + MAX_FRESH_VIEW_AGE + PRIMARY_LEASE_MARGIN;
    while fixture.now <= end {
        tick_with_store(&mut fixture, &mut coordinator);
        fixture.advance(ms(100));
        fixture.refresh();
    }
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    coordinator.work_done(fixture.now, &group(), 2);
    assert_eq!(promotions_within(&mut fixture, &mut coordinator, ms(1000)), ["s2"]);
}

/// Guards against the removal of a member that comes back while the removal is under way.
#[test]
fn test_member_whose_live_key_is_back_is_not_removed() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    let live = live_key(&"proxy-2".into());
    fixture.remove(&live);
    fixture.refresh();
    let end = fixture.now + (PRIMARY_LEASE + PRIMARY_LEASE_MARGIN - ms(500));
    while fixture.now < end {
        tick_with_store(&mut fixture, &mut coordinator);
        fixture.advance(ms(100));
        fixture.refresh();
    }
    // The store gets the key before the coordinator's next call, and its view does not show it.
    fixture.put(&live, &1);
    for _ in 0..20 {
        tick_with_store_of_old_view(&mut fixture, &mut coordinator);
        fixture.advance(ms(100));
    }
    fixture.refresh();
    assert!(fixture.view.member(&"proxy-2".into()).is_some());
}

/// Guards against a member that was back for a moment, in which it may have begun to use the
/// primary again, and counted as gone ever since it was gone before.
#[test]
fn test_member_that_was_back_between_two_views_counts_as_gone_anew() {
    let long_enough = MAX_FRESH_VIEW_AGE + PRIMARY_LEASE_MARGIN + ms(500);
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    lose_lease(&mut fixture, &mut coordinator, "proxy-2", long_enough);
    // Both changes arrive with one answer of the watch.
    let live = live_key(&"proxy-2".into());
    fixture.put(&live, &1);
    let written = StoreEvent::Written(fixture.items[&live].clone());
    fixture.remove(&live);
    let removed = StoreEvent::Removed { key: live.as_str().into(), revision: fixture.revision };
    fixture.view.apply(&[written, removed], &fixture.store);
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    tick_with_store(&mut fixture, &mut coordinator);
    coordinator.work_done(fixture.now, &group(), 2);
    let promoted = promotions_within(&mut fixture, &mut coordinator, ms(3000));
    assert!(promoted.is_empty(), "proxy-2 may use the primary again");
    assert_eq!(promotions_within(&mut fixture, &mut coordinator, long_enough), ["s2"]);
}

/// Guards against waiting for an instance whose calls the store rejects: it delayed a
/// replacement by 12 s, because it could neither see the record that blocked the
/// primary nor confirm in the store that its work had ended.
#[test]
fn test_member_without_the_store_is_told_directly_and_its_word_counts() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    coordinator.work_done(fixture.now, &group(), 2);
    let mut messages = Vec::new();
    for _ in 0..20 {
        let actions = tick_with_store(&mut fixture, &mut coordinator);
        messages.extend(actions.iter().filter_map(|action| match action {
            Action::SendToPeer(address, message) => Some((*address, message.clone())),
            _ => None,
        }));
        assert!(
            answer_actions(&mut fixture, &mut coordinator, &actions).is_empty(),
            "proxy-2 may still write"
        );
        fixture.advance(ms(20));
        fixture.refresh();
    }
    assert!(
        messages.iter().all(|(to, _)| Some(*to) == support::address("proxy-2")),
        "{messages:?}"
    );
    assert!(matches!(&messages[0].1, PeerMessage::Record { record, .. } if record.epoch == 2));
    coordinator.peer_stopped(&"proxy-2".into(), &group(), 1);
    assert!(
        promotions_within(&mut fixture, &mut coordinator, ms(300)).is_empty(),
        "proxy-2 confirmed only an earlier epoch"
    );
    coordinator.peer_stopped(&"proxy-2".into(), &group(), 2);
    assert_eq!(promotions_within(&mut fixture, &mut coordinator, ms(1000)), ["s2"]);
}

#[test]
fn test_told_record_holds_until_the_store_shows_a_newer_one() {
    let mut fixture = Fixture::serving();
    let changing = masticreel_proxy::records::GroupRecord {
        epoch: 2,
        phase: Phase::Changing,
        ..fixture.view.group(&group()).expect("the group has a record").clone()
    };
    assert!(!fixture.view.apply_peer_record(&group(), changing.clone()).is_empty());
    assert!(
        fixture.view.apply_peer_record(&group(), changing).is_empty(),
        "the record is already known"
    );
    fixture.refresh();
    assert_eq!(
        fixture.view.group(&group()).expect("the group has a record").phase,
        Phase::Changing
    );
    fixture.put_record(3, Phase::Serving, "s2");
    fixture.refresh();
    assert_eq!(
        fixture.view.group(&group()).expect("the group has a record").primary.as_str(),
        "s2"
    );
}

/// Runs a replacement in which the old primary refuses this instance's connections, and
/// returns the servers whose promotion was requested.
fn promotions_while_refused(
    fixture: &mut Fixture,
    coordinator: &mut Coordinator,
    time: Duration,
) -> Vec<String> {
    let end = fixture.now + time;
    while fixture.now < end {
        let actions = tick_with_store(fixture, coordinator);
        let (to_old, others): (Vec<Action>, Vec<Action>) = actions.into_iter().partition(
            |action| matches!(action, Action::Control(request) if request.server.as_str() == "s1"),
        );
        for action in to_old {
            if let Action::Control(request) = action {
                let refused = Err(ControlFailure::Refused);
                coordinator.control_answered(fixture.now, &request, refused);
            }
        }
        let promoted = answer_actions(fixture, coordinator, &others);
        if !promoted.is_empty() {
            return promoted;
        }
        fixture.advance(ms(20));
        fixture.refresh();
    }
    Vec::new()
}

/// A crashed primary's entry is removed once the primary has missed three renewals of it.
#[test]
fn test_crashed_primary_is_replaced_also_when_its_entry_is_gone() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.remove("server/s1");
    fixture.refresh();
    coordinator.work_done(fixture.now, &group(), 2);
    fixture.confirm_stop("proxy-2", 1, 2);
    let promoted = promotions_while_refused(&mut fixture, &mut coordinator, ms(5000));
    assert_eq!(promoted, ["s2"]);
}

/// Guards against a primary that only this side of a cut can't connect to, while a member
/// on the other side goes on writing to it.
#[test]
fn test_refused_connections_do_not_end_the_lease_of_a_silent_member() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.remove("server/s1");
    fixture.refresh();
    coordinator.work_done(fixture.now, &group(), 2);
    let lease = PRIMARY_LEASE + PRIMARY_LEASE_MARGIN;
    let promoted = promotions_while_refused(&mut fixture, &mut coordinator, lease);
    assert_eq!(promoted, Vec::<String>::new(), "proxy-2 may still write");
    let promoted = promotions_while_refused(&mut fixture, &mut coordinator, ms(5000));
    assert_eq!(promoted, ["s2"]);
}

#[test]
fn test_refused_step_down_is_not_repeated_at_once() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    coordinator.work_done(fixture.now, &group(), 2);
    let mut step_downs = 0;
    let end = fixture.now + ms(2000);
    while fixture.now < end {
        for action in tick_with_store(&mut fixture, &mut coordinator) {
            let Action::Control(request @ ControlRequest { command, .. }) = &action else {
                continue;
            };
            step_downs += usize::from(matches!(command, Command::StepDown { .. }));
            let refused = Err(ControlFailure::Refused);
            coordinator.control_answered(fixture.now, request, refused);
        }
        fixture.advance(ms(2));
        fixture.refresh();
    }
    assert!((5..=25).contains(&step_downs), "{step_downs} in 2 s");
}

/// Guards against a step-down with a term above the one that the old primary is promoted to.
#[test]
fn test_old_primary_is_not_told_to_step_down_once_its_promotion_was_requested() {
    let mut fixture = Fixture::serving();
    let mut coordinator = active_coordinator(&mut fixture);
    let promoted = promoted_after_silence(&mut coordinator, &mut fixture);
    assert_eq!(promoted, ["s1"]);
    for _ in 0..50 {
        for action in tick_with_store(&mut fixture, &mut coordinator) {
            let Action::Control(request @ ControlRequest { server, command, .. }) = &action else {
                continue;
            };
            let is_step_down = matches!(command, Command::StepDown { .. });
            assert!(!(server.as_str() == "s1" && is_step_down), "s1 may lead by now");
            let busy = Err(ControlFailure::Rejected);
            coordinator.control_answered(fixture.now, request, busy);
        }
        fixture.advance(ms(20));
        fixture.refresh();
    }
}

/// Guards against a primary that restarts after it has stepped down and then leads again.
#[test]
fn test_step_down_does_not_outlast_a_restart_of_the_old_primary() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    coordinator.work_done(fixture.now, &group(), 2);
    assert!(promotions_within(&mut fixture, &mut coordinator, ms(2000)).is_empty());
    let restarted_until = fixture.now + (PRIMARY_LEASE - ms(3000));
    let mut is_told_again = false;
    while fixture.now < restarted_until {
        let actions = tick_with_store(&mut fixture, &mut coordinator);
        let (to_old, others): (Vec<Action>, Vec<Action>) = actions.into_iter().partition(
            |action| matches!(action, Action::Control(request) if request.server.as_str() == "s1"),
        );
        for action in to_old {
            let Action::Control(request @ ControlRequest { command, .. }) = &action else {
                continue;
            };
            is_told_again |= matches!(command, Command::StepDown { .. });
            let leads = ServerStatus { role: Role::Primary, ..replica(9) };
            coordinator.control_answered(fixture.now, request, Ok(leads));
        }
        let promoted = answer_actions(&mut fixture, &mut coordinator, &others);
        assert_eq!(promoted, Vec::<String>::new(), "proxy-2 may write to s1, which leads");
        fixture.advance(ms(20));
        fixture.refresh();
    }
    assert!(is_told_again);
}

/// Guards against a crashed primary that is never replaced because only one instance
/// has traffic and suspects it: the active coordinator must probe the primary itself.
#[test]
fn test_doubt_of_another_instance_is_looked_into() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    let suspicion = DoubtRecord { primary: "s1".into(), epoch: 1, kind: SuspicionKind::Refused };
    fixture.put(&suspicion_key(&group(), &"proxy-2".into()), &suspicion);
    fixture.refresh();
    let actions = tick_with_store(&mut fixture, &mut coordinator);
    let probe = actions.iter().find_map(|action| match action {
        Action::Control(request) => Some(request.clone()),
        _ => None,
    });
    let probe = probe.expect("the active coordinator probes the primary itself");
    assert_eq!(probe.server.as_str(), "s1");
    let refused = Err(ControlFailure::Refused);
    coordinator.control_answered(fixture.now, &probe, refused);
    for _ in 0..20 {
        tick_with_store(&mut fixture, &mut coordinator);
        fixture.advance(ms(20));
        fixture.refresh();
    }
    assert_eq!(
        fixture.view.group(&group()).expect("the group has a record").phase,
        Phase::Changing
    );
}

/// With many instances only a few use a given primary. The primary is replaced if all
/// instances that probe it because of a suspicion suspect it too; the suspicions of
/// other instances, which a network cut can cause, do not suffice.
#[test]
fn test_silence_is_judged_by_those_who_looked() {
    let mut fixture = Fixture::serving();
    for number in 2..=40 {
        fixture.put_member(&format!("proxy-{number}"), 1);
    }
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.refresh();
    let silent = DoubtRecord { primary: "s1".into(), epoch: 1, kind: SuspicionKind::Silent };
    let is_probing = |fixture: &mut Fixture, instance: &str| {
        let actions = tick_with_store(fixture, &mut coordinator_of(instance));
        actions.iter().any(|action| matches!(action, Action::Control(_)))
    };
    // The first suspicion makes the chosen instances and the active coordinator probe.
    fixture.put(&suspicion_key(&group(), &"proxy-40".into()), &silent);
    fixture.refresh();
    let probing: Vec<String> = (2..40)
        .map(|number| format!("proxy-{number}"))
        .filter(|instance| is_probing(&mut fixture, instance))
        .collect();
    // Of the four instances chosen by a hash, proxy-1 and proxy-40 are not counted here.
    assert!((3..=4).contains(&probing.len()), "{probing:?}");
    let others = (2..40).map(|number| format!("proxy-{number}"));
    for other in others.filter(|other| !probing.contains(other)).take(8) {
        fixture.put(&suspicion_key(&group(), &other.as_str().into()), &silent);
    }
    fixture.refresh();
    tick_with_store(&mut fixture, &mut coordinator);
    coordinator.suspect(&fixture.view, &group(), &"s1".into(), SuspicionKind::Silent);
    for _ in 0..20 {
        tick_with_store(&mut fixture, &mut coordinator);
        fixture.advance(ms(20));
        fixture.refresh();
    }
    assert_eq!(fixture.view.group(&group()).expect("the group has a record").phase, Phase::Serving);
    for instance in &probing {
        fixture.put(&suspicion_key(&group(), &instance.as_str().into()), &silent);
    }
    fixture.refresh();
    for _ in 0..20 {
        tick_with_store(&mut fixture, &mut coordinator);
        fixture.advance(ms(20));
        fixture.refresh();
    }
    assert_eq!(
        fixture.view.group(&group()).expect("the group has a record").phase,
        Phase::Changing
    );
}

#[test]
fn test_replica_that_received_most_takes_over() {
    let mut fixture = Fixture::serving();
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    coordinator.work_done(fixture.now, &group(), 2);
    assert_eq!(promotions_within(&mut fixture, &mut coordinator, ms(1000)), ["s2"]);
}

/// Runs a replacement of a primary that was silent and answers again, with more commits
/// than its replicas have, and returns the servers whose promotion was requested.
fn promoted_after_silence(coordinator: &mut Coordinator, fixture: &mut Fixture) -> Vec<String> {
    let epoch = fixture.view.group(&group()).expect("the group has a record").epoch;
    let silent = DoubtRecord { primary: "s1".into(), epoch, kind: SuspicionKind::Silent };
    fixture.put(&suspicion_key(&group(), &OWN.into()), &silent);
    fixture.refresh();
    let end = fixture.now + ms(3000);
    while fixture.now < end {
        let actions = tick_with_store(fixture, coordinator);
        coordinator.work_done(fixture.now, &group(), epoch + 1);
        let (to_old, others): (Vec<Action>, Vec<Action>) = actions.into_iter().partition(
            |action| matches!(action, Action::Control(request) if request.server.as_str() == "s1"),
        );
        for action in to_old {
            if let Action::Control(request) = action {
                let status = Ok(replica(40));
                coordinator.control_answered(fixture.now, &request, status);
            }
        }
        let promoted = answer_actions(fixture, coordinator, &others);
        if !promoted.is_empty() {
            return promoted;
        }
        fixture.advance(ms(20));
        fixture.refresh();
    }
    Vec::new()
}

/// Guards against the loss of acknowledged commits: a primary that had been cut off from
/// its replicas and came back was replaced by one of them, which lacked 50 commits.
#[test]
fn test_old_primary_that_answers_again_with_more_commits_stays_the_primary() {
    let mut fixture = Fixture::serving();
    let mut coordinator = active_coordinator(&mut fixture);
    assert_eq!(promoted_after_silence(&mut coordinator, &mut fixture), ["s1"]);
    let leading =
        ServerStatus { role: Role::Primary, term: position(2, 0).term, received: position(1, 40) };
    coordinator.control_answered(fixture.now, &status_request("s1", fixture.now), Ok(leading));
    for _ in 0..20 {
        tick_with_store(&mut fixture, &mut coordinator);
        fixture.advance(ms(20));
        fixture.refresh();
    }
    let record = fixture.view.group(&group()).expect("the group has a record").clone();
    assert_eq!((record.phase, record.primary.as_str()), (Phase::Serving, "s1"));
    // If it is suspected again soon, others still can't reach it.
    fixture.remove(&suspicion_key(&group(), &OWN.into()));
    fixture.advance(ms(1000));
    fixture.refresh();
    assert_eq!(promoted_after_silence(&mut coordinator, &mut fixture), ["s2"]);
}

/// A cut kept the coordinator from the primary, which others went on using. When it ends,
/// the confirmation of the last member may come before the old primary's answer. Without
/// that answer its newer commits would be discarded.
#[test]
fn test_old_primary_is_heard_before_a_replica_takes_over_late() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    for instance in [OWN, "proxy-2"] {
        let silent = DoubtRecord { primary: "s1".into(), epoch: 1, kind: SuspicionKind::Silent };
        fixture.put(&suspicion_key(&group(), &instance.into()), &silent);
    }
    fixture.refresh();
    let start = fixture.now;
    let mut promoted = Vec::new();
    while promoted.is_empty() && fixture.now.since(start) < ms(4000) {
        let actions = tick_with_store(&mut fixture, &mut coordinator);
        coordinator.work_done(fixture.now, &group(), 2);
        let passed = fixture.now.since(start);
        if passed >= ms(1500) {
            coordinator.peer_stopped(&"proxy-2".into(), &group(), 2);
        }
        let (to_old, others): (Vec<Action>, Vec<Action>) = actions.into_iter().partition(
            |action| matches!(action, Action::Control(request) if request.server.as_str() == "s1"),
        );
        for action in to_old {
            if let Action::Control(request) = &action {
                let is_healed = passed >= ms(1600);
                let result = if is_healed { Ok(replica(40)) } else { Err(ControlFailure::Silent) };
                coordinator.control_answered(fixture.now, request, result);
            }
        }
        promoted = answer_actions(&mut fixture, &mut coordinator, &others);
        fixture.advance(ms(20));
        fixture.refresh();
    }
    assert_eq!(promoted, ["s1"]);
}

/// An instance registers, and may use the primary, just before the coordinator blocks it.
/// The coordinator's view shows the new member a moment later than its own write, and
/// must not promote another server before that member has ended its work too.
#[test]
fn test_member_that_registered_just_before_is_waited_for() {
    let mut fixture = Fixture::serving();
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    fixture.put_member("proxy-2", 1);
    fixture.is_cut_off = true;
    tick_with_store(&mut fixture, &mut coordinator);
    tick_with_store(&mut fixture, &mut coordinator);
    coordinator.work_done(fixture.now, &group(), 2);
    assert!(promotions_within(&mut fixture, &mut coordinator, ms(300)).is_empty());
    fixture.is_cut_off = false;
    fixture.refresh();
    assert!(
        promotions_within(&mut fixture, &mut coordinator, ms(600)).is_empty(),
        "proxy-2 may still write"
    );
    coordinator.peer_stopped(&"proxy-2".into(), &group(), 2);
    assert_eq!(promotions_within(&mut fixture, &mut coordinator, ms(1000)), ["s2"]);
}

/// Guards against writes at an old primary after the promotion of another server: an active
/// coordinator whose view stood still waited only for the members that this view showed.
#[test]
fn test_member_that_an_old_view_lacks_is_waited_for_however_late_it_is_seen() {
    let mut fixture = Fixture::serving();
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    fixture.put_member("proxy-2", 1);
    fixture.is_cut_off = true;
    tick_with_store(&mut fixture, &mut coordinator);
    coordinator.work_done(fixture.now, &group(), 2);
    assert!(
        promotions_within(&mut fixture, &mut coordinator, ms(3000)).is_empty(),
        "an instance that the view lacks may still write"
    );
    fixture.is_cut_off = false;
    fixture.refresh();
    assert!(
        promotions_within(&mut fixture, &mut coordinator, ms(600)).is_empty(),
        "proxy-2 may still write"
    );
    coordinator.peer_stopped(&"proxy-2".into(), &group(), 2);
    assert_eq!(promotions_within(&mut fixture, &mut coordinator, ms(100)), ["s2"]);
}

/// The store commits the active coordinator's records, but its watches show them late or not
/// at all. Until its view shows the record it does not know who else may use the old primary,
/// so it goes on at once when it does, and otherwise once all primary leases have expired.
#[test]
fn test_holder_without_news_of_the_store_completes_its_change_once_nobody_can_be_missing() {
    let blocked_without_news = || {
        let mut fixture = Fixture::serving();
        let mut coordinator = active_coordinator(&mut fixture);
        fixture.put_server("s1", Role::Primary, true);
        fixture.refresh();
        fixture.is_cut_off = true;
        tick_with_store(&mut fixture, &mut coordinator);
        coordinator.work_done(fixture.now, &group(), 2);
        (fixture, coordinator)
    };
    let (mut fixture, mut coordinator) = blocked_without_news();
    assert!(promotions_within(&mut fixture, &mut coordinator, ms(1000)).is_empty());
    fixture.is_cut_off = false;
    fixture.refresh();
    assert_eq!(promotions_within(&mut fixture, &mut coordinator, ms(100)), ["s2"]);

    let (mut fixture, mut coordinator) = blocked_without_news();
    let least = MAX_FRESH_VIEW_AGE + PRIMARY_LEASE_MARGIN;
    assert!(promotions_within(&mut fixture, &mut coordinator, least).is_empty());
    assert_eq!(promotions_within(&mut fixture, &mut coordinator, ms(500)), ["s2"]);
}

/// Guards against a member that counted as gone for a moment after the view had shown that it
/// is back: members are checked only every 100 ms.
#[test]
fn test_member_that_is_seen_to_be_back_counts_at_once() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    lose_lease(&mut fixture, &mut coordinator, "proxy-2", ms(6000));
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    fixture.is_cut_off = true;
    tick_with_store(&mut fixture, &mut coordinator);
    coordinator.work_done(fixture.now, &group(), 2);
    promotions_within(&mut fixture, &mut coordinator, ms(320));
    fixture.put(&live_key(&"proxy-2".into()), &1);
    fixture.is_cut_off = false;
    fixture.refresh();
    let promoted = promotions_within(&mut fixture, &mut coordinator, ms(1000));
    assert!(promoted.is_empty(), "proxy-2 may write again");
}

#[test]
fn test_new_primary_is_published_only_when_it_leads() {
    let mut fixture = Fixture::serving();
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    coordinator.work_done(fixture.now, &group(), 2);
    promotions_within(&mut fixture, &mut coordinator, ms(1000));
    assert_eq!(
        fixture.view.group(&group()).expect("the group has a record").phase,
        Phase::Changing
    );
    let promoted =
        ServerStatus { role: Role::Primary, term: position(2, 0).term, received: position(2, 9) };
    coordinator.control_answered(fixture.now, &status_request("s2", fixture.now), Ok(promoted));
    fixture.advance(ms(200));
    let actions = tick_with_store(&mut fixture, &mut coordinator);
    assert!(actions.iter().any(|action| is_for(action, &Purpose::Publish(group()))), "{actions:?}");
    let record = fixture.view.group(&group()).expect("the group has a record");
    assert_eq!(record.phase, Phase::Serving);
    assert_eq!(record.primary.as_str(), "s2");
    assert_eq!(record.term, position(2, 0).term);
}

/// Guards against an instance that refused all work of a group for half a minute: a new
/// primary had been announced although its record was never stored, so that the
/// coordinator and the members knew different records of one epoch for good.
#[test]
fn test_new_primary_is_announced_only_once_its_record_is_stored() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    let blocked = tick_with_store(&mut fixture, &mut coordinator);
    assert!(blocked.iter().any(|action| is_for(action, &Purpose::Block(group()))), "{blocked:?}");
    tick_with_store(&mut fixture, &mut coordinator);
    coordinator.work_done(fixture.now, &group(), 2);
    coordinator.peer_stopped(&"proxy-2".into(), &group(), 2);
    assert_eq!(promotions_within(&mut fixture, &mut coordinator, ms(1000)), ["s2"]);
    let promoted =
        ServerStatus { role: Role::Primary, term: position(2, 0).term, received: position(2, 9) };
    coordinator.control_answered(fixture.now, &status_request("s2", fixture.now), Ok(promoted));
    fixture.advance(ms(200));
    // The answer of the store to the write is lost, and the write has no effect.
    coordinator.tick(&fixture.view, fixture.now);
    let mut actions = coordinator.take_actions();
    assert!(actions.iter().any(|action| is_for(action, &Purpose::Publish(group()))), "{actions:?}");
    for _ in 0..20 {
        fixture.advance(ms(20));
        coordinator.tick(&fixture.view, fixture.now);
        actions.extend(coordinator.take_actions());
    }
    let is_announcement = |action: &Action| {
        matches!(action, Action::SendToPeer(_, PeerMessage::Record { record, .. })
            if record.epoch == 3)
    };
    assert!(!actions.iter().any(is_announcement), "{actions:?}");

    coordinator.store_answered(fixture.now, fixture.now, &Purpose::Publish(group()), None);
    fixture.advance(ms(300));
    coordinator.control_answered(fixture.now, &status_request("s2", fixture.now), Ok(promoted));
    let mut actions = tick_with_store(&mut fixture, &mut coordinator);
    actions.extend(tick_with_store(&mut fixture, &mut coordinator));
    assert!(actions.iter().any(is_announcement), "the record is stored now: {actions:?}");
}

/// Guards against an instance that went on waiting out the backoff of its lease while
/// other calls had shown that the store answered again.
#[test]
fn test_backoffs_end_when_the_store_answers_again() {
    let mut fixture = Fixture::serving();
    let mut coordinator = coordinator();
    for _ in 0..4 {
        coordinator.tick(&fixture.view, fixture.now);
        coordinator.take_actions();
        coordinator.store_answered(fixture.now, fixture.now, &Purpose::Grant, None);
        fixture.advance(ms(800));
    }
    coordinator.tick(&fixture.view, fixture.now);
    coordinator.take_actions();
    coordinator.store_answered(fixture.now, fixture.now, &Purpose::Grant, None);
    coordinator.tick(&fixture.view, fixture.now);
    assert!(coordinator.take_actions().is_empty(), "the call is in its backoff");
    coordinator.store_is_back(fixture.now);
    coordinator.tick(&fixture.view, fixture.now);
    let actions = coordinator.take_actions();
    assert!(actions.iter().any(|action| is_for(action, &Purpose::Grant)), "{actions:?}");
}

/// A primary that drops all work is replaced if two instances saw it, or the one through
/// which all work goes.
#[test]
fn test_primary_that_drops_all_work_is_replaced() {
    let failing = DoubtRecord { primary: "s1".into(), epoch: 1, kind: SuspicionKind::Failing };
    let is_blocked = |fixture: &mut Fixture, coordinator: &mut Coordinator| {
        (0..10).any(|_| {
            let actions = tick_with_store(fixture, coordinator);
            fixture.advance(ms(20));
            fixture.refresh();
            actions.iter().any(|action| is_for(action, &Purpose::Block(group())))
        })
    };
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    fixture.put_member("proxy-3", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.put(&suspicion_key(&group(), &"proxy-2".into()), &failing);
    fixture.refresh();
    assert!(!is_blocked(&mut fixture, &mut coordinator), "one instance may be wrong");
    fixture.put(&suspicion_key(&group(), &"proxy-3".into()), &failing);
    fixture.refresh();
    assert!(is_blocked(&mut fixture, &mut coordinator));

    // With many instances each server's connections have an owner.
    let mut fixture = Fixture::serving();
    for number in 2..=20 {
        fixture.put_member(&format!("proxy-{number}"), 1);
    }
    let mut coordinator = active_coordinator(&mut fixture);
    let server = fixture.view.server(&"s1".into()).expect("the server exists").clone();
    let owners = rank_owners(&fixture.view, &server);
    fixture.put(&suspicion_key(&group(), &owners[1]), &failing);
    fixture.refresh();
    assert!(!is_blocked(&mut fixture, &mut coordinator), "it is not the owner");
    fixture.put(&suspicion_key(&group(), &owners[0]), &failing);
    fixture.remove(&suspicion_key(&group(), &owners[1]));
    fixture.refresh();
    assert!(is_blocked(&mut fixture, &mut coordinator));
}

/// Reporting its role does not clear the suspicion that a primary drops all work.
#[test]
fn test_role_alone_does_not_clear_the_suspicion_of_dropped_work() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    fixture.put_member("proxy-3", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    let mut is_stored = |coordinator: &mut Coordinator| {
        for _ in 0..2 {
            fixture.advance(ms(200));
            fixture.refresh();
            tick_with_store(&mut fixture, coordinator);
        }
        fixture.items.contains_key(&suspicion_key(&group(), &OWN.into()))
    };
    let view = {
        let mut fixture = Fixture::serving();
        fixture.refresh();
        fixture.view
    };
    coordinator.suspect(&view, &group(), &"s1".into(), SuspicionKind::Failing);
    assert!(is_stored(&mut coordinator));
    coordinator.clear_suspicion(&group(), false);
    assert!(is_stored(&mut coordinator));
    coordinator.clear_suspicion(&group(), true);
    assert!(!is_stored(&mut coordinator));
}

/// Guards against lost writes: a crashed primary that restarted under another id was
/// used while a promotion of another server was about to take effect.
#[test]
fn test_after_an_order_only_the_ordered_server_is_let_in() {
    let mut fixture = Fixture::serving();
    // The record of a new group, in which the primary's term is not known yet.
    fixture.put_record_of_term(0, 1, Phase::Serving, "s1");
    fixture.refresh();
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    coordinator.work_done(fixture.now, &group(), 2);
    assert_eq!(promotions_within(&mut fixture, &mut coordinator, ms(1000)), ["s2"]);
    fixture.put_server("s4", Role::Primary, false);
    fixture.refresh();
    let restarted = ServerStatus { role: Role::Primary, ..replica(9) };
    coordinator.control_answered(fixture.now, &status_request("s4", fixture.now), Ok(restarted));
    fixture.advance(ms(200));
    tick_with_store(&mut fixture, &mut coordinator);
    let record = fixture.view.group(&group()).expect("the group has a record");
    assert_eq!(record.phase, Phase::Changing, "s4 must not be used: {record:?}");
}

#[test]
fn test_primary_that_came_back_under_another_id_needs_no_order() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    tick_with_store(&mut fixture, &mut coordinator);
    fixture.put_server("s4", Role::Primary, false);
    fixture.refresh();
    let restarted = ServerStatus { role: Role::Primary, ..replica(9) };
    tick_with_store(&mut fixture, &mut coordinator);
    coordinator.control_answered(fixture.now, &status_request("s4", fixture.now), Ok(restarted));
    fixture.advance(ms(200));
    tick_with_store(&mut fixture, &mut coordinator);
    assert_eq!(
        fixture.view.group(&group()).expect("the group has a record").primary.as_str(),
        "s4"
    );
}

#[test]
fn test_holder_whose_lease_may_have_ended_orders_nothing() {
    let mut fixture = Fixture::serving();
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    coordinator.work_done(fixture.now, &group(), 2);
    tick_with_store(&mut fixture, &mut coordinator);
    fixture.advance(Duration::from_secs(7));
    coordinator.tick(&fixture.view, fixture.now);
    let actions = coordinator.take_actions();
    assert!(!actions.iter().any(|action| matches!(action, Action::Promote(_))), "{actions:?}");
    assert!(!coordinator.is_active(&fixture.view, fixture.now));
}

#[test]
fn test_instance_without_its_live_key_is_not_entitled() {
    let mut fixture = Fixture::serving();
    let usable = |fixture: &Fixture| {
        masticreel_proxy::primary_lease::usable_primary(
            &fixture.view,
            &OWN.into(),
            INCARNATION,
            &group(),
            fixture.now,
        )
        .is_some()
    };
    assert!(usable(&fixture));
    fixture.remove(&live_key(&OWN.into()));
    fixture.refresh();
    assert!(!usable(&fixture));
}

#[test]
fn test_entitlement_ends_without_news_of_the_store() {
    let mut fixture = Fixture::serving();
    let usable = |fixture: &Fixture, incarnation| {
        masticreel_proxy::primary_lease::usable_primary(
            &fixture.view,
            &OWN.into(),
            incarnation,
            &group(),
            fixture.now,
        )
        .is_some()
    };
    assert!(!usable(&fixture, INCARNATION + 1), "another incarnation is not a member");
    fixture.advance(masticreel_proxy::primary_lease::PRIMARY_LEASE - ms(1));
    assert!(usable(&fixture, INCARNATION));
    fixture.advance(ms(1));
    assert!(!usable(&fixture, INCARNATION));
}

/// Guards against instances that waited for the next watch of their domain's watcher
/// before they served, up to 0.15 s while many registered at once.
#[test]
fn test_registration_that_proves_the_view_counts_at_once() {
    let mut fixture = Fixture::serving();
    fixture.remove(&member_key(&OWN.into()));
    fixture.remove(&live_key(&OWN.into()));
    fixture.refresh();
    let mut coordinator = coordinator();
    let is_usable = |fixture: &Fixture| {
        let own = OWN.into();
        usable_primary(&fixture.view, &own, INCARNATION, &group(), fixture.now).is_some()
    };
    fixture.is_cut_off = true;
    tick_with_store(&mut fixture, &mut coordinator);
    assert!(!is_usable(&fixture));
    tick_with_store(&mut fixture, &mut coordinator);
    assert!(is_usable(&fixture), "the commit has proved that no group's record has changed");
}

/// A primary is blocked between the list of a starting instance and its registration. The
/// instance must not use that primary by its outdated view.
#[test]
fn test_registration_proves_nothing_if_a_group_has_changed() {
    let mut fixture = Fixture::serving();
    fixture.remove(&member_key(&OWN.into()));
    fixture.remove(&live_key(&OWN.into()));
    fixture.refresh();
    let mut coordinator = coordinator();
    fixture.is_cut_off = true;
    fixture.put_record(2, Phase::Changing, "s1");
    for _ in 0..3 {
        tick_with_store(&mut fixture, &mut coordinator);
        fixture.advance(ms(20));
    }
    let own = OWN.into();
    let usable = usable_primary(&fixture.view, &own, INCARNATION, &group(), fixture.now);
    assert_eq!(usable, None);
    assert!(fixture.items.contains_key(&member_key(&own)), "it has registered nevertheless");
}

/// Returns whether an instance writes the end of its work at the old primary to the store.
fn writes_its_stop(fixture: &mut Fixture, coordinator: &mut Coordinator, time: Duration) -> bool {
    let end = fixture.now + time;
    let mut is_written = false;
    while fixture.now < end {
        let actions = tick_with_store(fixture, coordinator);
        is_written |= actions.iter().any(|action| is_for(action, &Purpose::Register));
        fixture.advance(ms(20));
        fixture.refresh();
    }
    is_written
}

/// Guards against a write by each of hundreds of instances whenever a replacement takes
/// longer than 0.3 s: what the coordinator has received directly need not be stored.
#[test]
fn test_end_of_work_is_stored_only_if_it_was_not_received_directly() {
    let member = || {
        let mut fixture = Fixture::serving();
        fixture.put(COORDINATOR_KEY, &("proxy-2", 1));
        fixture.put_member("proxy-2", 1);
        let mut coordinator = coordinator();
        for _ in 0..3 {
            tick_with_store(&mut fixture, &mut coordinator);
            fixture.advance(ms(200));
            fixture.refresh();
        }
        fixture.put_record(2, Phase::Changing, "s1");
        fixture.refresh();
        (fixture, coordinator)
    };
    let from = support::address("proxy-2").expect("the name ends in a number");

    let (mut fixture, mut coordinator) = member();
    coordinator.note_stop_request(&fixture.view, fixture.now, &group(), from);
    coordinator.work_done(fixture.now, &group(), 2);
    assert!(!writes_its_stop(&mut fixture, &mut coordinator, ms(1000)), "it was received");
    // Another coordinator does not know of it.
    fixture.remove(COORDINATOR_KEY);
    fixture.put(COORDINATOR_KEY, &("proxy-3", 1));
    fixture.refresh();
    assert!(writes_its_stop(&mut fixture, &mut coordinator, ms(300)));

    let (mut fixture, mut coordinator) = member();
    coordinator.work_done(fixture.now, &group(), 2);
    assert!(writes_its_stop(&mut fixture, &mut coordinator, ms(600)), "nobody requested it");

    let (mut fixture, mut coordinator) = member();
    coordinator.work_done(fixture.now, &group(), 2);
    let mut is_written = false;
    for _ in 0..10 {
        coordinator.note_stop_request(&fixture.view, fixture.now, &group(), from);
        is_written |= writes_its_stop(&mut fixture, &mut coordinator, ms(80));
    }
    assert!(is_written, "the coordinator goes on requesting it");
}

/// Guards against a suspicion written by each of hundreds of instances when a primary
/// crashes. Those that probe it suffice.
#[test]
fn test_most_instances_of_a_large_fleet_keep_a_known_suspicion_to_themselves() {
    let mut fixture = Fixture::serving();
    for number in 2..=40 {
        fixture.put_member(&format!("proxy-{number}"), 1);
    }
    let silent = DoubtRecord { primary: "s1".into(), epoch: 1, kind: SuspicionKind::Silent };
    fixture.put(COORDINATOR_KEY, &("proxy-2", 1));
    fixture.put(&suspicion_key(&group(), &"proxy-9".into()), &silent);
    fixture.refresh();
    let wrote_after = |name: &str, fixture: &mut Fixture| {
        let mut coordinator = coordinator_of(name);
        tick_with_store(fixture, &mut coordinator);
        coordinator.suspect(&fixture.view, &group(), &"s1".into(), SuspicionKind::Silent);
        let suspected_at = fixture.now;
        while fixture.now.since(suspected_at) < ms(2000) {
            let actions = tick_with_store(fixture, &mut coordinator);
            if actions.iter().any(|action| is_for(action, &Purpose::Doubt(group()))) {
                return fixture.now.since(suspected_at);
            }
            fixture.advance(ms(20));
            fixture.refresh();
        }
        panic!("{name} never writes its suspicion");
    };
    let waits: Vec<Duration> =
        (10..=40).map(|number| wrote_after(&format!("proxy-{number}"), &mut fixture)).collect();
    let at_once = waits.iter().filter(|wait| **wait < ms(100)).count();
    assert!(at_once <= 4, "{at_once} of {} wrote at once", waits.len());
    assert!(waits.iter().all(|wait| *wait < ms(1000)), "a cut has to be noticed too: {waits:?}");
}

/// Guards against writes that multiply: each write is a change that every watch returns, so
/// watches are delayed, and an instance whose view did not contain its write yet wrote it
/// again each 0.15 s.
#[test]
fn test_suspicion_is_written_once_while_the_view_lags() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    fixture.put_member("proxy-3", 1);
    fixture.refresh();
    let mut coordinator = coordinator();
    tick_with_store(&mut fixture, &mut coordinator);
    fixture.is_cut_off = true;
    coordinator.suspect(&fixture.view, &group(), &"s1".into(), SuspicionKind::Silent);
    let mut writes = 0;
    for _ in 0..50 {
        let actions = tick_with_store(&mut fixture, &mut coordinator);
        writes += actions.iter().filter(|action| is_for(action, &Purpose::Doubt(group()))).count();
        fixture.advance(ms(20));
    }
    assert_eq!(writes, 1);
    coordinator.suspect(&fixture.view, &group(), &"s1".into(), SuspicionKind::Refused);
    let actions = tick_with_store(&mut fixture, &mut coordinator);
    assert!(actions.iter().any(|action| is_for(action, &Purpose::Doubt(group()))), "it is new");
}

/// Guards against a group without a primary: when a command to the old primary failed after its
/// promotion had been requested, it was sent neither step-down commands nor status queries
/// any more, so that nobody saw that it led.
#[test]
fn test_old_primary_is_queried_after_its_promotion_was_requested() {
    let mut fixture = Fixture::serving();
    let mut coordinator = active_coordinator(&mut fixture);
    assert_eq!(promoted_after_silence(&mut coordinator, &mut fixture), ["s1"]);
    let request = status_request("s1", fixture.now);
    coordinator.control_answered(fixture.now, &request, Err(ControlFailure::Silent));
    let mut is_queried = false;
    for _ in 0..50 {
        for action in tick_with_store(&mut fixture, &mut coordinator) {
            is_queried |= matches!(action, Action::Control(request)
                if request.server.as_str() == "s1" && request.command == Command::Status);
        }
        fixture.advance(ms(20));
        fixture.refresh();
    }
    assert!(is_queried);
}

/// Guards against a step-down that is taken back by the failure of an earlier command.
#[test]
fn test_late_failure_of_an_earlier_command_does_not_undo_a_step_down() {
    let mut fixture = Fixture::serving();
    fixture.put_member("proxy-2", 1);
    let mut coordinator = active_coordinator(&mut fixture);
    fixture.put_server("s1", Role::Primary, true);
    fixture.refresh();
    coordinator.work_done(fixture.now, &group(), 2);
    let earlier = fixture.now;
    let mut step_downs = 0;
    for _ in 0..50 {
        for action in tick_with_store(&mut fixture, &mut coordinator) {
            if let Action::Control(request) = &action {
                step_downs += usize::from(matches!(request.command, Command::StepDown { .. }));
                coordinator.control_answered(fixture.now, request, Ok(replica(9)));
                let late = ControlRequest { sent_at: earlier, ..request.clone() };
                coordinator.control_answered(fixture.now, &late, Err(ControlFailure::Silent));
            }
        }
        fixture.advance(ms(20));
        fixture.refresh();
    }
    assert!(step_downs <= 1, "{step_downs} step-down commands");
}
