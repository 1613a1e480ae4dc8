//! One instance's part in the fleet: membership, revisions and group views.

use std::time::{Duration, Instant};

use masticreel_base::ids::{InstanceId, Revision};
use rand::Rng;

use crate::dissemination::{self, Dissemination};
use crate::member::Member;
use crate::membership::{self, Membership};
use crate::message::{Body, GroupPrimary, OutgoingMessage};
use crate::views::GroupPrimaries;

/// Bytes of a datagram that group views may fill.
const VIEW_BYTES: usize = 200;

const REPORT_INTERVAL: Duration = Duration::from_millis(300);
const REPORT_ROUNDS: u32 = 3;

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// Something that concerns the membership.
    Membership(membership::Event),
    /// A document of this revision was put in force here.
    Applied(Revision),
    /// A fetch from a peer failed.
    FetchFailed,
    /// This instance learned who leads a group.
    PrimaryObserved(GroupPrimary),
}

/// What the holder of the machine must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send(OutgoingMessage),
    /// Fetch or read the document.
    Document(dissemination::Action),
    /// Another instance knew a newer primary.
    PrimaryChanged(GroupPrimary),
}

/// The state of one instance's part in the fleet.
#[derive(Debug)]
pub struct Fleet {
    membership: Membership,
    dissemination: Dissemination,
    views: GroupPrimaries,
    reports_left: u32,
    next_report: Option<Instant>,
}

impl Fleet {
    /// Starts an instance that knows nobody and no document.
    ///
    /// Watchers of the store read it at the interval.
    pub fn new(own: Member, watch_interval: Duration) -> Self {
        Self {
            membership: Membership::new(own),
            dissemination: Dissemination::new(watch_interval),
            views: GroupPrimaries::default(),
            reports_left: 0,
            next_report: None,
        }
    }

    /// Returns who is alive.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns what is known about document revisions.
    pub fn dissemination(&self) -> &Dissemination {
        &self.dissemination
    }

    /// Returns who leads the groups.
    pub fn views(&self) -> &GroupPrimaries {
        &self.views
    }

    /// Returns on how many of the known live instances, this one included, a
    /// revision is in force.
    pub fn count_applied(&self, revision: Revision) -> (usize, usize) {
        let own = std::iter::once(self.membership.own());
        let live = own.chain(self.membership.roster().iter()).filter(|member| member.is_live());
        live.fold((0, 0), |(applied, all), member| {
            (applied + usize::from(member.revision >= revision), all + 1)
        })
    }

    /// Takes an event and returns what follows from it.
    pub fn handle<R>(&mut self, event: Event, now: Instant, random: &mut R) -> Vec<Action>
    where
        R: Rng + ?Sized,
    {
        match event {
            Event::Membership(event) => self.handle_membership(event, now, random),
            Event::Applied(revision) => self.apply(revision, now),
            Event::FetchFailed => self.fail_fetch(),
            Event::PrimaryObserved(view) => self.view(&view, now),
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
            actions.extend(self.learn_views(&message.views, now));
            let fetch = self.dissemination.fetch_if_newer(&message.sender, now);
            actions.extend(fetch.map(Action::Document));
        }
        let mut messages = self.membership.handle(event, now, random);
        if is_tick {
            let due = self.dissemination.tick(&self.membership, now, random);
            actions.extend(due.into_iter().map(Action::Document));
            messages.extend(self.report(now));
        }
        actions
            .extend(messages.into_iter().map(|outgoing| Action::Send(self.attach_views(outgoing))));
        actions
    }

    fn apply(&mut self, revision: Revision, now: Instant) -> Vec<Action> {
        if self.dissemination.accept(revision) {
            self.membership.set_revision(revision, now);
            self.reports_left = REPORT_ROUNDS;
            self.next_report = Some(now);
        }
        Vec::new()
    }

    fn fail_fetch(&mut self) -> Vec<Action> {
        self.dissemination.fetch_failed();
        Vec::new()
    }

    fn view(&mut self, view: &GroupPrimary, now: Instant) -> Vec<Action> {
        if self.views.merge(view) {
            self.membership.schedule_gossip(now);
        }
        Vec::new()
    }

    fn learn_views(&mut self, views: &[GroupPrimary], now: Instant) -> Vec<Action> {
        let newer: Vec<&GroupPrimary> =
            views.iter().filter(|view| self.views.merge(view)).collect();
        if !newer.is_empty() {
            self.membership.schedule_gossip(now);
        }
        newer.into_iter().cloned().map(Action::PrimaryChanged).collect()
    }

    /// Tells the store's watchers which revision is in force here, so that
    /// they can count for `masticreel document apply --wait`.
    fn report(&mut self, now: Instant) -> Vec<OutgoingMessage> {
        if self.reports_left == 0 || self.next_report.is_none_or(|next| now < next) {
            return Vec::new();
        }
        self.reports_left -= 1;
        self.next_report = Some(now + REPORT_INTERVAL);
        let watchers: Vec<Member> =
            self.dissemination.watchers().iter().filter_map(|id| self.other(id)).cloned().collect();
        watchers.iter().map(|watcher| self.membership.gossip_to(watcher)).collect()
    }

    fn other(&self, id: &InstanceId) -> Option<&Member> {
        self.membership.roster().get(id)
    }

    fn attach_views(&mut self, mut outgoing: OutgoingMessage) -> OutgoingMessage {
        // Pings and their answers are the regular traffic; each carries a few
        // known views so that gaps close.
        let filled = matches!(outgoing.message.body, Body::Ack(_) | Body::SyncReply { .. });
        outgoing.message.views = self.views.take(VIEW_BYTES, filled);
        outgoing
    }
}
