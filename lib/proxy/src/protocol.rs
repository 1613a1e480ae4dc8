//! Interfaces to the protocols that an instance uses with callers, servers,
//! the store, the promoter and HTTP clients.
//!
//! Implementations translate between bytes and the crate's types. They make no
//! decisions and open no connections. All of them decode in the same way: they
//! remove one complete message from the front of the input, return none while it
//! is incomplete, and fail on bytes that violate the protocol. A platform is an
//! environment in which instances run, with its own protocols; [`Platform`]
//! collects the implementations for one. An upstream is a server.

use std::sync::Arc;

use derive_more::{Display, Error};
use masticreel_base::ids::{GroupId, ServerId};
use masticreel_base::position::TermPosition;
use serde::{Deserialize, Serialize};

use crate::directory::{Document, Server};
use crate::organisations::ApiKey;
use crate::records::{StoreCall, StoreReply};
use crate::statement::{Answer, Command, Failure, RequestTag, SessionState, Statement};

/// Received bytes violate the protocol, so the connection can't be used any more,
/// also if the message is only too long.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct ProtocolError {
    /// What is wrong, without quoting the bytes.
    pub reason: &'static str,
    /// Whether the message exceeds a size limit.
    pub is_too_large: bool,
}

impl ProtocolError {
    /// Creates an error for bytes that violate the protocol.
    pub const fn malformed(reason: &'static str) -> Self {
        Self { reason, is_too_large: false }
    }

    /// Creates an error for a message that exceeds a size limit.
    pub const fn too_large(reason: &'static str) -> Self {
        Self { reason, is_too_large: true }
    }
}

/// A message from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens the session.
    Start {
        /// The requested database.
        database: Arc<str>,
        /// The caller's key, if it sent one.
        key: Option<ApiKey>,
    },
    /// A request.
    Request {
        /// The caller's id of the request.
        tag: RequestTag,
        /// The statement, or why it can't be parsed.
        statement: Result<Statement, Failure>,
    },
    /// Ends the session.
    Finish,
}

/// A message from a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamMessage {
    /// A row of an answer.
    Row(Arc<str>),
    /// The command succeeded; with the server's signature if it sent one (see
    /// [`Outcome`](crate::statement::Outcome)).
    Complete(Option<Arc<str>>),
    /// The command failed.
    Error(Failure),
    /// The answer is complete, and the server accepts the next command.
    Ready {
        /// The state of the session.
        state: SessionState,
        /// The last position that the server has applied.
        position: Option<TermPosition>,
    },
}

/// An HTTP request to the instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HttpRequest {
    /// Asks whether the instance accepts new callers.
    Readiness,
    /// Asks for the metrics.
    Metrics,
    /// Any other request.
    Unknown,
}

/// The protocol used with callers.
pub trait CallerProtocol {
    /// Removes the next message from the input, none while it is incomplete.
    fn decode(&self, input: &mut Vec<u8>) -> Result<Option<CallerMessage>, ProtocolError>;

    /// Appends the answer to [`CallerMessage::Start`].
    fn encode_start(&self, outcome: Result<(), &Failure>, output: &mut Vec<u8>);

    /// Appends the answer to a request.
    fn encode_answer(&self, answer: &Answer, output: &mut Vec<u8>);

    /// Appends the error that is sent before the connection is closed.
    fn encode_protocol_error(&self, error: &ProtocolError, output: &mut Vec<u8>);
}

/// The protocol used with servers.
pub trait UpstreamProtocol {
    /// Appends the request for a session. It names the server, so that another
    /// server at its address refuses, and the organisation whose work will run on the
    /// connection, if there are organisations.
    fn encode_start(
        &self,
        group: &GroupId,
        server: &ServerId,
        organisation: Option<&str>,
        output: &mut Vec<u8>,
    );

    /// Appends a command.
    fn encode_command(&self, command: &Command, output: &mut Vec<u8>);

