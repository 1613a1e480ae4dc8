//! The part of an instance that runs requests on the servers that it owns, with a
//! queue and connections for each.
//!
//! Requests arrive from this instance's own callers and from other instances, as
//! [`Job`]s. Each owned server has a queue (`server`), one thread for each of its
//! connections (`worker`, `keyed`) and one for requests that wait for a replica or for a
//! majority (`pending`). A [`ServerGuard`], or guard, decides which requests a server
//! may serve and when a commit is safe. The `ticker` passes changes of the document and
//! of ownership on to the servers. See `docs/design/02-ownership.md` and
//! `docs/design/07-admission.md`.

pub mod guard;
pub mod job;
mod keyed;
mod pending;
mod server;
mod server_metrics;
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

/// Interval at which a drain checks whether all servers are idle.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What all servers of the owner share.
#[derive(Debug, Clone)]
pub struct OwnerContext<Guard> {
    /// Decides which requests a server may serve, and confirms commits.
    pub guard: Guard,
    /// Timeouts and other limits from the settings.
    pub limits: LimitSettings,
    /// The metrics of the instance.
    pub metrics: Metrics,
    /// The logger of the instance.
    pub logger: Logger,
    /// Stops the owner's threads when cancelled.
    pub cancellation: CancellationToken,
}

/// Runs requests on the servers that this instance owns.
///
/// It does not check the ownership itself: the guard refuses requests for servers of
/// groups that this instance does not watch.
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
    /// Creates an owner without servers; each is added with its first request.
    pub fn new(context: OwnerContext<Guard>, groups: Groups) -> Self {
        Self {
            context,
            groups,
            servers: Mutex::new(HashMap::new()),
            is_draining: AtomicBool::new(false),
        }
    }

    /// Queues a request or refuses it; the reply is sent exactly once.
    pub fn submit(&self, request: UpstreamRequest, reply: Reply) {
        let Some(spec) = self.server_spec(&request) else {
            let message = format!("server {} is not in the document", request.server);
            reply.send(Err(Failure::not_run(FailureKind::NotOwner, message)));
            return;
        };
        self.server(&spec).submit(Job::new(request, reply));
    }

    /// Cancels the running request and the queued requests of a session.
    pub fn cancel(&self, session: SessionKey) {
        for server in self.all_servers() {
            server.cancel(session);
        }
    }

    /// Rolls back the open transactions of a session.
    pub fn roll_back_session(&self, session: SessionKey) {
        for server in self.all_servers() {
            server.roll_back_sessions(|key| key == session);
        }
    }

    /// Rolls back the open transactions of all sessions that an instance accepted in
    /// one incarnation.
    pub fn roll_back_instance(&self, incarnation: Incarnation) {
        for server in self.all_servers() {
            // The key contains the entry's incarnation.
            server.roll_back_sessions(|key| key.entry == incarnation);
        }
    }

    /// Closes the connections to a server that was replaced as the primary and
    /// refuses its queued requests.
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
        let servers =
            self.servers.lock().expect("no thread panics while it holds the servers lock");
        servers.values().cloned().collect()
    }

    /// Starts the thread that regularly expires queued requests of the servers and
    /// passes on changes of the document and of ownership.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start_ticker<Directory>(self: &Arc<Self>, directory: Directory) -> io::Result<()>
    where
        Directory: OwnerDirectory,
    {
        Ticker::new(Arc::clone(self), directory).start()
    }

    /// Stops accepting new requests and waits until all servers are idle.
    ///
    /// New requests are refused with [`FailureKind::NotOwner`], so that their entry
    /// tries another owner; open transactions continue. Returns whether all servers
    /// became idle before the timeout.
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
            thread::sleep(DRAIN_CHECK_INTERVAL);
        }
        true
    }

    fn server(&self, spec: &ServerSpec) -> Arc<OwnedServer<Guard>> {
        let mut servers =
            self.servers.lock().expect("no thread panics while it holds the servers lock");
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
