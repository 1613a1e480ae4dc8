//! The received bytes of a connection that were not decoded yet.

use std::ops::Deref;

/// From this length on, decoded bytes are removed from the front of the buffer.
const COMPACTION_BYTES: usize = 32 * 1024;
/// An empty buffer keeps no more memory than this, so that a long message doesn't hold memory
/// for the rest of the connection.
const KEPT_BYTES: usize = 2 * 1024;

/// Received bytes that were not decoded yet; they can be read as a slice.
///
/// Decoding moves a position forward instead of moving the bytes, and a decoder that looks for
/// the end of a message can remember how far it has looked. So the cost is linear in the input,
/// in whatever pieces it arrives.
#[derive(Debug, Default)]
pub struct Input {
    bytes: Vec<u8>,
    /// The number of bytes at the front that were decoded.
    decoded: usize,
    /// The number of bytes after those in which no message ends.
    searched: usize,
}

impl Input {
    /// Appends received bytes. The memory grows to at most twice what is needed, and not over
    /// `limit_bytes` unless the bytes themselves are longer.
    pub fn append(&mut self, received: &[u8], limit_bytes: usize) {
        if self.bytes.len() + received.len() > self.bytes.capacity() {
            self.compact();
            let needed = self.bytes.len() + received.len();
            let wanted = (needed * 2).min(limit_bytes).max(needed);
            self.bytes.reserve_exact(wanted - self.bytes.len());
        }
        self.bytes.extend_from_slice(received);
    }

    /// Removes decoded bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.decoded = (self.decoded + count).min(self.bytes.len());
        self.searched = 0;
        if self.decoded == self.bytes.len() {
            self.clear();
        } else if self.decoded >= COMPACTION_BYTES && self.decoded * 2 >= self.bytes.len() {
            self.compact();
        }
    }

    /// Returns the number of bytes in which no message ends, as
    /// [`Self::set_searched`] recorded it for the message at the front.
    pub fn searched(&self) -> usize {
        self.searched
    }

    /// Records in how many bytes from the front no message ends.
    pub fn set_searched(&mut self, count: usize) {
        self.searched = count;
    }

    /// Removes all bytes, and gives memory back that a long message has needed.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.decoded = 0;
        self.searched = 0;
        self.bytes.shrink_to(KEPT_BYTES);
    }

    /// Returns the memory that the buffer occupies.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns the remaining bytes for a decoder that removes what it decodes itself.
    pub fn as_vec(&mut self) -> &mut Vec<u8> {
        self.compact();
        self.searched = 0;
        &mut self.bytes
    }

    fn compact(&mut self) {
        self.bytes.drain(..self.decoded);
        self.decoded = 0;
        if self.bytes.capacity() > KEPT_BYTES.max(self.bytes.len() * 4) {
            self.bytes.shrink_to((self.bytes.len() * 2).max(KEPT_BYTES));
        }
    }
}

impl Deref for Input {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes[self.decoded..]
    }
}

impl From<Vec<u8>> for Input {
    fn from(bytes: Vec<u8>) -> Self {
        Self { bytes, decoded: 0, searched: 0 }
    }
}
