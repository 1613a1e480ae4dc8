//! Draws the arrivals of an experiment from a seed.
//!
//! Each kind of request arrives as a Poisson process with log-normal execution
//! times, drawn from a random stream of its own.

use std::sync::Arc;
use std::time::Duration;

use masticreel_admission::expected_times::Fingerprint;
use masticreel_admission::request::CallerBase;
use masticreel_base::ids::Incarnation;
use masticreel_document::class::Class;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::experiment::settings::{ExperimentSettings, Kind, Phase};

/// One arriving request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The time of arrival after the start of the run.
    pub at: Duration,
    /// The kind's name.
    pub kind: Arc<str>,
    /// The class by which the request is admitted.
    pub class: Class,
    /// Identifies the statement in the estimates of execution times.
    pub fingerprint: Fingerprint,
    /// The caller base whose share the request uses.
    pub caller_base: CallerBase,
    /// The instance through which the request arrives.
    pub entry: Incarnation,
    /// The execution time on the server.
    pub execution: Duration,
    /// The caller's timeout.
    pub timeout: Duration,
    /// Whether the request arrives in the phase, not in the warm-up.
    pub is_measured: bool,
}

/// Draws the arrivals of a phase and of the warm-up before it, by time.
pub fn arrivals(settings: &ExperimentSettings, phase: &Phase) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, kind) in settings.kinds.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        rng.set_stream(index as u64);
        draw_kind(settings, phase, kind, &mut rng, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn draw_kind(
    settings: &ExperimentSettings,
    phase: &Phase,
    kind: &Kind,
    rng: &mut ChaCha8Rng,
    arrivals: &mut Vec<Arrival>,
) {
    let phase_start = Duration::from_millis(settings.warm_up_ms);
    let end = phase_start + Duration::from_millis(phase.duration_ms);
    let factor = phase.factors.get(&kind.name).copied().unwrap_or(1.0);
    let mut at = Duration::ZERO;
    loop {
        let rate = if at < phase_start { kind.rate_per_s } else { kind.rate_per_s * factor };
        let interval = exponential(rng, 1.0 / rate);
        // An interval that ends in the phase is drawn again at the phase's rate,
        // starting from the start of the phase.
        if at < phase_start && at + interval >= phase_start {
            at = phase_start;
            continue;
        }
        at += interval;
        if at >= end {
            return;
        }
        arrivals.push(draw_arrival(settings, kind, at, at >= phase_start, rng));
    }
}

fn draw_arrival(
    settings: &ExperimentSettings,
    kind: &Kind,
    at: Duration,
    is_measured: bool,
    rng: &mut ChaCha8Rng,
) -> Arrival {
    let caller_base = &kind.caller_bases[rng.random_range(0..kind.caller_bases.len())];
    let entry = rng.random_range(0..settings.entries);
    let execution_ms = kind.median_ms * (kind.spread * standard_normal(rng)).exp();
    Arrival {
        at,
        kind: kind.name.clone(),
        class: kind.class,
        fingerprint: Fingerprint::of(&kind.name),
        caller_base: caller_base.clone().into(),
        entry: Incarnation(u64::from(entry)),
        execution: Duration::from_secs_f64(execution_ms / 1000.0),
        timeout: Duration::from_millis(kind.deadline_ms),
        is_measured,
    }
}

fn exponential(rng: &mut ChaCha8Rng, mean_s: f64) -> Duration {
    let uniform: f64 = rng.random();
    Duration::from_secs_f64(-mean_s * (1.0 - uniform).ln())
}

/// Draws by the Box-Muller transform.
fn standard_normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius: f64 = rng.random();
    let angle: f64 = rng.random();
    (-2.0 * (1.0 - radius).ln()).sqrt() * (std::f64::consts::TAU * angle).cos()
}
