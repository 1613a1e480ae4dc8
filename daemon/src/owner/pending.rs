//! Requests that wait for something other than a slot.
//!
//! A read may wait for its replica to catch up, and a commit for the majority
//! to hold it. Neither occupies a slot or a connection meanwhile.

use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use masticreel_base::cancellation::CancellationToken;
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::position::TermPosition;
use masticreel_wire::message::{UpstreamAnswer, UpstreamRequest};

use crate::owner::guard::ServerGuard;
use crate::owner::job::{Job, Outcome};

/// Longest wait of a request for its server to meet its demands.
pub(super) const ADMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two looks at the channel while requests wait.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);
/// Time between two looks at the cancellation token while none waits.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A request that waits.
pub(super) enum Pending {
    /// The server does not yet meet the request's demands.
    Admission {
        /// The request.
        job: Job,
        /// When it is refused.
        admission_deadline: Instant,
    },
    /// The request committed and no majority is known to hold it.
    Commit {
        /// The request.
        job: Job,
        /// Its answer.
        answer: UpstreamAnswer,
        /// Where the log ended after the commit.
        position: TermPosition,
    },
}

impl Pending {
    fn request(&self) -> &UpstreamRequest {
        match self {
            Self::Admission { job, .. } | Self::Commit { job, .. } => &job.request,
        }
    }
}

/// Takes what no longer has to wait.
pub(super) trait PendingHandler {
    /// Queues a request whose demands are met.
    fn admit(&self, job: Job);

    /// Answers a request.
    fn answer(&self, job: Job, outcome: Outcome);
}

/// Settles pending requests until cancelled.
pub(super) fn resolve_all<Guard, Target>(
    guard: &Guard,
    receiver: &Receiver<Pending>,
    cancellation: &CancellationToken,
    handler: &Target,
) where
    Guard: ServerGuard,
    Target: PendingHandler,
{
    let mut waiting: Vec<Pending> = Vec::new();
    while !cancellation.is_cancelled() {
        match waiting.first() {
            Some(first) => guard.wait_for_change(first.request(), LOOK_INTERVAL),
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

/// Settles a request if possible, or returns it.
fn resolve<Guard, Target>(
    guard: &Guard,
    pending: Pending,
    now: Instant,
    handler: &Target,
) -> Option<Pending>
where
    Guard: ServerGuard,
    Target: PendingHandler,
{
    match pending {
        Pending::Admission { job, admission_deadline } => match guard.check_request(&job.request) {
            Some(Ok(_)) => handler.admit(job),
            Some(Err(failure)) => handler.answer(job, Err(failure)),
            None if now >= admission_deadline => {
                let failure = not_ready(&job.request);
                handler.answer(job, Err(failure));
            }
            None => return Some(Pending::Admission { job, admission_deadline }),
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

/// Describes a request whose server does not meet its demands.
pub(super) fn not_ready(request: &UpstreamRequest) -> Failure {
    let message = format!("server {} does not meet the request's demands", request.server);
    Failure::not_run(FailureKind::BehindFloor, message)
}
