//! Sampled log positions of a group's primary.
//!
//! A read with bounded staleness may run on a replica that has applied the
//! position which the primary had at the oldest moment the read allows. The
//! samples answer which position that is.

use std::collections::VecDeque;
use std::time::Duration;

use masticreel_base::ids::Term;
use masticreel_base::position::TermPosition;

use crate::moment::Moment;

/// Minimum time between two samples that are kept.
///
/// The sample that is used for a read was requested at most about this long after
/// the oldest moment that the read allows.
const SAMPLE_SPACING: Duration = Duration::from_millis(40);
/// How long samples are kept; reads that allow a greater age use a more recent
/// sample.
const SAMPLE_RETENTION: Duration = Duration::from_secs(6);

#[derive(Debug, Clone, Copy)]
struct Sample {
    requested_at: Moment,
    position: TermPosition,
}

/// Position samples of one group's primary.
///
/// Every commit acknowledged before a sample was requested is at or below the
/// sample's position, provided that the server was the primary when it answered.
#[derive(Debug, Default)]
pub struct PositionSamples {
    term: Term,
    /// Samples at least [`SAMPLE_SPACING`] apart, in the order of their requests.
    samples: VecDeque<Sample>,
    /// The most recently requested sample, kept here even if its request was less
    /// than [`SAMPLE_SPACING`] after that of the last of `samples`.
    latest: Option<Sample>,
}

impl PositionSamples {
    /// Discards all samples, when the group's primary changes.
    pub fn reset(&mut self) {
        self.samples.clear();
        self.latest = None;
    }

    /// Records the position in a primary's answer to a request sent at
    /// `requested_at`.
    ///
    /// A position of a newer term discards the samples of earlier terms; one of an
    /// earlier term is ignored.
    pub fn record(&mut self, requested_at: Moment, position: TermPosition) {
        if position.term > self.term {
            self.reset();
            self.term = position.term;
        }
        if position.term < self.term {
            return;
        }
        let sample = Sample { requested_at, position };
        if self.latest.is_none_or(|latest| latest.requested_at <= requested_at) {
            self.latest = Some(sample);
        }
        let is_spaced = self
            .samples
            .back()
            .is_none_or(|last| requested_at >= last.requested_at + SAMPLE_SPACING);
        if is_spaced {
            self.samples.push_back(sample);
        }
        while self
            .samples
            .front()
            .is_some_and(|first| requested_at.since(first.requested_at) > SAMPLE_RETENTION)
        {
            self.samples.pop_front();
        }
    }

    /// Returns the lowest sampled position that covers all commits acknowledged
    /// before `as_of`, none if no sample was requested then or later.
    pub fn floor(&self, as_of: Moment) -> Option<TermPosition> {
        let oldest = self.samples.iter().find(|sample| sample.requested_at >= as_of);
        let latest = self.latest.iter().find(|sample| sample.requested_at >= as_of);
        oldest.or(latest).map(|sample| sample.position)
    }

    /// Returns when the most recent sample was requested.
    pub fn latest_at(&self) -> Option<Moment> {
        self.latest.map(|sample| sample.requested_at)
    }
}
