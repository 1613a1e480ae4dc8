//! Tests the replacement of primaries against a store in memory.

mod support;

use std::time::Duration;

use masticreel_proxy::coordinator::{
    ControlFailure, Coordinator, CoordinatorAction as Action, Purpose,
};
use masticreel_proxy::peers::PeerMessage;
use masticreel_proxy::primary_lease::{MAX_FRESH_VIEW_AGE, PRIMARY_LEASE, PRIMARY_LEASE_MARGIN};
use masticreel_proxy::protocol::PromoterAnswer;
use masticreel_proxy::records::{DoubtRecord, Phase, SuspicionKind, live_key, suspicion_key};
use masticreel_proxy::statement::{Command, Role, ServerStatus};
use support::{
    INCARNATION, OWN, World, coordinator, coordinator_of, group, is_for, ms, position, settle,
};

/// Returns a coordinator that has held its role long enough to request a promotion
/// at once.
fn holder(world: &mut World) -> Coordinator {
    let mut coordinator = coordinator();
    world.take_duty();
    world.refresh();
    for _ in 0..40 {
        settle(world, &mut coordinator);
        world.pass(ms(100));
        world.refresh();
    }
    assert!(coordinator.is_active(&world.view, world.now));
    coordinator
}

fn replica(number: u64) -> ServerStatus {
    ServerStatus { role: Role::Replica, term: position(1, 0).term, received: position(1, number) }
}

/// Answers status queries and promotion requests, and returns the servers whose
/// promotion was requested.
fn answer_actions(
    world: &mut World,
    coordinator: &mut Coordinator,
    actions: &[Action],
) -> Vec<String> {
    let mut promoted = Vec::new();
    for action in actions {
        match action {
            Action::Control { server, command, .. } => {
                let status = match (server.as_str(), command) {
                    ("s1", Command::StepDown { .. }) => replica(9),
                    ("s1", _) => ServerStatus { role: Role::Primary, ..replica(9) },
                    ("s2", _) => replica(9),
                    _ => replica(7),
                };
                coordinator.control_answered(world.now, &group(), server, command, Ok(status));
            }
            Action::Promote(request) => {
                promoted.push(request.server.to_string());
                coordinator.promoter_answered(world.now, request, Some(PromoterAnswer::Accepted));
            }
            Action::Store(..) | Action::SendToPeer(..) => {}
        }
    }
    promoted
}

/// Runs a change until a promotion is requested or the time has passed, and returns
/// the servers whose promotion was requested.
fn promotions_within(
    world: &mut World,
    coordinator: &mut Coordinator,
    time: Duration,
) -> Vec<String> {
    let end = world.now + time;
    while world.now < end {
        let actions = settle(world, coordinator);
        let promoted = answer_actions(world, coordinator, &actions);
        if !promoted.is_empty() {
            return promoted;
        }
        world.pass(ms(20));
        world.refresh();
    }
    Vec::new()
}

#[test]
fn test_leaving_primary_is_replaced_once_all_members_have_stopped() {
    let mut world = World::serving();
    world.join("proxy-2", 1);
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    assert!(
        promotions_within(&mut world, &mut holder, ms(1000)).is_empty(),
        "proxy-2 may still write"
    );
    world.confirm_stop("proxy-2", 1, 2);
    world.refresh();
    holder.work_done(world.now, &group(), 2);
    assert_eq!(promotions_within(&mut world, &mut holder, ms(1000)), ["s2"]);
}

#[test]
fn test_member_that_never_confirms_is_waited_for_until_its_entitlement_ends() {
    let mut world = World::serving();
    world.join("proxy-2", 1);
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    holder.work_done(world.now, &group(), 2);
    let least = MAX_FRESH_VIEW_AGE + PRIMARY_LEASE_MARGIN;
    assert!(promotions_within(&mut world, &mut holder, least).is_empty());
    assert_eq!(promotions_within(&mut world, &mut holder, ms(500)), ["s2"]);
}

