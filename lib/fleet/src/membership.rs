//! Detects which instances are alive by probes, suspicion and refutation.
//!
//! Each instance probes one random instance a second and, more often, the few
//! that follow it on a ring of hashed names, so the cost of an instance does
//! not grow with the fleet and every instance is probed by others. See
//! `docs/design/08-membership.md`.
//!
//! `probes` keeps the probes under way and their timing, `probing` sends them
//! and evaluates their results, `join` contacts unknown instances and fetches
//! their member records, and `updates` selects changed records to attach to
//! messages.

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
use self::updates::{ChangeHistory, UpdateQueue};

/// How often the driver of [`Membership`] must send [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// A gap between ticks after which this process counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);

/// How long an instance may refute a suspicion before it is declared dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
const GOSSIP_ROUNDS: u32 = 6;
const GOSSIP_FANOUT: usize = 3;

/// Bytes of a datagram that are not updates: authentication code, the sender's
/// own record, body and group primaries.
const RESERVED_BYTES: usize = 700;
const UPDATE_BYTES: usize = MAX_DATAGRAM_BYTES - RESERVED_BYTES;

/// Bytes of known member records in each random probe and each ack.
const KNOWN_RECORDS_BYTES: usize = 250;

/// An input of [`Membership::handle`].
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// An authentic message arrived.
    Received(Message),
    /// Another channel, such as a TCP link, shows that an instance responds. Its
    /// probes are cancelled; only the instance itself can refute a suspicion.
    Responsive(InstanceId),
    /// Another channel received no response from an instance, which is probed
    /// at once.
    Unresponsive(InstanceId),
    /// The addresses in the platform's list and in the document. Those at which no
    /// live instance is known are pinged; there is no other effect.
    Candidates(Vec<SocketAddr>),
    /// Whether the operators or the platform request that this instance hand over
    /// its work.
    Leaving(bool),
    /// This instance is stopping.
    Stopping,
}

/// One instance's state in the membership protocol.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    roster: Roster,
    updates: UpdateQueue,
    change_history: ChangeHistory,
    prober: Prober,
    join: Join,
    suspected_since: BTreeMap<InstanceId, Instant>,
    candidate_addresses: BTreeSet<SocketAddr>,
    known_cursor: Option<InstanceId>,
    gossip_rounds_left: u32,
    next_gossip: Option<Instant>,
    last_tick: Option<Instant>,
}

/// The member records that a message carries besides its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attachments {
    /// None, for frequent messages to the same few instances. As with the others,
    /// the receiver's own record is added if it is not alive.
    Empty,
    /// Records in the update queue, each sent a bounded number of times.
    Queued,
    /// All known records in rotation, so that missed updates arrive eventually.
    Known,
}

impl Membership {
    /// Creates the state of an instance that has no member records yet.
    pub fn new(own: Member) -> Self {
        Self {
            own,
            roster: Roster::default(),
            updates: UpdateQueue::default(),
            change_history: ChangeHistory::default(),
            prober: Prober::default(),
            join: Join::default(),
            suspected_since: BTreeMap::new(),
            candidate_addresses: BTreeSet::new(),
            known_cursor: None,
            gossip_rounds_left: 0,
            next_gossip: None,
            last_tick: None,
        }
    }

    /// Returns this instance's own member record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the member records of the other instances.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns whether joining is over: the other instances' member records
    /// were fetched, there are no candidates, or joining timed out.
    pub fn has_finished_joining(&self) -> bool {
        self.join.has_finished_joining()
    }

