//! The compared policies, their simulation, and its figures as rows of a CSV file.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use masticreel_admission::order::{FirstCome, ShortestExpected};
use masticreel_admission::server_queue::slots::Reservation;

use crate::experiment::direct::Direct;
use crate::experiment::owner::{ClassRules, Owner};
use crate::experiment::run::{Outcome, run};
use crate::experiment::settings::{ExperimentSettings, Phase};
use crate::experiment::trace::{Arrival, arrivals};

/// The compared policies, in the order of the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum PolicyName {
    /// Each entry connects directly to the server, with an equal share of its
    /// connections.
    #[display("direct")]
    Direct,
    /// The owner serves all requests as one class, in the order of arrival.
    #[display("owner, first come, no classes")]
    FirstComeNoClasses,
    /// The owner serves all requests as one class, the shortest expected time
    /// first.
    #[display("owner, shortest first, no classes")]
    ShortestNoClasses,
    /// Classes in the order of arrival, with a slot that only urgent requests use.
    #[display("classes, first come, slot kept")]
    FirstComeKept,
    /// Classes in the order of arrival, with a reserved slot that normal requests
    /// with a short expected time may also use.
    #[display("classes, first come, slot lent")]
    FirstComeLent,
    /// Classes as in [`Self::FirstComeLent`], the shortest expected time first.
    #[display("classes, shortest first, slot lent")]
    ShortestLent,
}

const POLICIES: [PolicyName; 6] = [
    PolicyName::Direct,
    PolicyName::FirstComeNoClasses,
    PolicyName::ShortestNoClasses,
    PolicyName::FirstComeKept,
    PolicyName::FirstComeLent,
    PolicyName::ShortestLent,
];

/// The figures of one kind of request, in one phase, under one policy.
#[derive(Debug, Clone)]
pub struct Row {
    /// The phase's name.
    pub phase: Arc<str>,
    /// The policy under which the phase ran.
    pub policy: PolicyName,
    /// The kind's name; `all` for the total over all kinds.
    pub kind: Arc<str>,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were answered by their deadline, the column `completed`.
    pub in_time: u64,
    /// Requests that were answered after their deadline.
    pub late: u64,
    /// Requests that were refused and did not run.
    pub refused: u64,
    /// The share of the slots' time in the phase that was spent on requests which
    /// met their deadline.
    pub useful_load: f64,
    /// Waiting times of the requests that ran, in microseconds.
    pub waits_us: Histogram<u64>,
}

/// Longer waiting times are recorded as this value.
const MAX_WAIT_US: u64 = 600_000_000;

/// Runs every phase under every policy.
pub fn compare(settings: &ExperimentSettings) -> Vec<Row> {
    let mut rows = Vec::new();
    for phase in &settings.phases {
        for policy in POLICIES {
            rows.extend(run_phase(settings, phase, policy));
        }
    }
    rows
}

/// Runs one phase under one policy.
pub fn run_phase(settings: &ExperimentSettings, phase: &Phase, policy: PolicyName) -> Vec<Row> {
    let arrivals = arrivals(settings, phase);
    let outcomes = run_policy(settings, policy, &arrivals);
    rows_of(settings, phase, policy, &arrivals, &outcomes)
}

fn run_policy(
    settings: &ExperimentSettings,
    policy: PolicyName,
    arrivals: &[Arrival],
) -> Vec<Outcome> {
    let reserved = ClassRules::Applied(Reservation::UrgentOnly);
    let shared = ClassRules::Applied(Reservation::SharedWithShort);
    let shortest = ShortestExpected::default();
    match policy {
        PolicyName::Direct => run(arrivals, Direct::new(settings)),
        PolicyName::FirstComeNoClasses => {
            run(arrivals, Owner::new(settings, ClassRules::Ignored, FirstCome))
        }
        PolicyName::ShortestNoClasses => {
            run(arrivals, Owner::new(settings, ClassRules::Ignored, shortest))
        }
        PolicyName::FirstComeKept => run(arrivals, Owner::new(settings, reserved, FirstCome)),
        PolicyName::FirstComeLent => run(arrivals, Owner::new(settings, shared, FirstCome)),
        PolicyName::ShortestLent => run(arrivals, Owner::new(settings, shared, shortest)),
    }
}

