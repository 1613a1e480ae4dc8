//! The thread of one connection to a server.
//!
//! It runs one request at a time, keeps the connection while a session's transaction
//! is open, and resets it before the next session uses it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use masticreel_admission::connection_pool::ConnectionId;
use masticreel_admission::request::ConnectionOutcome;
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::RequestId;
use masticreel_base::position::TermPosition;
use masticreel_postgres::upstream::{
    Answer, Needed, Preparation, TransactionState, UpstreamAddress, UpstreamConnection,
    UpstreamError,
};
use masticreel_session::request_key::KeyedRequest;
use masticreel_wire::message::{
    Pinning, RequestKey, SessionKey, Target, TransactionState as WireState, UpstreamAnswer,
    UpstreamRequest,
};
use slog::warn;

use crate::owner::guard::{CheckedTerm, ConfirmationHold, ServerGuard};
use crate::owner::job::{Job, Outcome};
use crate::owner::keyed::KeyedRun;
use crate::owner::pending::{Pending, not_ready};
use crate::owner::server::{OwnedServer, WorkerTask};
use crate::owner::submission::address;

/// Interval at which an idle worker checks the cancellation token and the idle
/// timeout of an open transaction.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum timeout for an answer, since the system refuses a timeout of zero.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(1);
/// Timeout for a rollback or a reset; the connection is closed when it expires.
const RESET_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs one request after the other on one connection.
pub(super) struct Worker<Guard> {
    server: Arc<OwnedServer<Guard>>,
    id: ConnectionId,
    tasks: Receiver<WorkerTask>,
    connection: Option<OpenConnection>,
    open_transaction: Option<OpenTransaction>,
}

struct OpenConnection {
    address: UpstreamAddress,
    upstream: UpstreamConnection,
}

/// An open transaction on the connection, which only its session may use.
struct OpenTransaction {
    session: SessionKey,
    idle_since: Instant,
    /// Passed on to the requests of the transaction.
    confirmation: ConfirmationHold,
}

