//! The records that instances keep in the platform's store, and the calls with which
//! they read and write them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use masticreel_base::ids::{FailureDomain, GroupId, InstanceId, ServerId, Term};
use masticreel_base::position::TermPosition;
use serde::{Deserialize, Serialize};

use crate::store_era::era_of;

/// The prefix of the keys that belong to masticreel.
pub const KEY_PREFIX: &str = "masticreel/";
/// The key of the coordinator role; its value names the active coordinator.
pub const COORDINATOR_KEY: &str = "masticreel/duty";

/// Returns the key of a group's record.
pub fn group_key(group: &GroupId) -> String {
    format!("masticreel/group/{group}")
}

/// Returns the key of an instance's membership, without which it must not use
/// primaries.
pub fn member_key(instance: &InstanceId) -> String {
    format!("masticreel/member/{instance}")
}

/// Returns the key that exists while an instance renews its store lease.
pub fn live_key(instance: &InstanceId) -> String {
    format!("masticreel/live/{instance}")
}

/// Returns the key of an instance's suspicion about a group's primary.
pub fn suspicion_key(group: &GroupId, instance: &InstanceId) -> String {
    format!("masticreel/doubt/{group}/{instance}")
}

/// A parsed key that begins with [`KEY_PREFIX`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreKey {
    /// The coordinator role.
    Coordinator,
    /// A group's record.
    Group(GroupId),
    /// An instance's membership.
    Member(InstanceId),
    /// An instance's live key.
    Live(InstanceId),
    /// An instance's suspicion about a group's primary.
    Doubt(GroupId, InstanceId),
}

impl StoreKey {
    /// Parses a key; returns none for a key of another kind, as a newer version of
    /// masticreel may write it.
    pub fn parse(key: &str) -> Option<Self> {
        let rest = key.strip_prefix(KEY_PREFIX)?;
        if rest == "duty" {
            return Some(Self::Coordinator);
        }
        let (kind, name) = rest.split_once('/')?;
        match kind {
            "group" => Some(Self::Group(name.into())),
            "member" => Some(Self::Member(name.into())),
            "live" => Some(Self::Live(name.into())),
            "doubt" => {
                let (group, instance) = name.split_once('/')?;
                Some(Self::Doubt(group.into(), instance.into()))
            }
            _ => None,
        }
    }
}

/// Whether a group's primary may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The primary may be used.
    #[display("serving")]
    Serving,
    /// The primary is being replaced; no instance may use one.
    #[display("changing")]
    Changing,
}

/// How many of the latest terms a group's record keeps the beginnings of.
const TERM_STARTS_LIMIT: usize = 8;

/// The beginning of a primary's term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStart {
    /// The term.
    pub term: Term,
    /// The end of the primary's log when the term began. Commits of earlier terms above it
    /// were discarded.
    pub log_end: TermPosition,
}

/// The stored record of a group's primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Increases whenever the phase or the primary changes.
    pub epoch: u64,
    /// Whether the primary may be used.
    pub phase: Phase,
    /// The primary; while it is being replaced, the old one.
    pub primary: ServerId,
    /// The term of the primary, zero if it is not known yet.
    pub term: Term,
    /// The server that is to become the primary, once it was chosen.
    pub candidate: Option<ServerId>,
    /// The beginnings of the latest terms, as far as they are known.
    #[serde(default)]
    pub term_starts: Vec<TermStart>,
}

impl GroupRecord {
    /// Returns the part of a log that is also part of the group's log, by its end: a server
    /// that has not followed a later primary may have commits that were discarded when the
    /// term of that primary began.
    pub fn surviving_part(&self, log_end: TermPosition) -> TermPosition {
        let later = self.term_starts.iter().filter(|start| start.term > log_end.term);
        let next = later.min_by_key(|start| start.term);
        next.map_or(log_end, |next| log_end.min(next.log_end))
    }

    /// Returns whether a log that ends at this position has commits that were discarded.
    pub fn has_discarded_commits(&self, log_end: TermPosition) -> bool {
        self.surviving_part(log_end) != log_end
    }

    /// Adds the beginning of a term, unless it is known.
    pub fn add_term_start(&mut self, start: TermStart) {
        if self.term_starts.iter().all(|known| known.term != start.term) {
            self.term_starts.push(start);
            let excess = self.term_starts.len().saturating_sub(TERM_STARTS_LIMIT);
            self.term_starts.drain(..excess);
        }
    }
}

/// The resources of an instance's machine; zero where the platform gives none.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Processor time in thousandths of a core.
    pub processor_millicores: u32,
    /// Bandwidth of the network link in kbit/s.
    pub link_kbps: u32,
}

/// Where an instance runs and the resources of its machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The address at which other instances reach it.
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    pub domain: FailureDomain,
    /// The resources of its machine.
    pub capacity: Capacity,
}

/// The stored membership of an instance, with the replacements for which it has
/// confirmed that its work at the old primary has ended.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Distinguishes restarts of an instance under one name.
    pub incarnation: u64,
    /// The newest epoch per group in which the instance has ended all work at the
    /// old primary.
    pub stopped: Vec<(GroupId, u64)>,
    /// The address at which other instances reach it.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// The failure domain in which it runs.
    #[serde(default)]
    pub domain: Option<FailureDomain>,
    /// The resources of its machine.
    #[serde(default)]
    pub capacity: Capacity,
    /// Whether it is shutting down, so that other instances take over its relayed
    /// sessions and its store cache before its process ends.
    #[serde(default)]
    pub is_leaving: bool,
    /// Whether its version can allocate quotas. Instances of earlier versions would not answer
    /// requests, and their organisations would be refused until all are of this version.
    #[serde(default)]
    pub allocates_quotas: bool,
}

