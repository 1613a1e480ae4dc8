//! Framing of the messages that two instances exchange over a stream.
//!
//! A frame is a length of four bytes, whose highest bit marks a compressed body,
//! followed by the body: the message in `postcard` encoding, compressed with LZ4
//! if it is long.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::limits::input::Input;
use crate::protocol::ProtocolError;

/// Maximum length of a body and of its decompressed form; a full list of the
/// store's items for a large number of instances has to fit.
const MESSAGE_LIMIT_BYTES: usize = 8 << 20;
/// Bytes of the length prefix.
const LENGTH_BYTES: usize = 4;
/// Bit of the length prefix that marks a compressed body.
const COMPRESSED_FLAG: u32 = 1 << 31;
/// Bodies of at least this length are compressed, because an instance that
/// watches the store sends each change of a large configuration over one link to
/// all its followers, the instances that read the store through it.
const COMPRESSION_THRESHOLD_BYTES: usize = 2048;

/// Appends a message as a frame.
pub fn encode<T>(message: &T, output: &mut Vec<u8>)
where
    T: Serialize,
{
    let mut body = postcard::to_stdvec(message).expect("plain values can be serialized");
    let is_compressed = body.len() >= COMPRESSION_THRESHOLD_BYTES;
    if is_compressed {
        body = lz4_flex::compress_prepend_size(&body);
    }
    let length = u32::try_from(body.len()).expect("the body is shorter than 2 GiB");
    let flag = if is_compressed { COMPRESSED_FLAG } else { 0 };
    output.extend_from_slice(&(length | flag).to_be_bytes());
    output.extend_from_slice(&body);
}

/// Removes the next message from the front of the input, none while its frame is
/// incomplete.
///
/// # Errors
///
/// Fails if the message is too long or can't be decoded.
pub fn decode<T>(input: &mut Vec<u8>) -> Result<Option<T>, ProtocolError>
where
    T: DeserializeOwned,
{
    let Some((message, end)) = decode_front(input, MESSAGE_LIMIT_BYTES)? else {
        return Ok(None);
    };
    input.drain(..end);
    Ok(Some(message))
}

/// As [`decode`], for the input of a connection on which a frame may have `limit_bytes`.
///
/// # Errors
///
/// Fails as [`decode`] does. A frame over the limit is refused once its length is known.
pub fn decode_next<T>(input: &mut Input, limit_bytes: usize) -> Result<Option<T>, ProtocolError>
where
    T: DeserializeOwned,
{
    let Some((message, end)) = decode_front(input, limit_bytes.min(MESSAGE_LIMIT_BYTES))? else {
        return Ok(None);
    };
    input.consume(end);
    Ok(Some(message))
}

/// Decodes the first message of the input and returns it with the length of its frame.
fn decode_front<T>(input: &[u8], limit_bytes: usize) -> Result<Option<(T, usize)>, ProtocolError>
where
    T: DeserializeOwned,
{
    let Some(length) = input.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let prefix = u32::from_be_bytes(*length);
    let is_compressed = prefix & COMPRESSED_FLAG != 0;
    let length = usize::try_from(prefix & !COMPRESSED_FLAG).unwrap_or(usize::MAX);
    if length > limit_bytes {
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
    Ok(Some((message, end)))
}

/// Decompresses a body.
///
/// The size that the body states is checked before anything is allocated, so that
/// a small frame can't cause a large allocation.
fn decompress(body: &[u8]) -> Result<Vec<u8>, ProtocolError> {
    const MALFORMED: ProtocolError = ProtocolError::malformed("the message can't be decompressed");
    let (size, rest) = lz4_flex::block::uncompressed_size(body).map_err(|_| MALFORMED)?;
    if size > MESSAGE_LIMIT_BYTES {
        return Err(ProtocolError::too_large("the message is too long"));
    }
    lz4_flex::decompress(rest, size).map_err(|_| MALFORMED)
}
