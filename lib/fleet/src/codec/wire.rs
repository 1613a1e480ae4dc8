//! The encoding of datagrams, and its conversion from and to messages.

use std::net::SocketAddr;

use masticreel_base::ids::{
    FailureDomain, GroupId, Incarnation, InstanceId, Revision, ServerId, Term,
};
use serde::{Deserialize, Serialize};

use super::CodecError;
use crate::member::{Member, MemberState};
use crate::message::{Body, GroupPrimary, MAX_NAME_BYTES, Message, Sequence};
use crate::replay::Stamp;

/// Must be increased whenever a field changes; other versions are refused as
/// [`CodecError::Malformed`].
const PROTOCOL_VERSION: u8 = 1;

#[derive(Serialize, Deserialize)]
pub(super) struct WireEnvelope {
    version: u8,
    life: u64,
    counter: u64,
    sender: WireMember,
    body: WireBody,
    digest: u64,
    updates: Vec<WireMember>,
    views: Vec<WireGroupPrimary>,
}

#[derive(Serialize, Deserialize)]
struct WireMember {
    id: String,
    address: SocketAddr,
    failure_domain: String,
    incarnation: u64,
    state: WireState,
    version: u64,
    leaving: bool,
    revision: u64,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
enum WireState {
    Alive,
    Suspect,
    Dead,
    Left,
}

#[derive(Serialize, Deserialize)]
enum WireBody {
    Ping(u64),
    Ack(u64),
    PingRequest { sequence: u64, target: SocketAddr },
    Rumour,
    SyncRequest { after: Option<String> },
    SyncReply { next: Option<String> },
}

#[derive(Serialize, Deserialize)]
struct WireGroupPrimary {
    group: String,
    term: u64,
    primary: String,
}

impl From<(&Message, Stamp)> for WireEnvelope {
    fn from((message, stamp): (&Message, Stamp)) -> Self {
        Self {
            version: PROTOCOL_VERSION,
            life: stamp.life,
            counter: stamp.counter,
            sender: WireMember::from(&message.sender),
            body: WireBody::from(&message.body),
            digest: message.digest,
            updates: message.updates.iter().map(WireMember::from).collect(),
            views: message.group_primaries.iter().map(WireGroupPrimary::from).collect(),
        }
    }
}

impl TryFrom<WireEnvelope> for (Message, Stamp) {
    type Error = CodecError;

    fn try_from(wire: WireEnvelope) -> Result<Self, Self::Error> {
        if wire.version != PROTOCOL_VERSION {
            return Err(CodecError::Malformed(format!("protocol version {}", wire.version)));
        }
        let stamp = Stamp { life: wire.life, counter: wire.counter };
        let message = Message {
            sender: Member::try_from(wire.sender)?,
            body: Body::try_from(wire.body)?,
            digest: wire.digest,
            updates: try_from_all(wire.updates)?,
            group_primaries: try_from_all(wire.views)?,
        };
        Ok((message, stamp))
    }
}

fn try_from_all<Wire, Value>(wires: Vec<Wire>) -> Result<Vec<Value>, CodecError>
where
    Value: TryFrom<Wire, Error = CodecError>,
{
    wires.into_iter().map(Value::try_from).collect()
}

/// Converts a received name, which must have 1 to [`MAX_NAME_BYTES`] bytes.
fn name<Name>(text: String) -> Result<Name, CodecError>
where
    Name: From<String>,
{
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(CodecError::Malformed(format!("a name of {} bytes", text.len())));
    }
    Ok(Name::from(text))
}

impl From<&Member> for WireMember {
    fn from(member: &Member) -> Self {
        Self {
            id: member.id.to_string(),
            address: member.address,
            failure_domain: member.failure_domain.to_string(),
            incarnation: member.incarnation.0,
            state: WireState::from(member.state),
            version: member.version,
            leaving: member.leaving,
            revision: member.revision.0,
        }
    }
}

impl TryFrom<WireMember> for Member {
    type Error = CodecError;

    fn try_from(wire: WireMember) -> Result<Self, Self::Error> {
        Ok(Self {
            id: name::<InstanceId>(wire.id)?,
            address: wire.address,
            failure_domain: name::<FailureDomain>(wire.failure_domain)?,
            incarnation: Incarnation(wire.incarnation),
            state: MemberState::from(wire.state),
            version: wire.version,
            leaving: wire.leaving,
            revision: Revision(wire.revision),
        })
    }
}

impl From<MemberState> for WireState {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Alive => Self::Alive,
            MemberState::Suspect => Self::Suspect,
            MemberState::Dead => Self::Dead,
            MemberState::Left => Self::Left,
        }
    }
}

impl From<WireState> for MemberState {
    fn from(wire: WireState) -> Self {
        match wire {
            WireState::Alive => Self::Alive,
            WireState::Suspect => Self::Suspect,
            WireState::Dead => Self::Dead,
            WireState::Left => Self::Left,
        }
    }
}

impl From<&Body> for WireBody {
    fn from(body: &Body) -> Self {
        match body {
            Body::Ping(sequence) => Self::Ping(sequence.0),
            Body::Ack(sequence) => Self::Ack(sequence.0),
            Body::PingRequest { sequence, target } => {
                Self::PingRequest { sequence: sequence.0, target: *target }
            }
            Body::Gossip => Self::Rumour,
            Body::SyncRequest { after } => {
                Self::SyncRequest { after: after.as_ref().map(InstanceId::to_string) }
            }
            Body::SyncReply { next } => {
                Self::SyncReply { next: next.as_ref().map(InstanceId::to_string) }
            }
        }
    }
}

impl TryFrom<WireBody> for Body {
    type Error = CodecError;

    fn try_from(wire: WireBody) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireBody::Ping(sequence) => Self::Ping(Sequence(sequence)),
            WireBody::Ack(sequence) => Self::Ack(Sequence(sequence)),
            WireBody::PingRequest { sequence, target } => {
                Self::PingRequest { sequence: Sequence(sequence), target }
            }
            WireBody::Rumour => Self::Gossip,
            WireBody::SyncRequest { after } => {
                Self::SyncRequest { after: after.map(name).transpose()? }
            }
            WireBody::SyncReply { next } => Self::SyncReply { next: next.map(name).transpose()? },
        })
    }
}

impl From<&GroupPrimary> for WireGroupPrimary {
    fn from(known: &GroupPrimary) -> Self {
        Self {
            group: known.group.to_string(),
            term: known.term.0,
            primary: known.primary.to_string(),
        }
    }
}

impl TryFrom<WireGroupPrimary> for GroupPrimary {
    type Error = CodecError;

    fn try_from(wire: WireGroupPrimary) -> Result<Self, Self::Error> {
        Ok(Self {
            group: name::<GroupId>(wire.group)?,
            term: Term(wire.term),
            primary: name::<ServerId>(wire.primary)?,
        })
    }
}
