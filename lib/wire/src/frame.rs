//! Authenticated frames on a byte stream.
//!
//! A connection starts with a random nonce from each side. Keys for both
//! directions are derived from the shared key and both nonces, and each frame
//! is authenticated together with its sequence number, so that frames can't be
//! replayed, reordered or moved to another connection. The content is not
//! encrypted.

use std::io::{self, Read, Write};

use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Length of the nonce that each side sends first, in bytes.
const NONCE_BYTES: usize = 16;
/// Length of a frame's authentication code, in bytes.
const MAC_BYTES: usize = 32;
/// Length of a frame's length field, in bytes.
const LENGTH_BYTES: usize = 4;
/// Largest accepted message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

// Contexts of the key derivation; another one for each direction, so that a
// side's own frames can't be sent back to it.
const CONTEXT_CONNECTING: &str = "masticreel link v1, from the connecting side";
const CONTEXT_ACCEPTING: &str = "masticreel link v1, from the accepting side";

/// The secret that all instances of a fleet share, for links and signatures;
/// datagrams use another key that is derived from the same text.
#[derive(Clone)]
pub struct SharedKey(blake3::Hash);

impl SharedKey {
    /// Derives the secret from the text in the settings.
    pub fn from_text(text: &str) -> Self {
        Self(blake3::hash(text.as_bytes()))
    }

    /// Derives a key for the purpose that the context names; a context must be
    /// used for one purpose only.
    pub fn derive(&self, context: &str, salt: &[u8]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_derive_key(context);
        hasher.update(self.0.as_bytes());
        hasher.update(salt);
        *hasher.finalize().as_bytes()
    }
}

/// Why a frame was not accepted or not sent.
#[derive(Debug, Display)]
pub enum FrameError {
    /// the connection failed: {0}
    Io(io::Error),
    /// the frame's authentication code is wrong
    Unauthentic,
    /// the frame of {0} bytes is too large
    TooLarge(usize),
    /// the frame's content can't be decoded: {0}
    Malformed(postcard::Error),
}

impl std::error::Error for FrameError {}

impl From<io::Error> for FrameError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<postcard::Error> for FrameError {
    fn from(error: postcard::Error) -> Self {
        Self::Malformed(error)
    }
}

/// A side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection.
    Connecting,
    /// The side that accepted the connection.
    Accepting,
}

/// The keys of both directions of one connection.
pub struct LinkKeys {
    /// Authenticates what this side sends.
    pub outgoing: [u8; 32],
    /// Authenticates what this side receives.
    pub incoming: [u8; 32],
}

/// Exchanges nonces and derives the keys of a connection.
///
/// # Errors
///
/// Fails when the stream fails. A peer with another shared key is detected only
/// when its first frame fails authentication.
pub fn handshake<Stream>(
    stream: &mut Stream,
    side: Side,
    key: &SharedKey,
) -> Result<LinkKeys, FrameError>
where
    Stream: Read + Write,
{
    let own: [u8; NONCE_BYTES] = rand::random();
    stream.write_all(&own)?;
    stream.flush()?;
    let mut peer = [0; NONCE_BYTES];
    stream.read_exact(&mut peer)?;

    let (connecting, accepting) = match side {
        Side::Connecting => (own, peer),
        Side::Accepting => (peer, own),
    };
    let salt = [connecting, accepting].concat();
    let from_connecting = key.derive(CONTEXT_CONNECTING, &salt);
    let from_accepting = key.derive(CONTEXT_ACCEPTING, &salt);
    Ok(match side {
        Side::Connecting => LinkKeys { outgoing: from_connecting, incoming: from_accepting },
        Side::Accepting => LinkKeys { outgoing: from_accepting, incoming: from_connecting },
    })
}

/// Writes authenticated frames, each with one message.
pub struct FrameWriter<Stream> {
    stream: Stream,
    key: [u8; 32],
    sequence: u64,
}

impl<Stream> FrameWriter<Stream>
where
    Stream: Write,
{
    /// Creates a writer on a stream after the [`handshake`], which derived the key.
    pub fn new(stream: Stream, key: [u8; 32]) -> Self {
        Self { stream, key, sequence: 0 }
    }

    /// Sends one message and returns its size on the wire in bytes.
    ///
    /// # Errors
    ///
    /// Fails when the message is too large or the stream fails. After a
    /// failure of the stream the connection must be closed.
    pub fn send<Message>(&mut self, message: &Message) -> Result<usize, FrameError>
    where
        Message: Serialize,
    {
        let mut frame = vec![0; LENGTH_BYTES + MAC_BYTES];
        frame = postcard::to_extend(message, frame)?;
        let (header, body) = frame.split_at_mut(LENGTH_BYTES + MAC_BYTES);
        if body.len() > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLarge(body.len()));
        }
        let length = u32::try_from(body.len()).map_err(|_| FrameError::TooLarge(body.len()))?;
        let mac = authenticate(&self.key, self.sequence, body);
        header[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        header[LENGTH_BYTES..].copy_from_slice(mac.as_bytes());
        self.sequence += 1;
        self.stream.write_all(&frame)?;
        self.stream.flush()?;
        Ok(frame.len())
    }
}

/// Reads authenticated frames, each with one message.
pub struct FrameReader<Stream> {
    stream: Stream,
    key: [u8; 32],
    sequence: u64,
    max_first_bytes: usize,
}

impl<Stream> FrameReader<Stream>
where
    Stream: Read,
{
    /// Creates a reader on a stream after the [`handshake`], which derived the key.
    pub fn new(stream: Stream, key: [u8; 32]) -> Self {
        Self { stream, key, sequence: 0, max_first_bytes: MAX_MESSAGE_BYTES }
    }

    /// Sets the size in bytes beyond which the first message is refused. Until it was
    /// received, anyone may have sent it.
    pub fn set_max_first_bytes(&mut self, bytes: usize) {
        self.max_first_bytes = bytes;
    }

    /// Waits for the next message.
    ///
    /// # Errors
    ///
    /// Fails when the stream ends or fails, and when a frame is too large,
    /// not authentic or malformed. The connection must then be closed.
    pub fn receive<Message>(&mut self) -> Result<Message, FrameError>
    where
        Message: DeserializeOwned,
    {
        let mut length = [0; LENGTH_BYTES];
        self.stream.read_exact(&mut length)?;
        let length = u32::from_be_bytes(length) as usize;
        let limit = if self.sequence == 0 { self.max_first_bytes } else { MAX_MESSAGE_BYTES };
        if length > limit {
            return Err(FrameError::TooLarge(length));
        }
        let mut mac = [0; MAC_BYTES];
        self.stream.read_exact(&mut mac)?;
        let body = self.read_body(length)?;
        // The comparison of two hashes takes constant time.
        if authenticate(&self.key, self.sequence, &body) != blake3::Hash::from_bytes(mac) {
            return Err(FrameError::Unauthentic);
        }
        self.sequence += 1;
        Ok(postcard::from_bytes(&body)?)
    }

    /// Reads a body without allocating its length in advance, since the length
    /// is not authenticated yet.
    fn read_body(&mut self, length: usize) -> Result<Vec<u8>, FrameError> {
        let mut body = Vec::new();
        let limit = length as u64;
        let received = (&mut self.stream).take(limit).read_to_end(&mut body)?;
        if received < length {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        Ok(body)
    }
}

fn authenticate(key: &[u8; 32], sequence: u64, body: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&sequence.to_be_bytes());
    hasher.update(body);
    hasher.finalize()
}
