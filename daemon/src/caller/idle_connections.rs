//! Connections that no thread is serving, watched by one poller.
//!
//! They are idle only in that their callers send nothing: the session of one may have
//! an open transaction.

use std::collections::HashMap;
use std::io;
use std::os::fd::AsFd;
use std::sync::Mutex;
use std::time::Duration;

use crossbeam_channel::Sender;
use polling::{Event, Events, Poller};

use crate::caller::closures::Reason;
use crate::caller::connection::Connection;
use crate::memory::CallerMemory;

/// For what a connection waits that no thread is serving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Awaited {
    /// The caller's next bytes.
    Input,
    /// That the caller reads its answer.
    Reader,
    /// Memory for what the caller may send.
    Memory,
}

/// Holds the connections that no thread is serving and passes each to the worker
/// threads as soon as its caller sends something.
pub(super) struct IdleConnections {
    poller: Poller,
    connections: Mutex<HashMap<usize, Connection>>,
    ready: Sender<Connection>,
    memory: CallerMemory,
}

impl IdleConnections {
    /// Creates an empty set that sends readable connections to a channel.
    pub(super) fn new(ready: Sender<Connection>, memory: CallerMemory) -> io::Result<Self> {
        let poller = Poller::new()?;
        Ok(Self { poller, connections: Mutex::new(HashMap::new()), ready, memory })
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
    pub(super) fn watch_again(&self, connection: Connection, awaited: Awaited) -> io::Result<()> {
        let key = connection.number();
        let mut connections = self.lock();
        let connection = connections.entry(key).or_insert(connection);
        let event = match awaited {
            Awaited::Input => Event::readable(key),
            Awaited::Reader => Event::writable(key),
            Awaited::Memory => {
                // If this fails, the poller's next wait ends at its timeout.
                let _ = self.poller.notify();
                return Ok(());
            }
        };
        let result = self.poller.modify(connection.stream().as_fd(), event);
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

    /// Removes and returns a connection.
    pub(super) fn take(&self, key: usize) -> Option<Connection> {
        self.lock().remove(&key)
    }

    /// Removes and returns the connection with the greatest rank, of those that have one.
    pub(super) fn take_greatest<Rank, RankOf>(&self, rank: RankOf) -> Option<Connection>
    where
        Rank: Ord,
        RankOf: Fn(&Connection) -> Option<Rank>,
    {
        let mut connections = self.lock();
        let ranked = connections
            .values()
            .filter_map(|connection| Some((rank(connection)?, connection.number())));
        let (_, key) = ranked.max()?;
        connections.remove(&key)
    }

    /// Returns whether a connection waits for memory.
    pub(super) fn has_paused(&self) -> bool {
        self.lock().values().any(Connection::is_paused)
    }

    /// Sends the connections whose wait for memory is over to the channel.
    pub(super) fn resume_paused(&self) {
        let is_resumed =
            |connection: &Connection| connection.is_paused() && connection.may_resume(&self.memory);
        self.take_if(is_resumed).into_iter().for_each(|connection| self.pass(connection));
    }

    /// Sends connections whose event came to the channel until cancelled.
    ///
    /// `enforce_limits` runs after each wait and returns how long the next may take.
    ///
    /// # Errors
    ///
    /// Fails if the poller can't wait.
    pub(super) fn run<Condition, EnforceLimits>(
        &self,
        is_cancelled: Condition,
        mut enforce_limits: EnforceLimits,
    ) -> io::Result<()>
    where
        Condition: Fn() -> bool,
        EnforceLimits: FnMut() -> Duration,
    {
        let mut events = Events::new();
        while !is_cancelled() {
            events.clear();
            self.poller.wait(&mut events, Some(enforce_limits()))?;
            for event in events.iter() {
                let connection = self.lock().remove(&event.key);
                if let Some(connection) = connection {
                    self.pass(connection);
                }
            }
        }
        Ok(())
    }

    /// Passes a connection to the worker threads, of which one closes it.
    pub(super) fn pass_to_close(&self, mut connection: Connection, reason: Reason) {
        connection.mark_closed(reason, &self.memory);
        let _ = self.ready.send(connection);
    }

    /// Passes a connection to the worker threads.
    fn pass(&self, mut connection: Connection) {
        connection.mark_queued(&self.memory);
        let _ = self.ready.send(connection);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<usize, Connection>> {
        self.connections.lock().expect("no thread panics while it holds the idle connections lock")
    }
}