/// While the old primary has not answered that it stepped down, a member that is cut
/// off may use it until its primary lease expires.
#[test]
fn test_silent_primary_is_replaced_after_the_whole_entitlement() {
    let mut world = World::serving();
    world.join("proxy-2", 1);
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    holder.work_done(world.now, &group(), 2);
    let mut promoted = Vec::new();
    let start = world.now;
    while promoted.is_empty() && world.now.since(start) < PRIMARY_LEASE * 2 {
        let actions = settle(&mut world, &mut holder);
        let (to_old, others): (Vec<Action>, Vec<Action>) = actions.into_iter().partition(
            |action| matches!(action, Action::Control { server, .. } if server.as_str() == "s1"),
        );
        for action in to_old {
            if let Action::Control { server, command, .. } = action {
                let silent = Err(ControlFailure::Silent);
                holder.control_answered(world.now, &group(), &server, &command, silent);
            }
        }
        promoted = answer_actions(&mut world, &mut holder, &others);
        world.pass(ms(20));
        world.refresh();
    }
    assert_eq!(promoted, ["s2"]);
    let waited = world.now.since(start);
    assert!(waited >= PRIMARY_LEASE + PRIMARY_LEASE_MARGIN, "{waited:?}");
}

/// Guards against waiting for a member whose machine was removed for good: it delayed
/// every later change by 13.5 s.
#[test]
fn test_member_that_lost_its_lease_long_ago_holds_no_change_up() {
    let mut world = World::serving();
    world.join("proxy-2", 1);
    let mut holder = holder(&mut world);
    world.remove(&live_key(&"proxy-2".into()));
    world.refresh();
    let end = world.now + MAX_FRESH_VIEW_AGE + PRIMARY_LEASE_MARGIN;
    while world.now <= end {
        settle(&mut world, &mut holder);
        world.pass(ms(100));
        world.refresh();
    }
    world.server("s1", Role::Primary, true);
    world.refresh();
    holder.work_done(world.now, &group(), 2);
    assert_eq!(promotions_within(&mut world, &mut holder, ms(1000)), ["s2"]);
}

/// Guards against waiting for an instance whose calls the store rejects: it delayed a
/// change by 12 s, because it could neither see nor confirm the change in the store.
#[test]
fn test_member_without_the_store_is_told_directly_and_its_word_counts() {
    let mut world = World::serving();
    world.join("proxy-2", 1);
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    holder.work_done(world.now, &group(), 2);
    let mut messages = Vec::new();
    for _ in 0..20 {
        let actions = settle(&mut world, &mut holder);
        messages.extend(actions.iter().filter_map(|action| match action {
            Action::SendToPeer(address, message) => Some((*address, message.clone())),
            _ => None,
        }));
        assert!(
            answer_actions(&mut world, &mut holder, &actions).is_empty(),
            "proxy-2 may still write"
        );
        world.pass(ms(20));
        world.refresh();
    }
    assert!(
        messages.iter().all(|(to, _)| Some(*to) == support::address("proxy-2")),
        "{messages:?}"
    );
    assert!(matches!(&messages[0].1, PeerMessage::Record { record, .. } if record.epoch == 2));
    holder.peer_stopped(&"proxy-2".into(), &group(), 1);
    assert!(
        promotions_within(&mut world, &mut holder, ms(300)).is_empty(),
        "proxy-2 confirmed only an earlier epoch"
    );
    holder.peer_stopped(&"proxy-2".into(), &group(), 2);
    assert_eq!(promotions_within(&mut world, &mut holder, ms(1000)), ["s2"]);
}

#[test]
fn test_told_record_holds_until_the_store_shows_a_newer_one() {
    let mut world = World::serving();
    let changing = masticreel_proxy::records::GroupRecord {
        epoch: 2,
        phase: Phase::Changing,
        ..world.view.group(&group()).expect("the group has a record").clone()
    };
    assert!(!world.view.apply_peer_record(&group(), changing.clone()).is_empty());
    assert!(
        world.view.apply_peer_record(&group(), changing).is_empty(),
        "the record is already known"
    );
    world.refresh();
    assert_eq!(world.view.group(&group()).expect("the group has a record").phase, Phase::Changing);
    world.record(3, Phase::Serving, "s2");
    world.refresh();
    assert_eq!(world.view.group(&group()).expect("the group has a record").primary.as_str(), "s2");
}

