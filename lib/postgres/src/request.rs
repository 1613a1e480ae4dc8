//! Collecting a caller's messages into requests that are answered as a whole.
//!
//! A [`RequestAssembler`] collects the messages of one [`CallerRequest`]. A
//! [`RequestPlan`] lists the statements that the request runs and the prepared
//! statements that it uses, which [`PreparedStatements`] keeps for the caller's
//! connection, since each request may run on another upstream connection.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;

use crate::message::{MAX_CALLER_MESSAGE_BYTES, MessageError, RawMessage, tag, take_message};
use crate::statement::{StatementKind, analyze};

/// Largest total size of the messages collected for one request, in bytes, unless another
/// limit is set.
const MAX_REQUEST_BYTES: usize = 32 * 1024 * 1024;
/// Memory that a collected message takes beside its bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 64;

/// Why bytes from a caller are not a valid request.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum RequestError {
    /// {0}
    Message(MessageError),
    /// a request of more than {0} bytes is too large
    TooLarge(usize),
    /// the message type {0:?} is not expected here
    UnexpectedMessage(char),
    /// a message of type {0:?} is malformed
    Malformed(char),
}

impl std::error::Error for RequestError {}

impl From<MessageError> for RequestError {
    fn from(error: MessageError) -> Self {
        Self::Message(error)
    }
}

/// What a caller's messages request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerInput {
    /// A complete request.
    Request(CallerRequest),
    /// The caller requests answers before the end of a series of messages,
    /// which is not supported; the rest of the series is skipped.
    Flush,
    /// The caller ends the connection.
    Terminate,
}

/// A simple query, or a series of extended-query messages up to its `Sync`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// The messages in the order of their arrival.
    pub messages: Vec<RawMessage>,
}

/// Collects messages until a request is complete.
#[derive(Debug)]
pub struct RequestAssembler {
    max_request_bytes: usize,
    pending: Vec<RawMessage>,
    /// The size of the pending messages with their overhead, so that a series of many
    /// short ones is bounded too.
    pending_bytes: usize,
    /// Whether the rest of a series is skipped, after a refused `Flush`.
    skipping: bool,
}

impl Default for RequestAssembler {
    fn default() -> Self {
        Self::with_limit(MAX_REQUEST_BYTES)
    }
}

impl RequestAssembler {
    /// Creates an assembler that refuses requests over a size in bytes.
    pub fn with_limit(max_request_bytes: usize) -> Self {
        Self { max_request_bytes, pending: Vec::new(), pending_bytes: 0, skipping: false }
    }

    /// Returns the memory that the collected messages hold, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Removes the next messages from a buffer until a request is complete.
    ///
    /// Returns nothing while the request is incomplete.
    ///
    /// # Errors
    ///
    /// Fails when the bytes violate the protocol. The connection must then be
    /// closed.
    pub fn next_input(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<Option<CallerInput>, RequestError> {
        while let Some(message) = take_message(buffer, self.max_message_bytes())? {
            if let Some(input) = self.accept(message)? {
                return Ok(Some(input));
            }
        }
        Ok(None)
    }

    fn max_message_bytes(&self) -> usize {
        self.max_request_bytes.min(MAX_CALLER_MESSAGE_BYTES)
    }

    /// Returns whether part of a request has been collected.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    fn accept(&mut self, message: RawMessage) -> Result<Option<CallerInput>, RequestError> {
        match message.tag {
            tag::TERMINATE => Ok(Some(CallerInput::Terminate)),
            tag::QUERY => {
                self.push(message)?;
                Ok(Some(self.take_request()))
            }
            tag::SYNC => {
                self.skipping = false;
                self.push(message)?;
                Ok(Some(self.take_request()))
            }
            _ if self.skipping => Ok(None),
            tag::FLUSH => {
                self.pending.clear();
                self.pending_bytes = 0;
                self.skipping = true;
                Ok(Some(CallerInput::Flush))
            }
            tag::PARSE | tag::BIND | tag::DESCRIBE | tag::EXECUTE | tag::CLOSE => {
                self.push(message)?;
                Ok(None)
            }
            other => Err(RequestError::UnexpectedMessage(other.into())),
        }
    }

    fn push(&mut self, message: RawMessage) -> Result<(), RequestError> {
        self.pending_bytes += message.bytes.len() + MESSAGE_OVERHEAD_BYTES;
        if self.pending_bytes > self.max_request_bytes + MESSAGE_OVERHEAD_BYTES {
            return Err(RequestError::TooLarge(self.max_request_bytes));
        }
        self.pending.push(message);
        Ok(())
    }

    fn take_request(&mut self) -> CallerInput {
        self.pending_bytes = 0;
        CallerInput::Request(CallerRequest { messages: std::mem::take(&mut self.pending) })
    }
}

/// The statements that a caller has prepared on its connection, by name.
#[derive(Debug, Default)]
pub struct PreparedStatements {
    by_name: HashMap<Arc<str>, Bytes>,
    held_bytes: usize,
}

/// A change that a request makes to the caller's prepared statements if it
/// succeeds.
#[derive(Debug, Clone, PartialEq, Eq)]
enum PreparedChange {
    Prepare(Arc<str>, Bytes),
    Close(Arc<str>),
    CloseAll,
}

/// A prepared statement that a request uses without preparing it itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NeededStatement {
    /// The caller's name for the statement.
    pub name: Arc<str>,
    /// The message that prepares the statement; empty if the caller has not
    /// prepared one of this name.
    pub message: Bytes,
}

