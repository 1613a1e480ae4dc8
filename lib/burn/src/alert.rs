//! Alerts on service levels that spend their error budget too fast.

use std::collections::BTreeMap;
use std::sync::Arc;

use derive_more::Display;

use crate::report::LevelReport;

/// The burn rate that raises an alert; it spends two percent of a month's error
/// budget in an hour.
pub const ALERT_BURN: f64 = 14.4;

/// The fewest bad requests in the short window that raise an alert; fewer do not
/// justify calling an operator.
pub const MIN_BAD_REQUESTS: u64 = 5;

/// Whether a level has an alert.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AlertState {
    /// At least one window is below [`ALERT_BURN`], or the short window has fewer
    /// than [`MIN_BAD_REQUESTS`].
    #[display("quiet")]
    Quiet,
    /// Both windows reach [`ALERT_BURN`], and the short one has enough bad
    /// requests.
    #[display("burning")]
    Burning,
}

/// A change of a level's alert state, to be logged once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AlertChange {
    /// The level's name.
    pub level: Arc<str>,
    /// The new state.
    pub state: AlertState,
}

/// The alert states of all levels, kept so that each change is reported once.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Alerts {
    states: BTreeMap<Arc<str>, AlertState>,
}

/// Returns a level's alert state.
///
/// Both windows must reach [`ALERT_BURN`], so that a short disturbance raises no
/// alert and the alert ends soon after the disturbance does.
pub fn alert_state(report: &LevelReport) -> AlertState {
    let burns_too_fast = report.short_burn() >= ALERT_BURN && report.long_burn() >= ALERT_BURN;
    if burns_too_fast && report.short.bad >= MIN_BAD_REQUESTS {
        AlertState::Burning
    } else {
        AlertState::Quiet
    }
}

impl Alerts {
    /// Applies the current reports and returns the changes.
    ///
    /// A level that has no report, since it was removed from the document,
    /// becomes quiet.
    pub fn update(mut self, reports: &[LevelReport]) -> (Self, Vec<AlertChange>) {
        let mut states: BTreeMap<Arc<str>, AlertState> =
            reports.iter().map(|report| (report.name.clone(), alert_state(report))).collect();
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
