//! The clock as an interface, so that decisions can be tested without waiting.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// Source of time for code that must not read the system clock directly.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time, which never goes back.
    fn now(&self) -> Instant;

    /// Returns the calendar time, for logs and reports only.
    fn wall(&self) -> SystemTime;
}

/// The machine's own clock.
#[derive(Debug, Default, Clone, Copy)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when [`ManualClock::advance`] is called.
#[derive(Debug, Clone)]
pub struct ManualClock {
    reading: Arc<Mutex<Reading>>,
}

#[derive(Debug)]
struct Reading {
    now: Instant,
    wall: SystemTime,
}

impl ManualClock {
    /// Creates a clock that starts at the present moment, with the calendar time at
    /// the Unix epoch.
    pub fn new() -> Self {
        let reading = Reading { now: Instant::now(), wall: SystemTime::UNIX_EPOCH };
        Self { reading: Arc::new(Mutex::new(reading)) }
    }

    /// Moves the clock forward.
    pub fn advance(&self, duration: Duration) {
        let mut reading =
            self.reading.lock().expect("no thread panics while it holds the clock's lock");
        reading.now += duration;
        reading.wall += duration;
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.reading.lock().expect("no thread panics while it holds the clock's lock").now
    }

    fn wall(&self) -> SystemTime {
        self.reading.lock().expect("no thread panics while it holds the clock's lock").wall
    }
}
