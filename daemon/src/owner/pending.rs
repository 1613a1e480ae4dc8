//! Requests that wait for something other than a slot of the server's queue.
//!
//! A read may wait until its replica has caught up, and a commit until a majority
//! holds it. Neither occupies a slot or a connection while it waits.

use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use masticreel_base::cancellation::CancellationToken;
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::position::TermPosition;
use masticreel_wire::message::{UpstreamAnswer, UpstreamRequest};

use crate::owner::guard::ServerGuard;
use crate::owner::job::{Job, Outcome};

/// How long a request waits for its server to meet its requirements before it is
/// queued. Reads are sent only to replicas that are expected to meet them sooner.
pub(super) const REQUIREMENTS_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which the channel is checked for new requests while others wait.
const CHANNEL_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which the cancellation token is checked while no request waits.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A request that waits.
pub(super) enum Pending {
    /// The server does not yet meet the request's requirements.
    Requirements {
        /// The request.
        job: Job,
        /// When the request is refused if the server still doesn't meet them.
        refuse_at: Instant,
    },
    /// The request committed, but no majority is known to hold the commit yet.
    Commit {
        /// The request.
        job: Job,
        /// Its answer.
        answer: UpstreamAnswer,
        /// The end of the server's log after the commit.
        position: TermPosition,
    },
}

impl Pending {
    fn request(&self) -> &UpstreamRequest {
        match self {
            Self::Requirements { job, .. } | Self::Commit { job, .. } => &job.request,
        }
    }
}

/// Receives the requests that no longer have to wait.
pub(super) trait PendingHandler {
    /// Queues a request whose server now meets its requirements.
    fn enqueue(&self, job: Job);

    /// Sends the answer to a request.
    fn answer(&self, job: Job, outcome: Outcome);
}

/// Waits for pending requests and passes them to the handler, until cancelled.
pub(super) fn resolve_all<Guard, Handler>(
    guard: &Guard,
    receiver: &Receiver<Pending>,
    cancellation: &CancellationToken,
    handler: &Handler,
) where
    Guard: ServerGuard,
    Handler: PendingHandler,
{
    let mut waiting: Vec<Pending> = Vec::new();
    while !cancellation.is_cancelled() {
        match waiting.first() {
            Some(first) => guard.wait_for_change(first.request(), CHANNEL_CHECK_INTERVAL),
            None => match receiver.recv_timeout(IDLE_CHECK_INTERVAL) {
                Ok(pending) => waiting.push(pending),
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            },
        }
        waiting.extend(receiver.try_iter());
        waiting = waiting
            .into_iter()
            .filter_map(|pending| resolve(guard, pending, Instant::now(), handler))
            .collect();
    }
}

/// Passes a request to the handler if it no longer has to wait, or returns it.
fn resolve<Guard, Handler>(
    guard: &Guard,
    pending: Pending,
    now: Instant,
    handler: &Handler,
) -> Option<Pending>
where
    Guard: ServerGuard,
    Handler: PendingHandler,
{
    match pending {
        Pending::Requirements { job, refuse_at } => match guard.check_request(&job.request) {
            Some(Ok(_)) => handler.enqueue(job),
            Some(Err(failure)) => handler.answer(job, Err(failure)),
            None if now >= refuse_at => {
                let failure = not_ready(&job.request);
                handler.answer(job, Err(failure));
            }
            None => return Some(Pending::Requirements { job, refuse_at }),
        },
        Pending::Commit { job, answer, position } => {
            match guard.check_commit(&job.request, position) {
                Some(result) => handler.answer(job, result.map(|()| answer)),
                None if now >= job.deadline => {
                    let message = "no majority held the commit in time";
                    let failure = Failure::may_have_run(FailureKind::Unconfirmed, message);
                    handler.answer(job, Err(failure));
                }
                None => return Some(Pending::Commit { job, answer, position }),
            }
        }
    }
    None
}

/// Returns the failure of a request whose server does not meet its requirements.
pub(super) fn not_ready(request: &UpstreamRequest) -> Failure {
    let message = format!("server {} does not meet the request's demands", request.server);
    Failure::not_run(FailureKind::BehindFloor, message)
}
