//! How the classes share a server's slots.

use std::time::Duration;

use masticreel_document::class::Class;

/// Says who may use the slot that is reserved for urgent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// Nobody else; the slot is idle when nothing urgent comes.
    UrgentOnly,
    /// Normal requests that are expected to be short, so that an urgent request
    /// waits for one short statement at most.
    LentToShort,
    /// The slot is not reserved at all.
    None,
}

/// The division of a server's slots.
///
/// A server with one slot has none to reserve: there urgent requests are first
/// in line, and long work starts only when nothing else waits or when it has
/// waited for its bound.
#[derive(Debug, Clone)]
pub struct SlotLimits {
    /// Statements that may execute at a time.
    pub total: u32,
    /// Long statements that may execute at a time.
    pub long: u32,
    /// What becomes of the reserved slot.
    pub reservation: Reservation,
    /// Statements expected to end within this time count as short.
    pub short: Duration,
}

const DEFAULT_SHORT: Duration = Duration::from_millis(20);

impl SlotLimits {
    /// Divides this many slots in the usual way.
    pub fn new(total: u32) -> Self {
        let total = total.max(1);
        Self {
            total,
            long: total.saturating_sub(1).max(1),
            reservation: Reservation::LentToShort,
            short: DEFAULT_SHORT,
        }
    }

    /// Returns how many slots requests of a class can use at best.
    pub fn usable_by(&self, class: Class) -> u32 {
        match class {
            Class::Urgent => self.total,
            Class::Normal if self.reservation == Reservation::UrgentOnly => self.unreserved(),
            Class::Normal => self.total,
            Class::Long => self.long.min(self.unreserved()).max(1),
        }
    }

    fn unreserved(&self) -> u32 {
        match self.reservation {
            Reservation::None => self.total,
            Reservation::UrgentOnly | Reservation::LentToShort => {
                self.total.saturating_sub(1).max(1)
            }
        }
    }
}

/// What a running request occupies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seat {
    /// Any slot, for an urgent request.
    Urgent,
    /// A slot that is not reserved, for a normal request.
    Normal,
    /// The reserved slot, for a normal request that is short.
    Lent,
    /// A slot that is not reserved, for a long request.
    Long,
}

/// The slots in use by those who occupy them.
#[derive(Debug, Clone, Default)]
pub(crate) struct SlotUse {
    urgent: u32,
    normal: u32,
    lent: u32,
    long: u32,
}

impl SlotUse {
    pub(crate) fn total(&self) -> u32 {
        self.urgent + self.normal + self.lent + self.long
    }

    /// Returns the seat that a request may take now.
    pub(crate) fn seat(
        &self,
        limits: &SlotLimits,
        class: Class,
        expected: Duration,
    ) -> Option<Seat> {
        if self.total() >= limits.total {
            return None;
        }
        let unreserved_free = self.normal + self.long < limits.unreserved();
        match class {
            Class::Urgent => Some(Seat::Urgent),
            Class::Normal if unreserved_free => Some(Seat::Normal),
            Class::Normal => {
                let lends = limits.reservation == Reservation::LentToShort;
                (lends && expected <= limits.short).then_some(Seat::Lent)
            }
            Class::Long => (unreserved_free && self.long < limits.long).then_some(Seat::Long),
        }
    }

    pub(crate) fn enter(&mut self, seat: Seat) {
        *self.count(seat) += 1;
    }

    pub(crate) fn leave(&mut self, seat: Seat) {
        *self.count(seat) -= 1;
    }

    fn count(&mut self, seat: Seat) -> &mut u32 {
        match seat {
            Seat::Urgent => &mut self.urgent,
            Seat::Normal => &mut self.normal,
            Seat::Lent => &mut self.lent,
            Seat::Long => &mut self.long,
        }
    }
}
