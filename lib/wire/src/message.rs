//! Messages on the TCP links between instances.

use std::sync::Arc;

use masticreel_base::failure::Failure;
use masticreel_base::ids::{GroupId, Incarnation, InstanceId, RequestId, ServerId};
use masticreel_base::position::TermPosition;
use serde::{Deserialize, Serialize};

use crate::group::{PositionRequest, PositionResponse, ViewRequest, ViewResponse};

/// Identifies a caller's session by the instance that accepted its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SessionKey {
    /// The incarnation of the instance that accepted the caller. It is
    /// derived from the start time of its process in microseconds, which makes it
    /// practically unique in the fleet.
    pub entry: Incarnation,
    /// The caller's number in that incarnation.
    pub caller: u64,
}

/// The priority class of a request at its server.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WireClass {
    /// Runs before others and may use the reserved slot.
    Urgent,
    /// An ordinary short request.
    #[default]
    Normal,
    /// Expected to run many times longer than others.
    Long,
}

/// What a request requires of the server that runs it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// The server must be the primary, since the request may write.
    Primary,
    /// Any server suffices that is recent enough for the reading session.
    Read {
        /// The minimum position that the server must have applied.
        floor: TermPosition,
        /// The largest allowed age of the data, in milliseconds, if the
        /// document limits it.
        max_staleness_ms: Option<u64>,
    },
}

/// How a request relates to a transaction, which holds a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Pinning {
    /// The request belongs to no transaction.
    Free,
    /// The request begins a transaction and holds a connection from then on.
    Begins,
    /// The request belongs to the session's open transaction.
    Pinned,
}

/// A caller's request, sent to the instance that owns the server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRequest {
    /// Identifies the request among those of the sender's incarnation.
    pub id: RequestId,
    /// The session that the request belongs to.
    pub session: SessionKey,
    /// The database group.
    pub group: GroupId,
    /// The server that is to run the request.
    pub server: ServerId,
    /// What the request requires of that server.
    pub target: Target,
    /// How the request relates to a transaction.
    pub pinning: Pinning,
    /// The priority class of the request.
    pub class: WireClass,
    /// The database user.
    pub user: Arc<str>,
    /// The database name.
    pub database: Arc<str>,
    /// The session's settings, as statements that must have run on the
    /// connection before the request.
    pub settings: Vec<Arc<str>>,
    /// The time left until the request's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Identifies statements that differ only in literals, to estimate how long
    /// the request runs; unrelated to [`RequestKey::fingerprint`].
    pub fingerprint: u64,
    /// Whether the request may leave session state on the connection after its
    /// transaction.
    pub leaves_state: bool,
    /// The caller's PostgreSQL messages, up to the one that requests the answer.
    pub payload: Vec<u8>,
    /// Prepared statements that the payload uses but does not prepare.
    pub prepared: Vec<PreparedStatement>,
    /// Names of the statements that the payload prepares.
    pub prepares: Vec<Arc<str>>,
    /// The key under which a retry finds the result of the first attempt, if the
    /// caller gave one.
    pub request_key: Option<RequestKey>,
}

/// Identifies a request that must take effect only once, even if it is retried.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestKey {
    /// The key, chosen by the caller.
    pub key: Arc<str>,
    /// Identifies the statements and parameters, to detect a key that is used
    /// for another request.
    pub fingerprint: u64,
}

/// A statement as the caller prepared it.
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
    /// The PostgreSQL messages for the caller, without the final ready message.
    pub payload: Vec<u8>,
    /// The transaction state after the request.
    pub state: TransactionState,
    /// A position that covers what the request has written or read; `None` if
    /// the server has reported no position on this connection.
    pub position: Option<TermPosition>,
    /// The server's SQLSTATE if the answer contains an error.
    pub sqlstate: Option<Arc<str>>,
}

/// The response to an [`UpstreamRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamResponse {
    /// The id of the request.
    pub id: RequestId,
    /// The server's answer, or the failure if there is none.
    pub outcome: Result<UpstreamAnswer, Failure>,
}

/// The first message on a link, in both directions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's name.
    pub instance: InstanceId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
}

/// A message on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// Introduces the sender.
    Hello(Hello),
    /// Requests that the owner of a server run a caller's request.
    Request(UpstreamRequest),
    /// Responds with the outcome of a request.
    Response(UpstreamResponse),
    /// Requests that the owner cancel the running request of a session.
    Cancel(SessionKey),
    /// Informs the owner that a session ended, so that it ends the session's
    /// open transaction.
    Release(SessionKey),
    /// Sends findings to an observer of database groups and requests its views.
    ViewRequest(ViewRequest),
    /// Responds with an observer's views.
    ViewResponse(ViewResponse),
    /// Requests a group's position from an observer.
    PositionRequest(PositionRequest),
    /// Responds with a group's position.
    PositionResponse(PositionResponse),
    /// Requests the receiver's active document.
    FetchDocument,
    /// Responds with the document, as JSON.
    Document(Vec<u8>),
}
