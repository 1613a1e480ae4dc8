//! The seams between the product and what is spoken around it.
//!
//! Implementations translate between bytes and the product's types; they take
//! no decisions and open no connections.

use std::sync::Arc;

use derive_more::{Display, Error};
use masticreel_base::ids::{GroupId, ServerId};
use masticreel_base::position::TermPosition;
use serde::{Deserialize, Serialize};

use crate::directory::{Document, Server};
use crate::records::{StoreAnswer, StoreCall};
use crate::statement::{Answer, Command, Failure, RequestTag, SessionState, Statement};

/// Bytes that can't be understood; the connection is of no more use.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct ProtocolError {
    /// What was wrong, without the bytes themselves.
    pub reason: &'static str,
    /// Whether a limit on size was exceeded.
    pub is_too_large: bool,
}

impl ProtocolError {
    /// Creates an error about bytes that don't follow the protocol.
    pub const fn malformed(reason: &'static str) -> Self {
        Self { reason, is_too_large: false }
    }

    /// Creates an error about a message over the limit.
    pub const fn too_large(reason: &'static str) -> Self {
        Self { reason, is_too_large: true }
    }
}

/// What a caller sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens the session.
    Start {
        /// The database that the caller wants.
        database: Arc<str>,
    },
    /// Asks for something.
    Request {
        /// The caller's id of the request.
        tag: RequestTag,
        /// The statement, or why it isn't one.
        statement: Result<Statement, Failure>,
    },
    /// Ends the session.
    Finish,
}

/// What a server sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamMessage {
    /// A row of an answer.
    Row(Arc<str>),
    /// The answer succeeded, with the server's signature if it gave one.
    Complete(Option<Arc<str>>),
    /// The answer is a failure.
    Error(Failure),
    /// The answer has ended.
    Ready {
        /// The session's state.
        state: SessionState,
        /// The last position that the server applied.
        position: Option<TermPosition>,
    },
}

/// A request to the instance's own page server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PageRequest {
    /// Whether new callers may be sent here.
    Readiness,
    /// The metrics.
    Metrics,
    /// Anything else.
    Unknown,
}

/// Translates between callers' bytes and requests.
pub trait CallerProtocol {
    /// Takes the next message off the front of the input, if it is whole.
    fn decode(&self, input: &mut Vec<u8>) -> Result<Option<CallerMessage>, ProtocolError>;

    /// Appends the answer to a session's start.
    fn encode_start(&self, outcome: Result<(), &Failure>, output: &mut Vec<u8>);

    /// Appends an answer.
    fn encode_answer(&self, answer: &Answer, output: &mut Vec<u8>);

    /// Appends a failure that ends the connection.
    fn encode_protocol_error(&self, error: &ProtocolError, output: &mut Vec<u8>);
}

/// Translates between commands and servers' bytes.
pub trait UpstreamProtocol {
    /// Appends the opening of a session with a server that is named, so that
    /// another one at its address refuses.
    fn encode_start(&self, group: &GroupId, server: &ServerId, output: &mut Vec<u8>);

    /// Appends a command.
    fn encode_command(&self, command: &Command, output: &mut Vec<u8>);

    /// Takes the next message off the front of the input, if it is whole.
    fn decode(&self, input: &mut Vec<u8>) -> Result<Option<UpstreamMessage>, ProtocolError>;

    /// Reads the row with which a server answers [`Command::Status`].
    fn decode_status(&self, row: &str) -> Option<crate::statement::ServerStatus>;
}

/// What a key of the store holds.
#[derive(Debug, Clone, PartialEq)]
pub enum Content {
    /// The operators' document.
    Document(Document),
    /// What a server says of itself.
    Server(Server),
    /// A record of the product's own.
    Own,
    /// Something that can't be read or is of no use, and why.
    Unusable(&'static str),
    /// Something that concerns neither the product nor its servers.
    Foreign,
}

/// Translates between calls of the store and bytes.
pub trait StoreProtocol {
    /// Appends a call.
    fn encode(&self, call: &StoreCall, output: &mut Vec<u8>);

    /// Takes the answer to a call off the front of the input, if it is whole.
    fn decode(
        &self,
        call: &StoreCall,
        input: &mut Vec<u8>,
    ) -> Result<Option<StoreAnswer>, ProtocolError>;

    /// Says what the value of a key is.
    fn content(&self, key: &str, value: &[u8]) -> Content;

    /// Returns the server whose entry has this key, if it is one.
    fn server_of_key(&self, key: &str) -> Option<ServerId>;
}

/// The answer to an order to promote a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum PromoterAnswer {
    /// The server will lead, or leads already.
    #[display("accepted")]
    Accepted,
    /// The server is not running, or the holder was outrun.
    #[display("refused")]
    Refused,
    /// The order was not taken; it may be given again.
    #[display("unavailable")]
    Unavailable,
}

/// Translates orders to promote a server.
pub trait PromoterProtocol {
    /// Appends an order.
    fn encode(&self, order: &PromotionOrder, output: &mut Vec<u8>);

    /// Takes the answer off the front of the input, if it is whole.
    fn decode(&self, input: &mut Vec<u8>) -> Result<Option<PromoterAnswer>, ProtocolError>;
}

/// An order to promote a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromotionOrder {
    /// The group that gets a new primary.
    pub group: GroupId,
    /// The server that takes over.
    pub server: ServerId,
    /// The instance that gives the order.
    pub holder: Arc<str>,
    /// Rises with each change of the holder.
    pub token: u64,
}

/// Translates requests for the instance's own pages.
pub trait PageProtocol {
    /// Takes the next request off the front of the input, if it is whole.
    fn decode(&self, input: &mut Vec<u8>) -> Result<Option<PageRequest>, ProtocolError>;

    /// Appends a page.
    fn encode(&self, is_ok: bool, body: &str, output: &mut Vec<u8>);
}

/// Everything that is spoken around an instance.
pub trait Platform {
    /// What callers speak.
    type Callers: CallerProtocol;
    /// What servers speak.
    type Upstreams: UpstreamProtocol;
    /// What the store speaks.
    type Store: StoreProtocol;
    /// What the promoter speaks.
    type Promoter: PromoterProtocol;
    /// What the reader of pages speaks.
    type Pages: PageProtocol;

    /// Returns the callers' protocol.
    fn callers(&self) -> &Self::Callers;
    /// Returns the servers' protocol.
    fn upstreams(&self) -> &Self::Upstreams;
    /// Returns the store's protocol.
    fn store(&self) -> &Self::Store;
    /// Returns the promoter's protocol.
    fn promoter(&self) -> &Self::Promoter;
    /// Returns the protocol of the pages.
    fn pages(&self) -> &Self::Pages;
}
