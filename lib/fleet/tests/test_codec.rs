//! Tests of datagrams: encoding, authentication and replay protection.

use std::net::SocketAddr;

use masticreel_base::ids::{Incarnation, InstanceId, Revision, Term};
use masticreel_fleet::codec::{SharedKey, decode, encode};
use masticreel_fleet::member::{Member, MemberState};
use masticreel_fleet::message::{Body, GroupPrimary, Message, Sequence};
use masticreel_fleet::replay::{ReplayGuard, Stamp};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner() -> TestRunner {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(Config::default(), random)
}

fn receiver() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 2], 7000))
}

fn key() -> SharedKey {
    SharedKey::new("a secret of the tests")
}

fn any_state() -> impl Strategy<Value = MemberState> {
    prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Dead),
        Just(MemberState::Left),
    ]
}

/// Generates addresses without IPv6 flow labels and scope ids, which have no
/// meaning on other instances.
fn any_address() -> impl Strategy<Value = SocketAddr> {
    (any::<std::net::IpAddr>(), any::<u16>()).prop_map(SocketAddr::from)
}

fn any_member() -> impl Strategy<Value = Member> {
    let identity = ("[a-z]{1,20}", any_address(), "[a-z]{1,20}");
    let attributes = (any::<u64>(), any_state(), any::<u64>(), any::<bool>(), any::<u64>());
    (identity, attributes).prop_map(|((id, address, domain), attributes)| {
        let (incarnation, state, version, leaving, revision) = attributes;
        Member {
            id: id.into(),
            address,
            failure_domain: domain.into(),
            incarnation: Incarnation(incarnation),
            state,
            version,
            leaving,
            revision: Revision(revision),
        }
    })
}

fn any_body() -> impl Strategy<Value = Body> {
    let name = || proptest::option::of("[a-z]{1,20}".prop_map(InstanceId::from));
    prop_oneof![
        any::<u64>().prop_map(|number| Body::Ping(Sequence(number))),
        any::<u64>().prop_map(|number| Body::Ack(Sequence(number))),
        (any::<u64>(), any_address())
            .prop_map(|(number, target)| Body::PingRequest { sequence: Sequence(number), target }),
        Just(Body::Gossip),
        name().prop_map(|after| Body::SyncRequest { after }),
        name().prop_map(|next| Body::SyncReply { next }),
    ]
}

fn any_group_primary() -> impl Strategy<Value = GroupPrimary> {
    ("[a-z]{1,20}", any::<u64>(), "[a-z]{1,20}").prop_map(|(group, term, primary)| GroupPrimary {
        group: group.into(),
        term: Term(term),
        primary: primary.into(),
    })
}

fn any_message() -> impl Strategy<Value = Message> {
    let parts = (any_member(), any_body(), any::<u64>());
    (parts, vec(any_member(), 0..5), vec(any_group_primary(), 0..4)).prop_map(
        |((sender, body, digest), updates, group_primaries)| Message {
            sender,
            body,
            digest,
            updates,
            group_primaries,
        },
    )
}

fn any_stamp() -> impl Strategy<Value = Stamp> {
    (any::<u64>(), any::<u64>()).prop_map(|(life, counter)| Stamp { life, counter })
}

#[test]
fn test_message_survives_the_wire() {
    let strategy = (any_message(), any_stamp());
    let result = runner().run(&strategy, |(message, stamp)| {
        let datagram =
            encode(&message, stamp, receiver(), &key()).expect("message fits into a datagram");
        prop_assert_eq!(decode(&datagram, receiver(), &key()), Ok((message, stamp)));
        Ok(())
    });
    result.expect("no counterexample");
}

#[test]
fn test_changed_truncated_or_misdirected_datagrams_are_refused() {
    let strategy = (any_message(), any_stamp(), any::<prop::sample::Index>(), 1..=255_u8);
    let result = runner().run(&strategy, |(message, stamp, index, flip)| {
        let datagram =
            encode(&message, stamp, receiver(), &key()).expect("message fits into a datagram");
        let position = index.index(datagram.len());
        let mut changed = datagram.clone();
        changed[position] ^= flip;
        prop_assert!(decode(&changed, receiver(), &key()).is_err());
        prop_assert!(decode(&datagram[..position], receiver(), &key()).is_err());
        let elsewhere = SocketAddr::from(([10, 0, 0, 3], 7000));
        prop_assert!(decode(&datagram, elsewhere, &key()).is_err());
        prop_assert!(decode(&datagram, receiver(), &SharedKey::new("")).is_err());
        let mut longer = datagram;
        longer.push(flip);
        prop_assert!(decode(&longer, receiver(), &key()).is_err());
        Ok(())
    });
    result.expect("no counterexample");
}

#[test]
fn test_noise_is_refused() {
    let result = runner().run(&vec(any::<u8>(), 0..1_400), |noise| {
        prop_assert!(decode(&noise, receiver(), &key()).is_err());
        Ok(())
    });
    result.expect("no counterexample");
}

#[test]
fn test_stamps_are_accepted_at_most_once() {
    let strategy = vec((1..4_u64, 1..300_u64), 1..400);
    let result = runner().run(&strategy, |stamps| {
        let mut guard = ReplayGuard::default();
        let sender = InstanceId::from("instance-1");
        let mut accepted = std::collections::BTreeSet::new();
        let mut newest_life = 0;
        for (life, counter) in stamps {
            let stamp = Stamp { life, counter };
            if guard.accept(&sender, stamp) {
                prop_assert!(accepted.insert(stamp), "{} accepted twice", stamp);
                prop_assert!(life >= newest_life);
                newest_life = life;
            }
        }
        Ok(())
    });
    result.expect("no counterexample");
}

#[test]
fn test_datagrams_may_overtake_each_other() {
    let mut guard = ReplayGuard::default();
    let sender = InstanceId::from("instance-1");
    for counter in [2, 1, 5, 3, 4, 100, 6] {
        assert!(guard.accept(&sender, Stamp { life: 1, counter }), "{counter}");
    }
}
