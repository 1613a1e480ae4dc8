//! Messages between instances, independent of their encoding.

use std::net::SocketAddr;

use masticreel_base::ids::{GroupId, InstanceId, ServerId, Term};

use crate::member::Member;

/// Largest datagram in bytes; with its headers it stays below the usual path MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Longest name in a message, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Matches an ack to its ping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sequence(pub u64);

/// The request or response that a message contains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Requests an `Ack` with the same number.
    Ping(Sequence),
    /// Responds to a `Ping`.
    Ack(Sequence),
    /// Requests that the receiver ping a third instance and relay its `Ack`.
    PingRequest {
        /// The number that the `Ack` must carry.
        sequence: Sequence,
        /// The instance to probe.
        target: SocketAddr,
    },
    /// Contains nothing but the attached updates and group primaries.
    Gossip,
    /// Requests the member records that follow a name.
    SyncRequest {
        /// The last name already received, or `None` at the start.
        after: Option<InstanceId>,
    },
    /// Contains a page of member records among the updates.
    SyncReply {
        /// The name to continue after, or `None` at the end.
        next: Option<InstanceId>,
    },
}

/// The primary of a database group; the newest term takes precedence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupPrimary {
    /// The group.
    pub group: GroupId,
    /// The term of this primary.
    pub term: Term,
    /// The server that is the primary.
    pub primary: ServerId,
}

/// The contents of one datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's own member record.
    pub sender: Member,
    /// The request or response.
    pub body: Body,
    /// Digest of the sender's membership as far as it affects routing; equal at
    /// instances that route alike.
    pub digest: u64,
    /// Member records of other instances.
    pub updates: Vec<Member>,
    /// Known primaries of database groups.
    pub group_primaries: Vec<GroupPrimary>,
}

/// A message to send and its receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// Longest encoding of a `u64`.
const VARINT_BYTES: usize = 10;
/// Tag of the IP version, longest IP address, and longest encoding of a port.
const ADDRESS_BYTES: usize = 1 + 16 + 3;

/// Returns an upper bound of a member record's encoded size in bytes.
pub fn max_member_bytes(member: &Member) -> usize {
    let names = member.id.as_str().len() + member.failure_domain.as_str().len() + 2;
    names + ADDRESS_BYTES + 3 * VARINT_BYTES + 2
}

/// Returns an upper bound of a group primary's encoded size in bytes.
pub fn max_group_primary_bytes(entry: &GroupPrimary) -> usize {
    entry.group.as_str().len() + entry.primary.as_str().len() + 2 + VARINT_BYTES
}
