//! What instances keep in the platform's store, and the calls that they make.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use masticreel_base::ids::{FailureDomain, GroupId, InstanceId, ServerId, Term};
use serde::{Deserialize, Serialize};

/// The prefix of all keys of the product.
pub const OWN_PREFIX: &str = "masticreel/";
/// The key of the instance that replaces primaries.
pub const DUTY_KEY: &str = "masticreel/duty";

/// Returns the key of a group's record.
pub fn group_key(group: &GroupId) -> String {
    format!("masticreel/group/{group}")
}

/// Returns the key under which an instance is entitled to use primaries.
pub fn member_key(instance: &InstanceId) -> String {
    format!("masticreel/member/{instance}")
}

/// Returns the key that exists while an instance renews its lease.
pub fn live_key(instance: &InstanceId) -> String {
    format!("masticreel/live/{instance}")
}

/// Returns the key of an instance's doubt about a group's primary.
pub fn doubt_key(group: &GroupId, instance: &InstanceId) -> String {
    format!("masticreel/doubt/{group}/{instance}")
}

/// What a key of the product names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnKey {
    /// The duty to replace primaries.
    Duty,
    /// A group's record.
    Group(GroupId),
    /// An instance's entitlement.
    Member(InstanceId),
    /// An instance's lease.
    Live(InstanceId),
    /// An instance's doubt about a primary.
    Doubt(GroupId, InstanceId),
}

impl OwnKey {
    /// Reads a key; keys of newer versions of the product are none.
    pub fn parse(key: &str) -> Option<Self> {
        let rest = key.strip_prefix(OWN_PREFIX)?;
        if rest == "duty" {
            return Some(Self::Duty);
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
    /// A change is under way; nobody may use a primary.
    #[display("changing")]
    Changing,
}

/// Who leads a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Rises with every change of the record.
    pub epoch: u64,
    /// Whether the primary may be used.
    pub phase: Phase,
    /// The primary, while changing the one that is being replaced.
    pub primary: ServerId,
    /// The term of the primary, zero if it was not learned yet.
    pub term: Term,
    /// The server that takes over, once it was chosen.
    pub candidate: Option<ServerId>,
}

/// What an instance's machine can carry; zero where the platform doesn't say.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Its processor, in thousandths of a core.
    pub processor_millicores: u32,
    /// Its link, in kbit/s.
    pub link_kbps: u32,
}

/// Where an instance is and what it can carry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Where other instances reach it.
    pub address: SocketAddr,
    /// Where it runs.
    pub domain: FailureDomain,
    /// What it can carry.
    pub capacity: Capacity,
}

/// The entitlement of an instance, with what it has confirmed.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Distinguishes two lives under one name.
    pub incarnation: u64,
    /// The newest epoch per group in which the instance has stopped all work
    /// at the primary.
    pub stopped: Vec<(GroupId, u64)>,
    /// Where other instances reach it.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Where it runs.
    #[serde(default)]
    pub domain: Option<FailureDomain>,
    /// What it can carry.
    #[serde(default)]
    pub capacity: Capacity,
    /// Whether it was told to stop, so that others take over what it does for
    /// them before it ends.
    #[serde(default)]
    pub is_leaving: bool,
}

/// Why an instance doubts a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum DoubtKind {
    /// Its machine refuses connections: the process is not running.
    #[display("refused")]
    Refused,
    /// It does not answer.
    #[display("silent")]
    Silent,
    /// It answers as a replica.
    #[display("deposed")]
    Deposed,
}

/// An instance's doubt about a primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoubtRecord {
    /// The primary that is doubted.
    pub primary: ServerId,
    /// The epoch of the record that named it.
    pub epoch: u64,
    /// What was seen.
    pub kind: DoubtKind,
}

/// An item of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its key.
    pub key: Arc<str>,
    /// Its value.
    pub value: Vec<u8>,
    /// Its last change.
    pub revision: u64,
    /// Its creation.
    pub created: u64,
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreEvent {
    /// An item as it was written.
    Written(Item),
    /// A key that was removed.
    Removed {
        /// The key.
        key: Arc<str>,
        /// When it was removed.
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
    /// The lease with which the key ends.
    pub lease: Option<u64>,
}

/// A call of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Lists all items, a page at a time.
    List {
        /// The last key of the page before.
        after: Option<Arc<str>>,
        /// Whether an answer that is seconds old will do.
        may_be_stale: bool,
    },
    /// Waits for changes of any item.
    Watch {
        /// The revision after which changes are wanted.
        after: u64,
        /// How long the store may wait for one.
        wait: Duration,
    },
    /// Changes items, all or none.
    Commit {
        /// Keys with the revisions that they must have, zero for none.
        expected: Vec<(String, u64)>,
        /// What is written.
        writes: Vec<Write>,
    },
    /// Asks for a lease.
    Grant {
        /// How long it lasts without renewal.
        lifetime: Duration,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: u64,
    },
}

impl StoreCall {
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

/// The store's answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreAnswer {
    /// A page of items.
    Page {
        /// The items.
        items: Vec<Item>,
        /// Whether more follow.
        is_truncated: bool,
        /// The store's revision.
        revision: u64,
        /// How old the answer was when it was given; nothing from the store.
        age: Duration,
    },
    /// Changes, in order.
    Events {
        /// The changes.
        events: Vec<StoreEvent>,
        /// The revision from which to go on.
        revision: u64,
        /// How old the answer was when it was given; nothing from the store.
        age: Duration,
    },
    /// The history that a watch asked for is gone.
    HistoryGone,
    /// The transaction took effect.
    Committed {
        /// Its revision.
        revision: u64,
    },
    /// An item did not have the expected revision; nothing was done.
    Conflict,
    /// A lease was granted or renewed.
    Lease {
        /// The lease; zero where a renewal doesn't name it.
        lease: u64,
        /// How long it lasts.
        lifetime: Duration,
    },
    /// The lease has ended.
    LeaseGone,
    /// Nothing was done; the call may be made again later.
    Unavailable,
    /// The store doesn't accept the call.
    Rejected,
}
