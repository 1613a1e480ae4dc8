//! One owned server: what waits for it, its connections and their threads.

use std::collections::HashMap;
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
use crate::owner::counts::ServerMetrics;
use crate::owner::guard::ServerGuard;
use crate::owner::job::{Job, Outcome, Reply};
use crate::owner::pending::{ADMISSION_TIMEOUT, Pending, PendingHandler, resolve_all};
use crate::owner::submission::{OwnedAdmission, submission};
use crate::owner::worker::Worker;

/// Stack of a connection's thread, in bytes.
const WORKER_STACK_BYTES: usize = 256 * 1024;
/// How long a leaving server still takes new work, so that entries that have
/// not heard of it yet are not refused.
const LEAVING_GRACE: Duration = Duration::from_secs(1);

type Action = ServerAction<UpstreamAddress>;
type Actions = Vec<Action>;

/// What the thread of a connection is told to do.
pub(super) enum Command {
    /// Run a request.
    Run(RequestId, Job),
    /// End the transaction of a session, if it is still open.
    Release(SessionKey),
    /// Close the connection.
    Close,
}

/// A server that this instance owns.
pub(super) struct OwnedServer<Guard> {
    spec: ServerSpec,
    context: OwnerContext<Guard>,
    state: Mutex<State>,
    /// Requests that were taken in and not answered yet.
    unanswered: AtomicUsize,
    pending: Sender<Pending>,
}

struct State {
    admission: OwnedAdmission,
    jobs: HashMap<RequestId, Job>,
    workers: HashMap<ConnectionId, Sender<Command>>,
    cancel_keys: HashMap<ConnectionId, CancelKey>,
    closers: HashMap<ConnectionId, UpstreamCloser>,
    is_leaving: bool,
    is_draining: bool,
}

