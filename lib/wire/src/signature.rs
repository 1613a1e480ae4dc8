//! Signatures of messages that an operator's tool sends to an instance, outside of a
//! link.
//!
//! Nothing prevents that a signed message is replayed, so signatures suit only
//! content with an order of its own, such as the document with its revision.

use crate::frame::SharedKey;

const CONTEXT: &str = "masticreel operators v1, signed body";

/// Returns the signature of a message with the fleet's shared key, as
/// hexadecimal text.
pub fn sign(key: &SharedKey, body: &[u8]) -> String {
    signature(key, body).to_hex().to_string()
}

/// Returns whether a text is the valid signature of a message.
pub fn is_valid_signature(key: &SharedKey, body: &[u8], text: &str) -> bool {
    // The comparison of two hashes takes constant time.
    blake3::Hash::from_hex(text).is_ok_and(|given| given == signature(key, body))
}

fn signature(key: &SharedKey, body: &[u8]) -> blake3::Hash {
    let signing_key = key.derive(CONTEXT, &[]);
    blake3::keyed_hash(&signing_key, body)
}
