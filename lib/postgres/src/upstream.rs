//! A connection to an upstream server.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use displaydoc::Display;
use masticreel_base::position::TermPosition;
use pgwire::messages::extendedquery::{Close, Sync};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::Startup;

use crate::message::{
    MAX_UPSTREAM_MESSAGE_BYTES, MessageError, RawMessage, put_message, tag, take_message,
};
use crate::startup::CancelKey;

/// The parameter in which an upstream reports its log position.
const POSITION_PARAMETER: &str = "group_position";
/// Bytes read from a connection at a time.
const READ_BYTES: usize = 64 * 1024;
/// Prepared statements kept on a connection before it is cleared.
const MAX_PREPARED: usize = 256;
const CODE_CANCEL: u32 = 80_877_102;

/// Why a conversation with an upstream failed.
#[derive(Debug, Display)]
pub enum UpstreamError {
    /// can't connect: {0}
    Connect(io::Error),
    /// the connection failed before the request was sent: {0}
    BeforeSend(io::Error),
    /// the connection failed after the request was sent: {0}
    AfterSend(io::Error),
    /// the server refused the connection with {code}: {message}
    Refused {
        /// The server's SQLSTATE.
        code: String,
        /// The server's message.
        message: String,
    },
    /// the server broke the protocol: {0}
    Protocol(String),
}

impl std::error::Error for UpstreamError {}

impl From<MessageError> for UpstreamError {
    fn from(error: MessageError) -> Self {
        Self::Protocol(error.to_string())
    }
}

/// The transaction state after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and has failed.
    Failed,
}

/// An upstream's answer to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The messages, without the final ready message.
    pub payload: BytesMut,
    /// The transaction state after the request.
    pub state: TransactionState,
    /// The SQLSTATE of the first error, if any.
    pub sqlstate: Option<Arc<str>>,
}

/// A statement that must be prepared on the connection before a request.
#[derive(Debug, Clone, Copy)]
pub struct Needed<'a> {
    /// The statement's name.
    pub name: &'a Arc<str>,
    /// The message that prepares it; empty if it must not exist.
    pub message: &'a [u8],
}

/// What a connection must look like before a request runs.
#[derive(Debug, Clone, Copy)]
pub struct Preparation<'a> {
    /// Statements that the request uses.
    pub needed: &'a [Needed<'a>],
    /// Names that the request prepares itself.
    pub prepares: &'a [Arc<str>],
}

/// Where and as whom to connect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamAddress {
    /// The server's address.
    pub address: SocketAddr,
    /// The database user.
    pub user: Arc<str>,
    /// The database name.
    pub database: Arc<str>,
}

/// Closes a connection from another thread than the one that uses it.
#[derive(Debug)]
pub struct UpstreamCloser {
    stream: TcpStream,
}