/// Why an instance suspects a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum SuspicionKind {
    /// The primary refuses this instance's connections, because its process is not running or
    /// a fault of the network resets them.
    #[display("refused")]
    Refused,
    /// Connections to the primary are not established, but not refused either.
    #[display("silent")]
    Silent,
    /// The primary answers as a replica.
    #[display("deposed")]
    Deposed,
    /// The primary reports its role but closes every connection on which work is sent.
    #[display("failing")]
    Failing,
}

/// The stored record of an instance's suspicion about a primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoubtRecord {
    /// The suspected primary.
    pub primary: ServerId,
    /// The epoch of the group record that named it.
    pub epoch: u64,
    /// The reason for the suspicion.
    pub kind: SuspicionKind,
}

/// An item of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the store at the item's last change.
    pub revision: u64,
    /// The revision of the store at the item's creation.
    pub created: u64,
}

/// A change of an item, as a watch reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreEvent {
    /// An item was written; it is given with its new value.
    Written(Item),
    /// A key was removed.
    Removed {
        /// The key.
        key: Arc<str>,
        /// The revision of the store at the removal.
        revision: u64,
    },
}

/// What a transaction writes under a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The value, none to remove the key.
    pub value: Option<Vec<u8>>,
    /// The store lease whose end removes the key, if any.
    pub lease: Option<u64>,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Lists one page of the items.
    List {
        /// The last key of the previous page, none for the first page.
        after: Option<Arc<str>>,
        /// Whether an answer that is seconds old is acceptable. Instances always
        /// request a current one.
        may_be_stale: bool,
    },
    /// Waits for changes of any item.
    Watch {
        /// The revision after which changes are requested.
        after: u64,
        /// How long the store may wait for a change before it answers.
        wait: Duration,
    },
    /// Writes items in one transaction, all or none.
    Commit {
        /// Keys with the revisions that they must have, zero for keys that must not
        /// exist.
        expected: Vec<(String, u64)>,
        /// The writes.
        writes: Vec<Write>,
    },
    /// Requests a store lease.
    Grant {
        /// How long the lease lasts without renewal.
        lifetime: Duration,
    },
    /// Renews a store lease.
    Renew {
        /// The id of the lease.
        lease: u64,
    },
}

impl StoreCall {
    /// Returns whether all revisions that the call names are of this era of the store. In
    /// another one they stand for other changes.
    pub fn is_of_era(&self, era: u64) -> bool {
        let is_current = |revision: u64| revision == 0 || era_of(revision) == era;
        match self {
            StoreCall::Watch { after, .. } => is_current(*after),
            StoreCall::Commit { expected, .. } => {
                expected.iter().all(|(_, revision)| is_current(*revision))
            }
            StoreCall::List { .. } | StoreCall::Grant { .. } | StoreCall::Renew { .. } => true,
        }
    }

    /// Returns a short name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            StoreCall::List { .. } => "list",
            StoreCall::Watch { .. } => "watch",
            StoreCall::Commit { .. } => "commit",
            StoreCall::Grant { .. } => "grant",
            StoreCall::Renew { .. } => "renew",
        }
    }
}

/// An answer with the era of the store in which it was given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreReply {
    /// The era, which rises whenever the store comes back from an older copy.
    pub era: u64,
    /// The answer.
    pub answer: StoreAnswer,
}

impl StoreAnswer {
    /// Returns the revision of the store, or of a transaction, that the answer states.
    pub fn revision(&self) -> Option<u64> {
        match self {
            StoreAnswer::Page { revision, .. }
            | StoreAnswer::Events { revision, .. }
            | StoreAnswer::Committed { revision } => Some(*revision),
            _ => None,
        }
    }
}

/// The store's answer to a call.
///
/// Revisions are numbered by era, see [`crate::store_era`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreAnswer {
    /// A page of items.
    Page {
        /// The items.
        items: Vec<Item>,
        /// Whether more pages follow.
        is_truncated: bool,
        /// The store's revision.
        revision: u64,
        /// How old the answer's contents were when the call arrived: zero from the
        /// store itself, more from the store cache of another instance. The time for
        /// which the call then waited for changes is not included.
        age: Duration,
    },
    /// Changes, in order.
    Events {
        /// The changes.
        events: Vec<StoreEvent>,
        /// The revision after which to continue the watch.
        revision: u64,
        /// How old the answer's contents were when the call arrived: zero from the
        /// store itself, more from the store cache of another instance. The time for
        /// which the call then waited for changes is not included.
        age: Duration,
    },
    /// The store no longer has all changes after the revision that a watch named.
    HistoryGone,
    /// The transaction took effect.
    Committed {
        /// The revision of the transaction.
        revision: u64,
    },
    /// An item did not have the expected revision; nothing was done.
    Conflict,
    /// A lease was granted or renewed.
    Lease {
        /// The id of the lease; zero in answers to renewals that don't name it.
        lease: u64,
        /// How long the lease lasts.
        lifetime: Duration,
    },
    /// The lease has expired.
    LeaseGone,
    /// The store, or the instance through which it was called, could not serve the
    /// call, which may be retried later. Nothing was done.
    Unavailable,
    /// The store rejects the call.
    Rejected,
    /// The instance that forwarded the call got no answer from the store; a commit may
    /// have taken effect, or may still do so.
    Lost,
}
