//! The first messages of a connection.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::TcpStream;

use bytes::BytesMut;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::Startup;
use pgwire::messages::{
    DecodeContext, PgWireFrontendMessage, ProtocolVersion, SslNegotiationMetaMessage,
};

use crate::upstream::replication::REPLICATION_CODE;

/// What a new connection wants.
#[derive(Debug)]
pub enum Opening {
    /// A session with these parameters.
    Session {
        /// The start-up parameters.
        parameters: BTreeMap<String, String>,
        /// Whether the client asked for a newer minor version of the protocol.
        negotiates: bool,
    },
    /// The cancellation of another connection's statement.
    Cancel(CancelRequest),
    /// The group's log.
    Replication,
    /// Nothing; the peer is gone.
    Closed,
}

/// Returns the context for decoding the messages of a session.
pub fn session_context() -> DecodeContext {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}

/// Reads the first messages and refuses encryption.
///
/// # Errors
///
/// Fails when the peer is gone or breaks the protocol.
pub fn read(stream: &mut &TcpStream, buffer: &mut BytesMut) -> io::Result<Opening> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    loop {
        if is_replication(buffer) {
            let _ = buffer.split_to(8);
            return Ok(Opening::Replication);
        }
        let message = PgWireFrontendMessage::decode(buffer, &context).map_err(invalid)?;
        match message {
            None => {
                if !fill(stream, buffer)? {
                    return Ok(Opening::Closed);
                }
            }
            Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                context.awaiting_frontend_ssl = false;
            }
            Some(PgWireFrontendMessage::SslNegotiation(_)) => stream.write_all(b"N")?,
            Some(PgWireFrontendMessage::CancelRequest(request)) => {
                return Ok(Opening::Cancel(request));
            }
            Some(PgWireFrontendMessage::Startup(startup)) => return opening(startup),
            Some(_) => return Err(invalid("unexpected message before the start-up")),
        }
    }
}

fn opening(startup: Startup) -> io::Result<Opening> {
    if startup.protocol_number_major != 3 {
        return Err(invalid("unsupported frontend protocol"));
    }
    let negotiates = startup.protocol_number_minor != 0;
    Ok(Opening::Session { parameters: startup.parameters, negotiates })
}

/// Reads more bytes; returns false at the end of the stream.
///
/// # Errors
///
/// Fails when the peer is gone.
pub fn fill(stream: &mut &TcpStream, buffer: &mut BytesMut) -> io::Result<bool> {
    let mut chunk = [0; 16 * 1024];
    let count = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..count]);
    Ok(count > 0)
}

fn is_replication(buffer: &BytesMut) -> bool {
    buffer.get(4..8) == Some(REPLICATION_CODE.to_be_bytes().as_slice())
}

fn invalid(error: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}
