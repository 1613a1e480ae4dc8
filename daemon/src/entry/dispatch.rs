//! Sends a request to the owner of its server, on this instance or another one.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, bounded};
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_document::groups::ServerSpec;
use masticreel_wire::message::{SessionKey, UpstreamRequest};

use crate::directory::{OwnerDirectory, OwnerLocation};
use crate::link::client::LinkPool;
use crate::owner::Owner;
use crate::owner::guard::ServerGuard;
use crate::owner::job::{Outcome, Reply};
use crate::shutdown::ShutdownDeadline;

/// Sends requests to the owners of servers, and prefers owners that have not failed
/// recently.
pub struct Dispatcher<Guard, Directory> {
    owner: Arc<Owner<Guard>>,
    links: LinkPool,
    directory: Directory,
    /// When an owner was last unreachable or refused a server.
    avoided: Mutex<HashMap<OwnerLocation, Instant>>,
    shutdown: ShutdownDeadline,
}

/// How long an owner is used last after it was unreachable or refused a server.
const AVOIDANCE_DURATION: Duration = Duration::from_secs(2);
/// Interval at which a thread that waits for an answer checks whether the instance stops.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl<Guard, Directory> Dispatcher<Guard, Directory>
where
    Guard: ServerGuard,
    Directory: OwnerDirectory,
{
    pub fn new(
        owner: Arc<Owner<Guard>>,
        links: LinkPool,
        directory: Directory,
        shutdown: ShutdownDeadline,
    ) -> Self {
        Self { owner, links, directory, avoided: Mutex::new(HashMap::new()), shutdown }
    }

    /// Returns the possible owners of a server in the order in which to use them.
    ///
    /// Owners that recently were unreachable or refused a server come last.
    pub fn owners_by_preference(&self, server: &ServerSpec) -> Vec<OwnerLocation> {
        let mut owners = self.directory.owners(server);
        let now = Instant::now();
        let mut avoided =
            self.avoided.lock().expect("no thread panics while it holds the avoided owners lock");
        avoided.retain(|_, since| now.duration_since(*since) < AVOIDANCE_DURATION);
        owners.sort_by_key(|owner| avoided.contains_key(owner));
        owners
    }

    fn avoid(&self, owner: OwnerLocation) {
        let mut avoided =
            self.avoided.lock().expect("no thread panics while it holds the avoided owners lock");
        avoided.insert(owner, Instant::now());
    }

    /// Runs a request at an owner and waits for the outcome.
    ///
    /// # Errors
    ///
    /// Fails if the owner can't be reached, refuses the request or does not answer
    /// before the deadline or the end of the shutdown.
    pub fn run(
        &self,
        owner: OwnerLocation,
        request: UpstreamRequest,
        deadline: Instant,
    ) -> Outcome {
        let session = request.session;
        let (sender, receiver) = bounded(1);
        match owner {
            OwnerLocation::Local => self.owner.submit(request, Reply::Local(sender)),
            OwnerLocation::Remote(peer) => {
                let sent = self.links.send_request(peer, request, sender);
                sent.inspect_err(|_| self.avoid(owner))?;
            }
        }
        let outcome = self.wait(&receiver, deadline).unwrap_or_else(|| {
            self.cancel(owner, session);
            let message = match self.shutdown.is_over(Instant::now()) {
                true => "the owner of the server did not answer before the instance stops",
                false => "the owner of the server did not answer in time",
            };
            Err(Failure::may_have_run(FailureKind::Lost, message))
        });
        if matches!(&outcome, Err(failure) if failure.kind == FailureKind::NotOwner) {
            self.avoid(owner);
        }
        outcome
    }

    /// Waits for the outcome of a request until its deadline, or until the instance stops if
    /// that is earlier.
    fn wait(&self, receiver: &Receiver<Outcome>, deadline: Instant) -> Option<Outcome> {
        loop {
            let deadline = self.shutdown.cap(deadline);
            let check_at = deadline.min(Instant::now() + SHUTDOWN_CHECK_INTERVAL);
            match receiver.recv_deadline(check_at) {
                Ok(outcome) => return Some(outcome),
                Err(RecvTimeoutError::Timeout) if check_at < deadline => {}
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return None,
            }
        }
    }

    /// Requests that an owner cancels the running request of a session.
    pub fn cancel(&self, owner: OwnerLocation, session: SessionKey) {
        match owner {
            OwnerLocation::Local => self.owner.cancel(session),
            OwnerLocation::Remote(peer) => self.links.cancel(peer, session),
        }
    }

    /// Requests that an owner rolls back the open transaction of a session.
    pub fn roll_back_session(&self, owner: OwnerLocation, session: SessionKey) {
        match owner {
            OwnerLocation::Local => self.owner.roll_back_session(session),
            OwnerLocation::Remote(peer) => self.links.roll_back_session(peer, session),
        }
    }
}
