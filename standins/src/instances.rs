//! A stand-in for the platform's list of live and leaving instances.
//!
//! The list is served over HTTP with an adjustable lag, and changed through a
//! control endpoint or by methods.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tiny_http::Request;

use crate::http::{HttpServer, respond_json};

/// Whether an instance is going to be removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It runs, and its removal is not planned.
    Live,
    /// It will be removed soon.
    Leaving,
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's name.
    pub name: String,
    /// The address at which other instances reach it.
    pub address: String,
    /// The failure domain that it runs in.
    pub failure_domain: String,
    pub state: InstanceState,
}

/// The settings of the list.
#[derive(Debug, Clone)]
pub struct InstanceListSettings {
    /// The address that serves the list; port 0 selects a free one.
    pub listen: SocketAddr,
    /// The address of the control endpoint.
    pub control: SocketAddr,
    /// How long a change takes to become visible to readers.
    pub lag: Duration,
}

impl Default for InstanceListSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self { listen: any_port, control: any_port, lag: Duration::ZERO }
    }
}

#[derive(Debug)]
struct ListState {
    /// The list after each change, the newest last. All are kept, since a longer
    /// lag makes old ones visible again.
    versions: Vec<(Instant, Vec<Instance>)>,
    lag: Duration,
}

impl ListState {
    fn change(&mut self, now: Instant, change: impl FnOnce(&mut Vec<Instance>)) {
        let mut list = self.versions.last().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut list);
        self.versions.push((now, list));
    }

    fn read(&mut self, now: Instant) -> Vec<Instance> {
        let lag = self.lag;
        let is_visible = |(since, _): &(Instant, Vec<Instance>)| *since + lag <= now;
        let visible = self.versions.iter().rposition(is_visible);
        visible.map(|index| self.versions[index].1.clone()).unwrap_or_default()
    }
}

/// A running list; it stops when dropped.
#[derive(Debug)]
pub struct InstanceList {
    state: Arc<Mutex<ListState>>,
    list_server: HttpServer,
    control_server: HttpServer,
}

impl InstanceList {
    /// Starts an empty list.
    ///
    /// # Errors
    ///
    /// Fails when it can't listen.
    pub fn start(settings: &InstanceListSettings) -> io::Result<Self> {
        let state = ListState { versions: Vec::new(), lag: settings.lag };
        let state = Arc::new(Mutex::new(state));
        let list_server = {
            let state = Arc::clone(&state);
            HttpServer::start(settings.listen, move |request| serve(&state, request))?
        };
        let control_server = {
            let state = Arc::clone(&state);
            HttpServer::start(settings.control, move |request| control(&state, request))?
        };
        Ok(Self { state, list_server, control_server })
    }

    /// Returns the address that serves the list.
    pub fn address(&self) -> SocketAddr {
        self.list_server.address()
    }

    /// Returns the address of the control endpoint.
    pub fn control_address(&self) -> SocketAddr {
        self.control_server.address()
    }

    /// Adds an instance, or replaces the one of the same name.
    pub fn add(&self, instance: Instance) {
        lock(&self.state).change(Instant::now(), |list| add(list, instance));
    }

    /// Removes an instance.
    pub fn remove(&self, name: &str) {
        lock(&self.state).change(Instant::now(), |list| list.retain(|entry| entry.name != name));
    }

    /// Marks an instance as leaving.
    pub fn mark_leaving(&self, name: &str) {
        lock(&self.state).change(Instant::now(), |list| mark_leaving(list, name));
    }

    /// Sets how long a change takes to become visible to readers.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }
}

fn lock(state: &Mutex<ListState>) -> MutexGuard<'_, ListState> {
    state.lock().expect("no thread panics while it holds the lock of the list")
}

fn add(list: &mut Vec<Instance>, instance: Instance) {
    list.retain(|entry| entry.name != instance.name);
    list.push(instance);
}

fn mark_leaving(list: &mut [Instance], name: &str) {
    for entry in list.iter_mut().filter(|entry| entry.name == name) {
        entry.state = InstanceState::Leaving;
    }
}

fn serve(state: &Mutex<ListState>, request: Request) {
    if request.url() != "/instances" {
        return respond_json(request, 404, &"unknown path");
    }
    let list = lock(state).read(Instant::now());
    respond_json(request, 200, &list);
}

/// Handles a request to the control endpoint: `/add` with an instance as JSON,
/// `/remove/NAME`, `/leaving/NAME` or `/lag_ms/N`; see `docs/standins.md`.
fn control(state: &Mutex<ListState>, mut request: Request) {
    let mut body = String::new();
    let body_was_read = request.as_reader().read_to_string(&mut body).is_ok();
    let path = request.url().trim_matches('/').to_owned();
    let is_applied = body_was_read && apply_command(&mut lock(state), &path, &body).is_some();
    let status = if is_applied { 200 } else { 400 };
    respond_json(request, status, &is_applied);
}

fn apply_command(state: &mut ListState, path: &str, body: &str) -> Option<()> {
    let now = Instant::now();
    match path.split('/').collect::<Vec<_>>().as_slice() {
        ["add"] => {
            let instance = serde_json::from_str(body).ok()?;
            state.change(now, |list| add(list, instance));
        }
        ["remove", name] => state.change(now, |list| list.retain(|entry| entry.name != *name)),
        ["leaving", name] => state.change(now, |list| mark_leaving(list, name)),
        ["lag_ms", lag_ms] => state.lag = Duration::from_millis(lag_ms.parse().ok()?),
        _ => return None,
    }
    Some(())
}
