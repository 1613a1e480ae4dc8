//! Decides when a service level burns too fast.

use std::collections::BTreeMap;
use std::sync::Arc;

use derive_more::Display;

use crate::report::LevelReport;

/// The burn rate that spends two percent of a month's budget in an hour.
pub const ALERT_BURN: f64 = 14.4;

/// Fewer bad requests in the short window are no reason to call anyone.
pub const MIN_BAD_REQUESTS: u64 = 5;

/// Whether a level burns too fast.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AlertState {
    /// The level is kept, or was missed for a moment only.
    #[display("quiet")]
    Quiet,
    /// Both windows burn too fast.
    #[display("burning")]
    Burning,
}

/// A change of a level's state, to be logged once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AlertChange {
    /// The level's name.
    pub level: Arc<str>,
    /// The state from now on.
    pub state: AlertState,
}

/// Remembers which levels burn, so that each change is told once.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Alerts {
    states: BTreeMap<Arc<str>, AlertState>,
}

/// Decides a level's state: both windows must burn too fast, so that a short
/// disturbance calls nobody and a past one ends soon after it is over.
pub fn judge(report: &LevelReport) -> AlertState {
    let burns = report.short_burn() >= ALERT_BURN && report.long_burn() >= ALERT_BURN;
    if burns && report.short.bad >= MIN_BAD_REQUESTS {
        AlertState::Burning
    } else {
        AlertState::Quiet
    }
}

impl Alerts {
    /// Takes in the present reports and returns what changed.
    ///
    /// A level that the document no longer has becomes quiet.
    pub fn update(mut self, reports: &[LevelReport]) -> (Self, Vec<AlertChange>) {
        let mut states: BTreeMap<Arc<str>, AlertState> =
            reports.iter().map(|report| (report.name.clone(), judge(report))).collect();
        for level in self.states.keys() {
            states.entry(level.clone()).or_insert(AlertState::Quiet);
        }
        let changes = states
            .iter()
            .filter(|(level, state)| self.state(level) != **state)
            .map(|(level, state)| AlertChange { level: level.clone(), state: *state })
            .collect();
        states.retain(|level, _| reports.iter().any(|report| report.name == *level));
        self.states = states;
        (self, changes)
    }

    /// Returns a level's state as of the last update.
    pub fn state(&self, level: &str) -> AlertState {
        self.states.get(level).copied().unwrap_or(AlertState::Quiet)
    }
}