    /// Returns all instances that requests may be sent to, this one included.
    pub fn routable(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.roster.iter()).filter(|member| member.is_routable())
    }

    /// Processes an event and returns the messages to send.
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

    /// Records the document revision that is active here and gossips it.
    pub fn set_revision(&mut self, revision: Revision, now: Instant) {
        self.own.revision = revision;
        self.own.version += 1;
        self.schedule_gossip(now);
    }

    /// Schedules a few rounds of gossip to spread changes without delay.
    pub fn schedule_gossip(&mut self, now: Instant) {
        self.gossip_rounds_left = GOSSIP_ROUNDS;
        self.next_gossip.get_or_insert(now);
    }

    /// Returns a gossip message with member records from the update queue.
    pub fn gossip_to(&mut self, to: &Member) -> OutgoingMessage {
        self.message_to(to, Body::Gossip, Attachments::Queued)
    }

    fn set_candidates(&mut self, addresses: Vec<SocketAddr>) {
        let own = self.own.address;
        self.candidate_addresses =
            addresses.into_iter().filter(|address| *address != own).collect();
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
            self.recover_from_pause(now);
        }
        self.declare_dead_after_timeout(now);
        let mut messages = self.advance_probes(now, random);
        if !messages.is_empty() {
            // A ping is unanswered. If its target has failed, it no longer probes
            // its successors on the ring, so they are probed from here at once.
            self.prober.schedule_ring_now();
        }
        messages.extend(self.start_probes(now, random));
        messages.extend(self.ping_candidates(now, random));
        messages.extend(self.continue_sync(now));
        messages.extend(self.gossip_round(now, random));
        messages
    }

    /// Cancels probes and restarts suspicion timeouts after a pause of this
    /// process, since responses may have gone unprocessed meanwhile. A new
    /// incarnation refutes suspicions that others may have of this instance.
    fn recover_from_pause(&mut self, now: Instant) {
        self.prober.clear();
        for since in self.suspected_since.values_mut() {
            *since = now;
        }
        self.refute(self.own.incarnation, now);
    }

    fn declare_dead_after_timeout(&mut self, now: Instant) {
        let timed_out: Vec<InstanceId> = self
            .suspected_since
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= SUSPICION_TIMEOUT)
            .map(|(id, _)| id.clone())
            .collect();
        for id in timed_out {
            self.raise(&id, MemberState::Dead, now);
        }
    }

    fn raise(&mut self, id: &InstanceId, state: MemberState, now: Instant) {
        if self.roster.raise_state(id, state, now).is_some() {
            self.record_routing_change(id, now);
        }
    }

    fn record_routing_change(&mut self, id: &InstanceId, now: Instant) {
        match self.roster.get(id).map(|member| member.state) {
            Some(MemberState::Suspect) => {
                self.suspected_since.entry(id.clone()).or_insert(now);
            }
            _ => {
                self.suspected_since.remove(id);
            }
        }
        self.updates.add(id);
        self.change_history.add(id, now);
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
        self.merge_record(&sender, now);
        self.prober.cancel_probes_of(&sender.id);
        for record in &message.updates {
            self.merge_record(record, now);
        }
        let mut messages = self.respond(&sender, message.body, now);
        if message.digest != self.digest() {
            messages.extend(self.send_missed_changes(&sender, now));
        }
        messages
    }

    fn digest(&self) -> u64 {
        self.roster.digest() ^ self.own.digest()
    }

    /// Sends the latest changes to an instance whose routing digest differs, as it
    /// may have missed them.
    fn send_missed_changes(&mut self, to: &Member, now: Instant) -> Option<OutgoingMessage> {
        let records = self.change_history.take(&self.roster, UPDATE_BYTES, now);
        if records.is_empty() {
            return None;
        }
        Some(OutgoingMessage { to: to.address, message: self.message(Body::Gossip, records) })
    }

    fn merge_record(&mut self, record: &Member, now: Instant) {
        if record.id == self.own.id {
            self.check_own_record(record, now);
            return;
        }
        if self.roster.merge(record, now) == Change::Routing {
            self.record_routing_change(&record.id, now);
        }
    }

    fn check_own_record(&mut self, record: &Member, now: Instant) {
        let is_suspected = record.incarnation == self.own.incarnation
            && record.state != MemberState::Alive
            && self.own.state == MemberState::Alive;
        if is_suspected || record.incarnation > self.own.incarnation {
            self.refute(record.incarnation, now);
        }
    }

    fn refute(&mut self, disputed: Incarnation, now: Instant) {
        self.own.incarnation = disputed.next();
        self.schedule_gossip(now);
    }

    fn respond(&mut self, sender: &Member, body: Body, now: Instant) -> Vec<OutgoingMessage> {
        match body {
            Body::Ping(sequence) => {
                vec![self.message_to(sender, Body::Ack(sequence), Attachments::Known)]
            }
            Body::Ack(sequence) => self.handle_ack(sender, sequence, now),
            Body::PingRequest { sequence, target } => {
                let relayed = self.prober.register_relay(sender.address, sequence, now);
                vec![self.message_to_address(target, Body::Ping(relayed), Attachments::Empty)]
            }
            Body::Gossip => self.notify_if_not_alive(sender),
            Body::SyncRequest { after } => vec![self.sync_reply(sender, after.as_ref())],
            Body::SyncReply { next } => self.receive_sync_page(sender.address, next, now),
        }
    }

    /// Notifies an instance that is recorded as suspect or dead, so that it can
    /// refute this.
    fn notify_if_not_alive(&mut self, sender: &Member) -> Vec<OutgoingMessage> {
        let is_not_alive = self.roster.get(&sender.id).is_some_and(|known| {
            known.state != MemberState::Alive && sender.state == MemberState::Alive
        });
        if is_not_alive { vec![self.gossip_to(sender)] } else { Vec::new() }
    }

    fn handle_ack(
        &mut self,
        sender: &Member,
        sequence: Sequence,
        now: Instant,
    ) -> Vec<OutgoingMessage> {
        if let Some(origin) = self.prober.take_relay(sequence) {
            return vec![self.message_to_address(
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

    /// Selects live instances at random, preferring those not suspected.
    fn sample<R>(&self, amount: usize, random: &mut R) -> Vec<Member>
    where
        R: Rng + ?Sized,
    {
        let mut sampled = self.roster.sample(2 * amount, random);
        sampled.sort_by_key(|member| member.state);
        sampled.into_iter().take(amount).cloned().collect()
    }

    fn message_to(&mut self, to: &Member, body: Body, attachments: Attachments) -> OutgoingMessage {
        let mut outgoing = self.message_to_address(to.address, body, attachments);
        // Attached so that the receiver can refute it.
        let known = self.roster.get(&to.id);
        if let Some(not_alive) = known.filter(|known| known.state != MemberState::Alive)
            && !outgoing.message.updates.contains(not_alive)
        {
            outgoing.message.updates.push(not_alive.clone());
        }
        outgoing
    }

    fn message_to_address(
        &mut self,
        to: SocketAddr,
        body: Body,
        attachments: Attachments,
    ) -> OutgoingMessage {
        let updates = match attachments {
            Attachments::Empty => Vec::new(),
            Attachments::Queued => self.updates.take(&self.roster, UPDATE_BYTES),
            Attachments::Known => self.next_known_records(),
        };
        OutgoingMessage { to, message: self.message(body, updates) }
    }

    fn next_known_records(&mut self) -> Vec<Member> {
        let (page, next) = self.roster.page(self.known_cursor.as_ref(), KNOWN_RECORDS_BYTES);
        self.known_cursor = next;
        page
    }

    fn message(&self, body: Body, updates: Vec<Member>) -> Message {
        let digest = self.digest();
        Message { sender: self.own.clone(), body, digest, updates, group_primaries: Vec::new() }
    }
}
