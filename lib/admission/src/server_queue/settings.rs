//! The bounds of one server's queue.

use std::time::Duration;

use crate::server_queue::slots::SlotLimits;

/// The bounds of one server's queue.
#[derive(Debug, Clone)]
pub struct QueueSettings {
    /// How the server's slots are divided among the classes.
    pub slots: SlotLimits,
    /// Connections that requests may hold at a time.
    pub connections: u32,
    /// Requests of each class that may wait.
    pub queue_length: usize,
    /// How long long work waits before it goes before normal work.
    pub long_waiting_bound: Duration,
}

impl QueueSettings {
    /// Creates the usual bounds for a server of this size.
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
