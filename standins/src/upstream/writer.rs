//! The server's write lock, held from a transaction's first write to its end.
//!
//! SQLite allows one writer at a time. With a lock of its own, the stand-in lets
//! waiting writes occupy no slots, and a fence can end an idle transaction.

use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use rusqlite::Connection;

use crate::upstream::interrupt::Interrupt;

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
    ticket: u64,
    connection: SharedConnection,
    interrupt: Arc<Interrupt>,
}

#[derive(Debug, Default)]
struct Inner {
    holder: Option<Holder>,
    next_ticket: u64,
}

/// The write lock of a server.
#[derive(Debug, Default)]
pub struct WriteLock {
    inner: Mutex<Inner>,
    released: Condvar,
}

/// The held write lock, released when dropped.
#[derive(Debug)]
pub struct WriteGuard {
    lock: Arc<WriteLock>,
    ticket: u64,
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
        interrupt: &Arc<Interrupt>,
        timeout: Duration,
    ) -> Result<WriteGuard, LockError> {
        let deadline = Instant::now() + timeout;
        let mut inner =
            self.inner.lock().expect("no thread panics while it updates the write lock");
        while inner.holder.is_some() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(LockError::Timeout);
            }
            let result = self.released.wait_timeout(inner, remaining.min(CANCEL_INTERVAL));
            inner = result.expect("no thread panics while it updates the write lock").0;
            if interrupt.is_cancelled() {
                return Err(LockError::Cancelled);
            }
        }
        let ticket = inner.next_ticket;
        inner.next_ticket += 1;
        let connection = Arc::clone(connection);
        inner.holder = Some(Holder { ticket, connection, interrupt: Arc::clone(interrupt) });
        Ok(WriteGuard { lock: Arc::clone(self), ticket })
    }

    /// Rolls back the transaction that holds the lock, even while its statement
    /// runs.
    pub fn revoke(&self) {
        let holder = self
            .inner
            .lock()
            .expect("no thread panics while it updates the write lock")
            .holder
            .take();
        let Some(holder) = holder else {
            return;
        };
        holder.interrupt.cancel();
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
        let mut inner =
            self.lock.inner.lock().expect("no thread panics while it updates the write lock");
        if inner.holder.as_ref().is_some_and(|holder| holder.ticket == self.ticket) {
            inner.holder = None;
            drop(inner);
            self.lock.released.notify_one();
        }
    }
}