/// A statement that a request runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestStatement {
    /// The statement's text.
    pub text: Arc<str>,
    /// How the statement is classified.
    pub kind: StatementKind,
}

/// What the proxy must know about a request before it sends it to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestPlan {
    /// The bytes of all the request's messages.
    pub payload: Vec<u8>,
    /// The statements that the request runs.
    pub statements: Vec<RequestStatement>,
    /// Prepared statements that the request uses without preparing them.
    pub needed: Vec<NeededStatement>,
    /// Names of the statements that the request prepares.
    pub prepares: Vec<Arc<str>>,
    /// Whether the request is a simple query.
    pub is_simple: bool,
    changes: Vec<PreparedChange>,
}

impl RequestPlan {
    /// Analyses a request, given the statements that the caller has prepared.
    ///
    /// # Errors
    ///
    /// Fails when a message is malformed. The connection must then be closed.
    pub fn new(
        request: &CallerRequest,
        prepared: &PreparedStatements,
    ) -> Result<Self, RequestError> {
        let mut plan = Self {
            payload: Vec::new(),
            statements: Vec::new(),
            needed: Vec::new(),
            prepares: Vec::new(),
            is_simple: request.messages.iter().any(|message| message.tag == tag::QUERY),
            changes: Vec::new(),
        };
        for message in &request.messages {
            plan.payload.extend_from_slice(&message.bytes);
            plan.add_message(message, prepared)
                .ok_or(RequestError::Malformed(message.tag.into()))?;
        }
        Ok(plan)
    }

    fn add_message(&mut self, message: &RawMessage, prepared: &PreparedStatements) -> Option<()> {
        let body = message.body();
        match message.tag {
            tag::QUERY => {
                let (sql, _) = RawMessage::split_text(body)?;
                self.push_sql(sql);
            }
            tag::PARSE => {
                let (name, rest) = RawMessage::split_text(body)?;
                RawMessage::split_text(rest)?;
                let name = Arc::<str>::from(name);
                self.prepares.push(name.clone());
                self.changes.push(PreparedChange::Prepare(name, message.bytes.clone()));
            }
            tag::BIND => {
                let (_, rest) = RawMessage::split_text(body)?;
                let (name, _) = RawMessage::split_text(rest)?;
                let bytes = self.use_statement(name, prepared);
                let sql = parse_sql(&bytes).unwrap_or("").to_owned();
                self.push_sql(&sql);
            }
            tag::DESCRIBE if body.first() == Some(&b'S') => {
                let (name, _) = RawMessage::split_text(&body[1..])?;
                self.use_statement(name, prepared);
            }
            tag::CLOSE if body.first() == Some(&b'S') => {
                let (name, _) = RawMessage::split_text(&body[1..])?;
                self.changes.push(PreparedChange::Close(name.into()));
            }
            _ => {}
        }
        Some(())
    }

    fn push_sql(&mut self, sql: &str) {
        for statement in analyze(sql) {
            if statement.kind == StatementKind::Discard {
                self.changes.push(PreparedChange::CloseAll);
            }
            let text = Arc::from(statement.text);
            self.statements.push(RequestStatement { text, kind: statement.kind });
        }
    }

    /// Returns the message that prepares the named statement.
    ///
    /// A statement that this request prepares takes precedence; any other is
    /// added to the needed ones.
    fn use_statement(&mut self, name: &str, prepared: &PreparedStatements) -> Bytes {
        let own = self.changes.iter().rev().find_map(|change| match change {
            PreparedChange::Prepare(prepared, bytes) if &**prepared == name => Some(bytes.clone()),
            _ => None,
        });
        if let Some(bytes) = own {
            return bytes;
        }
        let bytes = prepared.by_name.get(name).cloned().unwrap_or_default();
        if !self.needed.iter().any(|needed| &*needed.name == name) {
            self.needed.push(NeededStatement { name: name.into(), message: bytes.clone() });
        }
        bytes
    }
}

impl PreparedStatements {
    /// Returns the memory that the statements hold, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    fn insert(&mut self, name: &Arc<str>, message: &Bytes) {
        self.remove(name);
        self.held_bytes += name.len() + message.len() + MESSAGE_OVERHEAD_BYTES;
        // A copy, since the message shares the memory of all that was received with it.
        self.by_name.insert(name.clone(), Bytes::copy_from_slice(message));
    }

    fn remove(&mut self, name: &Arc<str>) {
        if let Some(message) = self.by_name.remove(name) {
            self.held_bytes -= name.len() + message.len() + MESSAGE_OVERHEAD_BYTES;
        }
    }

    /// Applies the changes of a request that was answered without an error.
    pub fn apply(&mut self, plan: &RequestPlan) {
        for change in &plan.changes {
            match change {
                PreparedChange::Prepare(name, bytes) => {
                    self.insert(name, bytes);
                }
                PreparedChange::Close(name) => self.remove(name),
                PreparedChange::CloseAll => {
                    self.by_name.clear();
                    self.held_bytes = 0;
                }
            }
        }
    }

    /// Removes the statements that a failed request would have prepared.
    ///
    /// After an error it is unknown which messages of the series took effect,
    /// so the caller must prepare the statements again, as after any error.
    pub fn discard_prepared_by(&mut self, plan: &RequestPlan) {
        for name in &plan.prepares {
            self.remove(name);
        }
    }
}

/// Returns the query text in a message that prepares a statement.
fn parse_sql(message: &Bytes) -> Option<&str> {
    let body = message.get(crate::message::HEADER_BYTES..)?;
    let (_, rest) = RawMessage::split_text(body)?;
    RawMessage::split_text(rest).map(|(sql, _)| sql)
}
