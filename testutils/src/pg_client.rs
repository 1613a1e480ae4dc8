//! A small blocking PostgreSQL client for tests.
//!
//! It exposes what a caller receives: rows, command tags, errors and the
//! transaction status of each answer.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use derive_more::{Display, From};
use pgwire::error::PgWireError;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::data::DataRow;
use pgwire::messages::extendedquery::{Bind, Describe, Execute, Parse, Sync};
use pgwire::messages::response::{ErrorResponse, TransactionStatus};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{SecretKey, Startup};
use pgwire::messages::terminate::Terminate;
use pgwire::messages::{
    DecodeContext, Message, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};

/// The largest number of bytes that one read receives.
const CHUNK_BYTES: usize = 16 * 1024;

/// An error that the server reported.
#[derive(Debug, Default, Clone, PartialEq, Eq, Display)]
#[display("{severity} {code}: {message}")]
pub struct ServerError {
    /// `ERROR`, `FATAL` or `PANIC`.
    pub severity: String,
    /// The SQLSTATE.
    pub code: String,
    /// The message for people.
    pub message: String,
    /// The detail, if the server sent one.
    pub detail: Option<String>,
    /// The hint, if the server sent one.
    pub hint: Option<String>,
}

impl From<ErrorResponse> for ServerError {
    fn from(response: ErrorResponse) -> Self {
        let mut error = Self::default();
        for (field, value) in response.fields {
            match field {
                b'S' => error.severity = value,
                b'C' => error.code = value,
                b'M' => error.message = value,
                b'D' => error.detail = Some(value),
                b'H' => error.hint = Some(value),
                _ => {}
            }
        }
        error
    }
}

/// Why a connection attempt or a request failed.
#[derive(Debug, Display, From)]
pub enum ClientError {
    /// The connection broke or a read timed out.
    #[display("connection: {_0}")]
    Io(io::Error),
    /// The server sent bytes that can't be decoded.
    #[display("protocol: {_0}")]
    Protocol(PgWireError),
    /// The server refused the connection, or a set-up statement of a load.
    #[display("refused: {_0}")]
    Refused(ServerError),
}

impl std::error::Error for ClientError {}

/// A row as text; `None` is NULL.
pub type TextRow = Vec<Option<String>>;

/// What one statement returned.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct StatementResult {
    /// The names of the columns.
    pub columns: Vec<String>,
    /// The rows.
    pub rows: Vec<TextRow>,
    /// The command tag; `None` if the statement did not complete.
    pub tag: Option<String>,
}

/// Everything that the server sent up to ReadyForQuery or a fatal error.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The statements' results in their order.
    pub results: Vec<StatementResult>,
    /// The error that ended the statements, if any.
    pub error: Option<ServerError>,
    /// The transaction status, `I`, `T` or `E`; `None` after a fatal
    /// error, with which the server closes the connection.
    pub status: Option<char>,
}

impl Answer {
    /// Returns the rows of the first statement.
    pub fn rows(&self) -> &[TextRow] {
        self.results.first().map_or(&[], |result| &result.rows)
    }

    /// Returns the first value of the first row.
    pub fn value(&self) -> Option<&str> {
        self.rows().first()?.first()?.as_deref()
    }

    /// Returns the command tag of the first statement.
    pub fn tag(&self) -> Option<&str> {
        self.results.first()?.tag.as_deref()
    }

    /// Returns the error's SQLSTATE.
    pub fn error_code(&self) -> Option<&str> {
        self.error.as_ref().map(|error| error.code.as_str())
    }
}

/// A connection to a PostgreSQL server or to masticreel.
#[derive(Debug)]
pub struct PgClient {
    stream: TcpStream,
    input: BytesMut,
    context: DecodeContext,
    parameters: BTreeMap<String, String>,
    key: Option<(i32, SecretKey)>,
}

