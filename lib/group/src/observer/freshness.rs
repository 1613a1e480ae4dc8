//! History of where the primary's log ended, to determine the age of data.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use masticreel_base::position::TermPosition;

use crate::view::ConfirmedPosition;

/// Minimum time between the moments of two recorded positions, the newest excepted.
const MIN_SPACING: Duration = Duration::from_millis(10);

/// Maximum number of recorded positions; the oldest is dropped first.
const CAPACITY: usize = 1024;

/// Gives the moment up to which data that ends at a position is complete, without
/// comparing clocks of different machines.
#[derive(Debug, Clone, Default)]
pub(super) struct FreshnessHistory {
    entries: VecDeque<ConfirmedPosition>,
}

impl FreshnessHistory {
    /// Records a position whose moment is newer than all recorded ones.
    pub(super) fn record(&mut self, confirmed: ConfirmedPosition) {
        if self.replaces_newest(confirmed) {
            self.entries.pop_back();
        }
        self.entries.push_back(confirmed);
        if self.entries.len() > CAPACITY {
            self.entries.pop_front();
        }
    }

    /// Returns whether `confirmed` replaces the newest entry, because it has the
    /// same position or the newest entry is too close to its predecessor.
    ///
    /// The newest entry is provisional: it is replaced until it is [`MIN_SPACING`]
    /// apart from its predecessor.
    fn replaces_newest(&self, confirmed: ConfirmedPosition) -> bool {
        let mut newest_first = self.entries.iter().rev();
        let Some(newest) = newest_first.next() else {
            return false;
        };
        if newest.position == confirmed.position {
            return true;
        }
        let Some(predecessor) = newest_first.next() else {
            return false;
        };
        newest.as_of.saturating_duration_since(predecessor.as_of) < MIN_SPACING
    }

    /// Returns the newest recorded moment whose acknowledged writes are all in a
    /// log that ends at `readable`.
    ///
    /// The log must agree with that of the primary of `readable.term`.
    pub(super) fn fresh_as_of(&self, readable: TermPosition) -> Option<Instant> {
        self.entries
            .iter()
            .rev()
            .find(|entry| {
                entry.position.term <= readable.term && entry.position.position <= readable.position
            })
            .map(|entry| entry.as_of)
    }
}
