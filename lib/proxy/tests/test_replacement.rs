//! How a primary is replaced, against a store in memory.

mod support;

use std::time::Duration;

use masticreel_proxy::coordinator::{ControlFailure, Coordinator, Purpose, Step};
use masticreel_proxy::peers::PeerMessage;
use masticreel_proxy::protocol::PromoterAnswer;
use masticreel_proxy::records::{DoubtKind, DoubtRecord, Phase, doubt_key, live_key};
use masticreel_proxy::statement::{Command, Role, ServerStatus};
use masticreel_proxy::trust::{ENTITLEMENT, ENTITLEMENT_MARGIN, FRESHNESS};
use support::{
    INCARNATION, OWN, World, coordinator, coordinator_of, group, is_for, ms, position, settle,
};

/// A holder of the duty whose first order would be allowed at once.
fn holder(world: &mut World) -> Coordinator {
    let mut coordinator = coordinator();
    world.take_duty();
    world.refresh();
    for _ in 0..40 {
        settle(world, &mut coordinator);
        world.pass(ms(100));
        world.refresh();
    }
    assert!(coordinator.holds_duty(&world.view, world.now));
    coordinator
}

fn replica(number: u64) -> ServerStatus {
    ServerStatus { role: Role::Replica, term: position(1, 0).term, received: position(1, number) }
}

/// Answers the questions about replicas, and returns the servers that were
/// ordered to lead.
fn survey(world: &mut World, coordinator: &mut Coordinator, steps: &[Step]) -> Vec<String> {
    let mut ordered = Vec::new();
    for step in steps {
        match step {
            Step::Control { server, command, .. } => {
                let status = match (server.as_str(), command) {
                    ("s1", Command::StepDown { .. }) => replica(9),
                    ("s1", _) => ServerStatus { role: Role::Primary, ..replica(9) },
                    ("s2", _) => replica(9),
                    _ => replica(7),
                };
                coordinator.control_answered(world.now, &group(), server, command, Ok(status));
            }
            Step::Promote(order) => {
                ordered.push(order.server.to_string());
                coordinator.promoter_answered(world.now, order, Some(PromoterAnswer::Accepted));
            }
            Step::Store(..) | Step::Tell(..) => {}
        }
    }
    ordered
}