impl PgClient {
    /// Connects and waits until the server is ready.
    ///
    /// The parameters are those of the start-up message, such as `user`. The
    /// timeout applies to connecting and to each read.
    ///
    /// # Errors
    ///
    /// Fails when the server is unreachable, does not answer within the timeout or
    /// refuses the connection.
    pub fn connect(
        address: SocketAddr,
        parameters: &[(&str, &str)],
        timeout: Duration,
    ) -> Result<Self, ClientError> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        context.awaiting_frontend_ssl = false;
        context.awaiting_frontend_startup = false;
        let mut client = Self {
            stream,
            input: BytesMut::new(),
            context,
            parameters: BTreeMap::new(),
            key: None,
        };
        let given = parameters.iter().map(|(name, value)| (name.to_string(), value.to_string()));
        let mut startup = Startup::new();
        startup.parameters = given.collect();
        client.send(&[PgWireFrontendMessage::Startup(startup)])?;
        let answer = client.read_answer()?;
        match answer.error {
            Some(error) => Err(ClientError::Refused(error)),
            None => Ok(client),
        }
    }

    /// Returns a parameter status that the server has reported.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.parameters.get(name).map(String::as_str)
    }

    /// Returns the stream, for tests that read or write raw bytes.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Changes the timeout of each read.
    ///
    /// # Errors
    ///
    /// Fails when the timeout is zero.
    pub fn set_timeout(&self, timeout: Duration) -> Result<(), ClientError> {
        Ok(self.stream.set_read_timeout(Some(timeout))?)
    }

    /// Runs statements with the simple query protocol.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks; errors that the server reports are part
    /// of the answer.
    pub fn query(&mut self, sql: &str) -> Result<Answer, ClientError> {
        self.send(&[PgWireFrontendMessage::Query(Query::new(sql.to_owned()))])?;
        self.read_answer()
    }

    /// Runs a statement with the extended query protocol and parameters as text.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks; errors that the server reports are part
    /// of the answer.
    pub fn execute(&mut self, sql: &str, values: &[Option<&str>]) -> Result<Answer, ClientError> {
        let mut messages = extended_messages(sql, values);
        messages.push(PgWireFrontendMessage::Sync(Sync::new()));
        self.send(&messages)?;
        self.read_answer()
    }

    /// Runs statements with the extended query protocol and one Sync at the end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks; errors that the server reports are part
    /// of the answer.
    pub fn pipeline(
        &mut self,
        statements: &[(&str, &[Option<&str>])],
    ) -> Result<Answer, ClientError> {
        let mut messages: Vec<PgWireFrontendMessage> =
            statements.iter().flat_map(|(sql, values)| extended_messages(sql, values)).collect();
        messages.push(PgWireFrontendMessage::Sync(Sync::new()));
        self.send(&messages)?;
        self.read_answer()
    }

    /// Sends messages without waiting for an answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub fn send(&mut self, messages: &[PgWireFrontendMessage]) -> Result<(), ClientError> {
        let mut output = BytesMut::new();
        for message in messages {
            message.encode(&mut output)?;
        }
        Ok(self.stream.write_all(&output)?)
    }

    /// Reads one message.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the read times out.
    pub fn read_message(&mut self) -> Result<PgWireBackendMessage, ClientError> {
        let mut chunk = [0; CHUNK_BYTES];
        loop {
            if let Some(message) = PgWireBackendMessage::decode(&mut self.input, &self.context)? {
                return Ok(message);
            }
            let count = match self.stream.read(&mut chunk) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                result => result?,
            };
            if count == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
            self.input.extend_from_slice(&chunk[..count]);
        }
    }

    /// Reads up to the next ReadyForQuery or fatal error.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks without a fatal error from the server.
    pub fn read_answer(&mut self) -> Result<Answer, ClientError> {
        let mut answer = Answer::default();
        let mut current = StatementResult::default();
        loop {
            match self.read_message()? {
                PgWireBackendMessage::ReadyForQuery(ready) => {
                    answer.status = Some(status_letter(ready.status));
                    return Ok(answer);
                }
                PgWireBackendMessage::RowDescription(description) => {
                    current.columns =
                        description.fields.into_iter().map(|field| field.name).collect();
                }
                PgWireBackendMessage::DataRow(row) => current.rows.push(text_row(&row)),
                PgWireBackendMessage::CommandComplete(complete) => {
                    current.tag = Some(complete.tag);
                    answer.results.push(std::mem::take(&mut current));
                }
                PgWireBackendMessage::EmptyQueryResponse(_)
                | PgWireBackendMessage::PortalSuspended(_) => {
                    answer.results.push(std::mem::take(&mut current));
                }
                PgWireBackendMessage::ErrorResponse(response) => {
                    let error = ServerError::from(response);
                    let is_fatal = error.severity != "ERROR";
                    answer.error = Some(error);
                    if is_fatal {
                        return Ok(answer);
                    }
                }
                PgWireBackendMessage::ParameterStatus(status) => {
                    self.parameters.insert(status.name, status.value);
                }
                PgWireBackendMessage::BackendKeyData(key) => {
                    self.key = Some((key.pid, key.secret_key));
                }
                _ => {}
            }
        }
    }

    /// Returns the request that cancels this connection's statement.
    pub fn cancel_request(&self) -> Option<CancelRequest> {
        let (pid, secret) = self.key.clone()?;
        Some(CancelRequest::new(pid, secret))
    }

    /// Closes the connection with a Terminate message.
    ///
    /// # Errors
    ///
    /// Fails when the connection is already broken.
    pub fn close(mut self) -> Result<(), ClientError> {
        self.send(&[PgWireFrontendMessage::Terminate(Terminate::new())])
    }
}

