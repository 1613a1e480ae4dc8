//! Fetching the document from another instance over a link.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use masticreel_wire::frame::{FrameError, FrameReader, FrameWriter, SharedKey, Side, handshake};
use masticreel_wire::message::LinkMessage;

use crate::link::configure;

/// How long a peer may take to accept a connection, and for each read of the
/// response.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Fetches a peer's active document, as JSON.
///
/// The link is opened for this one request, as new revisions are rare. No `Hello` is
/// sent, since after one the peer would roll back the open transactions of this
/// instance's sessions when the link closes.
///
/// # Errors
///
/// Fails if the peer does not respond or has another shared key.
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
