//! Where idle connections wait until their callers send something.

use std::collections::HashMap;
use std::io;
use std::os::fd::AsFd;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use polling::{Event, Events, Poller};

use crate::caller::connection::Connection;

/// Time between two sweeps of connections that never opened a session.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time that a caller may take to open a session.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// Holds the connections that no thread is serving.
pub(super) struct IdleConnections {
    poller: Poller,
    connections: Mutex<HashMap<usize, Connection>>,
    ready: Sender<Connection>,
}

impl IdleConnections {
    /// Creates an empty parking that passes ready connections on.
    pub(super) fn new(ready: Sender<Connection>) -> io::Result<Self> {
        Ok(Self { poller: Poller::new()?, connections: Mutex::new(HashMap::new()), ready })
    }

    /// Starts watching a new connection.
    pub(super) fn watch_new(&self, connection: Connection) -> io::Result<()> {
        let key = connection.number();
        let mut connections = self.lock();
        let connection = connections.entry(key).or_insert(connection);
        // SAFETY: a connection's socket is closed only after `stop_watching` has
        // removed it from the poller.
        #[expect(unsafe_code, reason = "the poller needs sockets to outlive their registration")]
        let result = unsafe { self.poller.add(connection.stream(), Event::readable(key)) };
        if result.is_err() {
            connections.remove(&key);
        }
        result
    }

    /// Watches a connection again after it was served.
    pub(super) fn watch_again(&self, connection: Connection) -> io::Result<()> {
        let key = connection.number();
        let mut connections = self.lock();
        let connection = connections.entry(key).or_insert(connection);
        let result = self.poller.modify(connection.stream().as_fd(), Event::readable(key));
        if result.is_err() {
            connections.remove(&key);
        }
        result
    }

    /// Stops watching a connection that is about to be closed.
    pub(super) fn stop_watching(&self, connection: &Connection) {
        // A failure means that the socket is not registered.
        let _ = self.poller.delete(connection.stream().as_fd());
    }

    /// Takes all parked connections that meet a condition.
    pub(super) fn take_if<Condition>(&self, condition: Condition) -> Vec<Connection>
    where
        Condition: Fn(&Connection) -> bool,
    {
        let mut connections = self.lock();
        let keys: Vec<usize> = connections
            .iter()
            .filter(|(_, connection)| condition(connection))
            .map(|(key, _)| *key)
            .collect();
        keys.iter().filter_map(|key| connections.remove(key)).collect()
    }

    /// Passes ready connections on until the condition says stop.
    ///
    /// Connections that never opened a session are given up after a while.
    pub(super) fn run<Condition, GiveUp>(
        &self,
        is_cancelled: Condition,
        give_up: GiveUp,
    ) -> io::Result<()>
    where
        Condition: Fn() -> bool,
        GiveUp: Fn(Connection),
    {
        let mut events = Events::new();
        let mut swept = Instant::now();
        while !is_cancelled() {
            events.clear();
            self.poller.wait(&mut events, Some(SWEEP_INTERVAL))?;
            for event in events.iter() {
                let connection = self.lock().remove(&event.key);
                if let Some(connection) = connection {
                    let _ = self.ready.send(connection);
                }
            }
            if swept.elapsed() >= SWEEP_INTERVAL {
                swept = Instant::now();
                self.take_if(|connection| connection.is_overdue(STARTUP_TIMEOUT))
                    .into_iter()
                    .for_each(&give_up);
            }
        }
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<usize, Connection>> {
        self.connections.lock().expect("no holder of the parked connections panics")
    }
}
