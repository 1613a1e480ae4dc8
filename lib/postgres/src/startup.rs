//! The start of a caller's connection: its first packet and the messages that
//! accept it.

use std::collections::BTreeMap;

use bytes::{Buf, BytesMut};
use displaydoc::Display;
use pgwire::messages::response::{ReadyForQuery, TransactionStatus};
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};

use crate::message::{RawMessage, put_message};

/// Largest start-up packet accepted, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Smallest start-up packet, in bytes: a length field and a code.
const MIN_STARTUP_BYTES: usize = 8;
// Codes that special packets carry in place of a protocol version.
const CODE_CANCEL: u32 = 80_877_102;
const CODE_SSL: u32 = 80_877_103;
const CODE_GSS: u32 = 80_877_104;
const PROTOCOL_MAJOR: u32 = 3;

/// The first packet of a caller's connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartupPacket {
    /// Requests encryption, which is answered with a refusal.
    EncryptionRequest,
    /// Requests that the running request of another connection be cancelled.
    Cancel(CancelKey),
    /// Opens a session.
    Open(StartupParameters),
}

/// Identifies a connection in cancel requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CancelKey {
    /// The number in the place of a server's process id.
    pub process: u32,
    /// The secret that proves the right to cancel.
    pub secret: u32,
}

/// The parameters with which a caller opens a session.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StartupParameters {
    /// The database user.
    pub user: String,
    /// The database name.
    pub database: String,
    /// All other parameters, including those from `options`.
    pub settings: BTreeMap<String, String>,
}

/// Why a start-up packet was refused.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum StartupError {
    /// the start-up packet has an impossible length of {0} bytes
    BadLength(usize),
    /// protocol version {0}.{1} is not supported
    BadVersion(u32, u32),
    /// the start-up packet is malformed
    Malformed,
    /// the start-up packet names no user
    NoUser,
}

impl std::error::Error for StartupError {}

/// Removes a start-up packet from a buffer.
///
/// Returns nothing while the packet is incomplete.
///
/// # Errors
///
/// Fails when the packet is malformed, too large, names no user or is of an
/// unsupported protocol version.
pub fn take_startup(buffer: &mut BytesMut) -> Result<Option<StartupPacket>, StartupError> {
    if buffer.len() < 4 {
        return Ok(None);
    }
    let length = (&buffer[..4]).get_u32() as usize;
    if !(MIN_STARTUP_BYTES..=MAX_STARTUP_BYTES).contains(&length) {
        return Err(StartupError::BadLength(length));
    }
    if buffer.len() < length {
        return Ok(None);
    }
    let mut packet = buffer.split_to(length);
    packet.advance(4);
    let code = packet.get_u32();
    match code {
        CODE_SSL | CODE_GSS => Ok(Some(StartupPacket::EncryptionRequest)),
        CODE_CANCEL => parse_cancel(&packet).map(Some),
        _ if code >> 16 == PROTOCOL_MAJOR => parse_parameters(&packet).map(Some),
        _ => Err(StartupError::BadVersion(code >> 16, code & 0xffff)),
    }
}

fn parse_cancel(mut packet: &[u8]) -> Result<StartupPacket, StartupError> {
    if packet.len() != 8 {
        return Err(StartupError::Malformed);
    }
    let process = packet.get_u32();
    let secret = packet.get_u32();
    Ok(StartupPacket::Cancel(CancelKey { process, secret }))
}

fn parse_parameters(mut packet: &[u8]) -> Result<StartupPacket, StartupError> {
    let mut settings = BTreeMap::new();
    loop {
        let (key, rest) = RawMessage::split_text(packet).ok_or(StartupError::Malformed)?;
        if key.is_empty() {
            break;
        }
        let (value, rest) = RawMessage::split_text(rest).ok_or(StartupError::Malformed)?;
        settings.insert(key.to_owned(), value.to_owned());
        packet = rest;
    }
    let user = settings.remove("user").filter(|user| !user.is_empty());
    let user = user.ok_or(StartupError::NoUser)?;
    let database = settings.remove("database").unwrap_or_else(|| user.clone());
    if let Some(options) = settings.remove("options") {
        settings.extend(parse_options(&options));
    }
    Ok(StartupPacket::Open(StartupParameters { user, database, settings }))
}

/// Returns the `-c key=value` and `--key=value` settings in start-up options.
fn parse_options(options: &str) -> Vec<(String, String)> {
    let mut settings = Vec::new();
    let mut words = options.split_whitespace();
    while let Some(word) = words.next() {
        let assignment = match word {
            "-c" => words.next(),
            _ => word.strip_prefix("-c").or_else(|| word.strip_prefix("--")),
        };
        if let Some((key, value)) = assignment.and_then(|text| text.split_once('=')) {
            settings.push((key.to_owned(), value.to_owned()));
        }
    }
    settings
}

/// Server parameters that every caller receives when it is accepted.
const PARAMETERS: [(&str, &str); 8] = [
    ("server_version", "16.0 (masticreel)"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("IntervalStyle", "postgres"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Appends the messages that accept a caller: authentication, server
/// parameters, the key for cancel requests and readiness.
pub fn put_startup_response(buffer: &mut BytesMut, key: CancelKey) {
    put_message(buffer, &Authentication::Ok);
    for (name, value) in PARAMETERS {
        put_parameter(buffer, name, value);
    }
    let secret = SecretKey::I32(key.secret as i32);
    put_message(buffer, &BackendKeyData::new(key.process as i32, secret));
    put_ready(buffer, TransactionStatus::Idle);
}

/// Appends a message that reports the value of a parameter.
pub fn put_parameter(buffer: &mut BytesMut, name: &str, value: &str) {
    put_message(buffer, &ParameterStatus::new(name.to_owned(), value.to_owned()));
}

/// Appends `ReadyForQuery`: the server is ready for the next request.
pub fn put_ready(buffer: &mut BytesMut, status: TransactionStatus) {
    put_message(buffer, &ReadyForQuery::new(status));
}
