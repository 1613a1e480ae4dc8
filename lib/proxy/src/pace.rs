//! How many statements an instance has at one server at a time.
//!
//! The load it answers: more work than a server's slots, from instances that
//! don't see each other. Work that waits at a server waits in the order of its
//! arrival; work that waits here can give way to what is more urgent. So an
//! instance sends less as soon as its work waits at the server.

use std::time::Duration;

use crate::moment::Moment;

/// The part of a new observation in the mean of the last ones.
const WEIGHT: f64 = 0.1;
/// How fast the shortest mean is forgotten, for each observation.
const DRIFT: f64 = 1.005;
/// Observations before the mean says anything.
const WARM_UP: u32 = 20;
/// Work waits at the server if it takes this many times the usual time.
const CROWDED_RATIO: f64 = 2.5;
/// How long a server that turned work away gets the least.
const REFUSAL_REST: Duration = Duration::from_millis(300);
/// How long it gets nothing at all after the first refusal.
const SHORTEST_PAUSE_MS: f64 = 8.0;
/// The longest such time, reached by refusals in a row.
const LONGEST_PAUSE_MS: f64 = 250.0;
/// By how much a refusal lengthens the next pause.
const PAUSE_GROWTH: f64 = 2.0;
/// By how much an answer shortens it.
const PAUSE_DECAY: f64 = 0.8;

/// What an instance knows of the time that a server takes.
#[derive(Debug, Default)]
pub struct Pace {
    observations: u32,
    mean_ms: f64,
    usual_ms: f64,
    crowded_until: Moment,
    pause_ms: f64,
    closed_until: Moment,
}

impl Pace {
    /// Notes how long the server took for a statement.
    pub fn observe(&mut self, took: Duration) {
        self.pause_ms *= PAUSE_DECAY;
        let took_ms = took.as_secs_f64() * 1000.0;
        self.observations = self.observations.saturating_add(1);
        if self.observations == 1 {
            self.mean_ms = took_ms;
        }
        self.mean_ms += (took_ms - self.mean_ms) * WEIGHT;
        self.usual_ms = if self.observations <= WARM_UP {
            self.mean_ms
        } else {
            (self.usual_ms * DRIFT).min(self.mean_ms)
        };
    }

    /// Notes that the server had no room for a statement.
    ///
    /// Many instances that each send one statement at a time still overrun a
    /// small server, so each of them pauses, longer with every refusal. The
    /// spread, around one, keeps them from coming back together.
    pub fn refused(&mut self, now: Moment, spread: f64) {
        self.crowded_until = now + REFUSAL_REST;
        self.pause_ms = (self.pause_ms * PAUSE_GROWTH).clamp(SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS);
        self.closed_until = now + Duration::from_secs_f64(self.pause_ms * spread / 1000.0);
    }

    /// Returns how many statements the server may have at a time.
    pub fn limit(&self, slots: usize, now: Moment) -> usize {
        if now < self.closed_until {
            return 0;
        }
        let is_slow = self.observations > WARM_UP && self.mean_ms > self.usual_ms * CROWDED_RATIO;
        if is_slow || now < self.crowded_until { 1 } else { slots }
    }

    /// Returns how long a statement takes where nothing else waits.
    pub fn usual(&self) -> Duration {
        Duration::from_secs_f64(self.usual_ms / 1000.0)
    }

    /// Returns how long a statement takes at present.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_ms / 1000.0)
    }
}
