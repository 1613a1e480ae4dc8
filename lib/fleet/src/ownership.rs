//! Selects the instance that opens connections to an upstream server.
//!
//! For each server the instances are ranked. All instances compute the same ranks
//! from the same membership, without exchanging messages. See
//! `docs/design/02-ownership.md`.

use std::cmp::Reverse;

use masticreel_base::ids::{FailureDomain, InstanceId, ServerId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::Member;

/// How many instances are ranked as possible owners of a server; the rest are not
/// tried.
pub const OWNER_CANDIDATES: usize = 4;

/// How many instances poll the platform's store often, for all others.
pub const STORE_WATCHERS: usize = 3;

/// Hashed with an instance's name to select the store's watchers.
const STORE_WATCHER_HASH_KEY: &str = "store-watcher";

/// Returns the instances that may own a server, the owner first.
///
/// Instances of the server's failure domain precede all others. Within each of
/// these two sets, rendezvous hashing decides, so that a change of membership
/// moves only servers of the instance that joined or left.
pub fn owners<'a, Members>(
    server: &ServerId,
    failure_domain: &FailureDomain,
    members: Members,
) -> Vec<InstanceId>
where
    Members: IntoIterator<Item = &'a Member>,
{
    let rank = |member: &Member| {
        let is_in_other_domain = member.failure_domain != *failure_domain;
        (is_in_other_domain, Reverse(weight(server.as_str(), &member.id)))
    };
    let mut ranked: Vec<_> = members.into_iter().map(|member| (rank(member), &member.id)).collect();
    ranked.sort_unstable();
    ranked.into_iter().take(OWNER_CANDIDATES).map(|(_, id)| id.clone()).collect()
}

/// Returns the store's watchers, in different failure domains if there are enough.
pub fn store_watchers<'a, Members>(members: Members) -> Vec<InstanceId>
where
    Members: IntoIterator<Item = &'a Member>,
{
    let mut ranked: Vec<&Member> = members.into_iter().collect();
    ranked.sort_by_cached_key(|member| {
        (Reverse(weight(STORE_WATCHER_HASH_KEY, &member.id)), member.id.clone())
    });
    let mut chosen: Vec<&Member> = Vec::new();
    let mut same_domain: Vec<&Member> = Vec::new();
    for member in ranked {
        if chosen.iter().any(|other| other.failure_domain == member.failure_domain) {
            same_domain.push(member);
        } else {
            chosen.push(member);
        }
    }
    chosen.into_iter().chain(same_domain).take(STORE_WATCHERS).map(|m| m.id.clone()).collect()
}

fn weight(key: &str, instance: &InstanceId) -> u64 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}
