//! Contact with instances that are not known yet, or no longer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticreel_base::ids::InstanceId;
use rand::Rng;
use rand::seq::index;

use super::probes::{Target, is_due};
use super::{Attachments, Membership, UPDATE_BYTES};
use crate::member::Member;
use crate::message::{Body, OutgoingMessage};

const CONTACT_INTERVAL: Duration = Duration::from_secs(2);
const CONTACT_INTERVAL_ALONE: Duration = Duration::from_millis(250);
const CONTACTS_ALONE: usize = 3;

/// How long a starting instance waits for an answer from its candidates.
const JOIN_TIMEOUT: Duration = Duration::from_millis(600);
const PAGE_TIMEOUT: Duration = Duration::from_millis(200);
const PAGE_ATTEMPTS: u32 = 5;

/// How far this instance got with fetching the others' accounts.
#[derive(Debug, Default)]
pub(super) struct Join {
    started: Option<Instant>,
    is_joined: bool,
    next_contact: Option<Instant>,
    sync: Option<Sync>,
}

#[derive(Debug)]
struct Sync {
    peer: SocketAddr,
    after: Option<InstanceId>,
    asked: Instant,
    attempts: u32,
}

impl Join {
    /// Returns whether the accounts were fetched, or nobody answered in time.
    pub(super) fn is_joined(&self) -> bool {
        self.is_joined
    }
}

impl Membership {
    /// Pings addresses from which no live instance is known.
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
        if self.candidates.is_empty() || has_waited {
            self.join.is_joined = true;
        }
        let is_alone = self.roster.live().is_empty();
        let interval = if is_alone { CONTACT_INTERVAL_ALONE } else { CONTACT_INTERVAL };
        if !is_due(&mut self.join.next_contact, interval, now) {
            return Vec::new();
        }
        let strangers = self.strangers();
        let amount = if is_alone { CONTACTS_ALONE } else { 1 }.min(strangers.len());
        let chosen = index::sample(random, strangers.len(), amount);
        chosen.into_iter().filter_map(|at| self.contact_address(strangers[at], now)).collect()
    }

    fn strangers(&self) -> Vec<SocketAddr> {
        let dead = self.roster.dead().map(|member| member.address);
        let mut addresses: Vec<SocketAddr> = self.candidates.iter().copied().chain(dead).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| !self.roster.has_live_address(*address));
        addresses
    }

    fn contact_address(&mut self, address: SocketAddr, now: Instant) -> Option<OutgoingMessage> {
        let sequence = self.prober.start(Target::Address(address), now)?;
        let mut outgoing = self.message_at(address, Body::Ping(sequence), Attachments::Empty);
        let dead = self.roster.dead().find(|member| member.address == address);
        outgoing.message.updates.extend(dead.cloned());
        Some(outgoing)
    }

    /// Asks a peer for all accounts, page by page.
    pub(super) fn start_sync(&mut self, peer: SocketAddr, now: Instant) -> Vec<OutgoingMessage> {
        if self.join.sync.is_some() {
            return Vec::new();
        }
        self.ask_page(peer, None, 1, now)
    }

    /// Repeats a request for a page that stayed unanswered.
    pub(super) fn continue_sync(&mut self, now: Instant) -> Vec<OutgoingMessage> {
        let overdue = |sync: &mut Sync| now.saturating_duration_since(sync.asked) >= PAGE_TIMEOUT;
        let Some(sync) = self.join.sync.take_if(overdue) else {
            return Vec::new();
        };
        if sync.attempts >= PAGE_ATTEMPTS {
            return Vec::new();
        }
        self.ask_page(sync.peer, sync.after, sync.attempts + 1, now)
    }

    /// Takes note of a page and asks for the next.
    pub(super) fn sync_page(
        &mut self,
        from: SocketAddr,
        next: Option<InstanceId>,
        now: Instant,
    ) -> Vec<OutgoingMessage> {
        let is_expected = |sync: &mut Sync| sync.peer == from && next > sync.after;
        let is_last = |sync: &mut Sync| sync.peer == from && next.is_none();
        if self.join.sync.take_if(is_last).is_some() {
            self.join.is_joined = true;
            return Vec::new();
        }
        match self.join.sync.take_if(is_expected) {
            Some(sync) => self.ask_page(sync.peer, next, 1, now),
            None => Vec::new(),
        }
    }

    fn ask_page(
        &mut self,
        peer: SocketAddr,
        after: Option<InstanceId>,
        attempts: u32,
        now: Instant,
    ) -> Vec<OutgoingMessage> {
        self.join.sync = Some(Sync { peer, after: after.clone(), asked: now, attempts });
        vec![self.message_at(peer, Body::SyncRequest { after }, Attachments::Recent)]
    }

    /// Returns the accounts that follow a name.
    pub(super) fn sync_reply(
        &mut self,
        to: &Member,
        after: Option<&InstanceId>,
    ) -> OutgoingMessage {
        let (page, next) = self.roster.page(after, UPDATE_BYTES);
        OutgoingMessage { to: to.address, message: self.message(Body::SyncReply { next }, page) }
    }
}
