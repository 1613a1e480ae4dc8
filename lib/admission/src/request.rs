//! Requests for a slot of an upstream server, and the decisions about them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::{Display, From};
use masticreel_base::failure::Failure;
use masticreel_base::ids::{Incarnation, RequestId};
use masticreel_document::class::Class;

/// Identifies a caller base: the callers that together get one fair share of a
/// server.
///
/// The term is formed like "customer base": all callers of one application or
/// group of users. The daemon names a caller base after its database user and its
/// database.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From)]
#[from(Arc<str>, &str, String)]
pub struct CallerBase(Arc<str>);

/// How a request uses the server's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionNeed {
    /// Checks out a connection and returns it to the pool after the statement.
    Statement,
    /// Checks out a connection and holds it until the transaction ends.
    Transaction,
    /// Executes on the connection that its transaction already holds.
    Held,
}

/// The state of a request's connection after the request has finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionOutcome {
    /// The connection is idle and may serve another request.
    Idle,
    /// The open transaction holds the connection.
    Pinned,
    /// The connection is closed.
    Closed,
}

/// A request for one of a server's slots, as the queue handles it.
///
/// [`crate::server_admission::ServerAdmission`] creates it from a
/// [`crate::server_admission::Submission`] and adds the id and the expected time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Assigned by the owner; unique among the requests of one server.
    pub id: RequestId,
    /// Determines the priority and the slots of the request.
    pub class: Class,
    /// Expected execution time of the statement.
    pub expected: Duration,
    /// When the caller's timeout expires.
    pub deadline: Instant,
    /// The caller base whose fair share of the server the request uses.
    pub caller_base: CallerBase,
    /// The incarnation of the entry instance that sent the request.
    ///
    /// It stands for the instance itself: incarnations are start times, so two
    /// instances would share a flow only if they had started in the same
    /// microsecond.
    pub entry_incarnation: Incarnation,
    /// How the request uses the server's connections.
    pub need: ConnectionNeed,
}

impl AdmissionRequest {
    /// Returns the latest time at which the request is still started.
    ///
    /// It is the deadline less the expected execution time, but less half of the
    /// remaining time at most. Otherwise a statement that was slow once would
    /// always be refused, and its expected time, which only an execution corrects,
    /// would never decrease.
    pub(crate) fn latest_start(&self, now: Instant) -> Instant {
        let remaining = self.deadline.saturating_duration_since(now);
        self.deadline - self.expected.min(remaining / 2)
    }
}

/// What the queue decided about a request, to be carried out by the server's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueAction {
    /// Execute the request now.
    Start(RequestId),
    /// Report to the entry instance that the request was not executed and never
    /// will be.
    Refuse(RequestId, Failure),
}
