//! What can go wrong with the store, and how its calls are counted.

use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// What a call does, as far as rates tell calls apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// It reads keys.
    Read,
    /// It writes keys or leases.
    Write,
    /// It waits for events; it counts once however long it waits.
    Watch,
}

/// How many calls were made.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Calls that read keys.
    pub reads: u64,
    /// Calls that write keys or leases.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Calls beyond the rates, counted above as well.
    pub limited: u64,
    /// Calls refused by an outage, counted above as well.
    pub refused: u64,
    /// Answers lost after the effect.
    pub lost_answers: u64,
}

/// How the store fails as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// It works.
    None,
    /// It refuses calls at once.
    Refusing,
    /// It takes calls and answers none before the outage is over.
    Silent,
}

/// Whether a call may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Admitted,
    /// It is beyond the rates.
    Limited,
    /// The store is down.
    Refused,
}

/// A number of calls a second, with a burst of a tenth of a second.
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

/// The store's faults, rates and counts.
#[derive(Debug)]
pub struct Faults {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Faults {
    /// Creates a faultless state with rates in calls a second.
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
        self.inner.lock().expect("no holder of the faults panics")
    }

    fn change(&self, change: impl FnOnce(&mut Inner)) {
        change(&mut self.lock());
        self.changed.notify_all();
    }

    /// Begins or ends an outage.
    pub fn set_outage(&self, outage: Outage) {
        self.change(|inner| inner.outage = outage);
    }

    /// Makes each call take longer.
    pub fn set_slowness(&self, slowness: Duration) {
        self.change(|inner| inner.slowness = slowness);
    }

    /// Loses the next answers to writes, after their effect.
    pub fn lose_next_answers(&self, count: u64) {
        self.change(|inner| inner.lose_next = count);
    }

    /// Loses answers to writes with a probability, after their effect.
    pub fn lose_answers(&self, probability: f64, seed: u64) {
        self.change(|inner| {
            inner.loss_probability = probability;
            inner.random = ChaCha8Rng::seed_from_u64(seed);
        });
    }

    /// Sets the rates in calls a second.
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

    /// Begins to count anew.
    pub fn reset_counts(&self) {
        self.change(|inner| inner.counts = CallCounts::default());
    }

    /// Lets go all calls that wait, for good.
    pub fn stop(&self) {
        self.change(|inner| inner.is_stopped = true);
    }

    /// Returns whether watches shall end.
    pub fn ends_watches(&self) -> bool {
        let inner = self.lock();
        inner.is_stopped || inner.outage == Outage::Refusing
    }

    /// Waits while watches are silent.
    pub fn wait_until_heard(&self) {
        let is_silent = |inner: &mut Inner| inner.outage == Outage::Silent && !inner.is_stopped;
        let waited = self.changed.wait_while(self.lock(), is_silent);
        drop(waited.expect("no holder of the faults panics"));
    }

    /// Counts a call and delays it as long as the faults demand.
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
        self.wait_until_heard();
        Admission::Admitted
    }

    /// Decides whether the answer to a write is lost.
    pub fn loses_answer(&self) -> bool {
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