fn rows_of(
    settings: &ExperimentSettings,
    phase: &Phase,
    policy: PolicyName,
    arrivals: &[Arrival],
    outcomes: &[Outcome],
) -> Vec<Row> {
    let start = Duration::from_millis(settings.warm_up_ms);
    let window = start..start + Duration::from_millis(phase.duration_ms);
    let slot_time = Duration::from_millis(phase.duration_ms) * settings.slots;
    let mut rows: BTreeMap<Arc<str>, Row> = BTreeMap::new();
    for (arrival, outcome) in arrivals.iter().zip(outcomes) {
        for kind in [arrival.kind.clone(), "all".into()] {
            let row = rows.entry(kind.clone()).or_insert_with(|| Row::new(phase, policy, kind));
            if arrival.is_measured {
                row.count(arrival, *outcome);
            }
            row.useful_load += useful_time(arrival, *outcome, &window) / slot_time.as_secs_f64();
        }
    }
    rows.into_values().collect()
}

/// Returns how many seconds inside the window were spent on a request, zero if it
/// missed its deadline.
fn useful_time(arrival: &Arrival, outcome: Outcome, window: &std::ops::Range<Duration>) -> f64 {
    let Outcome::Started(at) = outcome else {
        return 0.0;
    };
    let end = at + arrival.execution;
    if end > arrival.at + arrival.timeout {
        return 0.0;
    }
    let (from, to) = (at.max(window.start), end.min(window.end));
    to.saturating_sub(from).as_secs_f64()
}

impl Row {
    fn new(phase: &Phase, policy: PolicyName, kind: Arc<str>) -> Self {
        Self {
            phase: phase.name.clone(),
            policy,
            kind,
            arrived: 0,
            in_time: 0,
            late: 0,
            refused: 0,
            useful_load: 0.0,
            waits_us: Histogram::new_with_max(MAX_WAIT_US, 3).expect("three digits are supported"),
        }
    }

    fn count(&mut self, arrival: &Arrival, outcome: Outcome) {
        self.arrived += 1;
        let Outcome::Started(at) = outcome else {
            self.refused += 1;
            return;
        };
        let wait = at - arrival.at;
        self.waits_us.saturating_record(u64::try_from(wait.as_micros()).unwrap_or(u64::MAX));
        if wait + arrival.execution <= arrival.timeout {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
    }

    /// Returns a percentile of the waiting times, in milliseconds.
    pub fn wait_ms(&self, percentile: f64) -> f64 {
        self.waits_us.value_at_percentile(percentile) as f64 / 1000.0
    }
}

/// Formats the rows as CSV.
pub fn to_csv(deployment: &str, rows: &[Row]) -> String {
    let mut text = String::from(
        "deployment,phase,policy,kind,arrived,completed,late,refused,useful_load,\
         wait_mean_ms,wait_p50_ms,wait_p99_ms,wait_max_ms\n",
    );
    for row in rows {
        let figures = [
            row.waits_us.mean() / 1000.0,
            row.wait_ms(50.0),
            row.wait_ms(99.0),
            row.waits_us.max() as f64 / 1000.0,
        ];
        let [mean, median, p99, max] = figures.map(|figure| format!("{figure:.2}"));
        writeln!(
            text,
            "{deployment},{},\"{}\",{},{},{},{},{},{:.3},{mean},{median},{p99},{max}",
            row.phase,
            row.policy,
            row.kind,
            row.arrived,
            row.in_time,
            row.late,
            row.refused,
            row.useful_load,
        )
        .expect("writing to a string succeeds");
    }
    text
}
