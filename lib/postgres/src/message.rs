//! Splitting a byte stream into PostgreSQL messages.

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use pgwire::messages::Message;

/// Length of a message's type byte and length field, in bytes.
pub const HEADER_BYTES: usize = 5;
/// Largest message accepted from a caller, in bytes.
pub const MAX_CALLER_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Largest message accepted from an upstream, in bytes.
pub const MAX_UPSTREAM_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Type bytes of the messages that the proxy interprets.
///
/// Callers and servers use some bytes for different messages.
pub mod tag {
    /// From a caller: a simple query.
    pub const QUERY: u8 = b'Q';
    /// From a caller: prepares a statement.
    pub const PARSE: u8 = b'P';
    /// From a caller: binds parameters to a statement, which makes a portal.
    pub const BIND: u8 = b'B';
    /// From a caller: requests the description of a statement or portal.
    pub const DESCRIBE: u8 = b'D';
    /// From a caller: runs a portal.
    pub const EXECUTE: u8 = b'E';
    /// From a caller: closes a statement or portal.
    pub const CLOSE: u8 = b'C';
    /// From a caller: ends a series of extended-query messages.
    pub const SYNC: u8 = b'S';
    /// From a caller: requests the answers so far without ending the series.
    pub const FLUSH: u8 = b'H';
    /// From a caller: ends the connection.
    pub const TERMINATE: u8 = b'X';
    /// From a server: it is ready for the next request.
    pub const READY: u8 = b'Z';
    /// From a server: an error.
    pub const ERROR: u8 = b'E';
    /// From a server: the new value of a parameter.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// From a server: the connection's key for cancel requests.
    pub const BACKEND_KEY: u8 = b'K';
    /// From a server: a row of a result.
    pub const DATA_ROW: u8 = b'D';
    /// From a server: a statement was prepared.
    pub const PARSE_COMPLETE: u8 = b'1';
    /// From a server: a statement or portal was closed.
    pub const CLOSE_COMPLETE: u8 = b'3';
    /// From a server: it waits for `COPY` data.
    pub const COPY_IN: u8 = b'G';
    /// From a server: it waits for `COPY` data and sends some itself.
    pub const COPY_BOTH: u8 = b'W';
}

/// One message, kept as the bytes that were received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawMessage {
    /// The message's type byte.
    pub tag: u8,
    /// The whole message, header included.
    pub bytes: Bytes,
}

impl RawMessage {
    /// Returns the message without its header.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }

    /// Splits off the zero-terminated text at the start of the bytes.
    ///
    /// Returns the text and the rest, or nothing if there is no such text or it
    /// is not UTF-8.
    pub fn split_text(bytes: &[u8]) -> Option<(&str, &[u8])> {
        let end = bytes.iter().position(|byte| *byte == 0)?;
        let text = std::str::from_utf8(&bytes[..end]).ok()?;
        Some((text, &bytes[end + 1..]))
    }
}

/// Why received bytes are not a valid PostgreSQL message.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum MessageError {
    /// a message's length field says {0} bytes
    BadLength(usize),
    /// a message of {0} bytes is too large
    TooLarge(usize),
}

impl std::error::Error for MessageError {}

/// Returns how many bytes are missing from the message that a buffer begins with; 0 if
/// the buffer is empty, and the header if only a part of that was received.
pub fn missing_bytes(buffer: &[u8]) -> usize {
    match buffer {
        [] => 0,
        [_, a, b, c, d, ..] => {
            let total = u32::from_be_bytes([*a, *b, *c, *d]) as usize + 1;
            total.saturating_sub(buffer.len())
        }
        _ => HEADER_BYTES - buffer.len(),
    }
}

/// Removes the next complete message from a buffer.
///
/// Returns nothing while the message is incomplete.
///
/// # Errors
///
/// Fails when the length field is too small to be valid, or larger than
/// `max_bytes`.
pub fn take_message(
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<RawMessage>, MessageError> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let tag = buffer[0];
    let length = (&buffer[1..HEADER_BYTES]).get_u32() as usize;
    if length < HEADER_BYTES - 1 {
        return Err(MessageError::BadLength(length));
    }
    if length > max_bytes {
        return Err(MessageError::TooLarge(length));
    }
    let total = length + 1;
    if buffer.len() < total {
        return Ok(None);
    }
    Ok(Some(RawMessage { tag, bytes: buffer.split_to(total).freeze() }))
}

/// Appends a message to a buffer.
///
/// Messages that the proxy builds are small, so they always fit the protocol's
/// limits.
pub fn put_message<M>(buffer: &mut BytesMut, message: &M)
where
    M: Message,
{
    message.encode(buffer).expect("messages that the proxy builds fit the protocol's limits");
}
