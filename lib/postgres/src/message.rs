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

/// Type bytes of messages that the proxy looks at.
pub mod tag {
    /// A simple query.
    pub const QUERY: u8 = b'Q';
    /// Prepares a statement.
    pub const PARSE: u8 = b'P';
    /// Binds parameters to a statement.
    pub const BIND: u8 = b'B';
    /// Asks for a description.
    pub const DESCRIBE: u8 = b'D';
    /// Runs a portal.
    pub const EXECUTE: u8 = b'E';
    /// Closes a statement or portal.
    pub const CLOSE: u8 = b'C';
    /// Ends a series of extended messages.
    pub const SYNC: u8 = b'S';
    /// Asks for answers without ending the series.
    pub const FLUSH: u8 = b'H';
    /// Ends the connection.
    pub const TERMINATE: u8 = b'X';
    /// Ready for the next request.
    pub const READY: u8 = b'Z';
    /// An error.
    pub const ERROR: u8 = b'E';
    /// A changed parameter.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// The key for cancel requests.
    pub const BACKEND_KEY: u8 = b'K';
    /// A row.
    pub const DATA_ROW: u8 = b'D';
    /// A statement was prepared.
    pub const PARSE_COMPLETE: u8 = b'1';
    /// A statement or portal was closed.
    pub const CLOSE_COMPLETE: u8 = b'3';
    /// The upstream wants copied data.
    pub const COPY_IN: u8 = b'G';
    /// The upstream wants and sends copied data.
    pub const COPY_BOTH: u8 = b'W';
}

/// One message with its type, kept as the bytes that arrived.
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

    /// Returns the zero-terminated text at the start of some bytes, and the rest.
    pub fn split_text(bytes: &[u8]) -> Option<(&str, &[u8])> {
        let end = bytes.iter().position(|byte| *byte == 0)?;
        let text = std::str::from_utf8(&bytes[..end]).ok()?;
        Some((text, &bytes[end + 1..]))
    }
}

/// Why bytes are not a PostgreSQL message.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum MessageError {
    /// a message's length field says {0} bytes
    BadLength(usize),
    /// a message of {0} bytes is too large
    TooLarge(usize),
}

impl std::error::Error for MessageError {}

/// Takes the next whole message off a buffer.
///
/// Returns nothing while the message is incomplete.
///
/// # Errors
///
/// Fails when the length field can't be right or is beyond the limit in bytes.
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
/// Messages that the proxy builds are small, so they always fit their limits.
pub fn put_message<M>(buffer: &mut BytesMut, message: &M)
where
    M: Message,
{
    message.encode(buffer).expect("the proxy's own messages are within the protocol's limits");
}
