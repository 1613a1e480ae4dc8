//! Datagrams that instances send each other directly.
//!
//! Instances agree through the store. An instance that can't use the store still
//! has to stop using a primary that is being replaced, and needs to receive which
//! server is the new one. So the active coordinator sends the group's record to
//! the instances, and they confirm when their work at the old primary has ended.

use masticreel_base::ids::{GroupId, InstanceId};
use serde::{Deserialize, Serialize};

use crate::quota::messages::{GrantedUnits, HandedBucket, QuotaWant};
use crate::records::GroupRecord;

/// The greatest length of a message, and of the buffer that receives datagrams: a
/// longer one arrives cut off and can't be decoded.
pub const MESSAGE_LIMIT_BYTES: usize = 1400;

/// A message between two instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// A group's record, as the active coordinator wrote it to the store.
    Record {
        /// The group.
        group: GroupId,
        /// Its record.
        record: GroupRecord,
    },
    /// The sender has ended all work at a primary that is being replaced.
    Stopped {
        /// The instance that sends the message.
        instance: InstanceId,
        /// The group.
        group: GroupId,
        /// The epoch of the group record that blocked the primary.
        epoch: u64,
    },
    /// A request for units of organisations' quotas, to the instance that allocates them.
    QuotaRequest {
        /// The version of the sender's document.
        version: u64,
        /// The requests.
        wants: Vec<QuotaWant>,
    },
    /// The answer to [`PeerMessage::QuotaRequest`].
    QuotaGrant {
        /// The version of the sender's document.
        version: u64,
        /// What is granted.
        granted: Vec<GrantedUnits>,
    },
    /// The sender allocates these organisations' quotas no more; the receiver does.
    QuotaHandover {
        /// The incarnation of the receiver for which it is meant.
        incarnation: u64,
        /// What is left of the units.
        buckets: Vec<HandedBucket>,
    },
}

impl PeerMessage {
    /// Encodes the message as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain values can be serialized")
    }

    /// Decodes a message; none if the bytes are too long or not a message.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MESSAGE_LIMIT_BYTES {
            return None;
        }
        serde_json::from_slice(bytes).ok()
    }
}
