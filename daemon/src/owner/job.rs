//! A request at its owner, and where its answer is sent.

use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use masticreel_base::failure::Failure;
use masticreel_base::ids::RequestId;
use masticreel_wire::message::{UpstreamAnswer, UpstreamRequest, UpstreamResponse};

use crate::link::sender::LinkSender;
use crate::owner::guard::ConfirmationHold;

/// The result of a request.
pub type Outcome = Result<UpstreamAnswer, Failure>;

/// Where the answer to a request is sent.
#[derive(Debug, Clone)]
pub enum Reply {
    /// A thread of this instance.
    Local(Sender<Outcome>),
    /// The instance that sent the request.
    Remote {
        /// The link to that instance.
        link: LinkSender,
        /// The request's number at that instance.
        id: RequestId,
    },
}

impl Reply {
    /// Sends the answer, unless its receiver no longer exists.
    pub fn send(self, outcome: Outcome) {
        match self {
            Self::Local(sender) => {
                let _ = sender.send(outcome);
            }
            Self::Remote { link, id } => link.send_response(UpstreamResponse { id, outcome }),
        }
    }
}

/// A request that waits for its server or runs there.
#[derive(Debug)]
pub struct Job {
    /// The request.
    pub request: UpstreamRequest,
    /// Where its answer is sent.
    pub reply: Reply,
    /// When the request arrived at this instance.
    pub arrived_at: Instant,
    /// When the request's timeout ends, counted from its arrival at this instance.
    pub deadline: Instant,
    /// Keeps the confirmation of its commit possible until it is answered.
    pub confirmation: ConfirmationHold,
}

impl Job {
    /// Creates a job for a request that arrives now; its deadline counts from now.
    pub fn new(request: UpstreamRequest, reply: Reply) -> Self {
        let arrived_at = Instant::now();
        let deadline = arrived_at + Duration::from_millis(request.deadline_ms);
        let confirmation = ConfirmationHold::default();
        Self { request, reply, arrived_at, deadline, confirmation }
    }
}
