//! Which instance opens connections to an upstream server.
//!
//! Each server has an order of instances that all instances compute alike from
//! the same membership, without talking about it. See
//! `docs/design/02-ownership.md`.

use std::cmp::Reverse;

use masticreel_base::ids::{FailureDomain, InstanceId, ServerId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::Member;

/// How many instances are told apart in the order; the rest are not tried.
pub const OWNER_CANDIDATES: usize = 4;

/// How many instances watch the platform's store for all others.
pub const STORE_WATCHERS: usize = 3;

const STORE_WATCHER_KEY: &str = "store-watcher";

/// Returns the instances that may serve a server, the owner first.
///
/// Instances of the server's failure domain go before all others; within, the
/// rendezvous weight decides, so that a change of membership moves only the
/// servers of the instance that came or went.
pub fn owners<'a, Members>(
    server: &ServerId,
    failure_domain: &FailureDomain,
    members: Members,
) -> Vec<InstanceId>
where
    Members: IntoIterator<Item = &'a Member>,
{
    let rank = |member: &Member| {
        let is_elsewhere = member.failure_domain != *failure_domain;
        (is_elsewhere, Reverse(weight(server.as_str(), &member.id)))
    };
    let mut ranked: Vec<_> = members.into_iter().map(|member| (rank(member), &member.id)).collect();
    ranked.sort_unstable();
    ranked.into_iter().take(OWNER_CANDIDATES).map(|(_, id)| id.clone()).collect()
}

/// Returns the instances that watch the store, in different failure domains
/// as far as there are enough.
pub fn store_watchers<'a, Members>(members: Members) -> Vec<InstanceId>
where
    Members: IntoIterator<Item = &'a Member>,
{
    let mut ranked: Vec<&Member> = members.into_iter().collect();
    ranked.sort_by_cached_key(|member| {
        (Reverse(weight(STORE_WATCHER_KEY, &member.id)), member.id.clone())
    });
    let mut chosen: Vec<&Member> = Vec::new();
    let mut passed_over: Vec<&Member> = Vec::new();
    for member in ranked {
        if chosen.iter().any(|other| other.failure_domain == member.failure_domain) {
            passed_over.push(member);
        } else {
            chosen.push(member);
        }
    }
    chosen.into_iter().chain(passed_over).take(STORE_WATCHERS).map(|m| m.id.clone()).collect()
}

fn weight(key: &str, instance: &InstanceId) -> u64 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}
