//! The first messages of a connection, which decide what it is used for.

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

/// What a new connection is used for.
#[derive(Debug)]
pub enum ConnectionPurpose {
    /// A session with these parameters.
    Session {
        /// The start-up parameters.
        parameters: BTreeMap<String, String>,
        /// Whether the caller asked for a newer minor version of the protocol than
        /// 3.0; it is then told that the server has only 3.0.
        needs_version_negotiation: bool,
    },
    /// To cancel another connection's statement.
    Cancel(CancelRequest),
    /// To receive the server's log.
    Replication,
    /// Nothing: the other side has closed it.
    Closed,
}

/// Returns the context for decoding the messages of a session.
pub fn session_context() -> DecodeContext {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}

/// Reads the first messages; requests for encryption are refused.
///
/// # Errors
///
/// Fails when the connection breaks or the other side violates the protocol.
pub fn read(stream: &mut &TcpStream, buffer: &mut BytesMut) -> io::Result<ConnectionPurpose> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    loop {
        if is_replication(buffer) {
            let _ = buffer.split_to(8);
            return Ok(ConnectionPurpose::Replication);
        }
        let message = PgWireFrontendMessage::decode(buffer, &context).map_err(invalid)?;
        match message {
            None => {
                if !fill(stream, buffer)? {
                    return Ok(ConnectionPurpose::Closed);
                }
            }
            Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                context.awaiting_frontend_ssl = false;
            }
            Some(PgWireFrontendMessage::SslNegotiation(_)) => stream.write_all(b"N")?,
            Some(PgWireFrontendMessage::CancelRequest(request)) => {
                return Ok(ConnectionPurpose::Cancel(request));
            }
            Some(PgWireFrontendMessage::Startup(startup)) => return session_purpose(startup),
            Some(_) => return Err(invalid("unexpected message before the start-up")),
        }
    }
}

fn session_purpose(startup: Startup) -> io::Result<ConnectionPurpose> {
    if startup.protocol_number_major != 3 {
        return Err(invalid("unsupported frontend protocol"));
    }
    let needs_version_negotiation = startup.protocol_number_minor != 0;
    Ok(ConnectionPurpose::Session { parameters: startup.parameters, needs_version_negotiation })
}

/// Reads more bytes; returns false at the end of the stream.
///
/// # Errors
///
/// Fails when the connection breaks.
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
