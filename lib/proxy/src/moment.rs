//! A monotonic clock that also counts the time in which the machine is suspended.

use std::ops::Add;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A reading of a monotonic clock that counts suspensions.
///
/// [`std::time::Instant`] does not advance while a machine is suspended, so a
/// lease measured with it would last longer than the one that was granted.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// Creates a reading from the time since the clock's zero point.
    pub const fn from_start(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// Returns the time since an earlier moment, zero if that moment is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the moment this long before, at the earliest the clock's zero point.
    pub fn saturating_sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0 + duration)
    }
}

/// A source of [`Moment`]s, so that tests can replace the system clock.
pub trait SteadyClock {
    /// Returns the current moment.
    fn now(&self) -> Moment;
}

/// The system's boot-time clock, which counts suspensions.
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
