//! Limits the operations of organisations over the whole fleet.
//!
//! Meant for organisations that ask for several times their limit at many instances at
//! once. Each organisation's quota is allocated by one instance ([`ranking`]) from a token
//! bucket ([`bucket`], [`allocator`]). The instances at which callers' operations arrive
//! request units by datagram and hold them for a short time ([`grants`]). See
//! `docs/design/13-quotas.md`.
//!
//! [`Quotas`] does no I/O: the event loop passes in what the store shows, messages and the
//! time, and sends the messages that it returns.

pub mod allocator;
pub mod bucket;
pub mod grants;
pub mod messages;
pub mod ranking;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::InstanceId;

use crate::moment::Moment;
use crate::peers::{MESSAGE_LIMIT_BYTES, PeerMessage};
use crate::quota::allocator::{Allocator, Decision, Standing};
use crate::quota::bucket::Limit;
use crate::quota::grants::{Grants, Outcome, Shortage, Take, Unit};
use crate::quota::messages::{GrantedUnits, HandedBucket, QuotaWant};
use crate::quota::ranking::Ranking;

/// How many times a handover is sent; the receiver ignores all but the first.
const HANDOVER_SENDS: u8 = 3;
/// The time between them.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(60);
/// The most of a datagram that its parts may fill; the rest is for what surrounds them.
const PARTS_LIMIT_BYTES: usize = MESSAGE_LIMIT_BYTES - 200;

/// A live member that accepts work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub instance: InstanceId,
    /// Distinguishes its process from earlier ones.
    pub incarnation: u64,
    /// Where it receives datagrams.
    pub address: Option<SocketAddr>,
}

/// The limits of one version of the document.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Limits {
    /// The version.
    pub version: u64,
    /// The limits of the organisations that have one.
    pub by_organisation: HashMap<Arc<str>, Limit>,
}

/// Counts of what an instance decided, since the last call of [`Quotas::take_counts`].
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Operations that got a unit.
    pub admitted: u64,
    /// Operations that were refused because there was no unit.
    pub refused_empty: u64,
    /// Operations that were refused because the allocator did not answer.
    pub refused_unanswered: u64,
    /// Units that this instance granted as an allocator.
    pub granted: u64,
    /// Requests, to this instance as an allocator, that were not granted whole.
    pub denied: u64,
    /// Buckets that this instance handed over.
    pub handed_over: u64,
    /// Buckets that were handed over to this instance.
    pub received: u64,
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.admitted += other.admitted;
        self.refused_empty += other.refused_empty;
        self.refused_unanswered += other.refused_unanswered;
        self.granted += other.granted;
        self.denied += other.denied;
        self.handed_over += other.handed_over;
        self.received += other.received;
    }
}

#[derive(Debug)]
struct Handover {
    to: Member,
    buckets: Vec<HandedBucket>,
    sends_left: u8,
    due_at: Moment,
}

/// The quotas of an instance, as an entry and as an allocator.
#[derive(Debug)]
pub struct Quotas<Id> {
    own: InstanceId,
    incarnation: u64,
    ranking: Ranking,
    members: BTreeMap<InstanceId, Member>,
    allocator: Allocator,
    grants: Grants<Id>,
    limits: Limits,
    handovers: Vec<Handover>,
    outcomes: Vec<Outcome<Id>>,
    messages: Vec<(SocketAddr, PeerMessage)>,
    counts: Counts,
}