impl UpstreamCloser {
    /// Closes the connection; whoever waits for an answer gets an error.
    pub fn close(&self) {
        // A failure only means that the peer closed first.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// A connection that runs one request at a time.
#[derive(Debug)]
pub struct UpstreamConnection {
    stream: TcpStream,
    buffer: BytesMut,
    cancel_key: Option<CancelKey>,
    position: Option<TermPosition>,
    settings: Option<Vec<Arc<str>>>,
    prepared: HashMap<Arc<str>, Vec<u8>>,
    leaves_state: bool,
}

impl UpstreamConnection {
    /// Connects and waits until the server is ready.
    ///
    /// # Errors
    ///
    /// Fails when the server is unreachable, slow or refuses the connection.
    pub fn connect(address: &UpstreamAddress, timeout: Duration) -> Result<Self, UpstreamError> {
        let stream = TcpStream::connect_timeout(&address.address, timeout)
            .map_err(UpstreamError::Connect)?;
        stream.set_nodelay(true).map_err(UpstreamError::Connect)?;
        stream.set_read_timeout(Some(timeout)).map_err(UpstreamError::Connect)?;
        stream.set_write_timeout(Some(timeout)).map_err(UpstreamError::Connect)?;
        let mut connection = Self {
            stream,
            buffer: BytesMut::new(),
            cancel_key: None,
            position: None,
            settings: Some(Vec::new()),
            prepared: HashMap::new(),
            leaves_state: false,
        };
        connection.start_up(address)?;
        Ok(connection)
    }

    fn start_up(&mut self, address: &UpstreamAddress) -> Result<(), UpstreamError> {
        let mut startup = Startup::new();
        startup.parameters.insert("user".to_owned(), address.user.to_string());
        startup.parameters.insert("database".to_owned(), address.database.to_string());
        let mut packet = BytesMut::new();
        put_message(&mut packet, &startup);
        self.stream.write_all(&packet).map_err(UpstreamError::Connect)?;
        let answer = self.read_answer().map_err(|error| match error {
            UpstreamError::AfterSend(error) => UpstreamError::Connect(error),
            other => other,
        })?;
        match answer.sqlstate {
            None => Ok(()),
            Some(code) => Err(UpstreamError::Refused {
                code: code.to_string(),
                message: error_field(&answer.payload, b'M').unwrap_or_default(),
            }),
        }
    }

    /// Returns a handle with which another thread can close the connection.
    ///
    /// # Errors
    ///
    /// Fails when the system has no room for another descriptor.
    pub fn closer(&self) -> io::Result<UpstreamCloser> {
        Ok(UpstreamCloser { stream: self.stream.try_clone()? })
    }

    /// Returns what the server last reported about its log on this connection.
    pub fn position(&self) -> Option<TermPosition> {
        self.position
    }

    /// Returns the key with which a running request can be cancelled.
    pub fn cancel_key(&self) -> Option<CancelKey> {
        self.cancel_key
    }

    /// Changes how long an answer may take.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses the timeout.
    pub fn set_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(timeout))
    }

    /// Notes that the last request left more behind than prepared statements.
    pub fn mark_leaves_state(&mut self) {
        self.leaves_state = true;
        self.settings = None;
    }

    /// Returns whether the idle connection is still open and silent.
    pub fn is_usable(&self) -> bool {
        if !self.buffer.is_empty() || self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.stream.peek(&mut [0]);
        let blocked = matches!(&peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).is_ok() && blocked
    }

    /// Runs one request and returns the whole answer.
    ///
    /// # Errors
    ///
    /// After any error the connection must be closed, since late answers could
    /// be taken for those of another request.
    pub fn run(
        &mut self,
        preparation: Preparation<'_>,
        payload: &[u8],
    ) -> Result<Answer, UpstreamError> {
        let mut packet = BytesMut::with_capacity(payload.len() + 64);
        let skipped_answers = self.put_preparation(&mut packet, preparation);
        packet.put_slice(payload);
        self.stream.write_all(&packet).map_err(UpstreamError::AfterSend)?;
        for _ in 0..skipped_answers {
            let skipped = self.read_answer()?;
            if skipped.sqlstate.is_some() {
                self.prepared.clear();
            }
        }
        let answer = self.read_answer()?;
        for name in preparation.prepares {
            self.prepared.remove(name);
        }
        // The server keeps the statements until they are replaced or discarded.
        self.leaves_state |= self.prepared.len() > MAX_PREPARED;
        Ok(answer)
    }

    /// Runs a simple query that needs no preparation.
    ///
    /// # Errors
    ///
    /// As [`UpstreamConnection::run`].
    pub fn query(&mut self, sql: &str) -> Result<Answer, UpstreamError> {
        let mut packet = BytesMut::new();
        put_message(&mut packet, &Query::new(sql.to_owned()));
        let preparation = Preparation { needed: &[], prepares: &[] };
        self.run(preparation, &packet)
    }

