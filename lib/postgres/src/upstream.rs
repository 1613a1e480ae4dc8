//! A connection to an upstream server.
//!
//! An [`UpstreamConnection`] runs one request at a time and blocks until the
//! whole answer was received. It keeps track of what sessions have left on the
//! connection (prepared statements, settings, other state), so that a later
//! session's requests run on what that session expects.

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
/// Largest number of bytes read from a connection at a time.
const READ_BYTES: usize = 64 * 1024;
/// Size of an answer up to which a connection keeps its buffer for the next, in bytes.
const KEPT_BUFFER_BYTES: usize = 2 * READ_BYTES;
/// With more prepared statements than this on a connection, its next reset discards
/// them all.
const PREPARED_RESET_THRESHOLD: usize = 256;
/// With more bytes of prepared statements than this on a connection, its next reset
/// discards them all, since the connection keeps a copy of each.
const PREPARED_RESET_BYTES: usize = 1024 * 1024;
/// Largest answer that is accepted, in bytes, unless another limit is set. A larger one
/// would not fit into a message between instances either.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
const CODE_CANCEL: u32 = 80_877_102;

/// Why connecting to an upstream or running a request there failed.
///
/// A failed write is an [`UpstreamError::AfterSend`], since a part of the request
/// may have been sent.
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
    /// the answer has more than {0} bytes
    AnswerTooLarge(usize),
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
    /// The messages for the caller, without the final ready message.
    pub payload: BytesMut,
    /// The transaction state after the request.
    pub state: TransactionState,
    /// The SQLSTATE of the first error, if any.
    pub sqlstate: Option<Arc<str>>,
}

/// A prepared statement that a request uses without preparing it itself.
#[derive(Debug, Clone, Copy)]
pub struct Needed<'a> {
    /// The statement's name.
    pub name: &'a Arc<str>,
    /// The message that prepares the statement; empty if the caller has not
    /// prepared it, so that a statement of this name is closed on the connection.
    pub message: &'a [u8],
}

/// The prepared statements that a connection must and must not have before a
/// request runs.
#[derive(Debug, Clone, Copy)]
pub struct Preparation<'a> {
    /// Statements that the request uses without preparing them.
    pub needed: &'a [Needed<'a>],
    /// Names of the statements that the request prepares, which must be free.
    pub prepares: &'a [Arc<str>],
}

/// The server to connect to, with the user and database of the session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamAddress {
    /// The server's address.
    pub address: SocketAddr,
    /// The database user.
    pub user: Arc<str>,
    /// The database name.
    pub database: Arc<str>,
}

/// Closes a connection from a thread other than the one that uses it.
#[derive(Debug)]
pub struct UpstreamCloser {
    stream: TcpStream,
}

impl UpstreamCloser {
    /// Closes the connection; a call that waits for an answer on it fails.
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
    /// The settings applied last; `None` if a request or a failure may have
    /// changed them.
    settings: Option<Vec<Arc<str>>>,
    /// The statements prepared on the connection, with the message that
    /// prepared each.
    prepared: HashMap<Arc<str>, Vec<u8>>,
    /// Whether the next reset must discard the session state.
    needs_reset: bool,
    max_answer_bytes: usize,
}

impl UpstreamConnection {
    /// Connects and waits until the server is ready.
    ///
    /// # Errors
    ///
    /// Fails when the server is unreachable, does not answer within the timeout
    /// or refuses the connection.
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
            needs_reset: false,
            max_answer_bytes: MAX_ANSWER_BYTES,
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
    /// Fails when the system can't create another file descriptor.
    pub fn closer(&self) -> io::Result<UpstreamCloser> {
        Ok(UpstreamCloser { stream: self.stream.try_clone()? })
    }

    /// Returns the log position that the server last reported on this connection.
    pub fn position(&self) -> Option<TermPosition> {
        self.position
    }

    /// Returns the key for cancelling the running request with [`send_cancel`].
    pub fn cancel_key(&self) -> Option<CancelKey> {
        self.cancel_key
    }