/// A crashed primary's entry is removed after three heartbeats. The coordinator must
/// still query its last known address, whose refusal proves that the process is not
/// running.
#[test]
fn test_crashed_primary_is_replaced_also_when_its_entry_is_gone() {
    let mut world = World::serving();
    world.join("proxy-2", 1);
    let mut holder = holder(&mut world);
    world.remove("server/s1");
    world.refresh();
    holder.work_done(world.now, &group(), 2);
    let start = world.now;
    let mut promoted = Vec::new();
    while promoted.is_empty() && world.now.since(start) < ms(5000) {
        let actions = settle(&mut world, &mut holder);
        let (to_old, others): (Vec<Action>, Vec<Action>) = actions.into_iter().partition(
            |action| matches!(action, Action::Control { server, .. } if server.as_str() == "s1"),
        );
        for action in to_old {
            if let Action::Control { server, command, .. } = action {
                let refused = Err(ControlFailure::Refused);
                holder.control_answered(world.now, &group(), &server, &command, refused);
            }
        }
        promoted = answer_actions(&mut world, &mut holder, &others);
        world.pass(ms(20));
        world.refresh();
    }
    assert_eq!(promoted, ["s2"], "proxy-2 can't use a process that isn't running");
}

/// Guards against a crashed primary that is never replaced because only one instance
/// has traffic and suspects it: the coordinator must probe the primary itself.
#[test]
fn test_doubt_of_another_instance_is_looked_into() {
    let mut world = World::serving();
    world.join("proxy-2", 1);
    let mut holder = holder(&mut world);
    let suspicion = DoubtRecord { primary: "s1".into(), epoch: 1, kind: SuspicionKind::Refused };
    world.put(&suspicion_key(&group(), &"proxy-2".into()), &suspicion);
    world.refresh();
    let actions = settle(&mut world, &mut holder);
    let probe = actions.iter().find_map(|action| match action {
        Action::Control { server, command, .. } => Some((server.clone(), command.clone())),
        _ => None,
    });
    let (server, command) = probe.expect("the coordinator probes the primary itself");
    assert_eq!(server.as_str(), "s1");
    let refused = Err(ControlFailure::Refused);
    holder.control_answered(world.now, &group(), &server, &command, refused);
    for _ in 0..20 {
        settle(&mut world, &mut holder);
        world.pass(ms(20));
        world.refresh();
    }
    assert_eq!(world.view.group(&group()).expect("the group has a record").phase, Phase::Changing);
}

/// With many instances only a few use a given primary. The instances that probe it
/// because of a suspicion decide; a network cut of some other instances does not
/// replace it.
#[test]
fn test_silence_is_judged_by_those_who_looked() {
    let mut world = World::serving();
    for number in 2..=40 {
        world.join(&format!("proxy-{number}"), 1);
    }
    let mut holder = holder(&mut world);
    world.refresh();
    let silent = DoubtRecord { primary: "s1".into(), epoch: 1, kind: SuspicionKind::Silent };
    let is_probing = |world: &mut World, instance: &str| {
        let actions = settle(world, &mut coordinator_of(instance));
        actions.iter().any(|action| matches!(action, Action::Control { .. }))
    };
    // The first suspicion makes the chosen instances and the coordinator probe.
    world.put(&suspicion_key(&group(), &"proxy-40".into()), &silent);
    world.refresh();
    let probing: Vec<String> = (2..40)
        .map(|number| format!("proxy-{number}"))
        .filter(|instance| is_probing(&mut world, instance))
        .collect();
    assert!((3..=4).contains(&probing.len()), "{probing:?}");
    let others = (2..40).map(|number| format!("proxy-{number}"));
    for other in others.filter(|other| !probing.contains(other)).take(8) {
        world.put(&suspicion_key(&group(), &other.as_str().into()), &silent);
    }
    world.refresh();
    settle(&mut world, &mut holder);
    holder.suspect(&world.view, &group(), &"s1".into(), SuspicionKind::Silent);
    for _ in 0..20 {
        settle(&mut world, &mut holder);
        world.pass(ms(20));
        world.refresh();
    }
    assert_eq!(world.view.group(&group()).expect("the group has a record").phase, Phase::Serving);
    for instance in &probing {
        world.put(&suspicion_key(&group(), &instance.as_str().into()), &silent);
    }
    world.refresh();
    for _ in 0..20 {
        settle(&mut world, &mut holder);
        world.pass(ms(20));
        world.refresh();
    }
    assert_eq!(world.view.group(&group()).expect("the group has a record").phase, Phase::Changing);
}

#[test]
fn test_replica_that_received_most_takes_over() {
    let mut world = World::serving();
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    holder.work_done(world.now, &group(), 2);
    assert_eq!(promotions_within(&mut world, &mut holder, ms(1000)), ["s2"]);
}

