//! Signatures of messages that a client sends without a link of its own.
//!
//! A signed message may be replayed; it is meant for content that carries its
//! own order, such as the document's revision.

use crate::frame::SharedKey;

const CONTEXT: &str = "masticreel operators v1, signed body";

/// Signs a message with the fleet's shared key, as hexadecimal text.
pub fn sign(key: &SharedKey, body: &[u8]) -> String {
    signature(key, body).to_hex().to_string()
}

/// Returns whether a text is the message's signature, in constant time.
pub fn is_signed(key: &SharedKey, body: &[u8], text: &str) -> bool {
    // The comparison of hashes takes constant time.
    blake3::Hash::from_hex(text).is_ok_and(|given| given == signature(key, body))
}

fn signature(key: &SharedKey, body: &[u8]) -> blake3::Hash {
    let signing_key = key.derive(CONTEXT, &[]);
    blake3::keyed_hash(&signing_key, body)
}
