//! Messages between instances, as the decisions see them.

use std::net::SocketAddr;

use masticreel_base::ids::{GroupId, InstanceId, ServerId, Term};

use crate::member::Member;

/// Largest datagram in bytes, below the usual path MTU with its headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// The most bytes of a name in a message.
pub const MAX_NAME_BYTES: usize = 64;

/// Connects a probe with its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sequence(pub u64);

/// What a message asks for or answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks for an `Ack` with the same number.
    Ping(Sequence),
    /// Shows that the probed instance answers.
    Ack(Sequence),
    /// Asks the receiver to probe a third instance and to pass on its answer.
    PingRequest {
        /// The number that the `Ack` must carry.
        sequence: Sequence,
        /// The instance to probe.
        target: SocketAddr,
    },
    /// Carries only what is attached.
    Gossip,
    /// Asks for the accounts that follow a name.
    SyncRequest {
        /// The last name already received, none at the start.
        after: Option<InstanceId>,
    },
    /// Attaches a page of accounts.
    SyncReply {
        /// The name to continue after, none at the end.
        next: Option<InstanceId>,
    },
}

/// Who leads a database group; the newest term wins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupPrimary {
    /// The group.
    pub group: GroupId,
    /// The term in which the server leads.
    pub term: Term,
    /// The server that leads.
    pub primary: ServerId,
}

/// One datagram's contents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's account of itself.
    pub sender: Member,
    /// What the message is for.
    pub body: Body,
    /// Alike at instances that route alike.
    pub digest: u64,
    /// Accounts of other instances.
    pub updates: Vec<Member>,
    /// Views of database groups.
    pub views: Vec<GroupPrimary>,
}

/// An order to whoever holds the socket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: SocketAddr,
    /// What to send.
    pub message: Message,
}

const VARINT_BYTES: usize = 10;
const ADDRESS_BYTES: usize = 1 + 16 + 3;

/// Returns an upper bound of a member's encoded size in bytes.
pub fn member_bytes(member: &Member) -> usize {
    let names = member.id.as_str().len() + member.failure_domain.as_str().len() + 2;
    names + ADDRESS_BYTES + 3 * VARINT_BYTES + 2
}

/// Returns an upper bound of a view's encoded size in bytes.
pub fn view_bytes(view: &GroupPrimary) -> usize {
    view.group.as_str().len() + view.primary.as_str().len() + 2 + VARINT_BYTES
}
