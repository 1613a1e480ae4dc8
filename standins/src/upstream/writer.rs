//! The server's one write lock, held from a transaction's first write to its end.
//!
//! SQLite has one writer at a time. Waiting for it here keeps waiting writes
//! out of the slots, and lets a fence end a transaction that sits idle.

use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use rusqlite::Connection;

use crate::upstream::interrupt::Interrupt;

/// A session's connection to SQLite, shared with whoever ends its transaction.
pub type SharedConnection = Arc<Mutex<Option<Connection>>>;

/// How often a waiting writer looks whether it was cancelled.
const CANCEL_INTERVAL: Duration = Duration::from_millis(20);

/// Why the write lock was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LockError {
    /// Another transaction held it for too long.
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

/// The right to write, given back when dropped.
#[derive(Debug)]
pub struct WriteGuard {
    lock: Arc<WriteLock>,
    ticket: u64,
}

impl WriteLock {
    /// Waits for the right to write.
    ///
    /// # Errors
    ///
    /// Fails when it is not free in time or the statement is cancelled.
    pub fn acquire(
        self: &Arc<Self>,
        connection: &SharedConnection,
        interrupt: &Arc<Interrupt>,
        timeout: Duration,
    ) -> Result<WriteGuard, LockError> {
        let deadline = Instant::now() + timeout;
        let mut inner = self.inner.lock().expect("no holder of the lock panics");
        while inner.holder.is_some() {
            let rest = deadline.saturating_duration_since(Instant::now());
            if rest.is_zero() {
                return Err(LockError::Timeout);
            }
            let result = self.released.wait_timeout(inner, rest.min(CANCEL_INTERVAL));
            inner = result.expect("no holder of the lock panics").0;
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

    /// Rolls back the transaction that holds the lock, also in mid-statement.
    pub fn revoke(&self) {
        let holder = self.inner.lock().expect("no holder of the lock panics").holder.take();
        let Some(holder) = holder else {
            return;
        };
        holder.interrupt.cancel();
        let connection = holder.connection.lock().expect("no holder of the connection panics");
        if let Some(connection) = connection.as_ref().filter(|open| !open.is_autocommit()) {
            // The session finds its transaction gone at its next statement.
            let _ = connection.execute_batch("ROLLBACK");
        }
        drop(connection);
        self.released.notify_all();
    }
}

impl Drop for WriteGuard {
    fn drop(&mut self) {
        let mut inner = self.lock.inner.lock().expect("no holder of the lock panics");
        if inner.holder.as_ref().is_some_and(|holder| holder.ticket == self.ticket) {
            inner.holder = None;
            drop(inner);
            self.lock.released.notify_one();
        }
    }
}
