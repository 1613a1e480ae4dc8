//! The owner's side: queues and connections of the servers this instance owns.
//!
//! See `docs/design/02-ownership.md` and `docs/design/07-admission.md`.

pub mod guard;
pub mod job;
pub mod queue;
mod server;
mod worker;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use masticreel_base::cancellation::CancellationToken;
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::{Incarnation, ServerId};
use masticreel_document::groups::ServerSpec;
use masticreel_wire::message::{SessionKey, UpstreamRequest};
use slog::Logger;

use crate::groups::Groups;
use crate::metrics::Metrics;
use crate::owner::guard::ServerGuard;
use crate::owner::job::{Job, Reply};
use crate::owner::server::OwnedServer;
use crate::settings::LimitSettings;

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
}

impl<Guard> Owner<Guard>
where
    Guard: ServerGuard,
{
    /// Creates an owner that takes servers up when they are first asked for.
    pub fn new(context: OwnerContext<Guard>, groups: Groups) -> Self {
        Self { context, groups, servers: Mutex::new(HashMap::new()) }
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

    fn server_spec(&self, request: &UpstreamRequest) -> Option<ServerSpec> {
        let group = self.groups.by_name(&request.group)?;
        group.servers.into_iter().find(|server| server.name == request.server)
    }

    fn all_servers(&self) -> Vec<Arc<OwnedServer<Guard>>> {
        let servers = self.servers.lock().expect("no holder of the servers panics");
        servers.values().cloned().collect()
    }

    fn server(&self, spec: &ServerSpec) -> Arc<OwnedServer<Guard>> {
        let mut servers = self.servers.lock().expect("no holder of the servers panics");
        let known = servers.get(&spec.name).filter(|server| server.spec() == spec);
        if let Some(server) = known {
            return server.clone();
        }
        let server = OwnedServer::start(spec.clone(), self.context.clone());
        servers.insert(spec.name.clone(), server.clone());
        server
    }
}
