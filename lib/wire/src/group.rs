//! Messages about the state of database groups.
//!
//! An observer is an instance that polls the servers of a group. Its view is what it
//! knows about the group. A finding is its assessment of the group's primary, sent to
//! the other observers. See `masticreel_group`.
//!
//! Times are sent as ages, so that the clocks of two instances are never
//! compared. The receiver subtracts an age from the time at which it sent its
//! request, so the result is never later than the time that the sender meant.

use masticreel_base::ids::{FailureDomain, GroupId, InstanceId, RequestId, ServerId, Term};
use masticreel_base::position::TermPosition;
use serde::{Deserialize, Serialize};

/// How an observer assesses a group's primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WireAssessment {
    /// The observer recently reached the primary and a majority in its term.
    Healthy,
    /// The observer recently reached a majority, but no primary of the newest
    /// term.
    PrimaryUnseen,
    /// The observer's reports do not suffice to decide about the primary.
    Unclear,
}

/// One observer's assessment of a group's primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireFinding {
    /// The group.
    pub group: GroupId,
    /// The instance that observes the group.
    pub observer: InstanceId,
    /// The failure domain in which the observer runs.
    pub failure_domain: FailureDomain,
    /// The newest term known to the observer.
    pub term: Term,
    /// The assessment of that term's primary.
    pub assessment: WireAssessment,
}

/// What an observer knows about one server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireServerView {
    /// The server.
    pub server: ServerId,
    /// Whether the last poll of the server succeeded.
    pub reachable: bool,
    /// The position that reads on the server see; `None` if it is fenced, is not
    /// known to be in the newest term, or has a log that may differ from the
    /// primary's.
    pub readable: Option<TermPosition>,
    /// Every write acknowledged at least this long ago is visible on the server; in
    /// microseconds.
    pub fresh_age_us: Option<u64>,
}

/// A position that covers every write acknowledged before a certain time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireConfirmedPosition {
    /// The end of the primary's log.
    pub position: TermPosition,
    /// The age of that time, in microseconds.
    pub age_us: u64,
}

/// What an observer knows about a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireGroupView {
    /// The group.
    pub group: GroupId,
    /// The newest term that a server reported.
    pub term: Term,
    /// The primary of that term, or `None` until it has been observed.
    pub primary: Option<ServerId>,
    /// The newest position known to cover all writes acknowledged before a
    /// certain time.
    pub confirmed: Option<WireConfirmedPosition>,
    /// The group's servers in the document's order.
    pub servers: Vec<WireServerView>,
}

/// Sends findings to an observer and requests its views.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRequest {
    /// Identifies the request among those of the sender's incarnation.
    pub id: RequestId,
    /// The sender's latest findings.
    pub findings: Vec<WireFinding>,
    /// The groups whose views are requested.
    pub groups: Vec<GroupId>,
}

/// The response with an observer's views of the groups that it watches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewResponse {
    /// The id of the request.
    pub id: RequestId,
    /// One view for each requested group that the observer watches.
    pub views: Vec<WireGroupView>,
}

/// Requests a position that covers all writes acknowledged before the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionRequest {
    /// Identifies the request among those of the sender's incarnation.
    pub id: RequestId,
    /// The group.
    pub group: GroupId,
    /// The time for which the sender waits, in milliseconds.
    pub timeout_ms: u64,
}

/// The response with a group's position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionResponse {
    /// The id of the request.
    pub id: RequestId,
    /// The position; `None` if no majority confirmed one in time.
    pub position: Option<TermPosition>,
}
