//! Length-prefixed postcard frames, for the log's file and for replication.

use std::io::{self, Read, Write};

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a frame, so that a corrupt length can't exhaust the memory.
const MAX_FRAME_BYTES: usize = 256 << 20;

/// Encodes a message with its length as prefix.
pub fn encode<Message>(message: &Message) -> Vec<u8>
where
    Message: Serialize,
{
    let body = postcard::to_stdvec(message).expect("plain data can be encoded");
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(body);
    frame
}

/// Writes a message.
///
/// # Errors
///
/// Fails when the output can't be written.
pub fn write<Message>(output: &mut impl Write, message: &Message) -> io::Result<()>
where
    Message: Serialize,
{
    output.write_all(&encode(message))
}

/// Reads a message.
///
/// # Errors
///
/// Fails when the input ends or times out, and when the frame is malformed.
pub fn read<Message>(input: &mut impl Read) -> io::Result<Message>
where
    Message: DeserializeOwned,
{
    let mut length = [0; 4];
    input.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the frame is too long"));
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body)?;
    postcard::from_bytes(&body)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))
}
