//! Faults injected into the store, its rate limits, and counts of its calls.

use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// The kind of a call, for rate limits and counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// It reads keys.
    Read,
    /// It writes keys or leases.
    Write,
    /// It waits for events; it is counted once, however long it lasts.
    Watch,
}

/// Counts of calls since the last reset.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Calls that read keys.
    pub reads: u64,
    /// Calls that write keys or leases.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Calls rejected by the rate limits; also counted above.
    pub limited: u64,
    /// Calls refused during an outage; also counted above.
    pub refused: u64,
    /// Responses to writes that were lost after the write took effect.
    pub lost_answers: u64,
}

/// Whether, and how, the whole store is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// It is up.
    None,
    /// It refuses calls at once.
    Refusing,
    /// It accepts calls and answers none before the outage ends.
    Silent,
}

/// Whether a call is processed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallDecision {
    /// The call is processed.
    Admitted,
    /// The call exceeds the rate limit.
    Limited,
    /// The store refuses calls.
    Refused,
}

/// A token bucket for calls per second, with a burst of a tenth of a second.
#[derive(Debug)]
struct RateLimit {
    per_second: f64,
    tokens: f64,
    refilled: Instant,
}

impl RateLimit {
    fn new(per_second: f64) -> Self {
        Self { per_second, tokens: Self::burst(per_second), refilled: Instant::now() }
    }

    fn burst(per_second: f64) -> f64 {
        (per_second / 10.0).max(1.0)
    }

    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled);
        let refilled = self.tokens + elapsed.as_secs_f64() * self.per_second;
        self.tokens = refilled.min(Self::burst(self.per_second));
        self.refilled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[derive(Debug)]
struct FaultState {
    outage: Outage,
    slowness: Duration,
    lose_next: u64,
    loss_probability: f64,
    random: ChaCha8Rng,
    counts: CallCounts,
    reads: RateLimit,
    writes: RateLimit,
    is_stopped: bool,
}

/// The store's injected faults, rate limits and counts, which decide how each call
/// is treated.
#[derive(Debug)]
pub struct Faults {
    state: Mutex<FaultState>,
    changed: Condvar,
}

impl Faults {
    /// Creates a state without faults; the rates are in calls per second.
    pub fn new(reads_per_second: f64, writes_per_second: f64) -> Self {
        let state = FaultState {
            outage: Outage::None,
            slowness: Duration::ZERO,
            lose_next: 0,
            loss_probability: 0.0,
            random: ChaCha8Rng::seed_from_u64(0),
            counts: CallCounts::default(),
            reads: RateLimit::new(reads_per_second),
            writes: RateLimit::new(writes_per_second),
            is_stopped: false,
        };
        Self { state: Mutex::new(state), changed: Condvar::new() }
    }

    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.state.lock().expect("no thread panics while it holds the lock of the faults")
    }

    fn change(&self, change: impl FnOnce(&mut FaultState)) {
        change(&mut self.lock());
        self.changed.notify_all();
    }

    /// Begins or ends an outage.
    pub fn set_outage(&self, outage: Outage) {
        self.change(|state| state.outage = outage);
    }

    /// Delays each call by this time.
    pub fn set_slowness(&self, slowness: Duration) {
        self.change(|state| state.slowness = slowness);
    }

    /// Loses the responses to the next writes, after they took effect.
    pub fn lose_next_responses(&self, count: u64) {
        self.change(|state| state.lose_next = count);
    }

    /// Loses responses to writes with a probability, after they took effect.
    pub fn lose_responses(&self, probability: f64, seed: u64) {
        self.change(|state| {
            state.loss_probability = probability;
            state.random = ChaCha8Rng::seed_from_u64(seed);
        });
    }

    /// Sets the rate limits in calls per second.
    pub fn set_rates(&self, reads_per_second: f64, writes_per_second: f64) {
        self.change(|state| {
            state.reads = RateLimit::new(reads_per_second);
            state.writes = RateLimit::new(writes_per_second);
        });
    }

    /// Ends all faults; the counts and rates stay.
    pub fn clear(&self) {
        self.change(|state| {
            state.outage = Outage::None;
            state.slowness = Duration::ZERO;
            state.lose_next = 0;
            state.loss_probability = 0.0;
        });
    }

    /// Returns how many calls were made since the last reset.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts
    }

    /// Resets the counts to zero.
    pub fn reset_counts(&self) {
        self.change(|state| state.counts = CallCounts::default());
    }

    /// Ends watches and all waiting for the end of an outage, since the store stops.
    pub fn stop(&self) {
        self.change(|state| state.is_stopped = true);
    }

    /// Returns whether watches must end: the store stops or refuses calls.
    pub fn must_end_watches(&self) -> bool {
        let state = self.lock();
        state.is_stopped || state.outage == Outage::Refusing
    }

    /// Waits until a silent outage ends or the store stops.
    pub fn wait_while_silent(&self) {
        let is_silent =
            |state: &mut FaultState| state.outage == Outage::Silent && !state.is_stopped;
        let waited = self.changed.wait_while(self.lock(), is_silent);
        drop(waited.expect("no thread panics while it holds the lock of the faults"));
    }

    /// Counts a call and decides whether it is processed; waits for the injected
    /// delay and the end of a silent outage first. A refused call counts against the
    /// rate limit as well.
    pub fn admit(&self, kind: CallKind) -> CallDecision {
        let mut state = self.lock();
        let now = Instant::now();
        let has_token = match kind {
            CallKind::Read => {
                state.counts.reads += 1;
                state.reads.take(now)
            }
            CallKind::Write => {
                state.counts.writes += 1;
                state.writes.take(now)
            }
            CallKind::Watch => {
                state.counts.watches += 1;
                state.reads.take(now)
            }
        };
        if state.outage == Outage::Refusing {
            state.counts.refused += 1;
            return CallDecision::Refused;
        }
        if !has_token {
            state.counts.limited += 1;
            return CallDecision::Limited;
        }
        let slowness = state.slowness;
        drop(state);
        std::thread::sleep(slowness);
        self.wait_while_silent();
        CallDecision::Admitted
    }

    /// Decides whether the response to a write is lost, and counts it if so.
    pub fn loses_response(&self) -> bool {
        let mut state = self.lock();
        let probability = state.loss_probability;
        let is_lost = if state.lose_next > 0 {
            state.lose_next -= 1;
            true
        } else {
            probability > 0.0 && state.random.random_bool(probability)
        };
        state.counts.lost_answers += u64::from(is_lost);
        is_lost
    }
}
