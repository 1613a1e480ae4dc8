//! What an instance knows of a server's load, with its age.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::moment::Moment;

/// Age at which load information counts for nothing; until then its weight falls
/// linearly. Queues at a server change within tens of milliseconds, but the mean
/// load that is reported changes more slowly.
pub const MAX_AGE: Duration = Duration::from_secs(1);
/// Age at which the time of a statement counts for nothing. It is longer than that of the
/// load, since the speed of a server changes more rarely, and a slow server must not get a
/// full share once a second.
const MAX_TIME_AGE: Duration = Duration::from_secs(5);
/// Time constant of the mean load that an owner reports. A shorter one would report
/// queues that are gone when the report is used, a longer one would delay the
/// response to a server that becomes slow.
const METER_TIME: Duration = Duration::from_millis(100);
/// Weight of a new time in the smoothed one.
const TIME_WEIGHT: f64 = 0.2;
/// Weight of a new outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time constant with which a share of failures is forgotten.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);
/// The time that a failure counts as: longer than any healthy server's, so that a server
/// which fails quickly does not look fast.
const FAILURE_TIME_MS: f64 = 500.0;
/// Least time of a statement, so that the measured times of servers that have hardly any
/// work don't differ by large factors.
const MIN_TIME_MS: f64 = 1.0;
/// Assumed time of a statement where nothing recent is known of any server.
pub(super) const DEFAULT_TIME_MS: f64 = 10.0;
/// How long the share of a server that is new or has restarted rises.
const RETURN_TIME: Duration = Duration::from_secs(5);
/// The share with which it begins.
const FIRST_SHARE: f64 = 0.1;

/// What the owner of a server's connections reports with the end of each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Mean number of statements that were executing or waiting, in hundredths. In these
    /// units, usual values take one or two bytes of a message.
    pub load_hundredths: u32,
    /// Smoothed time in which the server answers a statement, in tenths of a millisecond.
    pub statement_tenths_ms: u32,
}

/// Measures the mean load of a server over the last [`METER_TIME`].
#[derive(Debug, Default)]
pub struct LoadMeter {
    outstanding: usize,
    mean: f64,
    measured_at: Moment,
}

impl LoadMeter {
    /// Records how many statements are executing or waiting from now on.
    pub fn record(&mut self, outstanding: usize, now: Moment) {
        self.mean = self.mean(now);
        self.measured_at = self.measured_at.max(now);
        self.outstanding = outstanding;
    }

    /// Returns a report, with the smoothed time of a statement at the server.
    pub fn report(&self, statement: Duration, now: Moment) -> LoadReport {
        LoadReport {
            load_hundredths: to_u32(self.mean(now) * 100.0),
            statement_tenths_ms: to_u32(statement.as_secs_f64() * 10_000.0),
        }
    }

    fn mean(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.measured_at).as_secs_f64();
        let kept = (-elapsed / METER_TIME.as_secs_f64()).exp();
        to_f64(self.outstanding) + (self.mean - to_f64(self.outstanding)) * kept
    }
}

/// What an instance knows of a server's load.
#[derive(Debug, Default)]
pub struct ServerLoad {
    report: Option<(LoadReport, Moment)>,
    /// Statements sent since the last report.
    sent_since_report: usize,
    time_ms: f64,
    timed_at: Option<Moment>,
    failures: f64,
    failures_at: Moment,
    started_ms: Option<u64>,
    returned_at: Moment,
}

impl ServerLoad {
    /// Records the server's process as its entry states it. A server that is new or has
    /// restarted gets a share of work that rises from now on, compared to others of its
    /// group that have been known for longer.
    pub fn record_process(&mut self, started_ms: u64, now: Moment) {
        if self.started_ms != Some(started_ms) {
            self.started_ms = Some(started_ms);
            self.returned_at = now;
        }
    }

    /// Records that the server can be reached again.
    pub fn record_return(&mut self, now: Moment) {
        self.returned_at = now;
    }

    /// Records that a statement was sent.
    pub fn record_sent(&mut self) {
        self.sent_since_report += 1;
    }

