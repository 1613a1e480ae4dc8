//! A request at its owner, with the way its answer goes back.

use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use masticreel_base::failure::Failure;
use masticreel_base::ids::RequestId;
use masticreel_wire::message::{UpstreamAnswer, UpstreamRequest, UpstreamResponse};

use crate::link::sender::LinkSender;

/// The result of a request.
pub type Outcome = Result<UpstreamAnswer, Failure>;

/// The way an answer goes back.
#[derive(Debug, Clone)]
pub enum Reply {
    /// To a thread of this instance.
    Local(Sender<Outcome>),
    /// To the instance that sent the request.
    Remote {
        /// The link to that instance.
        link: LinkSender,
        /// The request's number there.
        id: RequestId,
    },
}

impl Reply {
    /// Sends the answer; a receiver that is gone needs none.
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
    /// The way its answer goes back.
    pub reply: Reply,
    /// When the request arrived at this instance.
    pub arrived_at: Instant,
    /// When the caller gives up.
    pub deadline: Instant,
}

impl Job {
    /// Starts the request's deadline at this instance.
    pub fn new(request: UpstreamRequest, reply: Reply) -> Self {
        let arrived_at = Instant::now();
        let deadline = arrived_at + Duration::from_millis(request.deadline_ms);
        Self { request, reply, arrived_at, deadline }
    }
}
