//! Fetching the document from another instance.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use masticreel_wire::frame::{FrameError, FrameReader, FrameWriter, SharedKey, Side, handshake};
use masticreel_wire::message::LinkMessage;

use crate::link::configure;

/// Longest wait for a peer to accept a link, or for the next bytes of an answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks a peer for the document in force there, as JSON.
///
/// The link is opened for this one question, as revisions are rare. It does not
/// introduce this instance, whose sessions don't depend on it.
///
/// # Errors
///
/// Fails when the peer does not answer or has another key.
pub fn fetch_document(peer: SocketAddr, key: &SharedKey) -> Result<Vec<u8>, FrameError> {
    let mut stream = TcpStream::connect_timeout(&peer, FETCH_TIMEOUT)?;
    configure(&stream)?;
    stream.set_read_timeout(Some(FETCH_TIMEOUT))?;
    let keys = handshake(&mut stream, Side::Connecting, key)?;
    let mut writer = FrameWriter::new(stream.try_clone()?, keys.outgoing);
    let mut reader = FrameReader::new(stream, keys.incoming);
    writer.send(&LinkMessage::FetchDocument)?;
    loop {
        if let LinkMessage::Document(body) = reader.receive()? {
            return Ok(body);
        }
    }
}
