//! One owned server, with its queued requests and its connections.
//!
//! The state machine of `masticreel_admission` decides what happens when. This file
//! performs the [`ServerAction`]s that it returns: it opens and closes connections,
//! hands requests to the thread of a connection and refuses requests.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, unbounded};
use masticreel_admission::connection_pool::{ConnectionId, Ownership};
use masticreel_admission::request::ConnectionOutcome;
use masticreel_admission::server_admission::{ServerAction, ServerAdmission};
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::RequestId;
use masticreel_document::groups::ServerSpec;
use masticreel_postgres::startup::CancelKey;
use masticreel_postgres::upstream::{UpstreamAddress, UpstreamCloser, send_cancel};
use masticreel_wire::message::{Pinning, SessionKey};
use slog::{info, warn};

use crate::owner::OwnerContext;
use crate::owner::guard::ServerGuard;
use crate::owner::job::{Job, Outcome, Reply};
use crate::owner::pending::{Pending, PendingHandler, REQUIREMENTS_TIMEOUT, resolve_all};
use crate::owner::server_metrics::ServerMetrics;
use crate::owner::submission::{OwnedAdmission, submission};
use crate::owner::worker::Worker;

/// Stack size of a connection's thread and of the pending thread.
const WORKER_STACK_BYTES: usize = 256 * 1024;
/// How long a leaving server still accepts new requests, so that those of instances
/// that have not applied the new document yet are not refused.
const LEAVING_GRACE: Duration = Duration::from_secs(1);

type Action = ServerAction<UpstreamAddress>;
type Actions = Vec<Action>;

/// A task for the thread of a connection.
pub(super) enum WorkerTask {
    /// Run a request.
    Run(RequestId, Job),
    /// Roll back the transaction of a session, if it is still open.
    RollBack(SessionKey),
    /// Close the connection.
    Close,
}

/// A server that this instance owns.
pub(super) struct OwnedServer<Guard> {
    spec: ServerSpec,
    context: OwnerContext<Guard>,
    state: Mutex<State>,
    /// Number of requests that were accepted and not answered yet.
    unanswered: AtomicUsize,
    pending: Sender<Pending>,
}

struct State {
    admission: OwnedAdmission,
    jobs: HashMap<RequestId, Job>,
    workers: HashMap<ConnectionId, Sender<WorkerTask>>,
    cancel_keys: HashMap<ConnectionId, CancelKey>,
    closers: HashMap<ConnectionId, UpstreamCloser>,
    is_leaving: bool,
    is_draining: bool,
}

