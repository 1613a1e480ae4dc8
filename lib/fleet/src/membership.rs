//! Decides who is alive, by probes, suspicion and refutation.
//!
//! Each instance probes one random instance a second and, more often, the few
//! that follow it on a ring of hashed names, so the cost of an instance does
//! not grow with the fleet and every instance is watched by someone. See
//! `docs/design/08-membership.md`.

mod join;
mod probes;
mod probing;
mod updates;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticreel_base::ids::{Incarnation, InstanceId, Revision};
use rand::Rng;

use crate::member::{Change, Member, MemberState};
use crate::message::{Body, MAX_DATAGRAM_BYTES, Message, OutgoingMessage, Sequence};
use crate::roster::Roster;

use self::join::Join;
use self::probes::{Prober, Target};
use self::updates::{RecentChanges, UpdateQueue};

/// How often the holder of the machine must send [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// A gap between ticks that shows that this process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);

/// How long a suspected instance may refute before it is held for dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
const GOSSIP_ROUNDS: u32 = 6;
const GOSSIP_FANOUT: usize = 3;

/// Bytes of a message that are not updates: seal, own account, body, views.
const RESERVED_BYTES: usize = 700;
const UPDATE_BYTES: usize = MAX_DATAGRAM_BYTES - RESERVED_BYTES;

/// Bytes of known accounts in a probe and its answer.
const KNOWN_BYTES: usize = 250;

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// An authentic message arrived.
    Received(Message),
    /// Another channel, such as a TCP link, shows that an instance answers.
    Responsive(InstanceId),
    /// Another channel fell silent; probes find out why.
    Unresponsive(InstanceId),
    /// The platform's list and the document name these addresses; they are
    /// contacted, and nothing else follows from a list.
    Candidates(Vec<SocketAddr>),
    /// The operators want this instance to hand over its work, or no longer.
    Leaving(bool),
    /// This instance stops.
    Stopping,
}

/// The state of one instance's view of the fleet.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    roster: Roster,
    updates: UpdateQueue,
    recent: RecentChanges,
    prober: Prober,
    join: Join,
    suspected_since: BTreeMap<InstanceId, Instant>,
    candidates: BTreeSet<SocketAddr>,
    known_after: Option<InstanceId>,
    gossip_rounds_left: u32,
    next_gossip: Option<Instant>,
    last_tick: Option<Instant>,
}

/// What a message carries besides its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attachments {
    /// Nothing, as the message goes to the same few instances all the time.
    Empty,
    /// Recent accounts, each a bounded number of times.
    Recent,
    /// Known accounts in turn, so that gaps close.
    Known,
}

impl Membership {
    /// Starts the view of an instance that knows nobody yet.
    pub fn new(own: Member) -> Self {
        Self {
            own,
            roster: Roster::default(),
            updates: UpdateQueue::default(),
            recent: RecentChanges::default(),
            prober: Prober::default(),
            join: Join::default(),
            suspected_since: BTreeMap::new(),
            candidates: BTreeSet::new(),
            known_after: None,
            gossip_rounds_left: 0,
            next_gossip: None,
            last_tick: None,
        }
    }

    /// Returns this instance's own account.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the accounts of the others.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns whether the others' accounts were fetched, or nobody answered.
    pub fn is_joined(&self) -> bool {
        self.join.is_joined()
    }