/// The store commits the coordinator's records, but its watches show them late or not
/// at all: the coordinator must continue from the commits that were acknowledged.
#[test]
fn test_holder_without_news_of_the_store_completes_its_change() {
    let mut world = World::serving();
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    world.is_blind = true;
    settle(&mut world, &mut holder);
    holder.work_done(world.now, &group(), 2);
    assert_eq!(promotions_within(&mut world, &mut holder, ms(1000)), ["s2"]);
}

#[test]
fn test_new_primary_is_published_only_when_it_leads() {
    let mut world = World::serving();
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    holder.work_done(world.now, &group(), 2);
    promotions_within(&mut world, &mut holder, ms(1000));
    assert_eq!(world.view.group(&group()).expect("the group has a record").phase, Phase::Changing);
    let leader =
        ServerStatus { role: Role::Primary, term: position(2, 0).term, received: position(2, 9) };
    holder.control_answered(world.now, &group(), &"s2".into(), &Command::Status, Ok(leader));
    world.pass(ms(200));
    let actions = settle(&mut world, &mut holder);
    assert!(actions.iter().any(|action| is_for(action, &Purpose::Publish(group()))), "{actions:?}");
    let record = world.view.group(&group()).expect("the group has a record");
    assert_eq!(record.phase, Phase::Serving);
    assert_eq!(record.primary.as_str(), "s2");
    assert_eq!(record.term, position(2, 0).term);
}

/// Guards against lost writes: a crashed primary that restarted under another id was
/// used while a promotion of another server was about to take effect.
#[test]
fn test_after_an_order_only_the_ordered_server_is_let_in() {
    let mut world = World::serving();
    world.record_of_term(0, 1, Phase::Serving, "s1");
    world.refresh();
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    holder.work_done(world.now, &group(), 2);
    assert_eq!(promotions_within(&mut world, &mut holder, ms(1000)), ["s2"]);
    world.server("s4", Role::Primary, false);
    world.refresh();
    let restarted = ServerStatus { role: Role::Primary, ..replica(9) };
    holder.control_answered(world.now, &group(), &"s4".into(), &Command::Status, Ok(restarted));
    world.pass(ms(200));
    settle(&mut world, &mut holder);
    let record = world.view.group(&group()).expect("the group has a record");
    assert_eq!(record.phase, Phase::Changing, "s4 must not be used: {record:?}");
}

#[test]
fn test_primary_that_came_back_under_another_id_needs_no_order() {
    let mut world = World::serving();
    world.join("proxy-2", 1);
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    settle(&mut world, &mut holder);
    world.server("s4", Role::Primary, false);
    world.refresh();
    let restarted = ServerStatus { role: Role::Primary, ..replica(9) };
    settle(&mut world, &mut holder);
    holder.control_answered(world.now, &group(), &"s4".into(), &Command::Status, Ok(restarted));
    world.pass(ms(200));
    settle(&mut world, &mut holder);
    assert_eq!(world.view.group(&group()).expect("the group has a record").primary.as_str(), "s4");
}

#[test]
fn test_holder_whose_lease_may_have_ended_orders_nothing() {
    let mut world = World::serving();
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    holder.work_done(world.now, &group(), 2);
    settle(&mut world, &mut holder);
    world.pass(Duration::from_secs(7));
    holder.tick(&world.view, world.now);
    let actions = holder.take_actions();
    assert!(!actions.iter().any(|action| matches!(action, Action::Promote(_))), "{actions:?}");
    assert!(!holder.is_active(&world.view, world.now));
}

#[test]
fn test_instance_without_its_live_key_is_not_entitled() {
    let mut world = World::serving();
    let usable = |world: &World| {
        masticreel_proxy::primary_lease::usable_primary(
            &world.view,
            &OWN.into(),
            INCARNATION,
            &group(),
            world.now,
        )
        .is_some()
    };
    assert!(usable(&world));
    world.remove(&live_key(&OWN.into()));
    world.refresh();
    assert!(!usable(&world));
}

#[test]
fn test_entitlement_ends_without_news_of_the_store() {
    let mut world = World::serving();
    let usable = |world: &World, incarnation| {
        masticreel_proxy::primary_lease::usable_primary(
            &world.view,
            &OWN.into(),
            incarnation,
            &group(),
            world.now,
        )
        .is_some()
    };
    assert!(!usable(&world, INCARNATION + 1), "another incarnation is not a member");
    world.pass(masticreel_proxy::primary_lease::PRIMARY_LEASE - ms(1));
    assert!(usable(&world, INCARNATION));
    world.pass(ms(1));
    assert!(!usable(&world, INCARNATION));
}
