//! Requests as the admission of an upstream server sees them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::{Display, From};
use masticreel_base::failure::Failure;
use masticreel_base::ids::{Incarnation, RequestId};
use masticreel_document::class::Class;

/// Names the callers that share one fair share of a server.
///
/// It is the database user or the database name, whichever tells the caller
/// bases of a deployment apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From)]
#[from(Arc<str>, &str, String)]
pub struct CallerBase(Arc<str>);

/// Says how a request relates to the server's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionNeed {
    /// Takes a connection and gives it back after the statement.
    Statement,
    /// Takes a connection and keeps it until the transaction ends.
    Transaction,
    /// Runs on the connection that its transaction holds already.
    Held,
}

/// Says what became of a request's connection when the request finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionOutcome {
    /// The connection may serve another request.
    Idle,
    /// The connection stays with the open transaction.
    Pinned,
    /// The connection is closed.
    Closed,
}

/// A request that asks for one of a server's slots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Distinguishes the request from all others at this owner.
    pub id: RequestId,
    /// How the request competes with others.
    pub class: Class,
    /// How long the statement is expected to execute.
    pub expected: Duration,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Whose share of the server the request uses.
    pub caller_base: CallerBase,
    /// The life of the entry instance that sent the request.
    pub entry: Incarnation,
    /// How the request relates to the server's connections.
    pub need: ConnectionNeed,
}

impl AdmissionRequest {
    /// Returns when the request must start to be finished by its deadline.
    ///
    /// The expected time counts for half of the patience at most: otherwise a
    /// statement that once took long would be refused for ever, because only an
    /// execution can correct what was learned.
    pub(crate) fn latest_start(&self, now: Instant) -> Instant {
        let patience = self.deadline.saturating_duration_since(now);
        self.deadline - self.expected.min(patience / 2)
    }
}

/// What the owner has to do about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Execute the request now.
    Start(RequestId),
    /// Tell the entry that the request did not run and never will.
    Refuse(RequestId, Failure),
}