    /// Records the report of the server's owner.
    pub fn record_report(&mut self, report: LoadReport, now: Moment) {
        self.report = Some((report, now));
        self.sent_since_report = 0;
    }

    /// Records that the server has answered a statement, after this time.
    pub fn record_success(&mut self, took: Duration, now: Moment) {
        let took_ms = took.as_secs_f64() * 1000.0;
        let is_known = self.timed_at.is_some_and(|at| now.since(at) < MAX_TIME_AGE);
        let weight = if is_known { TIME_WEIGHT } else { 1.0 };
        self.time_ms += (took_ms - self.time_ms) * weight;
        self.timed_at = Some(now);
        self.record_outcome(0.0, now);
    }

    /// Records that the server has failed a statement or a connection.
    pub fn record_failure(&mut self, now: Moment) {
        self.record_outcome(1.0, now);
    }

    fn record_outcome(&mut self, failed: f64, now: Moment) {
        let share = self.failure_share(now);
        self.failures = share + (failed - share) * FAILURE_WEIGHT;
        self.failures_at = now;
    }

    fn failure_share(&self, now: Moment) -> f64 {
        let age = now.since(self.failures_at).as_secs_f64();
        self.failures * (-age / FAILURE_MEMORY.as_secs_f64()).exp()
    }

    /// Returns the age of the owner's report in ms, none if there is no report or it is too
    /// old.
    pub(super) fn report_age(&self, now: Moment) -> Option<u128> {
        let (_, at) = self.report.filter(|(_, at)| now.since(*at) < MAX_AGE)?;
        Some(now.since(at).as_millis())
    }

    /// Returns the smoothed time of a statement; failures count as slow.
    pub fn statement_time(&self, now: Moment) -> Duration {
        let time_ms = self.known_statement_ms(now).unwrap_or(DEFAULT_TIME_MS);
        Duration::from_secs_f64((time_ms + self.failure_ms(now)) / 1000.0)
    }

    /// Returns the reported load with its weight, which falls with its age; none if there is
    /// no report or it is too old.
    pub fn reported(&self, now: Moment) -> Option<(f64, f64)> {
        let (report, at) = self.report.filter(|(_, at)| now.since(*at) < MAX_AGE)?;
        let weight = 1.0 - now.since(at).as_secs_f64() / MAX_AGE.as_secs_f64();
        Some((f64::from(report.load_hundredths) / 100.0, weight))
    }

    /// Returns how many statements were sent since the last report, if `running` of this
    /// instance are there.
    pub(super) fn unreported(&self, running: usize) -> usize {
        self.sent_since_report.min(running)
    }

    /// Returns the time of a statement as it was reported, or else observed; none if that was
    /// too long ago.
    pub(super) fn known_statement_ms(&self, now: Moment) -> Option<f64> {
        let reported = self.report.filter(|(_, at)| now.since(*at) < MAX_TIME_AGE);
        let observed = self.timed_at.filter(|at| now.since(*at) < MAX_TIME_AGE);
        let reported_ms = reported.map(|(report, _)| f64::from(report.statement_tenths_ms) / 10.0);
        let known_ms = reported_ms.or(observed.map(|_| self.time_ms));
        known_ms.map(|time_ms| time_ms.max(MIN_TIME_MS))
    }

    /// Returns the time that the recent failures add to that of a statement.
    pub(super) fn failure_ms(&self, now: Moment) -> f64 {
        self.failure_share(now) * FAILURE_TIME_MS
    }

    /// Returns the part of its full share of work that the server may get, which rises
    /// after its return.
    pub(super) fn share(&self, now: Moment) -> f64 {
        let risen = now.since(self.returned_at).as_secs_f64() / RETURN_TIME.as_secs_f64();
        (FIRST_SHARE + (1.0 - FIRST_SHARE) * risen).min(1.0)
    }
}

pub(super) fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn to_u32(value: f64) -> u32 {
    Duration::try_from_secs_f64(value)
        .map_or(u32::MAX, |whole| u32::try_from(whole.as_secs()).unwrap_or(u32::MAX))
}