    /// Removes the next message from the input, none while it is incomplete.
    fn decode(&self, input: &mut Vec<u8>) -> Result<Option<UpstreamMessage>, ProtocolError>;

    /// Parses the row with which a server answers [`Command::Status`]; none if it
    /// is not valid.
    fn decode_status(&self, row: &str) -> Option<crate::statement::ServerStatus>;
}

/// The parsed value of a key in the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreContent {
    /// The configuration document of the operators.
    Document(Document),
    /// The entry of a server, which the server maintains.
    Server(Server),
    /// A record of the proxy, which [`crate::store_view`] parses.
    Record,
    /// A document or entry that can't be used, and why.
    Unusable(&'static str),
    /// A key that belongs neither to the proxy nor to its servers.
    Unrelated,
}

/// The protocol used with the store.
pub trait StoreProtocol {
    /// Appends a call.
    fn encode(&self, call: &StoreCall, output: &mut Vec<u8>);

    /// Removes the answer to a call from the input, none while it is incomplete.
    ///
    /// Revisions in it are numbered by its era; those of calls are encoded as the store gave
    /// them out.
    fn decode(
        &self,
        call: &StoreCall,
        input: &mut Vec<u8>,
    ) -> Result<Option<StoreReply>, ProtocolError>;

    /// Parses the value of a key.
    fn parse_content(&self, key: &str, value: &[u8]) -> StoreContent;

    /// Returns the server whose entry has this key, none for other keys.
    fn server_of_key(&self, key: &str) -> Option<ServerId>;
}

/// The answer to a request to promote a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum PromoterAnswer {
    /// The server will become the primary, or is the primary already.
    #[display("accepted")]
    Accepted,
    /// The promoter rejected the request: the server is not running, or a request
    /// with a higher token was received before.
    #[display("refused")]
    Refused,
    /// The promoter could not process the request; it may be retried.
    #[display("unavailable")]
    Unavailable,
}

/// The protocol used with the promoter, which makes servers primaries.
pub trait PromoterProtocol {
    /// Appends a request.
    fn encode(&self, request: &PromotionRequest, output: &mut Vec<u8>);

    /// Removes the answer from the input, none while it is incomplete.
    fn decode(&self, input: &mut Vec<u8>) -> Result<Option<PromoterAnswer>, ProtocolError>;
}

/// A request to promote a server to primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromotionRequest {
    /// The group that gets a new primary.
    pub group: GroupId,
    /// The server that becomes the primary.
    pub server: ServerId,
    /// The instance that sends the request, the active coordinator.
    pub coordinator: Arc<str>,
    /// A fencing token: it rises with each change of the active coordinator, so
    /// that requests of earlier ones can be refused.
    pub fencing_token: u64,
}

/// The protocol used with HTTP clients that ask for readiness or metrics.
pub trait HttpProtocol {
    /// Removes the next request from the input, none while it is incomplete.
    fn decode(&self, input: &mut Vec<u8>) -> Result<Option<HttpRequest>, ProtocolError>;

    /// Appends a response.
    fn encode(&self, is_ok: bool, body: &str, output: &mut Vec<u8>);
}

/// The protocols that an instance uses on one platform.
pub trait Platform {
    /// The callers' protocol.
    type Callers: CallerProtocol;
    /// The servers' protocol.
    type Upstreams: UpstreamProtocol;
    /// The store's protocol.
    type Store: StoreProtocol;
    /// The promoter's protocol.
    type Promoter: PromoterProtocol;
    /// The protocol of the HTTP endpoints.
    type Http: HttpProtocol;

    /// Returns the callers' protocol.
    fn callers(&self) -> &Self::Callers;
    /// Returns the servers' protocol.
    fn upstreams(&self) -> &Self::Upstreams;
    /// Returns the store's protocol.
    fn store(&self) -> &Self::Store;
    /// Returns the promoter's protocol.
    fn promoter(&self) -> &Self::Promoter;
    /// Returns the protocol of the HTTP endpoints.
    fn http(&self) -> &Self::Http;
}
