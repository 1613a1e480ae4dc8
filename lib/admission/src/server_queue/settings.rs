//! Limits of one server's queue.

use std::time::Duration;

use crate::server_queue::slots::SlotLimits;

/// Limits of one server's queue.
#[derive(Debug, Clone)]
pub struct QueueSettings {
    /// Division of the server's slots among the classes.
    pub slots: SlotLimits,
    /// Number of connections that requests may use at a time.
    pub connections: u32,
    /// Number of waiting requests of one class at which its queue is full; statements
    /// of open transactions count, but are accepted beyond it.
    pub queue_length: usize,
    /// How long a request of class long may wait before it precedes requests of
    /// class normal.
    pub long_class_max_wait: Duration,
}

impl QueueSettings {
    /// Creates the default limits for a server with this many slots and
    /// connections.
    pub fn new(slots: u32, connections: u32) -> Self {
        Self {
            slots: SlotLimits::new(slots),
            connections,
            queue_length: DEFAULT_QUEUE_LENGTH,
            long_class_max_wait: DEFAULT_LONG_CLASS_MAX_WAIT,
        }
    }
}

const DEFAULT_QUEUE_LENGTH: usize = 512;
const DEFAULT_LONG_CLASS_MAX_WAIT: Duration = Duration::from_secs(2);
