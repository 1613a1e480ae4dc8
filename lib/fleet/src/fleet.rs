//! Combines membership, document revisions and group primaries of one instance.
//!
//! [`Fleet`] passes received messages to [`Membership`], [`Dissemination`] and
//! [`GroupPrimaries`], and attaches group primaries to the messages that
//! [`Membership`] sends.

use std::time::{Duration, Instant};

use masticreel_base::ids::{InstanceId, Revision};
use rand::Rng;

use crate::dissemination::{self, Dissemination};
use crate::group_primaries::GroupPrimaries;
use crate::member::Member;
use crate::membership::{self, Membership};
use crate::message::{Body, GroupPrimary, OutgoingMessage};

/// Bytes of a datagram that group primaries may use.
const GROUP_PRIMARIES_BYTES: usize = 200;

const WATCHER_GOSSIP_INTERVAL: Duration = Duration::from_millis(300);
const WATCHER_GOSSIP_ROUNDS: u32 = 3;

/// An input of [`Fleet::handle`].
#[derive(Debug, Clone)]
pub enum Event {
    /// An input of the membership protocol.
    Membership(membership::Event),
    /// The document that is active here has this revision; sent when it changed and
    /// after a fetch. A lower or equal revision only ends the fetch under way.
    DocumentActive(Revision),
    /// A fetch from a peer failed.
    FetchFailed,
    /// This instance observed the primary of a group.
    PrimaryObserved(GroupPrimary),
}

/// An action that the driver of [`Fleet`] must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send(OutgoingMessage),
    /// Fetch or read the document.
    Document(dissemination::Action),
    /// Another instance sent a group's primary of a newer term.
    PrimaryChanged(GroupPrimary),
}

/// One instance's state of the protocol between instances.
#[derive(Debug)]
pub struct Fleet {
    membership: Membership,
    dissemination: Dissemination,
    primaries: GroupPrimaries,
    watcher_gossip_left: u32,
    next_watcher_gossip: Option<Instant>,
}

impl Fleet {
    /// Creates the state of an instance without member records and document.
    ///
    /// While the instance is one of the store's watchers, it reads the store every
    /// `poll_interval`.
    pub fn new(own: Member, poll_interval: Duration) -> Self {
        Self {
            membership: Membership::new(own),
            dissemination: Dissemination::new(poll_interval),
            primaries: GroupPrimaries::default(),
            watcher_gossip_left: 0,
            next_watcher_gossip: None,
        }
    }

    /// Returns the membership of the fleet.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the state of document revisions.
    pub fn dissemination(&self) -> &Dissemination {
        &self.dissemination
    }

    /// Returns the newest known primaries of the groups.
    pub fn group_primaries(&self) -> &GroupPrimaries {
        &self.primaries
    }

    /// Returns on how many live instances, including this one, a revision or a
    /// newer one is active, and how many live instances there are.
    pub fn count_applied(&self, revision: Revision) -> (usize, usize) {
        let own = std::iter::once(self.membership.own());
        let live = own.chain(self.membership.roster().iter()).filter(|member| member.is_live());
        live.fold((0, 0), |(applied, all), member| {
            (applied + usize::from(member.revision >= revision), all + 1)
        })
    }

    /// Processes an event and returns the actions to perform.
    pub fn handle<R>(&mut self, event: Event, now: Instant, random: &mut R) -> Vec<Action>
    where
        R: Rng + ?Sized,
    {
        match event {
            Event::Membership(event) => self.handle_membership(event, now, random),
            Event::DocumentActive(revision) => self.apply(revision, now),
            Event::FetchFailed => self.record_failed_fetch(),
            Event::PrimaryObserved(primary) => self.observe_primary(&primary, now),
        }
    }

    fn handle_membership<R>(
        &mut self,
        event: membership::Event,
        now: Instant,
        random: &mut R,
    ) -> Vec<Action>
    where
        R: Rng + ?Sized,
    {
        let mut actions = Vec::new();
        let is_tick = matches!(event, membership::Event::Tick);
        if let membership::Event::Received(message) = &event {
            actions.extend(self.merge_primaries(&message.group_primaries, now));
            let fetch = self.dissemination.start_fetch_if_newer(&message.sender, now);
            actions.extend(fetch.map(Action::Document));
        }
        let mut messages = self.membership.handle(event, now, random);
        if is_tick {
            let due = self.dissemination.tick(&self.membership, now, random);
            actions.extend(due.into_iter().map(Action::Document));
            messages.extend(self.gossip_to_watchers(now));
        }
        actions.extend(
            messages.into_iter().map(|outgoing| Action::Send(self.attach_primaries(outgoing))),
        );
        actions
    }

    fn apply(&mut self, revision: Revision, now: Instant) -> Vec<Action> {
        if self.dissemination.accept(revision) {
            self.membership.set_revision(revision, now);
            self.watcher_gossip_left = WATCHER_GOSSIP_ROUNDS;
            self.next_watcher_gossip = Some(now);
        }
        Vec::new()
    }

    fn record_failed_fetch(&mut self) -> Vec<Action> {
        self.dissemination.fetch_failed();
        Vec::new()
    }

    fn observe_primary(&mut self, primary: &GroupPrimary, now: Instant) -> Vec<Action> {
        if self.primaries.merge(primary) {
            self.membership.schedule_gossip(now);
        }
        Vec::new()
    }

    fn merge_primaries(&mut self, primaries: &[GroupPrimary], now: Instant) -> Vec<Action> {
        let newer: Vec<&GroupPrimary> =
            primaries.iter().filter(|primary| self.primaries.merge(primary)).collect();
        if !newer.is_empty() {
            self.membership.schedule_gossip(now);
        }
        newer.into_iter().cloned().map(Action::PrimaryChanged).collect()
    }

    /// Sends gossip to the store's watchers several times after the active revision
    /// rose. They count the instances for `masticreel document apply --wait`.
    fn gossip_to_watchers(&mut self, now: Instant) -> Vec<OutgoingMessage> {
        if self.watcher_gossip_left == 0 || self.next_watcher_gossip.is_none_or(|next| now < next) {
            return Vec::new();
        }
        self.watcher_gossip_left -= 1;
        self.next_watcher_gossip = Some(now + WATCHER_GOSSIP_INTERVAL);
        let watchers: Vec<Member> = self
            .dissemination
            .watchers()
            .iter()
            .filter_map(|id| self.other_member(id))
            .cloned()
            .collect();
        watchers.iter().map(|watcher| self.membership.gossip_to(watcher)).collect()
    }

    fn other_member(&self, id: &InstanceId) -> Option<&Member> {
        self.membership.roster().get(id)
    }

    fn attach_primaries(&mut self, mut outgoing: OutgoingMessage) -> OutgoingMessage {
        // Acks are part of the regular traffic; they and sync replies also carry
        // some of all known primaries, so that missed ones arrive eventually.
        let include_known = matches!(outgoing.message.body, Body::Ack(_) | Body::SyncReply { .. });
        outgoing.message.group_primaries =
            self.primaries.take(GROUP_PRIMARIES_BYTES, include_known);
        outgoing
    }
}