    /// Ends what the last requests left behind besides prepared statements.
    ///
    /// # Errors
    ///
    /// As [`UpstreamConnection::run`], also when the server refuses.
    pub fn reset(&mut self) -> Result<(), UpstreamError> {
        if !self.leaves_state {
            return Ok(());
        }
        self.query_checked("DISCARD ALL")?;
        self.leaves_state = false;
        self.prepared.clear();
        self.settings = Some(Vec::new());
        Ok(())
    }

    /// Gives the connection a session's settings before any of its requests.
    ///
    /// # Errors
    ///
    /// As [`UpstreamConnection::run`], also when the server refuses a setting;
    /// no request has been sent then.
    pub fn adopt_settings(&mut self, settings: &[Arc<str>]) -> Result<(), UpstreamError> {
        if self.settings.as_deref() == Some(settings) {
            return Ok(());
        }
        let mut sql = "RESET ALL".to_owned();
        for setting in settings {
            sql.push_str("; ");
            sql.push_str(setting);
        }
        self.settings = None;
        self.query_checked(&sql)?;
        self.settings = Some(settings.to_vec());
        Ok(())
    }

    fn query_checked(&mut self, sql: &str) -> Result<(), UpstreamError> {
        let answer = self.query(sql)?;
        match answer.sqlstate {
            None => Ok(()),
            Some(code) => {
                let message = error_field(&answer.payload, b'M').unwrap_or_default();
                Err(UpstreamError::Refused { code: code.to_string(), message })
            }
        }
    }

    /// Appends what the request needs first; returns how many answers that yields.
    fn put_preparation(&mut self, packet: &mut BytesMut, preparation: Preparation<'_>) -> usize {
        let before = packet.len();
        for needed in preparation.needed {
            if self.prepared.get(needed.name).is_some_and(|known| known == needed.message) {
                continue;
            }
            put_close(packet, needed.name);
            packet.put_slice(needed.message);
            self.prepared.insert(needed.name.clone(), needed.message.to_vec());
        }
        for name in preparation.prepares {
            put_close(packet, name);
        }
        if packet.len() == before {
            return 0;
        }
        put_message(packet, &Sync::new());
        1
    }

    /// Reads messages up to the one that says the server is ready.
    fn read_answer(&mut self) -> Result<Answer, UpstreamError> {
        let mut payload = BytesMut::new();
        let mut sqlstate = None;
        loop {
            let Some(message) = take_message(&mut self.buffer, MAX_UPSTREAM_MESSAGE_BYTES)? else {
                if self.fill_buffer()? == 0 {
                    return self.answer_at_end(payload, sqlstate);
                }
                continue;
            };
            match message.tag {
                tag::READY => {
                    let state = transaction_state(message.body())?;
                    return Ok(Answer { payload, state, sqlstate });
                }
                tag::PARAMETER_STATUS if self.note_parameter(&message) => {}
                tag::BACKEND_KEY => self.note_cancel_key(&message),
                tag::COPY_IN | tag::COPY_BOTH => {
                    return Err(UpstreamError::Protocol("COPY is not supported".to_owned()));
                }
                tag::ERROR => {
                    let code = error_field(&message.bytes, b'C').unwrap_or_default();
                    sqlstate.get_or_insert(code.into());
                    payload.put_slice(&message.bytes);
                }
                _ => payload.put_slice(&message.bytes),
            }
        }
    }

    /// Makes an answer of a fatal error, or reports that the stream ended.
    fn answer_at_end(
        &self,
        payload: BytesMut,
        sqlstate: Option<Arc<str>>,
    ) -> Result<Answer, UpstreamError> {
        let Some(code) = sqlstate else {
            return Err(UpstreamError::AfterSend(io::ErrorKind::UnexpectedEof.into()));
        };
        let message = error_field(&payload, b'M').unwrap_or_default();
        Err(UpstreamError::Refused { code: code.to_string(), message })
    }

