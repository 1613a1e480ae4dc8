//! Messages between two instances over a stream.
//!
//! A message is its length and then a body of `postcard`, compressed if it is
//! long.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::protocol::ProtocolError;

/// The longest message between two instances; a full list of a large fleet.
const MESSAGE_LIMIT_BYTES: usize = 8 << 20;
/// Bytes that state the length of a message, and whether it is compressed.
const LENGTH_BYTES: usize = 4;
/// Set in the length of a message that is compressed.
const COMPRESSED_FLAG: u32 = 1 << 31;
/// Messages from this length on are compressed: a watcher sends each change of
/// a large configuration to all its followers over one link.
const COMPRESSED_FROM_BYTES: usize = 2048;

/// Appends a message, compressed if it is long.
pub fn encode<T>(message: &T, output: &mut Vec<u8>)
where
    T: Serialize,
{
    let mut body = postcard::to_stdvec(message).expect("a message is made of plain values");
    let is_compressed = body.len() >= COMPRESSED_FROM_BYTES;
    if is_compressed {
        body = lz4_flex::compress_prepend_size(&body);
    }
    let length = u32::try_from(body.len()).expect("a message is shorter than 2 GiB");
    let flag = if is_compressed { COMPRESSED_FLAG } else { 0 };
    output.extend_from_slice(&(length | flag).to_be_bytes());
    output.extend_from_slice(&body);
}

/// Takes a message off the front of the input, if it is whole.
///
/// # Errors
///
/// Fails if the message is too long or isn't one.
pub fn decode<T>(input: &mut Vec<u8>) -> Result<Option<T>, ProtocolError>
where
    T: DeserializeOwned,
{
    let Some(length) = input.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let stated = u32::from_be_bytes(*length);
    let is_compressed = stated & COMPRESSED_FLAG != 0;
    let length = usize::try_from(stated & !COMPRESSED_FLAG).unwrap_or(usize::MAX);
    if length > MESSAGE_LIMIT_BYTES {
        return Err(ProtocolError::too_large("the message is too long"));
    }
    let end = LENGTH_BYTES + length;
    if input.len() < end {
        return Ok(None);
    }
    let body = &input[LENGTH_BYTES..end];
    let message = if is_compressed {
        postcard::from_bytes(&decompress(body)?)
    } else {
        postcard::from_bytes(body)
    };
    let message = message.map_err(|_| ProtocolError::malformed("the message can't be read"))?;
    input.drain(..end);
    Ok(Some(message))
}

/// Decompresses a body; its stated size is checked before any of it is
/// allocated.
fn decompress(body: &[u8]) -> Result<Vec<u8>, ProtocolError> {
    const MALFORMED: ProtocolError = ProtocolError::malformed("the message can't be decompressed");
    let (size, rest) = lz4_flex::block::uncompressed_size(body).map_err(|_| MALFORMED)?;
    if size > MESSAGE_LIMIT_BYTES {
        return Err(ProtocolError::too_large("the message is too long"));
    }
    lz4_flex::decompress(rest, size).map_err(|_| MALFORMED)
}
