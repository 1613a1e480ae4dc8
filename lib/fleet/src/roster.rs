//! The member records that one instance keeps about all others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::{Duration, Instant};

use masticreel_base::ids::{InstanceId, Revision};
use rand::Rng;
use rand::seq::index;
use xxhash_rust::xxh3::xxh3_64;

use crate::member::{Change, Member, MemberState};
use crate::message::{MAX_NAME_BYTES, max_member_bytes};

/// How long records of dead and left instances are kept. Until then, dead
/// instances are pinged.
///
/// Longer than the longest network partition between regions after which the
/// fleet must merge without intervention.
pub const INACTIVE_RETENTION: Duration = Duration::from_secs(2 * 60 * 60);

/// Bounds the memory that a faulty peer can use.
const MAX_MEMBERS: usize = 4_096;

/// Member records of all known instances except this one.
#[derive(Debug, Default)]
pub struct Roster {
    members: BTreeMap<InstanceId, Member>,
    inactive_since: BTreeMap<InstanceId, Instant>,
    live: Vec<InstanceId>,
    routing_version: u64,
    digest: u64,
    newest_revision: Revision,
}

impl Roster {
    /// Returns an instance's member record.
    pub fn get(&self, id: &InstanceId) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns all member records, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the instances that are alive or suspected.
    pub fn live(&self) -> &[InstanceId] {
        &self.live
    }

    /// Returns a number that increases with each change that affects routing.
    pub fn routing_version(&self) -> u64 {
        self.routing_version
    }

    /// Returns a digest of the live members' records as far as they affect
    /// routing, without this instance's own record.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the newest document revision that any instance has announced.
    pub fn newest_revision(&self) -> Revision {
        self.newest_revision
    }

    /// Returns whether a live instance has this address.
    pub fn has_live_address(&self, address: SocketAddr) -> bool {
        self.members.values().any(|member| member.address == address && member.is_live())
    }

    /// Merges a member record and returns what it changed.
    ///
    /// Records of unknown members that are dead or have left are ignored, so
    /// that they disappear from the fleet once their retention is over.
    pub fn merge(&mut self, record: &Member, now: Instant) -> Change {
        let was_live = self.members.get(&record.id).map(Member::is_live);
        let old_digest = self.members.get(&record.id).map_or(0, Member::digest);
        let change = match self.members.get_mut(&record.id) {
            Some(member) => member.merge(record),
            None => self.insert(record),
        };
        if change == Change::Nothing {
            return change;
        }
        if record.is_live() {
            self.newest_revision = self.newest_revision.max(record.revision);
        }
        if change == Change::Routing {
            self.routing_version += 1;
            let new_digest = self.members.get(&record.id).map_or(0, Member::digest);
            self.digest ^= old_digest ^ new_digest;
        }
        let is_live = self.members.get(&record.id).map(Member::is_live);
        if is_live != was_live {
            self.update_liveness(&record.id, now);
        }
        change
    }

    fn insert(&mut self, record: &Member) -> Change {
        let longest_name = record.id.as_str().len().max(record.failure_domain.as_str().len());
        if !record.is_live() || longest_name > MAX_NAME_BYTES || self.members.len() >= MAX_MEMBERS {
            return Change::Nothing;
        }
        self.members.insert(record.id.clone(), record.clone());
        Change::Routing
    }

    fn update_liveness(&mut self, id: &InstanceId, now: Instant) {
        if self.members[id].is_live() {
            self.inactive_since.remove(id);
            self.live.push(id.clone());
        } else {
            self.inactive_since.entry(id.clone()).or_insert(now);
            self.live.retain(|other| other != id);
        }
    }

    /// Raises an instance's state, as observed by this instance.
    ///
    /// A lower state than the recorded one has no effect. Returns the new member
    /// record if it changed.
    pub fn raise_state(
        &mut self,
        id: &InstanceId,
        state: MemberState,
        now: Instant,
    ) -> Option<Member> {
        let mut record = self.members.get(id)?.clone();
        record.state = state;
        (self.merge(&record, now) == Change::Routing).then_some(record)
    }

    /// Removes instances that have been dead or left for [`INACTIVE_RETENTION`].
    pub fn remove_expired(&mut self, now: Instant) {
        let expired: Vec<InstanceId> = self
            .inactive_since
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= INACTIVE_RETENTION)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.inactive_since.remove(&id);
            self.members.remove(&id);
        }
    }

    /// Returns the dead instances whose records are still kept.
    pub fn dead(&self) -> impl Iterator<Item = &Member> {
        self.inactive_since
            .keys()
            .filter_map(|id| self.members.get(id))
            .filter(|member| member.state == MemberState::Dead)
    }

    /// Selects distinct live instances at random.
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
    /// Instances for which `is_responsive` is false are included but don't count
    /// towards the amount, so that those behind them are still probed.
    pub fn successors<Predicate>(
        &self,
        of: &InstanceId,
        amount: usize,
        is_responsive: Predicate,
    ) -> Vec<InstanceId>
    where
        Predicate: Fn(&Member) -> bool,
    {
        let origin = ring_position(of);
        let mut distances: Vec<(u64, &InstanceId)> =
            self.live.iter().map(|id| (ring_position(id).wrapping_sub(origin), id)).collect();
        distances.sort_unstable();
        let mut successors = Vec::new();
        let mut responsive = 0;
        for (_, id) in distances {
            if responsive == amount {
                break;
            }
            responsive += usize::from(is_responsive(&self.members[id]));
            successors.push(id.clone());
        }
        successors
    }

    /// Returns the member records that follow a name, as many as fit into the
    /// bytes.
    ///
    /// The second value is the name to continue after, or `None` at the end.
    pub fn page(
        &self,
        after: Option<&InstanceId>,
        mut budget_bytes: usize,
    ) -> (Vec<Member>, Option<InstanceId>) {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut page: Vec<Member> = Vec::new();
        for (_, member) in self.members.range::<InstanceId, _>((start, Bound::Unbounded)) {
            let bytes = max_member_bytes(member);
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
