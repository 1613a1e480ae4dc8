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
    /// Responses to writes that were dropped after the write took effect.
    pub lost_answers: u64,
}

/// An outage of the whole store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// The store works.
    None,
    /// The store refuses calls at once.
    Refusing,
    /// The store accepts calls and answers none before the outage ends.
    Silent,
}

/// Whether a call is processed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The call is processed.
    Admitted,
    /// The call exceeds the rate limit.
    Limited,
    /// The store is down.
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
struct Inner {
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

/// The store's injected faults, rate limits and counts.
#[derive(Debug)]
pub struct Faults {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Faults {
    /// Creates a state without faults; the rates are in calls per second.
    pub fn new(reads_per_second: f64, writes_per_second: f64) -> Self {
        let inner = Inner {
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
        Self { inner: Mutex::new(inner), changed: Condvar::new() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics while it holds the lock of the faults")
    }

    fn change(&self, change: impl FnOnce(&mut Inner)) {
        change(&mut self.lock());
        self.changed.notify_all();
    }

    /// Begins or ends an outage.
    pub fn set_outage(&self, outage: Outage) {
        self.change(|inner| inner.outage = outage);
    }

    /// Delays each call by this time.
    pub fn set_slowness(&self, slowness: Duration) {
        self.change(|inner| inner.slowness = slowness);
    }

    /// Drops the responses to the next writes, after they took effect.
    pub fn lose_next_answers(&self, count: u64) {
        self.change(|inner| inner.lose_next = count);
    }

    /// Drops responses to writes with a probability, after they took effect.
    pub fn lose_answers(&self, probability: f64, seed: u64) {
        self.change(|inner| {
            inner.loss_probability = probability;
            inner.random = ChaCha8Rng::seed_from_u64(seed);
        });
    }

    /// Sets the rate limits in calls per second.
    pub fn set_rates(&self, reads_per_second: f64, writes_per_second: f64) {
        self.change(|inner| {
            inner.reads = RateLimit::new(reads_per_second);
            inner.writes = RateLimit::new(writes_per_second);
        });
    }

    /// Ends all faults; the counts and rates stay.
    pub fn clear(&self) {
        self.change(|inner| {
            inner.outage = Outage::None;
            inner.slowness = Duration::ZERO;
            inner.lose_next = 0;
            inner.loss_probability = 0.0;
        });
    }

    /// Returns how many calls were made since the last reset.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts
    }

    /// Resets the counts to zero.
    pub fn reset_counts(&self) {
        self.change(|inner| inner.counts = CallCounts::default());
    }

    /// Stops the store: ends watches and all waiting for the end of an outage.
    pub fn stop(&self) {
        self.change(|inner| inner.is_stopped = true);
    }

    /// Returns whether watches must end: the store stops or refuses calls.
    pub fn must_end_watches(&self) -> bool {
        let inner = self.lock();
        inner.is_stopped || inner.outage == Outage::Refusing
    }

    /// Waits until a silent outage ends or the store stops.
    pub fn wait_while_silent(&self) {
        let is_silent = |inner: &mut Inner| inner.outage == Outage::Silent && !inner.is_stopped;
        let waited = self.changed.wait_while(self.lock(), is_silent);
        drop(waited.expect("no thread panics while it holds the lock of the faults"));
    }

    /// Counts a call and decides whether it is processed; waits for the injected
    /// delay and the end of a silent outage first.
    pub fn admit(&self, kind: CallKind) -> Admission {
        let mut inner = self.lock();
        let now = Instant::now();
        let has_token = match kind {
            CallKind::Read => {
                inner.counts.reads += 1;
                inner.reads.take(now)
            }
            CallKind::Write => {
                inner.counts.writes += 1;
                inner.writes.take(now)
            }
            CallKind::Watch => {
                inner.counts.watches += 1;
                inner.reads.take(now)
            }
        };
        if inner.outage == Outage::Refusing {
            inner.counts.refused += 1;
            return Admission::Refused;
        }
        if !has_token {
            inner.counts.limited += 1;
            return Admission::Limited;
        }
        let slowness = inner.slowness;
        drop(inner);
        std::thread::sleep(slowness);
        self.wait_while_silent();
        Admission::Admitted
    }

    /// Decides whether the response to a write is dropped, and counts it if so.
    pub fn drops_response(&self) -> bool {
        let mut inner = self.lock();
        let probability = inner.loss_probability;
        let is_lost = if inner.lose_next > 0 {
            inner.lose_next -= 1;
            true
        } else {
            probability > 0.0 && inner.random.random_bool(probability)
        };
        inner.counts.lost_answers += u64::from(is_lost);
        is_lost
    }
}
