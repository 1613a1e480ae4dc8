//! The table of known instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::{Duration, Instant};

use masticreel_base::ids::{InstanceId, Revision};
use rand::Rng;
use rand::seq::index;
use xxhash_rust::xxh3::xxh3_64;

use crate::member::{Change, Member, MemberState};
use crate::message::{MAX_NAME_BYTES, member_bytes};

/// How long an instance that is gone stays a candidate for contact.
///
/// Longer than the longest cut between regions that has to heal by itself.
pub const INACTIVE_RETENTION: Duration = Duration::from_secs(2 * 60 * 60);

/// Most accounts kept, so that a faulty peer can't exhaust the memory.
const MAX_MEMBERS: usize = 4_096;

/// Accounts of all instances but the holder's own.
#[derive(Debug, Default)]
pub struct Roster {
    members: BTreeMap<InstanceId, Member>,
    gone_since: BTreeMap<InstanceId, Instant>,
    live: Vec<InstanceId>,
    routing_version: u64,
    digest: u64,
    newest_revision: Revision,
}

impl Roster {
    /// Returns an instance's account.
    pub fn get(&self, id: &InstanceId) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns all accounts in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the instances that may answer.
    pub fn live(&self) -> &[InstanceId] {
        &self.live
    }

    /// Returns a number that changes whenever routing is affected.
    pub fn routing_version(&self) -> u64 {
        self.routing_version
    }

    /// Returns a number that is alike where the same instances are routed to.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the newest document revision that any instance has announced.
    pub fn newest_revision(&self) -> Revision {
        self.newest_revision
    }

    /// Returns whether an account of this address is held.
    pub fn has_live_address(&self, address: SocketAddr) -> bool {
        self.members.values().any(|member| member.address == address && member.is_live())
    }

    /// Merges an account and returns what it changed.
    ///
    /// Accounts of unknown instances that are gone are not taken in, so that
    /// they fade from the fleet once their retention is over.
    pub fn merge(&mut self, account: &Member, now: Instant) -> Change {
        let was_live = self.members.get(&account.id).map(Member::is_live);
        let old_digest = self.members.get(&account.id).map_or(0, Member::digest);
        let change = match self.members.get_mut(&account.id) {
            Some(member) => member.merge(account),
            None => self.insert(account),
        };
        if change == Change::Nothing {
            return change;
        }
        if account.is_live() {
            self.newest_revision = self.newest_revision.max(account.revision);
        }
        if change == Change::Routing {
            self.routing_version += 1;
            let new_digest = self.members.get(&account.id).map_or(0, Member::digest);
            self.digest ^= old_digest ^ new_digest;
        }
        let is_live = self.members.get(&account.id).map(Member::is_live);
        if is_live != was_live {
            self.note_liveness_change(&account.id, now);
        }
        change
    }

    fn insert(&mut self, account: &Member) -> Change {
        let named = account.id.as_str().len().max(account.failure_domain.as_str().len());
        if !account.is_live() || named > MAX_NAME_BYTES || self.members.len() >= MAX_MEMBERS {
            return Change::Nothing;
        }
        self.members.insert(account.id.clone(), account.clone());
        Change::Routing
    }

    fn note_liveness_change(&mut self, id: &InstanceId, now: Instant) {
        if self.members[id].is_live() {
            self.gone_since.remove(id);
            self.live.push(id.clone());
        } else {
            self.gone_since.entry(id.clone()).or_insert(now);
            self.live.retain(|other| other != id);
        }
    }

    /// Changes the state of an instance by the holder's own judgement.
    ///
    /// Returns the new account if the judgement had an effect.
    pub fn set_state(
        &mut self,
        id: &InstanceId,
        state: MemberState,
        now: Instant,
    ) -> Option<Member> {
        let mut account = self.members.get(id)?.clone();
        account.state = state;
        (self.merge(&account, now) == Change::Routing).then_some(account)
    }

    /// Forgets instances that have been gone for the retention time.
    pub fn remove_expired(&mut self, now: Instant) {
        let expired: Vec<InstanceId> = self
            .gone_since
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= INACTIVE_RETENTION)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.gone_since.remove(&id);
            self.members.remove(&id);
        }
    }

    /// Returns instances that are dead but may come back.
    pub fn dead(&self) -> impl Iterator<Item = &Member> {
        self.gone_since
            .keys()
            .filter_map(|id| self.members.get(id))
            .filter(|member| member.state == MemberState::Dead)
    }

    /// Draws different live instances at random.
    pub fn sample<R>(&self, amount: usize, random: &mut R) -> Vec<&Member>
    where
        R: Rng + ?Sized,
    {
        let amount = amount.min(self.live.len());
        index::sample(random, self.live.len(), amount)
            .into_iter()
            .filter_map(|position| self.members.get(&self.live[position]))
            .collect()
    }

    /// Returns the instances that follow a name on the ring of hashed names.
    ///
    /// Those on the way that don't answer are included but don't count towards
    /// the amount, so that those behind them stay watched.
    pub fn successors<Answers>(
        &self,
        of: &InstanceId,
        amount: usize,
        answers: Answers,
    ) -> Vec<InstanceId>
    where
        Answers: Fn(&Member) -> bool,
    {
        let origin = ring_position(of);
        let mut distances: Vec<(u64, &InstanceId)> =
            self.live.iter().map(|id| (ring_position(id).wrapping_sub(origin), id)).collect();
        distances.sort_unstable();
        let mut successors = Vec::new();
        let mut answering = 0;
        for (_, id) in distances {
            if answering == amount {
                break;
            }
            answering += usize::from(answers(&self.members[id]));
            successors.push(id.clone());
        }
        successors
    }

    /// Returns accounts that follow a name, as many as fit into the bytes.
    ///
    /// The second value is the name to continue after, none at the end.
    pub fn page(
        &self,
        after: Option<&InstanceId>,
        mut budget_bytes: usize,
    ) -> (Vec<Member>, Option<InstanceId>) {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut page: Vec<Member> = Vec::new();
        for (_, member) in self.members.range::<InstanceId, _>((start, Bound::Unbounded)) {
            let bytes = member_bytes(member);
            if bytes > budget_bytes {
                let next = page.last().map(|last| last.id.clone());
                return (page, next);
            }
            budget_bytes -= bytes;
            page.push(member.clone());
        }
        (page, None)
    }
}

fn ring_position(id: &InstanceId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}
