//! A token bucket whose units are operations.

use std::time::Duration;

use crate::moment::Moment;

/// The limit of an organisation over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Operations per second.
    pub operations_per_s: f64,
    /// Operations that may be admitted at once after a pause.
    pub burst: f64,
}

/// The units of an organisation that have not been granted.
///
/// In any period it gives out at most `burst` units, and those that the rate adds in the
/// period.
#[derive(Debug, Clone)]
pub struct Bucket {
    limit: Limit,
    units: f64,
    filled_at: Moment,
}

impl Bucket {
    /// Creates a bucket with these units, at most the limit's burst.
    pub fn new(limit: Limit, units: f64, now: Moment) -> Self {
        Self { limit, units: units.clamp(0.0, limit.burst), filled_at: now }
    }

    /// Adds the units of the time since the last call.
    pub fn fill(&mut self, now: Moment) {
        let added = now.since(self.filled_at).as_secs_f64() * self.limit.operations_per_s;
        self.units = (self.units + added).min(self.limit.burst);
        self.filled_at = now.max(self.filled_at);
    }

    /// Changes the limit; units above a lower burst are lost at once.
    pub fn set_limit(&mut self, limit: Limit, now: Moment) {
        self.fill(now);
        self.limit = limit;
        self.units = self.units.min(limit.burst);
    }

    /// Returns the limit.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Returns the units at the last call of [`Bucket::fill`].
    pub fn units(&self) -> f64 {
        self.units
    }

    /// Returns whether no unit can be added.
    pub fn is_full(&self) -> bool {
        self.units >= self.limit.burst
    }

    /// Takes as many whole units as there are, at most `wanted`.
    pub fn take(&mut self, wanted: u32, now: Moment) -> u32 {
        self.fill(now);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let taken = (self.units.floor() as u32).min(wanted);
        self.units -= f64::from(taken);
        taken
    }

    /// Returns the time from the last call of [`Bucket::fill`] until there is a whole unit;
    /// [`Duration::MAX`] if the limit allows none.
    pub fn time_to_unit(&self) -> Duration {
        if self.limit.burst < 1.0 {
            return Duration::MAX;
        }
        let missing = (1.0 - self.units).max(0.0);
        Duration::try_from_secs_f64(missing / self.limit.operations_per_s).unwrap_or(Duration::MAX)
    }
}