    fn fill_buffer(&mut self) -> Result<usize, UpstreamError> {
        let length = self.buffer.len();
        self.buffer.resize(length + READ_BYTES, 0);
        // A process that was stopped and continued is interrupted in its wait.
        let result = loop {
            match self.stream.read(&mut self.buffer[length..]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => break result,
            }
        };
        let received = *result.as_ref().unwrap_or(&0);
        self.buffer.truncate(length + received);
        result.map_err(UpstreamError::AfterSend)
    }

    /// Takes note of a position report; returns whether it was one.
    fn note_parameter(&mut self, message: &RawMessage) -> bool {
        let Some((name, rest)) = RawMessage::split_text(message.body()) else { return false };
        if name != POSITION_PARAMETER {
            return false;
        }
        let value = RawMessage::split_text(rest).map(|(value, _)| value);
        self.position = value.and_then(|value| value.parse().ok()).or(self.position);
        true
    }

    fn note_cancel_key(&mut self, message: &RawMessage) {
        if let [a, b, c, d, e, f, g, h] = *message.body() {
            let process = u32::from_be_bytes([a, b, c, d]);
            let secret = u32::from_be_bytes([e, f, g, h]);
            self.cancel_key = Some(CancelKey { process, secret });
        }
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        // A failure only means that the peer closed first.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Asks a server to cancel what one of its connections is running.
///
/// # Errors
///
/// Fails when the server is unreachable.
pub fn send_cancel(address: SocketAddr, key: CancelKey, timeout: Duration) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_write_timeout(Some(timeout))?;
    let mut packet = BytesMut::new();
    packet.put_u32(16);
    packet.put_u32(CODE_CANCEL);
    packet.put_u32(key.process);
    packet.put_u32(key.secret);
    stream.write_all(&packet)
}

fn put_close(packet: &mut BytesMut, name: &str) {
    let name = Some(name).filter(|name| !name.is_empty()).map(str::to_owned);
    put_message(packet, &Close::new(b'S', name));
}

fn transaction_state(body: &[u8]) -> Result<TransactionState, UpstreamError> {
    match body {
        b"I" => Ok(TransactionState::Idle),
        b"T" => Ok(TransactionState::Open),
        b"E" => Ok(TransactionState::Failed),
        _ => Err(UpstreamError::Protocol("unknown transaction status".to_owned())),
    }
}

/// Returns a field of the first error message in an answer.
pub fn error_field(payload: &[u8], field: u8) -> Option<String> {
    let mut buffer = BytesMut::from(payload);
    while let Ok(Some(message)) = take_message(&mut buffer, MAX_UPSTREAM_MESSAGE_BYTES) {
        if message.tag != tag::ERROR {
            continue;
        }
        let mut fields = message.body();
        while let Some((&kind, rest)) = fields.split_first() {
            let (value, rest) = RawMessage::split_text(rest)?;
            if kind == field {
                return Some(value.to_owned());
            }
            fields = rest;
        }
    }
    None
}

/// Returns the columns of each row in an answer, as text; NULL as nothing.
pub fn text_rows(payload: &[u8]) -> Vec<Vec<Option<String>>> {
    let mut buffer = BytesMut::from(payload);
    let mut rows = Vec::new();
    while let Ok(Some(message)) = take_message(&mut buffer, MAX_UPSTREAM_MESSAGE_BYTES) {
        if message.tag == tag::DATA_ROW {
            rows.extend(text_columns(message.body()));
        }
    }
    rows
}

fn text_columns(body: &[u8]) -> Option<Vec<Option<String>>> {
    let (count, mut rest) = body.split_first_chunk::<2>()?;
    let mut columns = Vec::new();
    for _ in 0..u16::from_be_bytes(*count) {
        let (length, tail) = rest.split_first_chunk::<4>()?;
        let length = i32::from_be_bytes(*length);
        let Ok(length) = usize::try_from(length) else {
            columns.push(None);
            rest = tail;
            continue;
        };
        columns.push(Some(String::from_utf8_lossy(tail.get(..length)?).into_owned()));
        rest = &tail[length..];
    }
    Some(columns)
}
