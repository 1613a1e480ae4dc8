//! Cancellation tokens, which pass the cancellation of a task to its subtasks.

use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Signals to threads that their work is no longer needed.
///
/// Clones share one state. A child is cancelled with its parent, but not the
/// other way round.
#[derive(Debug, Clone, Default)]
pub struct CancellationToken {
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Inner {
    cancelled: bool,
    children: Vec<std::sync::Weak<State>>,
}

impl CancellationToken {
    /// Creates a token without a parent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a token that is cancelled together with this one.
    pub fn child(&self) -> Self {
        let child = Self::new();
        let mut inner = self.state.lock();
        if inner.cancelled {
            child.cancel();
            return child;
        }
        inner.children.retain(|weak| weak.strong_count() > 0);
        inner.children.push(Arc::downgrade(&child.state));
        child
    }

    /// Cancels this token and its children.
    pub fn cancel(&self) {
        self.state.cancel();
    }

    /// Returns whether the token was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.state.lock().cancelled
    }

    /// Sleeps until the token is cancelled or the timeout has passed.
    ///
    /// Returns whether the token was cancelled.
    pub fn wait_timeout(&self, timeout: Duration) -> bool {
        let inner = self.state.lock();
        let (inner, _) = self
            .state
            .changed
            .wait_timeout_while(inner, timeout, |inner| !inner.cancelled)
            .expect("no thread panics while it holds the token's lock");
        inner.cancelled
    }
}

impl State {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics while it holds the token's lock")
    }

    fn cancel(&self) {
        let children = {
            let mut inner = self.lock();
            inner.cancelled = true;
            std::mem::take(&mut inner.children)
        };
        self.changed.notify_all();
        for child in children.iter().filter_map(std::sync::Weak::upgrade) {
            child.cancel();
        }
    }
}
