//! The order in which waiting requests of the same class are served.
//!
//! Fair shares of caller bases and entry instances take precedence over this
//! order.

use std::fmt::Debug;
use std::time::Duration;

/// Ranks the waiting requests of one class.
///
/// See `docs/design/07-admission.md` for the choice between the orders.
pub trait QueueOrder {
    /// The request with the lowest rank is served first; requests of equal rank
    /// are served in the order of their arrival.
    type Rank: Ord + Copy + Debug;

    /// Returns the rank of a request with the given expected execution time.
    fn rank(&self, expected: Duration) -> Self::Rank;

    /// Returns the limit of waiting: within its class, a request that has waited for
    /// as long precedes those that have not.
    fn max_wait_within_class(&self) -> Duration;
}

/// Serves requests in the order of their arrival.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstCome;

impl QueueOrder for FirstCome {
    type Rank = ();

    fn rank(&self, _expected: Duration) -> Self::Rank {}

    fn max_wait_within_class(&self) -> Duration {
        Duration::MAX
    }
}

/// Serves the request with the shortest expected execution time first.
///
/// A request that has waited for `max_wait_within_class` moves to the front, so that
/// no request starves. The policy and its threshold follow "One can only gain by
/// replacing EASY Backfilling" (Carastan-Santos et al., CCGrid 2019), which
/// compares it with first-come order for batch jobs. Servers use [`FirstCome`];
/// this order remains for the experiment in `testutils`, which compares both.
#[derive(Debug, Clone, Copy)]
pub struct ShortestExpected {
    max_wait_within_class: Duration,
}

impl ShortestExpected {
    /// Creates the order; a request that has waited for `max_wait_within_class` is
    /// served before those with a shorter expected time.
    pub fn new(max_wait_within_class: Duration) -> Self {
        Self { max_wait_within_class }
    }
}

impl Default for ShortestExpected {
    fn default() -> Self {
        Self::new(DEFAULT_MAX_WAIT_WITHIN_CLASS)
    }
}

const DEFAULT_MAX_WAIT_WITHIN_CLASS: Duration = Duration::from_millis(500);

impl QueueOrder for ShortestExpected {
    type Rank = Duration;

    fn rank(&self, expected: Duration) -> Self::Rank {
        expected
    }

    fn max_wait_within_class(&self) -> Duration {
        self.max_wait_within_class
    }
}
