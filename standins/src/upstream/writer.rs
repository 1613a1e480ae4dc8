//! The server's write lock, held from a transaction's first write to its end.
//!
//! SQLite allows one writer at a time. The stand-in has a lock of its own so that
//! waiting writes occupy no slots, and so that a fence can end a transaction
//! between two of its statements. Waiting writes get the lock in no particular
//! order.

use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use rusqlite::Connection;

use crate::upstream::interrupt::SessionHandle;

/// A session's connection to SQLite, shared with the thread that revokes the
/// write lock and rolls back its transaction.
pub type SharedConnection = Arc<Mutex<Option<Connection>>>;

/// How often a waiting writer checks whether it was cancelled.
const CANCEL_INTERVAL: Duration = Duration::from_millis(20);

/// Why the write lock was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LockError {
    /// Another transaction held it until the timeout.
    Timeout,
    /// The statement was cancelled.
    Cancelled,
}

#[derive(Debug)]
struct Holder {
    holder_id: u64,
    connection: SharedConnection,
    session_handle: Arc<SessionHandle>,
}

#[derive(Debug, Default)]
struct LockState {
    holder: Option<Holder>,
    next_holder_id: u64,
}

/// The write lock of a server; at most one transaction holds it.
#[derive(Debug, Default)]
pub struct WriteLock {
    state: Mutex<LockState>,
    released: Condvar,
}

/// The held write lock, released when dropped.
#[derive(Debug)]
pub struct WriteGuard {
    lock: Arc<WriteLock>,
    holder_id: u64,
}

impl WriteLock {
    /// Waits for the write lock.
    ///
    /// # Errors
    ///
    /// Fails when the lock is not free within the timeout, and when the statement
    /// is cancelled.
    pub fn acquire(
        self: &Arc<Self>,
        connection: &SharedConnection,
        session_handle: &Arc<SessionHandle>,
        timeout: Duration,
    ) -> Result<WriteGuard, LockError> {
        let deadline = Instant::now() + timeout;
        let mut state =
            self.state.lock().expect("no thread panics while it updates the write lock");
        while state.holder.is_some() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(LockError::Timeout);
            }
            let result = self.released.wait_timeout(state, remaining.min(CANCEL_INTERVAL));
            state = result.expect("no thread panics while it updates the write lock").0;
            if session_handle.is_cancelled() {
                return Err(LockError::Cancelled);
            }
        }
        let holder_id = state.next_holder_id;
        state.next_holder_id += 1;
        let connection = Arc::clone(connection);
        state.holder =
            Some(Holder { holder_id, connection, session_handle: Arc::clone(session_handle) });
        Ok(WriteGuard { lock: Arc::clone(self), holder_id })
    }

    /// Takes the lock from its holder: cancels its running statement, rolls its
    /// transaction back and frees the lock.
    pub fn revoke(&self) {
        let holder = self
            .state
            .lock()
            .expect("no thread panics while it updates the write lock")
            .holder
            .take();
        let Some(holder) = holder else {
            return;
        };
        holder.session_handle.cancel();
        let connection = holder
            .connection
            .lock()
            .expect("no thread panics while it holds the lock of the connection");
        if let Some(connection) = connection.as_ref().filter(|open| !open.is_autocommit()) {
            // The session detects the rollback at its next statement.
            let _ = connection.execute_batch("ROLLBACK");
        }
        drop(connection);
        self.released.notify_all();
    }
}

impl Drop for WriteGuard {
    fn drop(&mut self) {
        let mut state =
            self.lock.state.lock().expect("no thread panics while it updates the write lock");
        // After a revocation the lock is free or has another holder.
        if state.holder.as_ref().is_some_and(|holder| holder.holder_id == self.holder_id) {
            state.holder = None;
            drop(state);
            self.lock.released.notify_one();
        }
    }
}
