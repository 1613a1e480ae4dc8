//! Remembers where the primary's log ended at past moments.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use masticreel_base::position::TermPosition;

use crate::view::ConfirmedPosition;

/// The least distance between two remembered moments.
const SPACING: Duration = Duration::from_millis(10);

/// How many moments are remembered; the oldest is forgotten first.
const CAPACITY: usize = 1024;

/// Tells how old data is that ends at a position, without comparing clocks.
#[derive(Debug, Clone, Default)]
pub(super) struct FreshnessHistory {
    entries: VecDeque<ConfirmedPosition>,
}

impl FreshnessHistory {
    /// Remembers a position whose moment is newer than all before.
    pub(super) fn note(&mut self, confirmed: ConfirmedPosition) {
        if self.replaces_newest(confirmed) {
            self.entries.pop_back();
        }
        self.entries.push_back(confirmed);
        if self.entries.len() > CAPACITY {
            self.entries.pop_front();
        }
    }

    /// The newest entry gives way if it adds nothing to its predecessor and to
    /// the one that comes.
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
        newest.as_of.saturating_duration_since(predecessor.as_of) < SPACING
    }

    /// Returns the newest moment whose acknowledged writes a log covers that
    /// reaches a position and agrees with the primary of the position's term.
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