impl<Id> Quotas<Id>
where
    Id: Copy + PartialEq,
{
    /// Creates the quotas of an instance that has just started.
    pub fn new(own: InstanceId, incarnation: u64) -> Self {
        Self {
            incarnation,
            ranking: Ranking::default(),
            members: BTreeMap::new(),
            allocator: Allocator::new(own.clone()),
            grants: Grants::default(),
            limits: Limits::default(),
            handovers: Vec::new(),
            outcomes: Vec::new(),
            messages: Vec::new(),
            counts: Counts::default(),
            own,
        }
    }

    /// Replaces the limits by those of a newer document.
    pub fn set_limits(&mut self, limits: Limits) {
        if limits.by_organisation != self.limits.by_organisation {
            self.grants.limits_changed();
        }
        self.limits = limits;
    }

    /// Returns the limit of an organisation.
    pub fn limit_of(&self, organisation: &str) -> Option<Limit> {
        self.limits.by_organisation.get(organisation).copied()
    }

    /// Sets the live members that accept work, in the order of their names; buckets of which
    /// another one is the first now are handed over to it.
    pub fn set_members(&mut self, members: Vec<Member>, now: Moment) {
        let names: Vec<&InstanceId> = members.iter().map(|member| &member.instance).collect();
        let is_changed = self.ranking.update(&names, now);
        self.members =
            members.into_iter().map(|member| (member.instance.clone(), member)).collect();
        if is_changed {
            self.handovers.clear();
            self.hand_over(now);
        }
    }

    /// Sets what the right to grant depends on. An instance that is leaving hands its
    /// buckets over.
    pub fn observe(&mut self, standing: Standing, now: Moment) {
        self.allocator.observe(standing, now);
        if standing.is_leaving && !self.allocator.is_empty() {
            self.hand_over(now);
        }
    }

    fn hand_over(&mut self, now: Moment) {
        let mut by_target: BTreeMap<InstanceId, Vec<HandedBucket>> = BTreeMap::new();
        for (target, bucket) in self.allocator.hand_over(&mut self.ranking, now) {
            by_target.entry(target).or_default().push(bucket);
        }
        for (target, buckets) in by_target {
            let Some(to) = self.members.get(&target) else {
                continue;
            };
            self.counts.handed_over += buckets.len() as u64;
            for buckets in in_parts(buckets) {
                let sends_left = HANDOVER_SENDS;
                self.handovers.push(Handover { to: to.clone(), buckets, sends_left, due_at: now });
            }
        }
        self.send_handovers(now);
    }

    fn send_handovers(&mut self, now: Moment) {
        for handover in self.handovers.iter_mut().filter(|handover| now >= handover.due_at) {
            handover.sends_left = handover.sends_left.saturating_sub(1);
            handover.due_at = now + HANDOVER_INTERVAL;
            let message = PeerMessage::QuotaHandover {
                incarnation: handover.to.incarnation,
                buckets: handover.buckets.clone(),
            };
            self.messages.extend(handover.to.address.map(|address| (address, message)));
        }
        self.handovers.retain(|handover| handover.sends_left > 0);
    }

    /// Takes a unit for an operation of an organisation with this limit. If it has to wait,
    /// its outcome is returned later by [`Quotas::take_outcomes`].
    pub fn take(&mut self, organisation: &Arc<str>, limit: Limit, id: Id, now: Moment) -> Take {
        let taken = self.grants.take(organisation, limit, id, now);
        match taken {
            Take::Taken(_) => self.counts.admitted += 1,
            Take::Refused(shortage) => self.count_refused(shortage),
            Take::Waiting => {}
        }
        taken
    }

    fn count_refused(&mut self, shortage: Shortage) {
        match shortage {
            Shortage::Empty(_) => self.counts.refused_empty += 1,
            Shortage::NoAnswer => self.counts.refused_unanswered += 1,
        }
    }

    /// Removes an operation that waits, because its caller has left.
    pub fn cancel(&mut self, id: Id) {
        self.grants.cancel(id);
        self.outcomes.retain(|(waiting, _)| *waiting != id);
    }

    /// Returns the unit of an operation that was refused before it was sent to a server.
    pub fn give_back(&mut self, organisation: &str, unit: Unit, now: Moment) {
        self.grants.give_back(organisation, unit, now);
    }

    /// Does what is due: ends waits, repeats requests and handovers.
    pub fn tick(&mut self, now: Moment) {
        for (id, shortage) in self.grants.tick(now) {
            self.count_refused(shortage);
            self.outcomes.push((id, Err(shortage)));
        }
        self.send_handovers(now);
    }

    /// Sends the requests that are due. Those to this instance itself are answered at once.
    pub fn send_requests(&mut self, now: Moment) {
        let mut by_target: BTreeMap<InstanceId, Vec<QuotaWant>> = BTreeMap::new();
        for want in self.grants.take_requests(now) {
            let Some(target) = self.ranking.first(&want.organisation) else {
                continue;
            };
            if *target == self.own {
                let version = self.limits.version;
                if let Some(granted) = self.answer(version, &want, now) {
                    self.apply(&granted, now);
                }
            } else {
                by_target.entry(target.clone()).or_default().push(want);
            }
        }
        for (target, wants) in by_target {
            let Some(address) = self.members.get(&target).and_then(|member| member.address) else {
                continue;
            };
            for wants in in_parts(wants) {
                let version = self.limits.version;
                self.messages.push((address, PeerMessage::QuotaRequest { version, wants }));
            }
        }
    }

    /// Answers a request of another instance.
    pub fn requested(&mut self, from: SocketAddr, version: u64, wants: &[QuotaWant], now: Moment) {
        let answers = wants.iter().filter_map(|want| self.answer(version, want, now)).collect();
        for granted in in_parts(answers) {
            let version = self.limits.version;
            self.messages.push((from, PeerMessage::QuotaGrant { version, granted }));
        }
    }

    /// Applies the answer of an allocator.
    pub fn granted(&mut self, granted: &[GrantedUnits], now: Moment) {
        for granted in granted {
            self.apply(granted, now);
        }
    }

    /// Takes buckets over that were handed to this instance; none that were meant for
    /// another incarnation.
    pub fn handed(&mut self, incarnation: u64, buckets: Vec<HandedBucket>, now: Moment) {
        if incarnation != self.incarnation {
            return;
        }
        self.counts.received += buckets.len() as u64;
        self.allocator.receive(buckets, now);
    }

    /// Returns how many buckets this instance has, and for how many organisations it has had
    /// operations lately.
    pub fn sizes(&self) -> (usize, usize) {
        (self.allocator.len(), self.grants.len())
    }

    /// Returns the ends of waits since the last call.
    pub fn take_outcomes(&mut self) -> Vec<Outcome<Id>> {
        std::mem::take(&mut self.outcomes)
    }

    /// Returns the messages to send since the last call, with the addresses of the receivers.
    pub fn take_messages(&mut self) -> Vec<(SocketAddr, PeerMessage)> {
        std::mem::take(&mut self.messages)
    }

    /// Returns the counts since the last call.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Decides on a request, by the newer one of the limits that its sender and this instance
    /// know.
    fn answer(&mut self, version: u64, want: &QuotaWant, now: Moment) -> Option<GrantedUnits> {
        let sent = Limit { operations_per_s: want.operations_per_s, burst: want.burst };
        let known = self.limit_of(&want.organisation);
        let (version, limit) = match known {
            Some(known) if self.limits.version >= version => (self.limits.version, known),
            // The sender's document is older and this instance's has no such limit. The
            // sender learns of it soon.
            None if self.limits.version > version => return None,
            _ => (version, sent),
        };
        let units = (want.needed, want.spare);
        let decision = self.allocator.request(
            &mut self.ranking,
            &want.organisation,
            units,
            (version, limit),
            now,
        );
        let (units, retry_after) = match decision {
            Decision::Granted(units, retry_after) => (units, retry_after),
            Decision::NotYet(retry_after) => (0, Some(retry_after)),
            Decision::NotAllocator => return None,
        };
        self.counts.granted += u64::from(units);
        self.counts.denied += u64::from(retry_after.is_some());
        Some(GrantedUnits {
            organisation: Arc::clone(&want.organisation),
            request: want.request,
            units,
            retry_after_ms: retry_after
                .map(|retry| u64::try_from(retry.as_millis()).unwrap_or(u64::MAX).min(60_000)),
        })
    }

    fn apply(&mut self, granted: &GrantedUnits, now: Moment) {
        for (id, outcome) in self.grants.apply(granted, now) {
            match outcome {
                Ok(_) => self.counts.admitted += 1,
                Err(shortage) => self.count_refused(shortage),
            }
            self.outcomes.push((id, outcome));
        }
    }
}

/// Divides parts of messages so that each message fits into a datagram. Parts that fit into
/// none, with names of over a thousand bytes, are left out, and their operations are refused.
fn in_parts<Part>(parts: Vec<Part>) -> Vec<Vec<Part>>
where
    Part: serde::Serialize,
{
    let mut messages: Vec<Vec<Part>> = Vec::new();
    let mut left = 0;
    for part in parts {
        let length = serde_json::to_vec(&part).map_or(usize::MAX, |bytes| bytes.len() + 1);
        if length > PARTS_LIMIT_BYTES {
            continue;
        }
        if length > left || messages.is_empty() {
            messages.push(Vec::new());
            left = PARTS_LIMIT_BYTES;
        }
        left -= length;
        if let Some(message) = messages.last_mut() {
            message.push(part);
        }
    }
    messages
}
