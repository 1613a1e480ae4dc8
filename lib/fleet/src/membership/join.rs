//! Contacts instances that are not known yet or were declared dead.
//!
//! An instance pings addresses from its candidates and of dead members. When
//! one responds, its member records are fetched page by page. The instance has
//! joined when the first such fetch is complete, when it has no candidates, or
//! after a timeout.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticreel_base::ids::InstanceId;
use rand::Rng;
use rand::seq::index;

use super::probes::{Target, is_due};
use super::{Attachments, Membership, UPDATE_BYTES};
use crate::member::Member;
use crate::message::{Body, OutgoingMessage};

const CANDIDATE_PING_INTERVAL: Duration = Duration::from_secs(2);
const CANDIDATE_PING_INTERVAL_ALONE: Duration = Duration::from_millis(250);
const CANDIDATE_PINGS_ALONE: usize = 3;

/// After this time joining is over, even if candidates responded and their member
/// records are still being fetched.
const JOIN_TIMEOUT: Duration = Duration::from_millis(600);
const PAGE_TIMEOUT: Duration = Duration::from_millis(200);
const PAGE_ATTEMPTS: u32 = 5;

/// Progress of pinging candidates and fetching the others' member records.
#[derive(Debug, Default)]
pub(super) struct Join {
    started: Option<Instant>,
    has_finished_joining: bool,
    next_candidate_ping: Option<Instant>,
    sync: Option<Sync>,
}

#[derive(Debug)]
struct Sync {
    peer: SocketAddr,
    after: Option<InstanceId>,
    requested_at: Instant,
    attempts: u32,
}

impl Join {
    /// Returns whether joining is over, as [`Membership::has_finished_joining`].
    pub(super) fn has_finished_joining(&self) -> bool {
        self.has_finished_joining
    }
}

impl Membership {
    /// Pings candidate and dead addresses at which no live instance is known.
    pub(super) fn ping_candidates<R>(
        &mut self,
        now: Instant,
        random: &mut R,
    ) -> Vec<OutgoingMessage>
    where
        R: Rng + ?Sized,
    {
        let started = *self.join.started.get_or_insert(now);
        let has_waited = now.saturating_duration_since(started) >= JOIN_TIMEOUT;
        if self.candidate_addresses.is_empty() || has_waited {
            self.join.has_finished_joining = true;
        }
        let is_alone = self.roster.live().is_empty();
        let interval =
            if is_alone { CANDIDATE_PING_INTERVAL_ALONE } else { CANDIDATE_PING_INTERVAL };
        if !is_due(&mut self.join.next_candidate_ping, interval, now) {
            return Vec::new();
        }
        let unknown_addresses = self.unknown_addresses();
        let amount = if is_alone { CANDIDATE_PINGS_ALONE } else { 1 }.min(unknown_addresses.len());
        let chosen = index::sample(random, unknown_addresses.len(), amount);
        chosen.into_iter().filter_map(|at| self.ping_address(unknown_addresses[at], now)).collect()
    }

    fn unknown_addresses(&self) -> Vec<SocketAddr> {
        let dead = self.roster.dead().map(|member| member.address);
        let mut addresses: Vec<SocketAddr> =
            self.candidate_addresses.iter().copied().chain(dead).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| !self.roster.has_live_address(*address));
        addresses
    }

    fn ping_address(&mut self, address: SocketAddr, now: Instant) -> Option<OutgoingMessage> {
        let sequence = self.prober.start(Target::Address(address), now)?;
        let mut outgoing =
            self.message_to_address(address, Body::Ping(sequence), Attachments::Empty);
        let dead = self.roster.dead().find(|member| member.address == address);
        outgoing.message.updates.extend(dead.cloned());
        Some(outgoing)
    }

    /// Requests all member records from a peer, page by page.
    pub(super) fn start_sync(&mut self, peer: SocketAddr, now: Instant) -> Vec<OutgoingMessage> {
        if self.join.sync.is_some() {
            return Vec::new();
        }
        self.request_page(peer, None, 1, now)
    }

    /// Retries an unanswered request for a page, up to a limit of attempts.
    pub(super) fn continue_sync(&mut self, now: Instant) -> Vec<OutgoingMessage> {
        let is_overdue =
            |sync: &mut Sync| now.saturating_duration_since(sync.requested_at) >= PAGE_TIMEOUT;
        let Some(sync) = self.join.sync.take_if(is_overdue) else {
            return Vec::new();
        };
        if sync.attempts >= PAGE_ATTEMPTS {
            return Vec::new();
        }
        self.request_page(sync.peer, sync.after, sync.attempts + 1, now)
    }

    /// Records that a page arrived and requests the next one.
    pub(super) fn receive_sync_page(
        &mut self,
        from: SocketAddr,
        next: Option<InstanceId>,
        now: Instant,
    ) -> Vec<OutgoingMessage> {
        let is_expected = |sync: &mut Sync| sync.peer == from && next > sync.after;
        let is_last = |sync: &mut Sync| sync.peer == from && next.is_none();
        if self.join.sync.take_if(is_last).is_some() {
            self.join.has_finished_joining = true;
            return Vec::new();
        }
        match self.join.sync.take_if(is_expected) {
            Some(sync) => self.request_page(sync.peer, next, 1, now),
            None => Vec::new(),
        }
    }

    fn request_page(
        &mut self,
        peer: SocketAddr,
        after: Option<InstanceId>,
        attempts: u32,
        now: Instant,
    ) -> Vec<OutgoingMessage> {
        self.join.sync = Some(Sync { peer, after: after.clone(), requested_at: now, attempts });
        vec![self.message_to_address(peer, Body::SyncRequest { after }, Attachments::Queued)]
    }

    /// Returns the page of member records that follow a name.
    pub(super) fn sync_reply(
        &mut self,
        to: &Member,
        after: Option<&InstanceId>,
    ) -> OutgoingMessage {
        let (page, next) = self.roster.page(after, UPDATE_BYTES);
        OutgoingMessage { to: to.address, message: self.message(Body::SyncReply { next }, page) }
    }
}
