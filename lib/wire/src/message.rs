//! Messages on the TCP links between instances.

use std::sync::Arc;

use masticreel_base::failure::Failure;
use masticreel_base::ids::{GroupId, Incarnation, InstanceId, RequestId, ServerId};
use masticreel_base::position::TermPosition;
use serde::{Deserialize, Serialize};

use crate::group::{PositionRequest, PositionResponse, ViewRequest, ViewResponse};

/// Names one caller's session at the instance that accepted the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SessionKey {
    /// The life of the instance that accepted the caller.
    pub entry: Incarnation,
    /// The caller's number in that life.
    pub caller: u64,
}

/// How a request competes for its server.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WireClass {
    /// Goes first and may use the reserved slot.
    Urgent,
    /// Ordinary short work.
    #[default]
    Normal,
    /// Runs many times longer than the rest.
    Long,
}

/// What the upstream must be to serve a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// The primary, since the request may write.
    Primary,
    /// Any server that shows what the reading session must see.
    Read {
        /// The position that the server must have applied.
        floor: TermPosition,
        /// The age allowed, in milliseconds, if the document states one.
        max_staleness_ms: Option<u64>,
    },
}

/// How a request relates to a transaction that holds a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Pinning {
    /// The request stands alone.
    Free,
    /// The request begins a transaction, which will hold a connection.
    Begins,
    /// The request belongs to the session's open transaction.
    Pinned,
}

/// A caller's request on its way to the instance that owns the server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRequest {
    /// Numbers the request within the sender's life.
    pub id: RequestId,
    /// The session that the request belongs to.
    pub session: SessionKey,
    /// The database group.
    pub group: GroupId,
    /// The server that is to run the request.
    pub server: ServerId,
    /// What that server must be to run it.
    pub target: Target,
    /// Whether the request belongs to an open transaction.
    pub pinning: Pinning,
    /// How the request competes with others.
    pub class: WireClass,
    /// The database user.
    pub user: Arc<str>,
    /// The database name.
    pub database: Arc<str>,
    /// Settings of the session, as statements to run first on a fresh connection.
    pub settings: Vec<Arc<str>>,
    /// Time left until the caller gives up, in milliseconds.
    pub deadline_ms: u64,
    /// Identifies statements of the same shape, for expected times.
    pub fingerprint: u64,
    /// Whether the request may change the connection beyond the transaction.
    pub leaves_state: bool,
    /// PostgreSQL messages from the caller, up to the one that asks for the answer.
    pub payload: Vec<u8>,
    /// Named statements that the payload uses but does not prepare.
    pub prepared: Vec<PreparedStatement>,
    /// Names of the statements that the payload prepares.
    pub prepares: Vec<Arc<str>>,
    /// The name under which a repeat finds the first result.
    pub request_key: Option<RequestKey>,
}

/// A caller's name for a request that must not run twice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestKey {
    /// The name.
    pub key: Arc<str>,
    /// Identifies the statements and their parameters.
    pub fingerprint: u64,
}

/// A named statement as the caller prepared it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreparedStatement {
    /// The caller's name for the statement.
    pub name: Arc<str>,
    /// The PostgreSQL message that prepares it.
    pub message: Vec<u8>,
}

/// The transaction state that an upstream reports after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and has failed.
    Failed,
}

/// An upstream's whole answer to one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamAnswer {
    /// PostgreSQL messages for the caller, without the final ready message.
    pub payload: Vec<u8>,
    /// The transaction state after the request.
    pub state: TransactionState,
    /// What the session has now written or seen.
    pub position: Option<TermPosition>,
    /// The server's SQLSTATE when the answer holds an error.
    pub sqlstate: Option<Arc<str>>,
}

/// The outcome of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamResponse {
    /// The request's number.
    pub id: RequestId,
    /// The answer, or why there is none.
    pub outcome: Result<UpstreamAnswer, Failure>,
}

/// The first message on a link, in both directions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's name.
    pub instance: InstanceId,
    /// The sender's life.
    pub incarnation: Incarnation,
}

/// Everything that travels on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// Introduces the sender.
    Hello(Hello),
    /// Asks the owner of a server to run a request.
    Request(UpstreamRequest),
    /// Answers a request.
    Response(UpstreamResponse),
    /// Asks the owner to cancel what a session is running.
    Cancel(SessionKey),
    /// Tells the owner that a session ended, with whatever it held open.
    Release(SessionKey),
    /// Brings findings to an observer and asks for its views.
    ViewRequest(ViewRequest),
    /// Answers with an observer's views.
    ViewResponse(ViewResponse),
    /// Asks an observer for a group's position.
    PositionRequest(PositionRequest),
    /// Answers with a group's position.
    PositionResponse(PositionResponse),
    /// Asks for the document in force at the receiver.
    FetchDocument,
    /// Carries the document, as JSON.
    Document(Vec<u8>),
}
