//! A thread that runs requests on one connection to a server.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_postgres::upstream::{
    Answer, Needed, Preparation, TransactionState, UpstreamAddress, UpstreamConnection,
    UpstreamError,
};
use masticreel_wire::message::{
    Pinning, Target, TransactionState as WireState, UpstreamAnswer, UpstreamRequest,
};
use slog::warn;

use crate::owner::guard::ServerGuard;
use crate::owner::job::{Job, Outcome};
use crate::owner::server::{Command, OwnedServer};

/// Time between two looks at the cancellation token of an idle worker.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest wait for an answer; a zero wait would mean none at all.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(1);
/// Longest wait for a rollback after which the connection is closed.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs one request after the other.
pub(super) struct Worker<Guard> {
    server: Arc<OwnedServer<Guard>>,
    free_jobs: Receiver<Job>,
    commands: Receiver<Command>,
    holder: Sender<Command>,
    connection: Option<OpenConnection>,
}

struct OpenConnection {
    address: UpstreamAddress,
    upstream: UpstreamConnection,
}

impl<Guard> Worker<Guard>
where
    Guard: ServerGuard,
{
    pub(super) fn new(server: Arc<OwnedServer<Guard>>, free_jobs: Receiver<Job>) -> Self {
        let (holder, commands) = unbounded();
        Self { server, free_jobs, commands, holder, connection: None }
    }

    /// Runs requests until the owner is cancelled.
    pub(super) fn run(mut self) {
        let cancellation = self.server.context().cancellation.clone();
        while !cancellation.is_cancelled() {
            match self.free_jobs.recv_timeout(IDLE_CHECK_INTERVAL) {
                Ok(job) => self.serve_session(job),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Runs a request and whatever follows in its transaction.
    fn serve_session(&mut self, job: Job) {
        let session = job.request.session;
        // Commands of an earlier session that came too late mean nothing now.
        while self.commands.try_recv().is_ok() {}
        let mut is_open = self.serve(job);
        while is_open {
            let timeout = self.server.context().limits.transaction_idle_timeout();
            match self.commands.recv_timeout(timeout) {
                Ok(Command::Run(job)) => is_open = self.serve(job),
                Ok(Command::Release) | Err(_) => {
                    self.roll_back();
                    self.server.holder_gone(session);
                    return;
                }
            }
        }
    }

    /// Runs one request; returns whether its transaction is still open.
    fn serve(&mut self, job: Job) -> bool {
        let session = job.request.session;
        let outcome = self.execute(&job);
        let is_open = matches!(&outcome, Ok(answer) if answer.state != WireState::Idle);
        self.server.request_finished(session, is_open.then(|| self.holder.clone()));
        let outcome = self.confirm(&job, outcome);
        job.reply.send(outcome);
        is_open
    }

    fn execute(&mut self, job: &Job) -> Outcome {
        let request = &job.request;
        if job.deadline <= Instant::now() {
            return Err(Failure::not_run(
                FailureKind::Overloaded,
                "the deadline passed in the queue",
            ));
        }
        if request.pinning == Pinning::Free {
            self.server.context().guard.admit(request, job.deadline)?;
            self.connect(request)?;
        }
        let result = self.run_on_connection(request, job.deadline);
        match result {
            Ok(outcome) => Ok(outcome),
            Err(failure) => {
                self.drop_connection();
                Err(failure)
            }
        }
    }

    fn run_on_connection(&mut self, request: &UpstreamRequest, deadline: Instant) -> Outcome {
        let Some(connection) = &mut self.connection else {
            let message = "the transaction was rolled back";
            return Err(Failure::not_run(FailureKind::TransactionLost, message));
        };
        let upstream = &mut connection.upstream;
        let remaining = deadline.saturating_duration_since(Instant::now());
        upstream
            .set_timeout(remaining.max(MIN_ANSWER_TIMEOUT))
            .map_err(|error| Failure::not_run(FailureKind::Unavailable, error.to_string()))?;
        self.server.request_started(request.session, upstream.cancel_key());
        let answer = run_request(upstream, request).map_err(|error| run_failure(&error))?;
        if request.leaves_state {
            upstream.mark_leaves_state();
        }
        Ok(wire_answer(answer, upstream))
    }

    /// Makes sure that the connection fits the request.
    fn connect(&mut self, request: &UpstreamRequest) -> Result<(), Failure> {
        let address = UpstreamAddress {
            address: self.server.spec().address,
            user: request.user.clone(),
            database: request.database.clone(),
        };
        let fits = self
            .connection
            .as_ref()
            .is_some_and(|open| open.address == address && open.upstream.is_usable());
        if fits {
            return Ok(());
        }
        self.drop_connection();
        let timeout = self.server.context().limits.connect_timeout();
        let upstream = UpstreamConnection::connect(&address, timeout)
            .map_err(|error| self.connect_failure(&error))?;
        self.connection = Some(OpenConnection { address, upstream });
        self.count_connections(1);
        Ok(())
    }

    fn connect_failure(&self, error: &UpstreamError) -> Failure {
        let server = &self.server.spec().name;
        warn!(self.server.context().logger, "connection failed"; "server" => %server, "error" => %error);
        Failure::not_run(FailureKind::Unavailable, format!("server {server}: {error}"))
    }

    fn confirm(&self, job: &Job, outcome: Outcome) -> Outcome {
        let answer = outcome?;
        let wrote = job.request.target == Target::Primary && answer.state == WireState::Idle;
        if let Some(position) = answer.position.filter(|_| wrote) {
            self.server.context().guard.confirm(&job.request, position, job.deadline)?;
        }
        Ok(answer)
    }

    fn roll_back(&mut self) {
        let Some(open) = &mut self.connection else { return };
        let rolled_back = open.upstream.set_timeout(ROLLBACK_TIMEOUT).is_ok()
            && open.upstream.query("ROLLBACK").is_ok_and(|answer| answer.sqlstate.is_none());
        if !rolled_back {
            self.drop_connection();
            return;
        }
        open.upstream.mark_leaves_state();
    }

    fn drop_connection(&mut self) {
        if self.connection.take().is_some() {
            self.count_connections(-1);
        }
    }

    fn count_connections(&self, change: i64) {
        let server = self.server.spec().name.as_str();
        let metrics = &self.server.context().metrics;
        metrics.upstream_connections.with_label_values(&[server]).add(change);
    }
}

fn run_request(
    upstream: &mut UpstreamConnection,
    request: &UpstreamRequest,
) -> Result<Answer, UpstreamError> {
    let needed: Vec<_> = request
        .prepared
        .iter()
        .map(|statement| Needed { name: &statement.name, message: &statement.message })
        .collect();
    let settings = (request.pinning == Pinning::Free).then_some(request.settings.as_slice());
    let preparation = Preparation { settings, needed: &needed, prepares: &request.prepares };
    upstream.run(preparation, &request.payload)
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