impl<Guard> OwnedServer<Guard>
where
    Guard: ServerGuard,
{
    /// Takes a server up; connections are opened when the first request comes.
    ///
    /// Until the ticker says otherwise an earlier owner may still be there.
    pub(super) fn new(spec: ServerSpec, context: OwnerContext<Guard>) -> Arc<Self> {
        info!(context.logger, "server taken up"; "server" => %spec.name);
        let admission = ServerAdmission::new(spec.max_connections, spec.slots, Ownership::Disputed);
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
        server.clone().spawn_settler(receiver);
        server
    }

    fn spawn_settler(self: Arc<Self>, receiver: Receiver<Pending>) {
        thread::Builder::new()
            .name(format!("{}-pending", self.spec.name))
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || {
                let context = &self.context;
                resolve_all(&context.guard, &receiver, &context.cancellation, &Submitter(&self));
            })
            .expect("the system has room for the thread");
    }

    pub(super) fn spec(&self) -> &ServerSpec {
        &self.spec
    }

    /// Returns whether a specification means this server, leaving or not.
    pub(super) fn serves(&self, spec: &ServerSpec) -> bool {
        ServerSpec { leaving: self.spec.leaving, ..spec.clone() } == self.spec
    }

    pub(super) fn context(&self) -> &OwnerContext<Guard> {
        &self.context
    }

    /// Queues a job once the server meets its demands, or refuses it.
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
                let admission_deadline = job.deadline.min(now + ADMISSION_TIMEOUT);
                self.resolve_later(Pending::Admission { job, admission_deadline });
            }
        }
    }

    /// Lets a request wait for something other than a slot.
    pub(super) fn resolve_later(&self, pending: Pending) {
        // The receiver ends only with the whole instance.
        let _ = self.pending.send(pending);
    }

    fn enqueue(self: &Arc<Self>, job: Job) {
        let mut state = self.lock();
        let submission = submission(&self.spec, &job);
        let (id, actions) = state.admission.submit(submission, Instant::now());
        state.jobs.insert(id, job);
        self.carry_out(state, actions);
    }

    /// Lets nobody wait any longer for a server that lost its role.
    ///
    /// It may be frozen, so connections are closed and whatever is queued is
    /// refused; it has not run.
    pub(super) fn disconnect(self: &Arc<Self>) {
        let mut state = self.lock();
        info!(self.context.logger, "server abandoned"; "server" => %self.spec.name,
            "connections" => state.closers.len(), "queued" => state.jobs.len());
        state.closers.values().for_each(UpstreamCloser::close);
        let sessions: Vec<SessionKey> =
            state.jobs.values().map(|job| job.request.session).collect();
        let mut actions = Vec::new();
        for session in sessions {
            let (cancelled, _) = state.admission.cancel(&session);
            actions.extend(cancelled.into_iter().map(|action| self.as_replaced(action)));
        }
        self.carry_out(state, actions);
    }

    /// Refuses a request because the server was replaced, so that it is tried elsewhere.
    fn as_replaced(&self, action: Action) -> Action {
        let ServerAction::Refuse(id, _) = action else { return action };
        let message = format!("server {} was replaced as the primary", self.spec.name);
        ServerAction::Refuse(id, Failure::not_run(FailureKind::NotPrimary, message))
    }

    /// Notes how a connection can be closed, or that it is closed.
    pub(super) fn note_closer(&self, id: ConnectionId, closer: Option<UpstreamCloser>) {
        let mut state = self.lock();
        match closer {
            Some(closer) => state.closers.insert(id, closer),
            None => state.closers.remove(&id),
        };
    }

    /// Cancels what a session is running or has queued.
    pub(super) fn cancel(self: &Arc<Self>, session: SessionKey) {
        let mut state = self.lock();
        let (actions, running) = state.admission.cancel(&session);
        let key = running.and_then(|connection| state.cancel_keys.get(&connection).copied());
        self.carry_out(state, actions);
        if let Some(key) = key {
            let timeout = self.context.limits.connect_timeout();
            // The request runs on if the server can't be reached.
            let _ = send_cancel(self.spec.address, key, timeout);
        }
    }

    /// Ends the transactions of some sessions.
    pub(super) fn release<Condition>(&self, condition: Condition)
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
                // A worker that is gone has ended its transaction.
                let _ = worker.send(Command::Release(session));
            }
        }
    }

    /// Does what the passing of time, the document and ownership demand.
    pub(super) fn tick(self: &Arc<Self>, is_leaving: bool, ownership: Ownership) {
        let now = Instant::now();
        let mut state = self.lock();
        if is_leaving != state.is_leaving {
            state.is_leaving = is_leaving;
            info!(self.context.logger, "server leaving"; "server" => %self.spec.name, "leaving" => is_leaving);
            if is_leaving {
                state.admission.close_at(now + LEAVING_GRACE);
            } else {
                state.admission.reopen();
            }
        }
        state.admission.set_ownership(ownership);
        let actions = state.admission.tick(now);
        self.carry_out(state, actions);
    }

    /// Refuses new work from now on, as that of another instance.
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

    /// Notes that a connection was opened by its thread.
    pub(super) fn connection_opened(self: &Arc<Self>, id: ConnectionId, address: UpstreamAddress) {
        let mut state = self.lock();
        let actions = state.admission.connection_opened(id, address, Instant::now());
        self.carry_out(state, actions);
    }

    /// Notes that a thread could not open its connection.
    pub(super) fn connection_failed(self: &Arc<Self>, id: ConnectionId) {
        let mut state = self.lock();
        state.workers.remove(&id);
        let actions = state.admission.connection_failed(id, Instant::now());
        self.carry_out(state, actions);
    }

    /// Notes that a thread opened its connection anew for somebody else.
    pub(super) fn connection_reopened(&self, id: ConnectionId, address: UpstreamAddress) {
        self.lock().admission.connection_reopened(id, address);
    }

    /// Notes what a thread is about to run, so that it can be cancelled.
    pub(super) fn request_started(&self, id: ConnectionId, key: Option<CancelKey>) {
        if let Some(key) = key {
            self.lock().cancel_keys.insert(id, key);
        }
    }

    /// Returns a request's slot, and its connection unless the session holds it.
    pub(super) fn request_finished(
        self: &Arc<Self>,
        request: RequestId,
        connection: ConnectionId,
        connection_outcome: ConnectionOutcome,
        took: Option<Duration>,
    ) {
        let mut state = self.lock();
        state.cancel_keys.remove(&connection);
        if connection_outcome == ConnectionOutcome::Closed {
            state.workers.remove(&connection);
        }
        let actions = state.admission.finished(request, connection_outcome, took, Instant::now());
        self.carry_out(state, actions);
    }

    /// Returns the connection of a request that was answered.
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

    /// Returns the connection of a transaction that ended without a request.
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

    /// Carries actions out and sends refusals once the state is unlocked.
    fn carry_out(self: &Arc<Self>, mut state: MutexGuard<'_, State>, actions: Actions) {
        let mut refused = Vec::new();
        for action in actions {
            match action {
                ServerAction::Open(id, address) => self.spawn_worker(&mut state, id, address),
                ServerAction::Close(id) => {
                    if let Some(worker) = state.workers.remove(&id) {
                        let _ = worker.send(Command::Close);
                    }
                }
                ServerAction::Start(id, connection) => {
                    if let Some(job) = state.jobs.get(&id) {
                        self.metrics().record_wait(job);
                    }
                    state.start(id, connection);
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

    fn spawn_worker(
        self: &Arc<Self>,
        state: &mut State,
        id: ConnectionId,
        address: UpstreamAddress,
    ) {
        let (sender, commands) = unbounded();
        state.workers.insert(id, sender);
        let server = Arc::clone(self);
        let spawned = thread::Builder::new()
            .name(format!("{}-{id}", self.spec.name))
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || Worker::new(server, id, commands).run(address));
        if let Err(error) = spawned {
            warn!(self.context.logger, "connection not opened"; "server" => %self.spec.name, "error" => %error);
            state.workers.remove(&id);
            // The next tick plans it again.
            let _ = state.admission.connection_failed(id, Instant::now());
        }
    }

    fn metrics(&self) -> ServerMetrics<'_> {
        ServerMetrics { server: &self.spec.name, metrics: &self.context.metrics }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the server's state panics")
    }
}

/// Passes on what no longer has to wait.
struct Submitter<'server, Guard>(&'server Arc<OwnedServer<Guard>>);

impl<Guard> PendingHandler for Submitter<'_, Guard>
where
    Guard: ServerGuard,
{
    fn admit(&self, job: Job) {
        self.0.enqueue(job);
    }

    fn answer(&self, job: Job, outcome: Outcome) {
        self.0.answer(job.reply, outcome);
    }
}

impl State {
    /// Hands a request to the thread of its connection.
    fn start(&mut self, id: RequestId, connection: ConnectionId) {
        let (Some(job), Some(worker)) = (self.jobs.remove(&id), self.workers.get(&connection))
        else {
            return;
        };
        let _ = worker.send(Command::Run(id, job));
    }
}