    /// Sets how long a read waits for bytes of an answer.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses the timeout, for example if it is zero.
    pub fn set_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(timeout))
    }

    /// Sets the size in bytes beyond which an answer is not received further.
    pub fn set_max_answer_bytes(&mut self, bytes: usize) {
        self.max_answer_bytes = bytes;
    }

    /// Records that the last request may have left state on the connection other
    /// than prepared statements, so that the next reset discards it.
    pub fn mark_needs_reset(&mut self) {
        self.needs_reset = true;
        self.settings = None;
    }

    /// Returns whether the idle connection is still open and has no unread bytes.
    pub fn is_usable(&self) -> bool {
        if !self.buffer.is_empty() || self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.stream.peek(&mut [0]);
        let blocked = matches!(&peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).is_ok() && blocked
    }

    /// Runs one request and returns its whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails, the server violates the protocol,
    /// requests `COPY` data or ends the connection with an error. After any
    /// failure the connection must be closed, since a late answer could be
    /// taken for that of another request.
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
        let prepared_bytes: usize = self.prepared.values().map(Vec::len).sum();
        self.needs_reset |=
            self.prepared.len() > PREPARED_RESET_THRESHOLD || prepared_bytes > PREPARED_RESET_BYTES;
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

    /// Discards the session state that earlier requests left, if there is any
    /// besides a bounded number of prepared statements.
    ///
    /// # Errors
    ///
    /// As [`UpstreamConnection::run`], and also when the server refuses.
    pub fn reset(&mut self) -> Result<(), UpstreamError> {
        if !self.needs_reset {
            return Ok(());
        }
        self.query_checked("DISCARD ALL")?;
        self.needs_reset = false;
        self.prepared.clear();
        self.settings = Some(Vec::new());
        Ok(())
    }

    /// Applies a session's settings, if they differ from those applied last.
    ///
    /// It must be called before the session's requests run.
    ///
    /// # Errors
    ///
    /// As [`UpstreamConnection::run`], and also when the server refuses a
    /// setting; no request of the session has been sent then.
    pub fn apply_settings(&mut self, settings: &[Arc<str>]) -> Result<(), UpstreamError> {
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

    /// Appends the messages that prepare the connection for a request.
    ///
    /// Returns how many answers the server sends to them, 0 or 1.
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

    /// Reads messages up to the one that reports that the server is ready.
    fn read_answer(&mut self) -> Result<Answer, UpstreamError> {
        let mut payload = BytesMut::new();
        let mut sqlstate = None;
        loop {
            let Some(message) = take_message(&mut self.buffer, MAX_UPSTREAM_MESSAGE_BYTES)? else {
                if payload.len() + self.buffer.len() > self.max_answer_bytes {
                    return Err(UpstreamError::AnswerTooLarge(self.max_answer_bytes));
                }
                if self.fill_buffer()? == 0 {
                    return self.end_of_stream(payload, sqlstate);
                }
                continue;
            };
            match message.tag {
                tag::READY => {
                    let state = transaction_state(message.body())?;
                    if self.buffer.is_empty() && payload.len() > KEPT_BUFFER_BYTES {
                        // The buffer may be the rest of one that was as large as the answer.
                        self.buffer = BytesMut::new();
                    }
                    return Ok(Answer { payload, state, sqlstate });
                }
                tag::PARAMETER_STATUS if self.record_position(&message) => {}
                tag::BACKEND_KEY => self.record_cancel_key(&message),
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

    /// Returns the error for a stream that ended before the answer was complete.
    ///
    /// If the server sent an error first, that is taken as the reason.
    fn end_of_stream(
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
        // The read is interrupted when the process was stopped and continued.
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

    /// Records the log position if the message reports one; returns whether it
    /// does.
    fn record_position(&mut self, message: &RawMessage) -> bool {
        let Some((name, rest)) = RawMessage::split_text(message.body()) else { return false };
        if name != POSITION_PARAMETER {
            return false;
        }
        let value = RawMessage::split_text(rest).map(|(value, _)| value);
        self.position = value.and_then(|value| value.parse().ok()).or(self.position);
        true
    }

    fn record_cancel_key(&mut self, message: &RawMessage) {
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

/// Requests that a server cancel the running request of a connection.
///
/// The timeout bounds the connection attempt and each write.
///
/// # Errors
///
/// Fails when the server is unreachable or the request can't be sent.
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

/// Returns a field of the first error message in an answer, by its type byte.
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

/// Returns the columns of each row in an answer as text; NULL is `None`.
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
