//! One owned server: its queue, its workers and the sessions that hold a connection.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

use crossbeam_channel::{Receiver, Sender, unbounded};
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_document::groups::ServerSpec;
use masticreel_postgres::startup::CancelKey;
use masticreel_postgres::upstream::send_cancel;
use masticreel_wire::message::{Pinning, SessionKey};
use slog::info;

use crate::owner::OwnerContext;
use crate::owner::guard::ServerGuard;
use crate::owner::job::Job;
use crate::owner::queue::{QueuedRequest, ServerQueue, Ticket};
use crate::owner::worker::Worker;

/// Connections that servers reserve for control.
const CONTROL_CONNECTIONS: u32 = 3;
/// Requests that may wait for one server.
const MAX_WAITING: usize = 1024;
/// Stack of a worker thread, in bytes.
const WORKER_STACK_BYTES: usize = 256 * 1024;

/// What a worker is told to do.
pub(super) enum Command {
    /// Run a request.
    Run(Job),
    /// End the open transaction.
    Release,
}

/// A server that this instance owns.
pub(super) struct OwnedServer<Guard> {
    spec: ServerSpec,
    context: OwnerContext<Guard>,
    state: Mutex<State>,
    free_jobs: Sender<Job>,
}

struct State {
    queue: ServerQueue,
    next_ticket: u64,
    jobs: HashMap<Ticket, Job>,
    holders: HashMap<SessionKey, Sender<Command>>,
    running: HashMap<SessionKey, CancelKey>,
}

impl<Guard> OwnedServer<Guard>
where
    Guard: ServerGuard,
{
    /// Starts the workers of a server.
    pub(super) fn start(spec: ServerSpec, context: OwnerContext<Guard>) -> Arc<Self> {
        let connections = spec.max_connections.saturating_sub(CONTROL_CONNECTIONS).max(1);
        let (free_jobs, receiver) = unbounded();
        let queue = ServerQueue::new(spec.slots, connections, MAX_WAITING);
        info!(context.logger, "server taken up"; "server" => %spec.name, "connections" => connections);
        let state = Mutex::new(State {
            queue,
            next_ticket: 0,
            jobs: HashMap::new(),
            holders: HashMap::new(),
            running: HashMap::new(),
        });
        let server = Arc::new(Self { spec, context, state, free_jobs });
        for number in 0..connections {
            server.clone().spawn_worker(number, receiver.clone());
        }
        server
    }

    fn spawn_worker(self: Arc<Self>, number: u32, receiver: Receiver<Job>) {
        let name = format!("{}-{number}", self.spec.name);
        thread::Builder::new()
            .name(name)
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || Worker::new(self, receiver).run())
            .expect("the system has room for the worker threads");
    }

    pub(super) fn spec(&self) -> &ServerSpec {
        &self.spec
    }

    pub(super) fn context(&self) -> &OwnerContext<Guard> {
        &self.context
    }

    /// Queues a job, or refuses it.
    pub(super) fn submit(&self, job: Job) {
        let mut state = self.lock();
        let session = job.request.session;
        let pinning = job.request.pinning;
        if pinning == Pinning::Pinned && !state.holders.contains_key(&session) {
            drop(state);
            let message = "the transaction was rolled back";
            job.reply.send(Err(Failure::not_run(FailureKind::TransactionLost, message)));
            return;
        }
        let ticket = Ticket(state.next_ticket);
        state.next_ticket += 1;
        if !state.queue.submit(QueuedRequest { ticket, session, pinning }) {
            drop(state);
            let message = format!("the queue of server {} is full", self.spec.name);
            job.reply.send(Err(Failure::not_run(FailureKind::Overloaded, message)));
            return;
        }
        state.jobs.insert(ticket, job);
        self.dispatch(state);
    }

    /// Cancels what a session is running or has queued.
    pub(super) fn cancel(&self, session: SessionKey) {
        let mut state = self.lock();
        let tickets = state.queue.remove(session);
        let jobs: Vec<Job> =
            tickets.iter().filter_map(|ticket| state.jobs.remove(ticket)).collect();
        let running = state.running.get(&session).copied();
        drop(state);
        for job in jobs {
            let message = "cancelled before it ran";
            job.reply.send(Err(Failure::not_run(FailureKind::Cancelled, message)));
        }
        if let Some(key) = running {
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
        let holders = state.holders.iter().filter(|(session, _)| condition(**session));
        for (_, holder) in holders {
            // A worker that is gone has ended its transaction.
            let _ = holder.send(Command::Release);
        }
    }

    /// Notes what a worker is about to run, so that it can be cancelled.
    pub(super) fn request_started(&self, session: SessionKey, key: Option<CancelKey>) {
        if let Some(key) = key {
            self.lock().running.insert(session, key);
        }
    }

    /// Returns a request's slot, and its connection unless the session holds it.
    pub(super) fn request_finished(&self, session: SessionKey, holder: Option<Sender<Command>>) {
        let mut state = self.lock();
        state.running.remove(&session);
        state.queue.slot_freed();
        match holder {
            Some(holder) => {
                state.holders.insert(session, holder);
            }
            None => {
                state.holders.remove(&session);
                state.queue.connection_freed();
            }
        }
        self.dispatch(state);
    }

    /// Returns the connection of a transaction that ended without a request.
    pub(super) fn holder_gone(&self, session: SessionKey) {
        let mut state = self.lock();
        state.holders.remove(&session);
        state.queue.connection_freed();
        let orphans = state.queue.remove(session);
        let jobs: Vec<Job> =
            orphans.iter().filter_map(|ticket| state.jobs.remove(ticket)).collect();
        self.dispatch(state);
        for job in jobs {
            let message = "the transaction was rolled back";
            job.reply.send(Err(Failure::not_run(FailureKind::TransactionLost, message)));
        }
    }

    /// Hands the requests that can start to workers.
    fn dispatch(&self, mut state: MutexGuard<'_, State>) {
        for request in state.queue.startable() {
            let Some(job) = state.jobs.remove(&request.ticket) else { continue };
            self.hand_over(&state, job);
        }
        let waiting = i64::try_from(state.queue.waiting()).unwrap_or(i64::MAX);
        drop(state);
        self.context.metrics.queued.with_label_values(&[self.spec.name.as_str()]).set(waiting);
    }

    fn hand_over(&self, state: &State, job: Job) {
        match state.holders.get(&job.request.session) {
            Some(holder) if job.request.pinning == Pinning::Pinned => {
                let _ = holder.send(Command::Run(job));
            }
            _ => {
                let _ = self.free_jobs.send(job);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the server's state panics")
    }
}
