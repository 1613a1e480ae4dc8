//! The order in which requests of one class and one share are served.

use std::fmt::Debug;
use std::time::Duration;

/// Ranks the waiting requests of one class.
///
/// The order was chosen by measurement, see `docs/design/07-admission.md`.
pub trait QueueOrder {
    /// What requests are compared by; arrival decides between equals.
    type Rank: Ord + Copy + Debug;

    /// Returns the rank of a request that is expected to execute this long.
    fn rank(&self, expected: Duration) -> Self::Rank;

    /// Returns how long a request may wait before it goes before all others.
    fn waiting_bound(&self) -> Duration;
}

/// Serves requests in the order of their arrival.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstCome;

impl QueueOrder for FirstCome {
    type Rank = ();

    fn rank(&self, _expected: Duration) -> Self::Rank {}

    fn waiting_bound(&self) -> Duration {
        Duration::MAX
    }
}

/// Serves the request with the shortest expected time first.
///
/// A request that has waited for the bound goes to the front, so none starves.
/// The policy and its threshold follow "One can only gain by replacing EASY
/// Backfilling" (Carastan-Santos et al., CCGrid 2019), which compares it with
/// first-come order for batch jobs. Here it was tried and not adopted; the
/// experiment still compares it.
#[derive(Debug, Clone, Copy)]
pub struct ShortestExpected {
    waiting_bound: Duration,
}

impl ShortestExpected {
    /// Creates the order with a bound on the wait of long requests.
    pub fn new(waiting_bound: Duration) -> Self {
        Self { waiting_bound }
    }
}

impl Default for ShortestExpected {
    fn default() -> Self {
        Self::new(DEFAULT_WAITING_BOUND)
    }
}

const DEFAULT_WAITING_BOUND: Duration = Duration::from_millis(500);

impl QueueOrder for ShortestExpected {
    type Rank = Duration;

    fn rank(&self, expected: Duration) -> Self::Rank {
        expected
    }

    fn waiting_bound(&self) -> Duration {
        self.waiting_bound
    }
}