/// Sends a cancel request on a separate connection, as the protocol requires.
///
/// # Errors
///
/// Fails when the server is unreachable.
pub fn send_cancel(address: SocketAddr, request: &CancelRequest) -> Result<(), ClientError> {
    let mut output = BytesMut::new();
    request.encode(&mut output)?;
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(&output)?;
    // The server closes the connection after it has processed the request.
    stream.read_to_end(&mut Vec::new())?;
    Ok(())
}

fn extended_messages(sql: &str, values: &[Option<&str>]) -> Vec<PgWireFrontendMessage> {
    let values = values.iter().map(|value| value.map(|text| Bytes::from(text.to_owned())));
    let bind = Bind::new(None, None, Vec::new(), values.collect(), Vec::new());
    vec![
        PgWireFrontendMessage::Parse(Parse::new(None, sql.to_owned(), Vec::new())),
        PgWireFrontendMessage::Bind(bind),
        PgWireFrontendMessage::Describe(Describe::new(b'P', None)),
        PgWireFrontendMessage::Execute(Execute::new(None, 0)),
    ]
}

fn status_letter(status: TransactionStatus) -> char {
    match status {
        TransactionStatus::Idle => 'I',
        TransactionStatus::Transaction => 'T',
        TransactionStatus::Error => 'E',
    }
}

/// Reads a row's fields as text.
pub fn text_row(row: &DataRow) -> TextRow {
    let mut rest = row.data.as_ref();
    let mut fields = Vec::new();
    for _ in 0..row.field_count {
        let Some((length, after)) = rest.split_first_chunk::<4>() else {
            break;
        };
        let Ok(length) = usize::try_from(i32::from_be_bytes(*length)) else {
            fields.push(None);
            rest = after;
            continue;
        };
        let (field, after) = after.split_at(length.min(after.len()));
        fields.push(Some(String::from_utf8_lossy(field).into_owned()));
        rest = after;
    }
    fields
}

/// Encodes a start-up message with any protocol version, for tests of versions
/// that the server refuses.
pub fn startup_bytes(major: u16, minor: u16, body: &[u8]) -> Vec<u8> {
    let mut output = BytesMut::new();
    output.put_u32(8 + body.len() as u32);
    output.put_u16(major);
    output.put_u16(minor);
    output.put_slice(body);
    output.to_vec()
}
