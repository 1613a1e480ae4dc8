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
    /// Number of requests of each class that may wait.
    pub queue_length: usize,
    /// How long a long request may wait before it takes precedence over normal
    /// requests.
    pub long_waiting_bound: Duration,
}

impl QueueSettings {
    /// Creates the default limits for a server with this many slots and
    /// connections.
    pub fn new(slots: u32, connections: u32) -> Self {
        Self {
            slots: SlotLimits::new(slots),
            connections,
            queue_length: DEFAULT_QUEUE_LENGTH,
            long_waiting_bound: DEFAULT_LONG_WAITING_BOUND,
        }
    }
}

const DEFAULT_QUEUE_LENGTH: usize = 512;
const DEFAULT_LONG_WAITING_BOUND: Duration = Duration::from_secs(2);
