//! A stand-in for the platform's key-value store: an etcd with its v3 JSON gateway.
//!
//! It keeps its keys in memory, and limits and counts calls. Faults are injected
//! through a control endpoint. `requests` handles the calls with the messages of
//! `api`, `watch` streams events, and both work on the `keyspace`.

mod api;
mod faults;
mod keyspace;
mod requests;
mod watch;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

pub use faults::{CallCounts, Faults, Outage};

use crate::http::{HttpServer, respond_json};
use crate::store::keyspace::Keyspace;

/// How often waiting threads check for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// The settings of the store.
#[derive(Debug, Clone)]
pub struct StoreSettings {
    /// The address that it listens on; port 0 selects a free one.
    pub listen: SocketAddr,
    /// The address of its control endpoint.
    pub control: SocketAddr,
    /// How many reads per second it accepts.
    pub reads_per_second: f64,
    /// How many writes per second it accepts.
    pub writes_per_second: f64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            listen: any_port,
            control: any_port,
            reads_per_second: 2000.0,
            writes_per_second: 500.0,
        }
    }
}

/// State shared by the threads of the store.
#[derive(Debug)]
struct Shared {
    keyspace: Mutex<Keyspace>,
    /// What [`Shared::restore`] goes back to; empty unless a copy was made.
    copy: Mutex<Keyspace>,
    changed: Condvar,
    faults: Faults,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Keyspace> {
        let mut keyspace =
            self.keyspace.lock().expect("no thread panics while it holds the lock of the keyspace");
        keyspace.expire(Instant::now());
        keyspace
    }

    /// Keeps a copy of the keyspace for [`Shared::restore`].
    fn copy(&self) {
        let copy = self.lock().clone();
        *self.lock_copy() = copy;
    }

    /// Replaces the keyspace with the copy, as if the store had been restored from it:
    /// later changes are lost, and their revisions are given out again.
    fn restore(&self) {
        let copy = self.lock_copy().clone();
        *self.lock() = copy;
        self.changed.notify_all();
    }

    fn lock_copy(&self) -> MutexGuard<'_, Keyspace> {
        self.copy.lock().expect("no thread panics while it holds the lock of the copy")
    }

    /// Waits for a change, at most until the next check for expired leases.
    fn wait_for_change<'a>(&self, keyspace: MutexGuard<'a, Keyspace>) -> MutexGuard<'a, Keyspace> {
        let waited = self.changed.wait_timeout(keyspace, EXPIRY_INTERVAL);
        let (mut keyspace, _) =
            waited.expect("no thread panics while it holds the lock of the keyspace");
        keyspace.expire(Instant::now());
        keyspace
    }
}

/// A running store; it stops when dropped.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    gateway: HttpServer,
    control: HttpServer,
}

impl Store {
    /// Starts a store.
    ///
    /// # Errors
    ///
    /// Fails when it can't listen.
    pub fn start(settings: &StoreSettings) -> io::Result<Self> {
        let faults = Faults::new(settings.reads_per_second, settings.writes_per_second);
        let shared = Arc::new(Shared {
            keyspace: Mutex::default(),
            copy: Mutex::default(),
            changed: Condvar::new(),
            faults,
        });
        let gateway = {
            let shared = Arc::clone(&shared);
            HttpServer::start(settings.listen, move |request| requests::handle(&shared, request))?
        };
        let control = {
            let shared = Arc::clone(&shared);
            HttpServer::start(settings.control, move |request| control(&shared, request))?
        };
        Ok(Self { shared, gateway, control })
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.gateway.address()
    }

    /// Returns the address of the store's control endpoint.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns the store's injected faults and its counts of calls.
    pub fn faults(&self) -> &Faults {
        &self.shared.faults
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.shared.faults.stop();
        self.shared.changed.notify_all();
    }
}

/// Handles a request to the control endpoint; see `docs/standins.md`.
///
/// Every request is answered with the counts, and with status 404 if its command
/// is unknown or has a malformed argument.
fn control(shared: &Shared, request: tiny_http::Request) {
    let path = request.url().trim_matches('/').to_owned();
    let is_applied = apply_command(shared, &path).is_some();
    let status = if is_applied { 200 } else { 404 };
    respond_json(request, status, &shared.faults.counts());
}

fn apply_command(shared: &Shared, path: &str) -> Option<()> {
    let faults = &shared.faults;
    match path.split('/').collect::<Vec<_>>().as_slice() {
        ["counts"] => {}
        ["counts", "reset"] => faults.reset_counts(),
        ["down"] => faults.set_outage(Outage::Refusing),
        ["silent"] => faults.set_outage(Outage::Silent),
        ["up"] => faults.clear(),
        ["copy"] => shared.copy(),
        ["restore"] => shared.restore(),
        ["slow_ms", delay_ms] => {
            faults.set_slowness(Duration::from_millis(delay_ms.parse().ok()?));
        }
        ["lose_next", count] => faults.lose_next_responses(count.parse().ok()?),
        ["lose", probability, seed] => {
            let probability = probability.parse().ok().filter(|p| (0.0..=1.0).contains(p))?;
            faults.lose_responses(probability, seed.parse().ok()?);
        }
        ["rates", reads, writes] => faults.set_rates(reads.parse().ok()?, writes.parse().ok()?),
        _ => return None,
    }
    Some(())
}
