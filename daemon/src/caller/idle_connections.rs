//! Connections that no thread is serving, watched by one poller.
//!
//! They are idle only in that their callers send nothing: the session of one may have
//! an open transaction.

use std::collections::HashMap;
use std::io;
use std::os::fd::AsFd;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use polling::{Event, Events, Poller};

use crate::caller::connection::Connection;

/// Interval between searches for connections that exceed [`STARTUP_TIMEOUT`].
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long a caller may take to open a session.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// Holds the connections that no thread is serving and passes each to the worker
/// threads as soon as its caller sends something.
pub(super) struct IdleConnections {
    poller: Poller,
    connections: Mutex<HashMap<usize, Connection>>,
    ready: Sender<Connection>,
}

impl IdleConnections {
    /// Creates an empty set that sends readable connections to a channel.
    pub(super) fn new(ready: Sender<Connection>) -> io::Result<Self> {
        Ok(Self { poller: Poller::new()?, connections: Mutex::new(HashMap::new()), ready })
    }

    /// Registers a new connection with the poller.
    pub(super) fn watch_new(&self, connection: Connection) -> io::Result<()> {
        let key = connection.number();
        let mut connections = self.lock();
        let connection = connections.entry(key).or_insert(connection);
        // SAFETY: a connection's socket is closed only after `stop_watching` has
        // removed it from the poller, or if the poller refused to change its
        // registration in `watch_again`.
        #[expect(unsafe_code, reason = "the poller needs sockets to outlive their registration")]
        let result = unsafe { self.poller.add(connection.stream(), Event::readable(key)) };
        if result.is_err() {
            connections.remove(&key);
        }
        result
    }

    /// Watches a connection again after a worker thread has served it.
    ///
    /// If this fails, the connection is dropped without [`Connection::close`], so its
    /// open transaction and its cancel key remain.
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

    /// Removes a connection that is about to be closed from the poller.
    pub(super) fn stop_watching(&self, connection: &Connection) {
        // An error means that the socket is not registered.
        let _ = self.poller.delete(connection.stream().as_fd());
    }

    /// Removes and returns the connections that meet a condition, of those that no
    /// thread is serving.
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

    /// Sends readable connections to the channel until cancelled.
    ///
    /// Connections that have not opened a session within [`STARTUP_TIMEOUT`] are
    /// passed to `close_overdue`.
    ///
    /// # Errors
    ///
    /// Fails if the poller can't wait.
    pub(super) fn run<Condition, CloseOverdue>(
        &self,
        is_cancelled: Condition,
        close_overdue: CloseOverdue,
    ) -> io::Result<()>
    where
        Condition: Fn() -> bool,
        CloseOverdue: Fn(Connection),
    {
        let mut events = Events::new();
        let mut checked_at = Instant::now();
        while !is_cancelled() {
            events.clear();
            self.poller.wait(&mut events, Some(STARTUP_CHECK_INTERVAL))?;
            for event in events.iter() {
                let connection = self.lock().remove(&event.key);
                if let Some(connection) = connection {
                    let _ = self.ready.send(connection);
                }
            }
            if checked_at.elapsed() >= STARTUP_CHECK_INTERVAL {
                checked_at = Instant::now();
                self.take_if(|connection| connection.is_overdue(STARTUP_TIMEOUT))
                    .into_iter()
                    .for_each(&close_overdue);
            }
        }
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<usize, Connection>> {
        self.connections.lock().expect("no thread panics while it holds the idle connections lock")
    }
}
