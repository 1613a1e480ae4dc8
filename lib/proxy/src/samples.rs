//! Positions of a primary over time, as floors for reads that may be old.

use std::collections::VecDeque;
use std::time::Duration;

use masticreel_base::ids::Term;
use masticreel_base::position::TermPosition;

use crate::moment::Moment;

/// The shortest time between two samples that are kept.
///
/// A floor is at most this much younger than a read allows.
const SPACING: Duration = Duration::from_millis(40);
/// How long samples are kept; ages beyond are served from younger samples.
const RETENTION: Duration = Duration::from_secs(6);

#[derive(Debug, Clone, Copy)]
struct Sample {
    asked_at: Moment,
    position: TermPosition,
}

/// Positions of one group's primary.
///
/// Every commit that was acknowledged before a sample was asked for is at or
/// below its position, as long as the server was the primary when it answered.
#[derive(Debug, Default)]
pub struct Samples {
    term: Term,
    samples: VecDeque<Sample>,
    latest: Option<Sample>,
}

impl Samples {
    /// Forgets the samples of an earlier primary.
    pub fn reset(&mut self) {
        self.samples.clear();
        self.latest = None;
    }

    /// Notes what the primary answered to something asked at a moment.
    pub fn note(&mut self, asked_at: Moment, position: TermPosition) {
        if position.term > self.term {
            self.reset();
            self.term = position.term;
        }
        if position.term < self.term {
            return;
        }
        let sample = Sample { asked_at, position };
        if self.latest.is_none_or(|latest| latest.asked_at <= asked_at) {
            self.latest = Some(sample);
        }
        let is_spaced = self.samples.back().is_none_or(|last| asked_at >= last.asked_at + SPACING);
        if is_spaced {
            self.samples.push_back(sample);
        }
        while self.samples.front().is_some_and(|first| asked_at.since(first.asked_at) > RETENTION) {
            self.samples.pop_front();
        }
    }

    /// Returns the lowest known position that covers all commits acknowledged
    /// before a moment, none if no sample is young enough.
    pub fn floor(&self, not_before: Moment) -> Option<TermPosition> {
        let oldest = self.samples.iter().find(|sample| sample.asked_at >= not_before);
        let latest = self.latest.iter().find(|sample| sample.asked_at >= not_before);
        oldest.or(latest).map(|sample| sample.position)
    }

    /// Returns when the youngest sample was asked for.
    pub fn latest_at(&self) -> Option<Moment> {
        self.latest.map(|sample| sample.asked_at)
    }
}
