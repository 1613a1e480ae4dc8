//! Counts and logs callers' connections that were closed or refused for a limit.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use prometheus::IntCounterVec;
use slog::{Logger, warn};

/// Interval between log lines of the same reason, so that a crowd can't fill the log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why a connection was closed or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Reason {
    /// `max_callers` or the limit on descriptors is reached.
    MaxCallers,
    /// The connection was closed to make room for another at `max_callers`.
    Displaced,
    /// `max_starting_callers` is reached.
    MaxStarting,
    /// The caller did not open a session in time.
    StartTimeout,
    /// The caller did not complete a message in time.
    MessageTimeout,
    /// The caller did not read its answers in time.
    UnreadAnswer,
    /// All connections together hold too much memory.
    Memory,
}

impl Reason {
    /// Returns the value of the label `reason` and of the key in log lines.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::MaxCallers => "max_callers reached",
            Self::Displaced => "no progress at max_callers",
            Self::MaxStarting => "max_starting_callers reached",
            Self::StartTimeout => "start_timeout_ms passed",
            Self::MessageTimeout => "message_timeout_ms passed",
            Self::UnreadAnswer => "unread_answer_timeout_ms passed",
            Self::Memory => "memory_budget_mb reached",
        }
    }
}

/// Counts closures in a metric and logs each reason once in [`LOG_INTERVAL`].
pub(super) struct Closures {
    counter: IntCounterVec,
    logger: Logger,
    /// When each reason was logged last, and how many closures have followed.
    logged: Mutex<HashMap<Reason, (Instant, u64)>>,
}

impl Closures {
    pub(super) fn new(counter: IntCounterVec, logger: Logger) -> Self {
        Self { counter, logger, logged: Mutex::default() }
    }

    /// Records that a connection is closed or refused.
    pub(super) fn record(&self, reason: Reason, now: Instant) {
        self.counter.with_label_values(&[reason.label()]).inc();
        let mut logged =
            self.logged.lock().expect("no thread panics while it holds the closures lock");
        let since = match logged.get_mut(&reason) {
            Some((at, count)) if now.saturating_duration_since(*at) < LOG_INTERVAL => {
                *count += 1;
                return;
            }
            Some((_, count)) => *count,
            None => 0,
        };
        logged.insert(reason, (now, 0));
        drop(logged);
        let connections = since + 1;
        if reason == Reason::MaxCallers {
            warn!(self.logger, "caller connection refused"; "reason" => reason.label(), "connections" => connections);
        } else {
            warn!(self.logger, "caller connection closed for a limit"; "reason" => reason.label(), "connections" => connections);
        }
    }
}
