//! Cancellation of a session's statement by other threads, and its settings.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rusqlite::InterruptHandle;

/// Interrupts a session's statement and holds its settings.
///
/// The settings are here because SQL functions read them.
#[derive(Default)]
pub struct Interrupt {
    inner: Mutex<Inner>,
    changed: Condvar,
}

#[derive(Default)]
struct Inner {
    is_executing: bool,
    is_cancelled: bool,
    sqlite: Option<InterruptHandle>,
    settings: BTreeMap<String, String>,
}

impl std::fmt::Debug for Interrupt {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Interrupt")
    }
}

impl Interrupt {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics while it holds the lock of the interrupt")
    }

    /// Sets the handle by which `cancel` interrupts SQLite.
    pub fn attach(&self, handle: InterruptHandle) {
        self.lock().sqlite = Some(handle);
    }

    /// Begins a statement; only a running one can be cancelled.
    pub fn begin(&self) {
        let mut inner = self.lock();
        inner.is_executing = true;
        inner.is_cancelled = false;
    }

    /// Ends a statement and returns whether it was cancelled.
    pub fn end(&self) -> bool {
        let mut inner = self.lock();
        inner.is_executing = false;
        inner.is_cancelled
    }

    /// Returns whether the running statement was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.lock().is_cancelled
    }

    /// Cancels the running statement, if there is one.
    pub fn cancel(&self) {
        let mut inner = self.lock();
        if !inner.is_executing {
            return;
        }
        inner.is_cancelled = true;
        if let Some(handle) = &inner.sqlite {
            handle.interrupt();
        }
        drop(inner);
        self.changed.notify_all();
    }

    /// Sleeps until the time has passed or the statement is cancelled; returns
    /// whether it was cancelled.
    pub fn sleep(&self, duration: Duration) -> bool {
        let deadline = Instant::now() + duration;
        let mut inner = self.lock();
        while !inner.is_cancelled {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            let result = self.changed.wait_timeout(inner, remaining);
            inner = result.expect("no thread panics while it holds the lock of the interrupt").0;
        }
        true
    }

    /// Returns a setting of the session.
    pub fn setting(&self, name: &str) -> Option<String> {
        self.lock().settings.get(name).cloned()
    }

    /// Changes a setting of the session.
    pub fn set(&self, name: &str, value: &str) {
        self.lock().settings.insert(name.to_owned(), value.to_owned());
    }

    /// Resets a setting, or all settings, to the defaults of the session.
    pub fn reset(&self, name: Option<&str>, defaults: &BTreeMap<String, String>) {
        let mut inner = self.lock();
        match name {
            None => inner.settings = defaults.clone(),
            Some(name) => {
                inner.settings.remove(name);
                if let Some(value) = defaults.get(name) {
                    inner.settings.insert(name.to_owned(), value.clone());
                }
            }
        }
    }
}
