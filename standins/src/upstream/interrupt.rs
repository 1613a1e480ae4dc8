//! The part of a session that other threads use: cancellation of its statement,
//! and its parameters.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rusqlite::InterruptHandle;

/// Interrupts a session's statement and holds its parameters.
///
/// The parameters are here because SQL functions read them.
#[derive(Default)]
pub struct SessionHandle {
    state: Mutex<HandleState>,
    changed: Condvar,
}

#[derive(Default)]
struct HandleState {
    is_executing: bool,
    is_cancelled: bool,
    sqlite: Option<InterruptHandle>,
    parameters: BTreeMap<String, String>,
}

impl std::fmt::Debug for SessionHandle {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Interrupt")
    }
}

impl SessionHandle {
    fn lock(&self) -> MutexGuard<'_, HandleState> {
        self.state.lock().expect("no thread panics while it holds the lock of the session handle")
    }

    /// Sets the handle by which `cancel` interrupts SQLite.
    pub fn attach(&self, handle: InterruptHandle) {
        self.lock().sqlite = Some(handle);
    }

    /// Begins a statement; only a running one can be cancelled.
    pub fn begin(&self) {
        let mut state = self.lock();
        state.is_executing = true;
        state.is_cancelled = false;
    }

    /// Ends a statement and returns whether it was cancelled.
    pub fn end(&self) -> bool {
        let mut state = self.lock();
        state.is_executing = false;
        state.is_cancelled
    }

    /// Returns whether the running statement was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.lock().is_cancelled
    }

    /// Cancels the running statement, if there is one.
    pub fn cancel(&self) {
        let mut state = self.lock();
        if !state.is_executing {
            return;
        }
        state.is_cancelled = true;
        if let Some(handle) = &state.sqlite {
            handle.interrupt();
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Sleeps until the time has passed or the statement is cancelled; returns
    /// whether it was cancelled.
    pub fn sleep(&self, duration: Duration) -> bool {
        let deadline = Instant::now() + duration;
        let mut state = self.lock();
        while !state.is_cancelled {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            let result = self.changed.wait_timeout(state, remaining);
            state =
                result.expect("no thread panics while it holds the lock of the session handle").0;
        }
        true
    }

    /// Returns a parameter of the session.
    pub fn parameter(&self, name: &str) -> Option<String> {
        self.lock().parameters.get(name).cloned()
    }

    /// Changes a parameter of the session.
    pub fn set_parameter(&self, name: &str, value: &str) {
        self.lock().parameters.insert(name.to_owned(), value.to_owned());
    }

    /// Resets a parameter, or all parameters, to the defaults of the session.
    pub fn reset_parameters(&self, name: Option<&str>, defaults: &BTreeMap<String, String>) {
        let mut state = self.lock();
        match name {
            None => state.parameters = defaults.clone(),
            Some(name) => {
                state.parameters.remove(name);
                if let Some(value) = defaults.get(name) {
                    state.parameters.insert(name.to_owned(), value.clone());
                }
            }
        }
    }
}
