//! The owner's side: queues and connections of the servers this instance owns.
//!
//! See `docs/design/02-ownership.md` and `docs/design/07-admission.md`.

mod counts;
pub mod guard;
pub mod job;
mod keyed;
mod pending;
mod server;
mod submission;
mod ticker;
mod worker;

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use masticreel_base::cancellation::CancellationToken;
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::{Incarnation, ServerId};
use masticreel_document::groups::ServerSpec;
use masticreel_wire::message::{SessionKey, UpstreamRequest};
use slog::Logger;

use crate::directory::OwnerDirectory;
use crate::groups::Groups;
use crate::metrics::Metrics;
use crate::owner::guard::ServerGuard;
use crate::owner::job::{Job, Reply};
use crate::owner::server::OwnedServer;
use crate::owner::ticker::Ticker;
use crate::settings::LimitSettings;

/// Time between two looks at what is under way in a shutdown.
const DRAIN_INTERVAL: Duration = Duration::from_millis(10);

/// What the parts of the owner share.
#[derive(Debug, Clone)]
pub struct OwnerContext<Guard> {
    /// Decides what a server may serve and confirms commits.
    pub guard: Guard,
    /// Bounds on time and numbers.
    pub limits: LimitSettings,
    /// What is counted.
    pub metrics: Metrics,
    /// Where events are logged.
    pub logger: Logger,
    /// Ends the owner's threads.
    pub cancellation: CancellationToken,
}

/// Runs requests on the servers that this instance owns.
pub struct Owner<Guard> {
    context: OwnerContext<Guard>,
    groups: Groups,
    servers: Mutex<HashMap<ServerId, Arc<OwnedServer<Guard>>>>,
    is_draining: AtomicBool,
}

impl<Guard> Owner<Guard>
where
    Guard: ServerGuard,
{
    /// Creates an owner that takes servers up when they are first asked for.
    pub fn new(context: OwnerContext<Guard>, groups: Groups) -> Self {
        Self {
            context,
            groups,
            servers: Mutex::new(HashMap::new()),
            is_draining: AtomicBool::new(false),
        }
    }

    /// Queues a request; the reply is sent exactly once.
    pub fn submit(&self, request: UpstreamRequest, reply: Reply) {
        let Some(spec) = self.server_spec(&request) else {
            let message = format!("server {} is not in the document", request.server);
            reply.send(Err(Failure::not_run(FailureKind::NotOwner, message)));
            return;
        };
        self.server(&spec).submit(Job::new(request, reply));
    }

    /// Cancels what a session is running or has queued.
    pub fn cancel(&self, session: SessionKey) {
        for server in self.all_servers() {
            server.cancel(session);
        }
    }

    /// Ends what a session holds open.
    pub fn release(&self, session: SessionKey) {
        for server in self.all_servers() {
            server.release(|key| key == session);
        }
    }

    /// Ends what the sessions of an instance's life hold open.
    pub fn release_instance(&self, incarnation: Incarnation) {
        for server in self.all_servers() {
            server.release(|key| key.entry == incarnation);
        }
    }

    /// Closes the connections to a server that is not the primary any more.
    pub fn disconnect(&self, server: &ServerId) {
        let servers = self.all_servers();
        servers.iter().filter(|known| known.spec().name == *server).for_each(|known| {
            known.disconnect();
        });
    }

    fn server_spec(&self, request: &UpstreamRequest) -> Option<ServerSpec> {
        let group = self.groups.by_name(&request.group)?;
        group.servers.into_iter().find(|server| server.name == request.server)
    }

    fn all_servers(&self) -> Vec<Arc<OwnedServer<Guard>>> {
        let servers = self.servers.lock().expect("no holder of the servers panics");
        servers.values().cloned().collect()
    }

    /// Starts the thread that tells servers of the time, the document and
    /// ownership.
    ///
    /// # Errors
    ///
    /// Fails when the system has no room for the thread.
    pub fn start_ticker<Directory>(self: &Arc<Self>, directory: Directory) -> io::Result<()>
    where
        Directory: OwnerDirectory,
    {
        Ticker::new(Arc::clone(self), directory).start()
    }

    /// Hands all servers over and waits until nothing is under way.
    ///
    /// New work is refused as that of another instance; open transactions go
    /// on. Returns whether all ended before the time was over.
    pub fn drain(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        self.is_draining.store(true, Ordering::Release);
        for server in self.all_servers() {
            server.start_draining();
        }
        while !self.all_servers().iter().all(|server| server.is_idle()) {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(DRAIN_INTERVAL);
        }
        true
    }

    fn server(&self, spec: &ServerSpec) -> Arc<OwnedServer<Guard>> {
        let mut servers = self.servers.lock().expect("no holder of the servers panics");
        let known = servers.get(&spec.name).filter(|server| server.serves(spec));
        if let Some(server) = known {
            return server.clone();
        }
        let server = OwnedServer::new(spec.clone(), self.context.clone());
        if self.is_draining.load(Ordering::Acquire) {
            server.start_draining();
        }
        servers.insert(spec.name.clone(), server.clone());
        server
    }
}