/// Runs a change and returns what was ordered within a time.
fn ordered_within(world: &mut World, coordinator: &mut Coordinator, time: Duration) -> Vec<String> {
    let end = world.now + time;
    while world.now < end {
        let steps = settle(world, coordinator);
        let ordered = survey(world, coordinator, &steps);
        if !ordered.is_empty() {
            return ordered;
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
    assert!(ordered_within(&mut world, &mut holder, ms(1000)).is_empty(), "proxy-2 may write");
    world.confirm_stop("proxy-2", 1, 2);
    world.refresh();
    holder.stopped(world.now, &group(), 2);
    assert_eq!(ordered_within(&mut world, &mut holder, ms(1000)), ["s2"]);
}

#[test]
fn test_member_that_never_confirms_is_waited_for_until_its_entitlement_ends() {
    let mut world = World::serving();
    world.join("proxy-2", 1);
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    holder.stopped(world.now, &group(), 2);
    let least = FRESHNESS + ENTITLEMENT_MARGIN;
    assert!(ordered_within(&mut world, &mut holder, least).is_empty());
    assert_eq!(ordered_within(&mut world, &mut holder, ms(500)), ["s2"]);
}

/// Without a word of the old primary, a member that is cut off may go on with
/// it for as long as its entitlement lasts.
#[test]
fn test_silent_primary_is_replaced_after_the_whole_entitlement() {
    let mut world = World::serving();
    world.join("proxy-2", 1);
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    holder.stopped(world.now, &group(), 2);
    let mut ordered = Vec::new();
    let start = world.now;
    while ordered.is_empty() && world.now.since(start) < ENTITLEMENT * 2 {
        let steps = settle(&mut world, &mut holder);
        let (of_old, others): (Vec<Step>, Vec<Step>) = steps.into_iter().partition(
            |step| matches!(step, Step::Control { server, .. } if server.as_str() == "s1"),
        );
        for step in of_old {
            if let Step::Control { server, command, .. } = step {
                let silent = Err(ControlFailure::Silent);
                holder.control_answered(world.now, &group(), &server, &command, silent);
            }
        }
        ordered = survey(&mut world, &mut holder, &others);
        world.pass(ms(20));
        world.refresh();
    }
    assert_eq!(ordered, ["s2"]);
    let waited = world.now.since(start);
    assert!(waited >= ENTITLEMENT + ENTITLEMENT_MARGIN, "{waited:?}");
}

/// A machine that was removed for good held every later change up for 13.5 s.
#[test]
fn test_member_that_lost_its_lease_long_ago_holds_no_change_up() {
    let mut world = World::serving();
    world.join("proxy-2", 1);
    let mut holder = holder(&mut world);
    world.remove(&live_key(&"proxy-2".into()));
    world.refresh();
    let end = world.now + FRESHNESS + ENTITLEMENT_MARGIN;
    while world.now <= end {
        settle(&mut world, &mut holder);
        world.pass(ms(100));
        world.refresh();
    }
    world.server("s1", Role::Primary, true);
    world.refresh();
    holder.stopped(world.now, &group(), 2);
    assert_eq!(ordered_within(&mut world, &mut holder, ms(1000)), ["s2"]);
}

/// An instance that the store turned away held a change up for 12 s.
#[test]
fn test_member_without_the_store_is_told_directly_and_its_word_counts() {
    let mut world = World::serving();
    world.join("proxy-2", 1);
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    holder.stopped(world.now, &group(), 2);
    let mut told = Vec::new();
    for _ in 0..20 {
        let steps = settle(&mut world, &mut holder);
        told.extend(steps.iter().filter_map(|step| match step {
            Step::Tell(address, message) => Some((*address, message.clone())),
            _ => None,
        }));
        assert!(survey(&mut world, &mut holder, &steps).is_empty(), "proxy-2 may write");
        world.pass(ms(20));
        world.refresh();
    }
    assert!(told.iter().all(|(to, _)| Some(*to) == support::address("proxy-2")), "{told:?}");
    assert!(matches!(&told[0].1, PeerMessage::Record { record, .. } if record.epoch == 2));
    holder.peer_stopped(&"proxy-2".into(), &group(), 1);
    assert!(ordered_within(&mut world, &mut holder, ms(300)).is_empty(), "an earlier epoch");
    holder.peer_stopped(&"proxy-2".into(), &group(), 2);
    assert_eq!(ordered_within(&mut world, &mut holder, ms(1000)), ["s2"]);
}

#[test]
fn test_told_record_holds_until_the_store_shows_a_newer_one() {
    let mut world = World::serving();
    let changing = masticreel_proxy::records::GroupRecord {
        epoch: 2,
        phase: Phase::Changing,
        ..world.view.group(&group()).expect("a record").clone()
    };
    assert!(!world.view.told_record(&group(), changing.clone()).is_empty());
    assert!(world.view.told_record(&group(), changing).is_empty(), "it is known");
    world.refresh();
    assert_eq!(world.view.group(&group()).expect("a record").phase, Phase::Changing);
    world.record(3, Phase::Serving, "s2");
    world.refresh();
    assert_eq!(world.view.group(&group()).expect("a record").primary.as_str(), "s2");
}

/// A crashed primary's entry is gone after three heartbeats; then nothing proved
/// any more that its process was not running.
#[test]
fn test_crashed_primary_is_replaced_also_when_its_entry_is_gone() {
    let mut world = World::serving();
    world.join("proxy-2", 1);
    let mut holder = holder(&mut world);
    world.remove("server/s1");
    world.refresh();
    holder.stopped(world.now, &group(), 2);
    let start = world.now;
    let mut ordered = Vec::new();
    while ordered.is_empty() && world.now.since(start) < ms(5000) {
        let steps = settle(&mut world, &mut holder);
        let (of_old, others): (Vec<Step>, Vec<Step>) = steps.into_iter().partition(
            |step| matches!(step, Step::Control { server, .. } if server.as_str() == "s1"),
        );
        for step in of_old {
            if let Step::Control { server, command, .. } = step {
                let refused = Err(ControlFailure::Refused);
                holder.control_answered(world.now, &group(), &server, &command, refused);
            }
        }
        ordered = survey(&mut world, &mut holder, &others);
        world.pass(ms(20));
        world.refresh();
    }
    assert_eq!(ordered, ["s2"], "proxy-2 can't use a process that isn't running");
}

/// Only one instance had traffic: its doubt stood alone and the crashed primary
/// was never replaced.
#[test]
fn test_doubt_of_another_instance_is_looked_into() {
    let mut world = World::serving();
    world.join("proxy-2", 1);
    let mut holder = holder(&mut world);
    let doubt = DoubtRecord { primary: "s1".into(), epoch: 1, kind: DoubtKind::Refused };
    world.put(&doubt_key(&group(), &"proxy-2".into()), &doubt);
    world.refresh();
    let steps = settle(&mut world, &mut holder);
    let probe = steps.iter().find_map(|step| match step {
        Step::Control { server, command, .. } => Some((server.clone(), command.clone())),
        _ => None,
    });
    let (server, command) = probe.expect("it looks itself");
    assert_eq!(server.as_str(), "s1");
    let refused = Err(ControlFailure::Refused);
    holder.control_answered(world.now, &group(), &server, &command, refused);
    for _ in 0..20 {
        settle(&mut world, &mut holder);
        world.pass(ms(20));
        world.refresh();
    }
    assert_eq!(world.view.group(&group()).expect("a record").phase, Phase::Changing);
}

/// In a large fleet few instances have work at a primary; the few that look
/// because of a doubt decide, and a cut of some instances alone does not.
#[test]
fn test_silence_is_judged_by_those_who_looked() {
    let mut world = World::serving();
    for number in 2..=40 {
        world.join(&format!("proxy-{number}"), 1);
    }
    let mut holder = holder(&mut world);
    world.refresh();
    let silent = DoubtRecord { primary: "s1".into(), epoch: 1, kind: DoubtKind::Silent };
    let asked_by = |world: &mut World, instance: &str| {
        let steps = settle(world, &mut coordinator_of(instance));
        steps.iter().any(|step| matches!(step, Step::Control { .. }))
    };
    // A first doubt makes the chosen instances and the holder look.
    world.put(&doubt_key(&group(), &"proxy-40".into()), &silent);
    world.refresh();
    let looking: Vec<String> = (2..40)
        .map(|number| format!("proxy-{number}"))
        .filter(|instance| asked_by(&mut world, instance))
        .collect();
    assert!((3..=4).contains(&looking.len()), "{looking:?}");
    let others = (2..40).map(|number| format!("proxy-{number}"));
    for other in others.filter(|other| !looking.contains(other)).take(8) {
        world.put(&doubt_key(&group(), &other.as_str().into()), &silent);
    }
    world.refresh();
    settle(&mut world, &mut holder);
    holder.doubt(&world.view, &group(), &"s1".into(), DoubtKind::Silent);
    for _ in 0..20 {
        settle(&mut world, &mut holder);
        world.pass(ms(20));
        world.refresh();
    }
    assert_eq!(world.view.group(&group()).expect("a record").phase, Phase::Serving);
    for instance in &looking {
        world.put(&doubt_key(&group(), &instance.as_str().into()), &silent);
    }
    world.refresh();
    for _ in 0..20 {
        settle(&mut world, &mut holder);
        world.pass(ms(20));
        world.refresh();
    }
    assert_eq!(world.view.group(&group()).expect("a record").phase, Phase::Changing);
}

#[test]
fn test_replica_that_received_most_takes_over() {
    let mut world = World::serving();
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    holder.stopped(world.now, &group(), 2);
    assert_eq!(ordered_within(&mut world, &mut holder, ms(1000)), ["s2"]);
}

/// The store takes the holder's records, and its watches show them late or not
/// at all: it goes by what was acknowledged.
#[test]
fn test_holder_without_news_of_the_store_completes_its_change() {
    let mut world = World::serving();
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    world.is_blind = true;
    settle(&mut world, &mut holder);
    holder.stopped(world.now, &group(), 2);
    assert_eq!(ordered_within(&mut world, &mut holder, ms(1000)), ["s2"]);
}

#[test]
fn test_new_primary_is_published_only_when_it_leads() {
    let mut world = World::serving();
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    holder.stopped(world.now, &group(), 2);
    ordered_within(&mut world, &mut holder, ms(1000));
    assert_eq!(world.view.group(&group()).expect("a record").phase, Phase::Changing);
    let leader =
        ServerStatus { role: Role::Primary, term: position(2, 0).term, received: position(2, 9) };
    holder.control_answered(world.now, &group(), &"s2".into(), &Command::Status, Ok(leader));
    world.pass(ms(200));
    let steps = settle(&mut world, &mut holder);
    assert!(steps.iter().any(|step| is_for(step, &Purpose::Publish(group()))), "{steps:?}");
    let record = world.view.group(&group()).expect("a record");
    assert_eq!(record.phase, Phase::Serving);
    assert_eq!(record.primary.as_str(), "s2");
    assert_eq!(record.term, position(2, 0).term);
}

/// A crashed primary that came back under another id was let in while the order
/// to another server was about to take effect: its writes were lost.
#[test]
fn test_after_an_order_only_the_ordered_server_is_let_in() {
    let mut world = World::serving();
    world.record_of_term(0, 1, Phase::Serving, "s1");
    world.refresh();
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    holder.stopped(world.now, &group(), 2);
    assert_eq!(ordered_within(&mut world, &mut holder, ms(1000)), ["s2"]);
    world.server("s4", Role::Primary, false);
    world.refresh();
    let back = ServerStatus { role: Role::Primary, ..replica(9) };
    holder.control_answered(world.now, &group(), &"s4".into(), &Command::Status, Ok(back));
    world.pass(ms(200));
    settle(&mut world, &mut holder);
    let record = world.view.group(&group()).expect("a record");
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
    let back = ServerStatus { role: Role::Primary, ..replica(9) };
    settle(&mut world, &mut holder);
    holder.control_answered(world.now, &group(), &"s4".into(), &Command::Status, Ok(back));
    world.pass(ms(200));
    settle(&mut world, &mut holder);
    assert_eq!(world.view.group(&group()).expect("a record").primary.as_str(), "s4");
}

#[test]
fn test_holder_whose_lease_may_have_ended_orders_nothing() {
    let mut world = World::serving();
    let mut holder = holder(&mut world);
    world.server("s1", Role::Primary, true);
    world.refresh();
    holder.stopped(world.now, &group(), 2);
    settle(&mut world, &mut holder);
    world.pass(Duration::from_secs(7));
    holder.tick(&world.view, world.now);
    let steps = holder.take_steps();
    assert!(!steps.iter().any(|step| matches!(step, Step::Promote(_))), "{steps:?}");
    assert!(!holder.holds_duty(&world.view, world.now));
}

#[test]
fn test_instance_without_its_live_key_is_not_entitled() {
    let mut world = World::serving();
    let usable = |world: &World| {
        masticreel_proxy::trust::usable_primary(
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
        masticreel_proxy::trust::usable_primary(
            &world.view,
            &OWN.into(),
            incarnation,
            &group(),
            world.now,
        )
        .is_some()
    };
    assert!(!usable(&world, INCARNATION + 1), "another life is no member");
    world.pass(masticreel_proxy::trust::ENTITLEMENT - ms(1));
    assert!(usable(&world, INCARNATION));
    world.pass(ms(1));
    assert!(!usable(&world, INCARNATION));
}
