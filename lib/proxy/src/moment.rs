//! Time that goes on while the machine is suspended.

use std::ops::Add;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A reading of a clock that never goes back and counts suspensions.
///
/// [`std::time::Instant`] stands still while a machine is suspended, so a
/// permission measured with it would outlive the permission that was given.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// Creates a reading from the time since the clock's start.
    pub const fn from_start(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// Returns the time since an earlier moment, zero if it is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the moment this long before, at the earliest the clock's start.
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0 + duration)
    }
}

/// Tells the time to whoever must not read the system clock directly.
pub trait SteadyClock {
    /// Returns the present moment.
    fn now(&self) -> Moment;
}

/// The machine's clock that counts suspensions.
#[derive(Debug, Default, Clone, Copy)]
pub struct BootClock;

impl SteadyClock for BootClock {
    fn now(&self) -> Moment {
        let reading = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(reading.tv_sec).unwrap_or_default();
        let nanoseconds = u32::try_from(reading.tv_nsec).unwrap_or_default();
        Moment(Duration::new(seconds, nanoseconds))
    }
}