impl<Guard> Worker<Guard>
where
    Guard: ServerGuard,
{
    pub(super) fn new(
        server: Arc<OwnedServer<Guard>>,
        id: ConnectionId,
        tasks: Receiver<WorkerTask>,
    ) -> Self {
        Self { server, id, tasks, connection: None, open_transaction: None }
    }

    /// Opens the connection and runs requests until it is closed.
    pub(super) fn run(mut self, address: UpstreamAddress) {
        if self.open(&address).is_err() {
            self.server.connection_failed(self.id);
            return;
        }
        self.server.connection_opened(self.id, address);
        let cancellation = self.server.context().cancellation.clone();
        while self.connection.is_some() && !cancellation.is_cancelled() {
            match self.tasks.recv_timeout(IDLE_CHECK_INTERVAL) {
                Ok(WorkerTask::Run(request, job)) => self.serve(request, job),
                Ok(WorkerTask::RollBack(session)) => self.roll_back_session(session),
                Err(RecvTimeoutError::Timeout) => self.end_idle_transaction(),
                Ok(WorkerTask::Close) | Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        self.drop_connection();
        self.serve_late_requests();
    }

    /// Serves requests that were passed to this thread while the connection closed, so
    /// that each is answered.
    ///
    /// Requests of an open transaction are refused, since it was lost with the
    /// connection. Any other request runs on a new connection.
    fn serve_late_requests(&mut self) {
        while let Ok(task) = self.tasks.try_recv() {
            if let WorkerTask::Run(request, job) = task {
                self.serve(request, job);
            }
        }
    }

    /// Runs one request, frees its slot and replies.
    fn serve(&mut self, request: RequestId, mut job: Job) {
        let session = job.request.session;
        let position_before = self.position();
        let (outcome, execution_time) = match self.prepare(&mut job) {
            Ok(checked) => self.execute(&job, checked),
            Err(failure) => (Err(failure), None),
        };
        let is_open = matches!(&outcome, Ok(answer) if answer.state != WireState::Idle);
        self.open_transaction = is_open.then(|| OpenTransaction {
            session,
            idle_since: Instant::now(),
            confirmation: job.confirmation.clone(),
        });
        let connection_outcome = self.connection_outcome();
        self.server.request_finished(request, self.id, connection_outcome, execution_time);
        self.reply(job, outcome, position_before);
        if connection_outcome == ConnectionOutcome::Idle {
            self.reset();
            self.server.connection_released(self.id, self.connection_outcome());
        }
    }

    /// Removes what the last session left on the connection, if a request or rollback
    /// was marked as leaving something.
    fn reset(&mut self) {
        let Some(open) = &mut self.connection else { return };
        let is_reset =
            open.upstream.set_timeout(RESET_TIMEOUT).is_ok() && open.upstream.reset().is_ok();
        if !is_reset {
            self.drop_connection();
        }
    }

    fn connection_outcome(&self) -> ConnectionOutcome {
        match (&self.connection, &self.open_transaction) {
            (None, _) => ConnectionOutcome::Closed,
            (Some(_), Some(_)) => ConnectionOutcome::Pinned,
            (Some(_), None) => ConnectionOutcome::Idle,
        }
    }

    /// Rolls back the transaction of a session, if it is still open.
    fn roll_back_session(&mut self, session: SessionKey) {
        // A request of the session may have ended the transaction in the meantime.
        if self.open_transaction.take_if(|open| open.session == session).is_none() {
            return;
        }
        self.roll_back();
        self.reset();
        self.server.transaction_ended(session, self.id, self.connection_outcome());
    }

    fn end_idle_transaction(&mut self) {
        let timeout = self.server.context().limits.transaction_idle_timeout();
        let expired =
            self.open_transaction.as_ref().filter(|open| open.idle_since.elapsed() >= timeout);
        if let Some(session) = expired.map(|open| open.session) {
            self.roll_back_session(session);
        }
    }

    /// Checks that the request may run and prepares the connection for it.
    ///
    /// Returns the term in which the server met the request's requirements, or `None` in
    /// an open transaction, whose first request was checked already.
    fn prepare(&mut self, job: &mut Job) -> Result<Option<CheckedTerm>, Failure> {
        if job.deadline <= Instant::now() {
            return Err(Failure::not_run(
                FailureKind::Overloaded,
                "the deadline passed in the queue",
            ));
        }
        if job.request.pinning == Pinning::Pinned {
            let open = self.open_transaction_of(job.request.session)?;
            job.confirmation = open.confirmation.clone();
            return Ok(None);
        }
        job.confirmation = self.server.context().guard.hold_confirmation(&job.request);
        let checked = self.check_requirements(&job.request)?;
        self.connect(&job.request)?;
        Ok(Some(checked))
    }

    /// Repeats the check that was made before the request was queued, since its result
    /// may have changed meanwhile.
    fn check_requirements(&self, request: &UpstreamRequest) -> Result<CheckedTerm, Failure> {
        let guard = &self.server.context().guard;
        guard.check_request(request).unwrap_or_else(|| Err(not_ready(request)))
    }

    /// Returns the session's transaction, if it is still open.
    ///
    /// It may have been rolled back while the request was on its way.
    fn open_transaction_of(&self, session: SessionKey) -> Result<&OpenTransaction, Failure> {
        let open = self.open_transaction.as_ref().filter(|open| open.session == session);
        open.ok_or_else(transaction_lost)
    }

    /// Runs the request and measures how long it took.
    fn execute(&mut self, job: &Job, checked: Option<CheckedTerm>) -> (Outcome, Option<Duration>) {
        let begin = Instant::now();
        let outcome = self.run_on_connection(&job.request, job.deadline);
        if outcome.is_err() {
            self.drop_connection();
        }
        let outcome = outcome.and_then(|answer| {
            let verified = checked.map(|checked| checked.verify(&job.request, answer.position));
            verified.unwrap_or(Ok(())).map(|()| answer)
        });
        (outcome, Some(begin.elapsed()))
    }

    fn run_on_connection(&mut self, request: &UpstreamRequest, deadline: Instant) -> Outcome {
        let Some(connection) = &mut self.connection else {
            return Err(transaction_lost());
        };
        let upstream = &mut connection.upstream;
        let remaining = deadline.saturating_duration_since(Instant::now());
        upstream
            .set_timeout(remaining.max(MIN_ANSWER_TIMEOUT))
            .map_err(|error| Failure::not_run(FailureKind::Unavailable, error.to_string()))?;
        if request.pinning != Pinning::Pinned {
            let settings = &request.settings;
            upstream.apply_settings(settings).map_err(|error| settings_failure(&error))?;
        }
        self.server.request_started(self.id, upstream.cancel_key());
        let answer = run_request(upstream, request)?;
        if request.leaves_state {
            upstream.mark_needs_reset();
        }
        Ok(wire_answer(answer, upstream))
    }

    /// Makes sure that the connection fits the request.
    fn connect(&mut self, request: &UpstreamRequest) -> Result<(), Failure> {
        let address = address(self.server.spec(), request);
        let fits = self
            .connection
            .as_ref()
            .is_some_and(|open| open.address == address && open.upstream.is_usable());
        if fits {
            return Ok(());
        }
        self.drop_connection();
        self.open(&address)?;
        self.server.connection_reopened(self.id, address);
        Ok(())
    }

    fn open(&mut self, address: &UpstreamAddress) -> Result<(), Failure> {
        let timeout = self.server.context().limits.connect_timeout();
        let mut upstream = UpstreamConnection::connect(address, timeout)
            .map_err(|error| self.connect_failure(&error))?;
        upstream.set_max_answer_bytes(self.server.context().limits.max_answer_bytes);
        self.server.set_closer(self.id, upstream.closer().ok());
        self.connection = Some(OpenConnection { address: address.clone(), upstream });
        Ok(())
    }

    fn connect_failure(&self, error: &UpstreamError) -> Failure {
        let server = &self.server.spec().name;
        warn!(self.server.context().logger, "connection to server failed"; "server" => %server, "error" => %error);
        Failure::not_run(FailureKind::Unavailable, format!("server {server}: {error}"))
    }

    /// Replies at once, or after a majority holds what the request committed.
    ///
    /// Each commit that wrote something moves the position.
    fn reply(&self, job: Job, outcome: Outcome, position_before: Option<TermPosition>) {
        let committed = outcome.as_ref().ok().and_then(|answer| {
            let has_ended = answer.state == WireState::Idle;
            let may_write = job.request.target == Target::Primary;
            answer
                .position
                .filter(|position| may_write && has_ended && Some(*position) != position_before)
        });
        match (outcome, committed) {
            (Ok(answer), Some(position)) => {
                self.server.resolve_later(Pending::Commit { job, answer, position });
            }
            (outcome, _) => self.server.answer(job.reply, outcome),
        }
    }

    fn position(&self) -> Option<TermPosition> {
        self.connection.as_ref().and_then(|open| open.upstream.position())
    }

    fn roll_back(&mut self) {
        let Some(open) = &mut self.connection else { return };
        let rolled_back = open.upstream.set_timeout(RESET_TIMEOUT).is_ok()
            && open.upstream.query("ROLLBACK").is_ok_and(|answer| answer.sqlstate.is_none());
        if !rolled_back {
            self.drop_connection();
            return;
        }
        open.upstream.mark_needs_reset();
    }

    fn drop_connection(&mut self) {
        if self.connection.take().is_some() {
            self.server.set_closer(self.id, None);
        }
    }
}

fn run_request(
    upstream: &mut UpstreamConnection,
    request: &UpstreamRequest,
) -> Result<Answer, Failure> {
    let needed: Vec<_> = request
        .prepared
        .iter()
        .map(|statement| Needed { name: &statement.name, message: &statement.message })
        .collect();
    if let Some(RequestKey { key, fingerprint }) = &request.request_key {
        let key = KeyedRequest { key: key.clone(), work_hash: *fingerprint };
        return KeyedRun { upstream, request, key, needed: &needed }.run();
    }
    let preparation = Preparation { needed: &needed, prepares: &request.prepares };
    upstream.run(preparation, &request.payload).map_err(|error| run_failure(&error))
}

fn transaction_lost() -> Failure {
    Failure::not_run(FailureKind::TransactionLost, "the transaction was rolled back")
}

fn settings_failure(error: &UpstreamError) -> Failure {
    Failure::not_run(FailureKind::Unsupported, format!("the session's settings: {error}"))
}

fn run_failure(error: &UpstreamError) -> Failure {
    Failure::may_have_run(FailureKind::Lost, error.to_string())
}

fn wire_answer(answer: Answer, upstream: &UpstreamConnection) -> UpstreamAnswer {
    let state = match answer.state {
        TransactionState::Idle => WireState::Idle,
        TransactionState::Open => WireState::Open,
        TransactionState::Failed => WireState::Failed,
    };
    UpstreamAnswer {
        payload: answer.payload.into(),
        state,
        position: upstream.position(),
        sqlstate: answer.sqlstate,
    }
}