    /// Returns all instances that requests may be sent to, this one included.
    pub fn routable(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.roster.iter()).filter(|member| member.is_routable())
    }

    /// Takes an event and returns the messages to send.
    pub fn handle<R>(&mut self, event: Event, now: Instant, random: &mut R) -> Vec<OutgoingMessage>
    where
        R: Rng + ?Sized,
    {
        match event {
            Event::Tick => return self.tick(now, random),
            Event::Received(message) => return self.receive(message, now),
            Event::Unresponsive(id) => return self.probe_now(&id, now).into_iter().collect(),
            Event::Stopping => return self.stop(random),
            Event::Responsive(id) => self.prober.cancel_probes_of(&id),
            Event::Candidates(addresses) => self.set_candidates(addresses),
            Event::Leaving(leaving) => self.set_leaving(leaving, now),
        }
        Vec::new()
    }

    /// Notes the document revision in force here and spreads it.
    pub fn set_revision(&mut self, revision: Revision, now: Instant) {
        self.own.revision = revision;
        self.own.version += 1;
        self.schedule_gossip(now);
    }

    /// Spreads what is attached to messages by a few extra ones.
    pub fn schedule_gossip(&mut self, now: Instant) {
        self.gossip_rounds_left = GOSSIP_ROUNDS;
        self.next_gossip.get_or_insert(now);
    }

    /// Returns a message that carries only what is attached.
    pub fn gossip_to(&mut self, to: &Member) -> OutgoingMessage {
        self.message_to(to, Body::Gossip, Attachments::Recent)
    }

    fn set_candidates(&mut self, addresses: Vec<SocketAddr>) {
        let own = self.own.address;
        self.candidates = addresses.into_iter().filter(|address| *address != own).collect();
    }

    fn set_leaving(&mut self, leaving: bool, now: Instant) {
        if self.own.leaving != leaving {
            self.own.leaving = leaving;
            self.own.version += 1;
            self.schedule_gossip(now);
        }
    }

    fn stop<R>(&mut self, random: &mut R) -> Vec<OutgoingMessage>
    where
        R: Rng + ?Sized,
    {
        self.own.state = MemberState::Left;
        let targets = self.sample(GOSSIP_FANOUT * 2, random);
        targets.iter().map(|to| self.gossip_to(to)).collect()
    }

    fn tick<R>(&mut self, now: Instant, random: &mut R) -> Vec<OutgoingMessage>
    where
        R: Rng + ?Sized,
    {
        let previous = self.last_tick.replace(now).unwrap_or(now);
        if now.saturating_duration_since(previous) >= PAUSE_THRESHOLD {
            self.resume(now);
        }
        self.bury(now);
        let mut messages = self.advance_probes(now, random);
        if !messages.is_empty() {
            // What an overdue instance should have probed is probed from here.
            self.prober.schedule_ring_now();
        }
        messages.extend(self.start_probes(now, random));
        messages.extend(self.ping_candidates(now, random));
        messages.extend(self.continue_sync(now));
        messages.extend(self.gossip_round(now, random));
        messages
    }

    /// Drops judgements that a pause of this process would falsify.
    fn resume(&mut self, now: Instant) {
        self.prober.clear();
        for since in self.suspected_since.values_mut() {
            *since = now;
        }
        self.refute(self.own.incarnation, now);
    }

    fn bury(&mut self, now: Instant) {
        let overdue: Vec<InstanceId> = self
            .suspected_since
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= SUSPICION_TIMEOUT)
            .map(|(id, _)| id.clone())
            .collect();
        for id in overdue {
            self.set_state(&id, MemberState::Dead, now);
        }
    }

    fn set_state(&mut self, id: &InstanceId, state: MemberState, now: Instant) {
        if self.roster.set_state(id, state, now).is_some() {
            self.note_routing_change(id, now);
        }
    }

    fn note_routing_change(&mut self, id: &InstanceId, now: Instant) {
        match self.roster.get(id).map(|member| member.state) {
            Some(MemberState::Suspect) => {
                self.suspected_since.entry(id.clone()).or_insert(now);
            }
            _ => {
                self.suspected_since.remove(id);
            }
        }
        self.updates.add(id);
        self.recent.add(id, now);
        self.next_gossip.get_or_insert(now);
    }

    fn gossip_round<R>(&mut self, now: Instant, random: &mut R) -> Vec<OutgoingMessage>
    where
        R: Rng + ?Sized,
    {
        if self.next_gossip.is_none_or(|next| now < next) {
            return Vec::new();
        }
        if self.gossip_rounds_left == 0 && self.updates.is_empty() {
            self.next_gossip = None;
            return Vec::new();
        }
        self.gossip_rounds_left = self.gossip_rounds_left.saturating_sub(1);
        self.next_gossip = Some(now + GOSSIP_INTERVAL);
        let targets = self.sample(GOSSIP_FANOUT, random);
        targets.iter().map(|to| self.gossip_to(to)).collect()
    }

    fn receive(&mut self, message: Message, now: Instant) -> Vec<OutgoingMessage> {
        if message.sender.id == self.own.id {
            return Vec::new();
        }
        let sender = message.sender;
        self.learn(&sender, now);
        self.prober.cancel_probes_of(&sender.id);
        for account in &message.updates {
            self.learn(account, now);
        }
        let mut messages = self.answer(&sender, message.body, now);
        if message.digest != self.digest() {
            messages.extend(self.repair(&sender, now));
        }
        messages
    }

    fn digest(&self) -> u64 {
        self.roster.digest() ^ self.own.digest()
    }

    /// Tells an instance that routes differently what it may have missed.
    fn repair(&mut self, to: &Member, now: Instant) -> Option<OutgoingMessage> {
        let accounts = self.recent.take(&self.roster, UPDATE_BYTES, now);
        if accounts.is_empty() {
            return None;
        }
        Some(OutgoingMessage { to: to.address, message: self.message(Body::Gossip, accounts) })
    }

    fn learn(&mut self, account: &Member, now: Instant) {
        if account.id == self.own.id {
            self.check_own_account(account, now);
            return;
        }
        if self.roster.merge(account, now) == Change::Routing {
            self.note_routing_change(&account.id, now);
        }
    }

    fn check_own_account(&mut self, account: &Member, now: Instant) {
        let accused = account.incarnation == self.own.incarnation
            && account.state != MemberState::Alive
            && self.own.state == MemberState::Alive;
        if accused || account.incarnation > self.own.incarnation {
            self.refute(account.incarnation, now);
        }
    }

    fn refute(&mut self, accused: Incarnation, now: Instant) {
        self.own.incarnation = accused.next();
        self.schedule_gossip(now);
    }

    fn answer(&mut self, sender: &Member, body: Body, now: Instant) -> Vec<OutgoingMessage> {
        match body {
            Body::Ping(sequence) => {
                vec![self.message_to(sender, Body::Ack(sequence), Attachments::Known)]
            }
            Body::Ack(sequence) => self.acknowledged(sender, sequence, now),
            Body::PingRequest { sequence, target } => {
                let relayed = self.prober.relay(sender.address, sequence, now);
                vec![self.message_at(target, Body::Ping(relayed), Attachments::Empty)]
            }
            Body::Gossip => self.tell_accused(sender),
            Body::SyncRequest { after } => vec![self.sync_reply(sender, after.as_ref())],
            Body::SyncReply { next } => self.sync_page(sender.address, next, now),
        }
    }

    /// Lets an instance that is held for suspect or dead refute it.
    fn tell_accused(&mut self, sender: &Member) -> Vec<OutgoingMessage> {
        let accused = self.roster.get(&sender.id).is_some_and(|known| {
            known.state != MemberState::Alive && sender.state == MemberState::Alive
        });
        if accused { vec![self.gossip_to(sender)] } else { Vec::new() }
    }

    fn acknowledged(
        &mut self,
        sender: &Member,
        sequence: Sequence,
        now: Instant,
    ) -> Vec<OutgoingMessage> {
        if let Some(origin) = self.prober.take_relay(sequence) {
            return vec![self.message_at(
                origin.address,
                Body::Ack(origin.sequence),
                Attachments::Empty,
            )];
        }
        match self.prober.finish(sequence) {
            Some(Target::Address(_)) => self.start_sync(sender.address, now),
            _ => Vec::new(),
        }
    }

    /// Draws instances at random, preferably ones that answer.
    fn sample<R>(&self, amount: usize, random: &mut R) -> Vec<Member>
    where
        R: Rng + ?Sized,
    {
        let mut drawn = self.roster.sample(2 * amount, random);
        drawn.sort_by_key(|member| member.state);
        drawn.into_iter().take(amount).cloned().collect()
    }

    fn message_to(&mut self, to: &Member, body: Body, attachments: Attachments) -> OutgoingMessage {
        let mut outgoing = self.message_at(to.address, body, attachments);
        let known = self.roster.get(&to.id);
        if let Some(accused) = known.filter(|known| known.state != MemberState::Alive)
            && !outgoing.message.updates.contains(accused)
        {
            outgoing.message.updates.push(accused.clone());
        }
        outgoing
    }

    fn message_at(
        &mut self,
        to: SocketAddr,
        body: Body,
        attachments: Attachments,
    ) -> OutgoingMessage {
        let updates = match attachments {
            Attachments::Empty => Vec::new(),
            Attachments::Recent => self.updates.take(&self.roster, UPDATE_BYTES),
            Attachments::Known => self.known_accounts(),
        };
        OutgoingMessage { to, message: self.message(body, updates) }
    }

    fn known_accounts(&mut self) -> Vec<Member> {
        let (page, next) = self.roster.page(self.known_after.as_ref(), KNOWN_BYTES);
        self.known_after = next;
        page
    }

    fn message(&self, body: Body, updates: Vec<Member>) -> Message {
        let digest = self.digest();
        Message { sender: self.own.clone(), body, digest, updates, views: Vec::new() }
    }
}
