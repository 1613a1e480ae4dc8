//! Encodes messages as datagrams with a stamp and an authentication code.
//!
//! The authentication code covers the receiver's address, so that a datagram can't
//! be forwarded to another instance, and the stamp, so that it can't be replayed.
//! See `docs/design/08-membership.md`.

mod wire;

use std::net::SocketAddr;

use displaydoc::Display;

use self::wire::WireEnvelope;
use crate::message::{MAX_DATAGRAM_BYTES, Message};
use crate::replay::Stamp;

const KEY_CONTEXT: &str = "masticreel 2026-12 datagrams between instances";
const CODE_BYTES: usize = blake3::OUT_LEN;

/// The key that authenticates datagrams, the same for all instances of a fleet;
/// links derive another one from the same secret.
#[derive(Clone)]
pub struct SharedKey([u8; blake3::KEY_LEN]);

impl SharedKey {
    /// Derives the key from the secret in the settings.
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    fn authenticate(&self, receiver: SocketAddr, payload: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(receiver.to_string().as_bytes());
        hasher.update(&[0]);
        hasher.update(payload);
        hasher.finalize()
    }
}

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("SharedKey(..)")
    }
}

/// Why a datagram was not sent or not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum CodecError {
    /// the datagram is shorter than its authentication code
    Truncated,
    /// the authentication code is wrong
    NotAuthentic,
    /// the payload can't be decoded: {0}
    Malformed(String),
    /// the message needs {0} bytes, more than a datagram may have
    TooLarge(usize),
}

impl std::error::Error for CodecError {}

/// Encodes a message for a receiver.
///
/// # Errors
///
/// Fails when the message is larger than [`MAX_DATAGRAM_BYTES`].
pub fn encode(
    message: &Message,
    stamp: Stamp,
    receiver: SocketAddr,
    key: &SharedKey,
) -> Result<Vec<u8>, CodecError> {
    let envelope = WireEnvelope::from((message, stamp));
    let payload = postcard::to_stdvec(&envelope).map_err(malformed)?;
    let length = CODE_BYTES + payload.len();
    if length > MAX_DATAGRAM_BYTES {
        return Err(CodecError::TooLarge(length));
    }
    let mut datagram = Vec::with_capacity(length);
    datagram.extend_from_slice(key.authenticate(receiver, &payload).as_bytes());
    datagram.extend_from_slice(&payload);
    Ok(datagram)
}

/// Decodes a datagram that arrived at a receiver's own address.
///
/// Doesn't check whether the stamp is new; see [`crate::replay::ReplayGuard`].
///
/// # Errors
///
/// Fails when the datagram is too short, its authentication code doesn't match
/// the key and this receiver, or its payload can't be decoded.
pub fn decode(
    datagram: &[u8],
    receiver: SocketAddr,
    key: &SharedKey,
) -> Result<(Message, Stamp), CodecError> {
    let (code, payload) =
        datagram.split_first_chunk::<CODE_BYTES>().ok_or(CodecError::Truncated)?;
    // `blake3::Hash` compares in constant time, which reveals nothing to an
    // attacker who tries codes.
    if key.authenticate(receiver, payload) != blake3::Hash::from_bytes(*code) {
        return Err(CodecError::NotAuthentic);
    }
    let (envelope, rest) = postcard::take_from_bytes::<WireEnvelope>(payload).map_err(malformed)?;
    if !rest.is_empty() {
        return Err(CodecError::Malformed("bytes after the message".to_owned()));
    }
    <(Message, Stamp)>::try_from(envelope)
}

fn malformed(error: postcard::Error) -> CodecError {
    CodecError::Malformed(error.to_string())
}
