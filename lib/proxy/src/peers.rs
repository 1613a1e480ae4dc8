//! What instances tell each other directly.
//!
//! The store is the way by which all instances agree. An instance that the
//! store turns away still has to stop using a primary that is replaced, and to
//! learn of the new one; the holder of the duty tells it.

use masticreel_base::ids::{GroupId, InstanceId};
use serde::{Deserialize, Serialize};

use crate::records::GroupRecord;

/// The longest message that is read.
pub const MESSAGE_LIMIT_BYTES: usize = 1400;

/// A message between two instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// A group's record, as the holder of the duty wrote it.
    Record {
        /// The group.
        group: GroupId,
        /// Its record.
        record: GroupRecord,
    },
    /// The sender has stopped all work at the primary of an epoch.
    Stopped {
        /// The sender.
        instance: InstanceId,
        /// The group.
        group: GroupId,
        /// The epoch of the change.
        epoch: u64,
    },
}

impl PeerMessage {
    /// Writes the message.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a message is made of plain values")
    }

    /// Reads a message; anything else is none.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MESSAGE_LIMIT_BYTES {
            return None;
        }
        serde_json::from_slice(bytes).ok()
    }
}
