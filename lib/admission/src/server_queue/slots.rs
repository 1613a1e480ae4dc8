//! Division of a server's slots among the request classes.
//!
//! A slot stands for one statement that executes. [`SlotLimits`] holds the
//! configured limits; `SlotUse` counts the slots in use and decides which kind of
//! slot a request may occupy.

use std::time::Duration;

use masticreel_document::class::Class;

/// Determines which requests may use the slot that is reserved for urgent
/// requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// Only urgent requests; the slot is idle while there are none.
    UrgentOnly,
    /// Urgent requests, and normal requests that are expected to be short. An
    /// urgent request then waits for one short statement at most.
    SharedWithShort,
    /// No slot is reserved.
    None,
}

/// The division of a server's slots.
///
/// A server with a single slot reserves none. Its urgent requests are served
/// first, and a long request starts only when no other class waits or when it has
/// waited for `long_class_max_wait`, see [`crate::server_queue`].
#[derive(Debug, Clone)]
pub struct SlotLimits {
    /// Statements that may execute at a time.
    pub total: u32,
    /// Long statements that may execute at a time.
    pub long: u32,
    /// Use of the reserved slot.
    pub reservation: Reservation,
    /// Statements with an expected execution time up to this value are short.
    pub short_threshold: Duration,
}

const DEFAULT_SHORT_THRESHOLD: Duration = Duration::from_millis(20);

impl SlotLimits {
    /// Creates the default division of `total` slots, at least one.
    pub fn new(total: u32) -> Self {
        let total = total.max(1);
        Self {
            total,
            long: total.saturating_sub(1).max(1),
            reservation: Reservation::SharedWithShort,
            short_threshold: DEFAULT_SHORT_THRESHOLD,
        }
    }

    /// Returns how many slots requests of a class can use at most.
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
            Reservation::UrgentOnly | Reservation::SharedWithShort => {
                self.total.saturating_sub(1).max(1)
            }
        }
    }
}

/// The kind of slot that a running request occupies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotKind {
    /// Any slot, for an urgent request.
    Urgent,
    /// A slot that is not reserved, for a normal request.
    Normal,
    /// The reserved slot, for a normal request that is short.
    ReservedShort,
    /// A slot that is not reserved, for a long request.
    Long,
}

/// Counts the slots in use by kind.
#[derive(Debug, Clone, Default)]
pub(crate) struct SlotUse {
    urgent: u32,
    normal: u32,
    reserved_short: u32,
    long: u32,
}

impl SlotUse {
    pub(crate) fn total(&self) -> u32 {
        self.urgent + self.normal + self.reserved_short + self.long
    }

    /// Returns the kind of slot that a request may occupy now, or `None` if it must
    /// wait.
    pub(crate) fn available_slot(
        &self,
        limits: &SlotLimits,
        class: Class,
        expected: Duration,
    ) -> Option<SlotKind> {
        if self.total() >= limits.total {
            return None;
        }
        let unreserved_free = self.normal + self.long < limits.unreserved();
        match class {
            Class::Urgent => Some(SlotKind::Urgent),
            Class::Normal if unreserved_free => Some(SlotKind::Normal),
            Class::Normal => {
                let is_shared = limits.reservation == Reservation::SharedWithShort;
                (is_shared && expected <= limits.short_threshold).then_some(SlotKind::ReservedShort)
            }
            Class::Long => (unreserved_free && self.long < limits.long).then_some(SlotKind::Long),
        }
    }

    pub(crate) fn occupy(&mut self, slot: SlotKind) {
        *self.count(slot) += 1;
    }

    pub(crate) fn release(&mut self, slot: SlotKind) {
        *self.count(slot) -= 1;
    }

    fn count(&mut self, slot: SlotKind) -> &mut u32 {
        match slot {
            SlotKind::Urgent => &mut self.urgent,
            SlotKind::Normal => &mut self.normal,
            SlotKind::ReservedShort => &mut self.reserved_short,
            SlotKind::Long => &mut self.long,
        }
    }
}
