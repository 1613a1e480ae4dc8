//! Reports of service levels, and how those of several instances are merged.

use std::sync::Arc;

use derive_more::{Add, AddAssign, Sum};
use masticreel_document::class::Class;
use serde::{Deserialize, Serialize};

/// The counts of the requests in a window.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, Add, AddAssign, Sum, Serialize, Deserialize,
)]
pub struct Tally {
    /// All requests.
    pub total: u64,
    /// Requests that failed or took longer than the level's latency limit.
    pub bad: u64,
}

impl Tally {
    /// Returns the share of bad requests, between 0 and 1; 0 if there were no
    /// requests.
    #[allow(clippy::cast_precision_loss)]
    pub fn bad_share(&self) -> f64 {
        if self.total == 0 { 0.0 } else { self.bad as f64 / self.total as f64 }
    }
}

/// The requests of the last hour compared with a service level.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LevelReport {
    /// The level's name.
    pub name: Arc<str>,
    /// The class of requests that the level covers.
    pub class: Class,
    /// The time within which a request counts as good, in milliseconds.
    pub latency_ms: u64,
    /// The share of requests that must be good, in percent.
    pub objective_percent: f64,
    /// The last five minutes.
    pub short: Tally,
    /// The last hour.
    pub long: Tally,
    /// The median latency of the last hour, in microseconds.
    pub p50_us: u64,
    /// The latency that one request in a hundred exceeded, in microseconds.
    pub p99_us: u64,
    /// One tally for each minute of the last hour, the newest last.
    pub course: Vec<Tally>,
}

impl LevelReport {
    /// Returns the burn rate of the short window.
    pub fn short_burn(&self) -> f64 {
        self.burn(self.short)
    }

    /// Returns the burn rate of the long window.
    pub fn long_burn(&self) -> f64 {
        self.burn(self.long)
    }

    /// Returns the burn rate of a tally; 1 spends the error budget exactly.
    pub fn burn(&self, tally: Tally) -> f64 {
        tally.bad_share() / (1.0 - self.objective_percent / 100.0)
    }

    /// Adds another instance's report of the same level.
    ///
    /// Quantiles can't be added, so the larger one is taken for both.
    pub fn merge(&mut self, other: &Self) {
        self.short += other.short;
        self.long += other.long;
        self.p50_us = self.p50_us.max(other.p50_us);
        self.p99_us = self.p99_us.max(other.p99_us);
        for (mine, theirs) in self.course.iter_mut().zip(&other.course) {
            *mine += *theirs;
        }
    }
}

/// Merges the reports of several instances, in the order of the levels' names.
///
/// Reports of one name with different limits or objectives come from instances at
/// different revisions of the document; they are not merged.
pub fn merge_reports<Reports>(reports: Reports) -> Vec<LevelReport>
where
    Reports: IntoIterator<Item = LevelReport>,
{
    let mut merged: Vec<LevelReport> = Vec::new();
    for report in reports {
        match merged.iter_mut().find(|known| is_same_level(known, &report)) {
            Some(known) => known.merge(&report),
            None => merged.push(report),
        }
    }
    merged.sort_by(|left, right| left.name.cmp(&right.name));
    merged
}

#[allow(clippy::float_cmp)]
fn is_same_level(left: &LevelReport, right: &LevelReport) -> bool {
    left.name == right.name
        && left.class == right.class
        && left.latency_ms == right.latency_ms
        && left.objective_percent == right.objective_percent
}
