//! Which instance allocates an organisation's quota: the first of the live members by
//! rendezvous hash, so that a change of members moves few organisations.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::InstanceId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::moment::Moment;

/// How long an earlier list of members is kept. A rare organisation's bucket is taken to
/// have filled since its allocator became the first, as far as the lists show.
const LIST_RETENTION: Duration = Duration::from_secs(60);
/// The most lists that are kept; with fewer, members that come and go empty the buckets of
/// rare organisations.
const MAX_LISTS: usize = 8;
/// The most organisations whose first member is kept.
const MAX_KNOWN_FIRSTS: usize = 16_384;

/// The members that accept work, as this instance's view has shown them.
#[derive(Debug, Default)]
pub struct Ranking {
    /// The lists with the moments since which they have been known, the newest last.
    lists: VecDeque<(Moment, Vec<InstanceId>)>,
    /// The first members of the newest list.
    firsts: HashMap<Arc<str>, InstanceId>,
}

impl Ranking {
    /// Replaces the members, given in the order of their names; returns whether they changed.
    pub fn update(&mut self, members: &[&InstanceId], now: Moment) -> bool {
        let is_same =
            self.lists.back().is_some_and(|(_, known)| known.iter().eq(members.iter().copied()));
        if is_same {
            return false;
        }
        self.firsts.clear();
        self.lists.push_back((now, members.iter().copied().cloned().collect()));
        // A list ends when the next one begins.
        while self.lists.len() > MAX_LISTS
            || self.lists.get(1).is_some_and(|(since, _)| now.since(*since) > LIST_RETENTION)
        {
            self.lists.pop_front();
        }
        true
    }

    /// Returns the member that allocates an organisation's quota.
    pub fn first(&mut self, organisation: &Arc<str>) -> Option<&InstanceId> {
        if !self.firsts.contains_key(organisation) {
            let first = first_of(&self.lists.back()?.1, organisation, None)?.clone();
            if self.firsts.len() >= MAX_KNOWN_FIRSTS {
                self.firsts.clear();
            }
            self.firsts.insert(Arc::clone(organisation), first);
        }
        self.firsts.get(organisation)
    }

    /// Returns the member that would be the first if one of them were not a member.
    pub fn first_without(&self, organisation: &str, excluded: &InstanceId) -> Option<&InstanceId> {
        first_of(&self.lists.back()?.1, organisation, Some(excluded))
    }

    /// Returns the earliest moment since which a member is known to have been the first
    /// without interruption; none if it isn't the first.
    pub fn first_since(&self, organisation: &str, member: &InstanceId) -> Option<Moment> {
        let lists = self.lists.iter().rev();
        let first_in =
            lists.take_while(|(_, list)| first_of(list, organisation, None) == Some(member));
        first_in.last().map(|(since, _)| *since)
    }
}

fn first_of<'a>(
    members: &'a [InstanceId],
    organisation: &str,
    excluded: Option<&InstanceId>,
) -> Option<&'a InstanceId> {
    let seed = xxh3_64(organisation.as_bytes());
    let eligible = members.iter().filter(|member| Some(*member) != excluded);
    eligible.min_by_key(|member| (xxh3_64_with_seed(member.as_str().as_bytes(), seed), *member))
}
