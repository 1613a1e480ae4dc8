//! Limits how many requests an entry instance handles at a time.

use masticreel_base::failure::{Failure, FailureKind};
use masticreel_document::class::Class;

/// Counts the running requests of an entry instance by class, and reserves a part
/// of the limit for urgent requests.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    total: u32,
    reserved_for_urgent: u32,
    long_limit: u32,
    urgent: u32,
    normal: u32,
    long: u32,
}

/// One part in this many of the limit is reserved for urgent requests.
const URGENT_DIVISOR: u32 = 4;

/// Long requests may use at most one part in this many of the limit.
const LONG_DIVISOR: u32 = 4;

impl ConcurrencyLimit {
    /// Creates a limit for `total` requests at a time, at least two.
    pub fn new(total: u32) -> Self {
        let total = total.max(2);
        Self {
            total,
            reserved_for_urgent: (total / URGENT_DIVISOR).max(1),
            long_limit: (total / LONG_DIVISOR).max(1),
            urgent: 0,
            normal: 0,
            long: 0,
        }
    }

    /// Counts a request as running; [`Self::release`] must follow when it ends.
    ///
    /// # Errors
    ///
    /// Fails with verdict "not run" when the limit for the class is reached.
    pub fn acquire(&mut self, class: Class) -> Result<(), Failure> {
        if !self.has_room(class) {
            return Err(Failure::not_run(
                FailureKind::Overloaded,
                "the instance works on as many requests as it can",
            ));
        }
        *self.count(class) += 1;
        Ok(())
    }

    /// Records that a request counted by [`Self::acquire`] has ended.
    pub fn release(&mut self, class: Class) {
        let count = self.count(class);
        *count = count.saturating_sub(1);
    }

    /// Returns the number of running requests of a class.
    pub fn running(&self, class: Class) -> u32 {
        match class {
            Class::Urgent => self.urgent,
            Class::Normal => self.normal,
            Class::Long => self.long,
        }
    }

    fn has_room(&self, class: Class) -> bool {
        let shared = self.total - self.reserved_for_urgent;
        let others = self.normal + self.long;
        match class {
            Class::Urgent => self.urgent + others < self.total,
            Class::Normal => others < shared && self.urgent + others < self.total,
            Class::Long => {
                self.long < self.long_limit && others < shared && self.urgent + others < self.total
            }
        }
    }

    fn count(&mut self, class: Class) -> &mut u32 {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Normal => &mut self.normal,
            Class::Long => &mut self.long,
        }
    }
}
