//! What instances tell each other about database groups.
//!
//! Moments travel as ages, so that no clocks are compared. The receiver counts
//! an age from the moment at which it sent its question, which is never later
//! than the moment that the sender meant.

use masticreel_base::ids::{FailureDomain, GroupId, InstanceId, RequestId, ServerId, Term};
use masticreel_base::position::TermPosition;
use serde::{Deserialize, Serialize};

/// What an observer makes of a group's primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WireAssessment {
    /// The observer sees the primary and a majority.
    Healthy,
    /// The observer sees a majority but not the primary.
    PrimaryUnseen,
    /// The observer sees too little.
    Unclear,
}

/// What one observer found out about a group's primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireFinding {
    /// The group.
    pub group: GroupId,
    /// Who observed.
    pub observer: InstanceId,
    /// Where the observer runs.
    pub failure_domain: FailureDomain,
    /// The newest term that the observer knows.
    pub term: Term,
    /// What the observer makes of that term's primary.
    pub assessment: WireAssessment,
}

/// What an observer knows about one server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireServerView {
    /// The server.
    pub server: ServerId,
    /// Whether the last poll of the server succeeded.
    pub reachable: bool,
    /// What reads on the server see, if its log agrees with the primary's.
    pub readable: Option<TermPosition>,
    /// Age of the newest moment whose acknowledged writes are visible there, in
    /// microseconds.
    pub fresh_age_us: Option<u64>,
}

/// A position that covers every write acknowledged before a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireConfirmedPosition {
    /// Where the primary's log ended.
    pub position: TermPosition,
    /// The moment's age, in microseconds.
    pub age_us: u64,
}

/// What an observer knows about a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireGroupView {
    /// The group.
    pub group: GroupId,
    /// The newest term that any server reported.
    pub term: Term,
    /// The primary of that term.
    pub primary: Option<ServerId>,
    /// The newest position that covers all acknowledged writes of its moment.
    pub confirmed: Option<WireConfirmedPosition>,
    /// The group's servers in document order.
    pub servers: Vec<WireServerView>,
}

/// Brings findings to an observer and asks for its views.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRequest {
    /// Numbers the question within the sender's life.
    pub id: RequestId,
    /// The sender's newest findings.
    pub findings: Vec<WireFinding>,
    /// The groups whose views the sender wants.
    pub groups: Vec<GroupId>,
}

/// An observer's views of the groups that it watches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewResponse {
    /// The question's number.
    pub id: RequestId,
    /// One view for each group that the observer watches.
    pub views: Vec<WireGroupView>,
}

/// Asks an observer for a position that covers all that is acknowledged by now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionRequest {
    /// Numbers the question within the sender's life.
    pub id: RequestId,
    /// The group.
    pub group: GroupId,
    /// How long the sender waits, in milliseconds.
    pub timeout_ms: u64,
}

/// Answers a question about a group's position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionResponse {
    /// The question's number.
    pub id: RequestId,
    /// The position, or nothing if no majority confirmed one in time.
    pub position: Option<TermPosition>,
}