impl<Guard> OwnedServer<Guard>
where
    Guard: ServerGuard,
{
    /// Creates the state of a server; connections are opened with the first request.
    ///
    /// A handover is assumed to be possible until the ticker has checked it, since
    /// the previous owner may still be active.
    pub(super) fn new(spec: ServerSpec, context: OwnerContext<Guard>) -> Arc<Self> {
        info!(context.logger, "started running requests on server as its owner"; "server" => %spec.name);
        let admission =
            ServerAdmission::new(spec.max_connections, spec.slots, Ownership::HandoverPossible);
        let state = Mutex::new(State {
            admission,
            jobs: HashMap::new(),
            workers: HashMap::new(),
            cancel_keys: HashMap::new(),
            closers: HashMap::new(),
            is_leaving: false,
            is_draining: false,
        });
        let (pending, receiver) = unbounded();
        let unanswered = AtomicUsize::new(0);
        let server = Arc::new(Self { spec, context, state, unanswered, pending });
        server.clone().spawn_pending_thread(receiver);
        server
    }

    fn spawn_pending_thread(self: Arc<Self>, receiver: Receiver<Pending>) {
        thread::Builder::new()
            .name(format!("{}-pending", self.spec.name))
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || {
                let context = &self.context;
                resolve_all(
                    &context.guard,
                    &receiver,
                    &context.cancellation,
                    &ServerPendingHandler(&self),
                );
            })
            .expect("the thread for pending requests can be started");
    }

    pub(super) fn spec(&self) -> &ServerSpec {
        &self.spec
    }

    /// Returns whether a specification describes this server, whether leaving or not.
    pub(super) fn serves(&self, spec: &ServerSpec) -> bool {
        ServerSpec { leaving: self.spec.leaving, ..spec.clone() } == self.spec
    }

    pub(super) fn context(&self) -> &OwnerContext<Guard> {
        &self.context
    }

    /// Queues a job as soon as the server meets its requirements, or refuses it.
    pub(super) fn submit(self: &Arc<Self>, job: Job) {
        let now = Instant::now();
        let state = self.lock();
        if state.is_draining && job.request.pinning != Pinning::Pinned {
            drop(state);
            let message = "the instance hands its servers over";
            job.reply.send(Err(Failure::not_run(FailureKind::NotOwner, message)));
            return;
        }
        drop(state);
        self.unanswered.fetch_add(1, Ordering::AcqRel);
        if job.request.pinning == Pinning::Pinned {
            self.enqueue(job);
            return;
        }
        match self.context.guard.check_request(&job.request) {
            Some(Ok(_)) => self.enqueue(job),
            Some(Err(failure)) => self.answer(job.reply, Err(failure)),
            None => {
                let refuse_at = job.deadline.min(now + REQUIREMENTS_TIMEOUT);
                self.resolve_later(Pending::Requirements { job, refuse_at });
            }
        }
    }

    /// Passes a request to the thread for pending requests.
    pub(super) fn resolve_later(&self, pending: Pending) {
        // The receiver is dropped only when the instance stops.
        let _ = self.pending.send(pending);
    }

    fn enqueue(self: &Arc<Self>, job: Job) {
        let mut state = self.lock();
        let submission = submission(&self.spec, &job);
        let (id, actions) = state.admission.submit(submission, Instant::now());
        state.jobs.insert(id, job);
        self.carry_out(state, actions);
    }

    /// Closes the connections to a server that was replaced as the primary, and
    /// refuses its queued requests, which have not run.
    ///
    /// The server may be frozen, and requests would wait for it in vain.
    pub(super) fn disconnect(self: &Arc<Self>) {
        let mut state = self.lock();
        info!(self.context.logger, "closed connections to replaced primary and refused its queued requests"; "server" => %self.spec.name,
            "connections" => state.closers.len(), "queued" => state.jobs.len());
        state.closers.values().for_each(UpstreamCloser::close);
        let sessions: Vec<SessionKey> =
            state.jobs.values().map(|job| job.request.session).collect();
        let mut actions = Vec::new();
        for session in sessions {
            let (cancelled, _) = state.admission.cancel(&session);
            actions.extend(cancelled.into_iter().map(|action| self.refuse_as_replaced(action)));
        }
        self.carry_out(state, actions);
    }

    /// Changes a refusal to one that names the replaced primary, so that the entry
    /// retries the request at the new one.
    fn refuse_as_replaced(&self, action: Action) -> Action {
        let ServerAction::Refuse(id, _) = action else { return action };
        let message = format!("server {} was replaced as the primary", self.spec.name);
        ServerAction::Refuse(id, Failure::not_run(FailureKind::NotPrimary, message))
    }

    /// Stores the handle that closes a connection, or removes it with `None`.
    pub(super) fn set_closer(&self, id: ConnectionId, closer: Option<UpstreamCloser>) {
        let mut state = self.lock();
        match closer {
            Some(closer) => state.closers.insert(id, closer),
            None => state.closers.remove(&id),
        };
    }

    /// Cancels the running request and the queued requests of a session.
    pub(super) fn cancel(self: &Arc<Self>, session: SessionKey) {
        let mut state = self.lock();
        let (actions, running) = state.admission.cancel(&session);
        let key = running.and_then(|connection| state.cancel_keys.get(&connection).copied());
        self.carry_out(state, actions);
        if let Some(key) = key {
            let timeout = self.context.limits.connect_timeout();
            // If the server can't be reached, the request is not cancelled.
            let _ = send_cancel(self.spec.address, key, timeout);
        }
    }

    /// Rolls back the open transactions of the sessions that meet a condition.
    pub(super) fn roll_back_sessions<Condition>(&self, condition: Condition)
    where
        Condition: Fn(SessionKey) -> bool,
    {
        let state = self.lock();
        for session in state
            .admission
            .sessions_holding_connections()
            .copied()
            .filter(|session| condition(*session))
        {
            let worker = state
                .admission
                .held_connection(&session)
                .and_then(|connection| state.workers.get(&connection));
            if let Some(worker) = worker {
                // If the worker has ended, its transaction has ended as well.
                let _ = worker.send(WorkerTask::RollBack(session));
            }
        }
    }

    /// Expires queued requests, and applies the ownership and whether the document marks
    /// the server as leaving.
    pub(super) fn tick(self: &Arc<Self>, is_leaving: bool, ownership: Ownership) {
        let now = Instant::now();
        let mut state = self.lock();
        if is_leaving != state.is_leaving {
            state.is_leaving = is_leaving;
            info!(self.context.logger, "server's leaving flag in the document changed"; "server" => %self.spec.name, "leaving" => is_leaving);
            if is_leaving {
                state.admission.stop_new_requests_at(now + LEAVING_GRACE);
            } else {
                state.admission.reopen();
            }
        }
        state.admission.set_ownership(ownership);
        let actions = state.admission.tick(now);
        self.carry_out(state, actions);
    }

    /// Refuses new requests from now on with [`FailureKind::NotOwner`].
    ///
    /// Requests of open transactions are still accepted.
    pub(super) fn start_draining(self: &Arc<Self>) {
        self.lock().is_draining = true;
    }

    /// Returns whether all requests are answered and no transaction is open.
    pub(super) fn is_idle(&self) -> bool {
        self.unanswered.load(Ordering::Acquire) == 0 && self.lock().admission.is_idle()
    }

    /// Sends the answer to a request.
    pub(super) fn answer(&self, reply: Reply, outcome: Outcome) {
        reply.send(outcome);
        self.unanswered.fetch_sub(1, Ordering::AcqRel);
    }

    /// Handles the event that a thread opened its connection.
    pub(super) fn connection_opened(self: &Arc<Self>, id: ConnectionId, address: UpstreamAddress) {
        let mut state = self.lock();
        let actions = state.admission.connection_opened(id, address, Instant::now());
        self.carry_out(state, actions);
    }

    /// Handles the event that a thread could not open its connection.
    pub(super) fn connection_failed(self: &Arc<Self>, id: ConnectionId) {
        let mut state = self.lock();
        state.workers.remove(&id);
        let actions = state.admission.connection_failed(id, Instant::now());
        self.carry_out(state, actions);
    }

    /// Records that a thread reopened its connection for another user or database.
    pub(super) fn connection_reopened(&self, id: ConnectionId, address: UpstreamAddress) {
        self.lock().admission.connection_reopened(id, address);
    }

    /// Records the cancel key of a request that is about to run, so that the request
    /// can be cancelled while it runs.
    pub(super) fn request_started(&self, id: ConnectionId, key: Option<CancelKey>) {
        if let Some(key) = key {
            self.lock().cancel_keys.insert(id, key);
        }
    }

    /// Handles the event that a request has finished, which frees its slot.
    ///
    /// `execution_time` is `None` if the request was not executed. A connection that
    /// is idle now is used again only after [`Self::connection_released`].
    pub(super) fn request_finished(
        self: &Arc<Self>,
        request: RequestId,
        connection: ConnectionId,
        connection_outcome: ConnectionOutcome,
        execution_time: Option<Duration>,
    ) {
        let mut state = self.lock();
        state.cancel_keys.remove(&connection);
        if connection_outcome == ConnectionOutcome::Closed {
            state.workers.remove(&connection);
        }
        let actions =
            state.admission.finished(request, connection_outcome, execution_time, Instant::now());
        self.carry_out(state, actions);
    }

    /// Handles the event that the connection of an answered request was reset and can be
    /// used again, or was closed.
    pub(super) fn connection_released(
        self: &Arc<Self>,
        connection: ConnectionId,
        connection_outcome: ConnectionOutcome,
    ) {
        let mut state = self.lock();
        if connection_outcome == ConnectionOutcome::Closed {
            state.workers.remove(&connection);
        }
        let actions =
            state.admission.connection_released(connection, connection_outcome, Instant::now());
        self.carry_out(state, actions);
    }

    /// Handles the event that the owner rolled back a session's transaction, which frees
    /// its connection.
    pub(super) fn transaction_ended(
        self: &Arc<Self>,
        session: SessionKey,
        connection: ConnectionId,
        connection_outcome: ConnectionOutcome,
    ) {
        let mut state = self.lock();
        if connection_outcome == ConnectionOutcome::Closed {
            state.workers.remove(&connection);
        }
        let actions =
            state.admission.transaction_ended(&session, connection_outcome, Instant::now());
        self.carry_out(state, actions);
    }

    /// Performs actions, and sends refusals after the state is unlocked.
    fn carry_out(self: &Arc<Self>, mut state: MutexGuard<'_, State>, actions: Actions) {
        let mut refused = Vec::new();
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                ServerAction::Open(id, address) => {
                    actions.extend(self.spawn_worker(&mut state, id, address));
                }
                ServerAction::Close(id) => {
                    if let Some(worker) = state.workers.remove(&id) {
                        let _ = worker.send(WorkerTask::Close);
                    }
                }
                ServerAction::Start(id, connection) => {
                    if let Some(job) = state.jobs.get(&id) {
                        self.metrics().record_wait(job);
                    }
                    if let Err(job) = state.start(id, connection) {
                        let message = "the thread of the connection has ended";
                        let failure = Failure::not_run(FailureKind::Unavailable, message);
                        refused.push((*job, failure));
                        let outcome = ConnectionOutcome::Closed;
                        let now = Instant::now();
                        actions.extend(state.admission.finished(id, outcome, None, now));
                    }
                }
                ServerAction::Refuse(id, failure) => {
                    refused.extend(state.jobs.remove(&id).map(|job| (job, failure)));
                }
            }
        }
        self.metrics().record_load(&state.admission);
        drop(state);
        for (job, failure) in refused {
            self.metrics().record_refusal(&failure);
            self.answer(job.reply, Err(failure));
        }
    }

    /// Starts the thread of a connection; returns the actions that follow if that fails.
    fn spawn_worker(
        self: &Arc<Self>,
        state: &mut State,
        id: ConnectionId,
        address: UpstreamAddress,
    ) -> Actions {
        let (sender, tasks) = unbounded();
        state.workers.insert(id, sender);
        let server = Arc::clone(self);
        let spawned = thread::Builder::new()
            .name(format!("{}-{id}", self.spec.name))
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || Worker::new(server, id, tasks).run(address));
        if let Err(error) = spawned {
            warn!(self.context.logger, "connection to server not opened: thread not started"; "server" => %self.spec.name, "error" => %error);
            state.workers.remove(&id);
            // The next tick plans the connection again.
            return state.admission.connection_failed(id, Instant::now());
        }
        Actions::new()
    }

    fn metrics(&self) -> ServerMetrics<'_> {
        ServerMetrics { server: &self.spec.name, metrics: &self.context.metrics }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the server's state lock")
    }
}

/// Receives the server's requests that no longer have to wait.
struct ServerPendingHandler<'server, Guard>(&'server Arc<OwnedServer<Guard>>);

impl<Guard> PendingHandler for ServerPendingHandler<'_, Guard>
where
    Guard: ServerGuard,
{
    fn enqueue(&self, job: Job) {
        self.0.enqueue(job);
    }

    fn answer(&self, job: Job, outcome: Outcome) {
        self.0.answer(job.reply, outcome);
    }
}

impl State {
    /// Hands a request to the thread of its connection.
    ///
    /// # Errors
    ///
    /// Returns the request, which has not run, if the thread has ended.
    fn start(&mut self, id: RequestId, connection: ConnectionId) -> Result<(), Box<Job>> {
        let Some(job) = self.jobs.remove(&id) else {
            return Ok(());
        };
        let Some(worker) = self.workers.get(&connection) else {
            return Err(Box::new(job));
        };
        worker.send(WorkerTask::Run(id, job)).map_err(|error| match error.into_inner() {
            WorkerTask::Run(_, job) => Box::new(job),
            WorkerTask::RollBack(_) | WorkerTask::Close => unreachable!("a request was sent"),
        })
    }
}
