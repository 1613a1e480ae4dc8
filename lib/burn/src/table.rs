//! Renders reports as a table for a terminal.

use crate::alert::alert_state;
use crate::report::LevelReport;

/// Renders a header and one line for each level.
pub fn render_table(reports: &[LevelReport]) -> String {
    let mut table = format!(
        "{:<24} {:<7} {:>9} {:>9} {:>10} {:>9} {:>9} {:>8} {:>8}  {}\n",
        "level",
        "class",
        "bound ms",
        "objective",
        "requests",
        "p50 ms",
        "p99 ms",
        "burn 5m",
        "burn 1h",
        "state",
    );
    for report in reports {
        table.push_str(&render_line(report));
    }
    table
}

fn render_line(report: &LevelReport) -> String {
    format!(
        "{:<24} {:<7} {:>9} {:>8}% {:>10} {:>9.2} {:>9.2} {:>8.2} {:>8.2}  {}\n",
        report.name,
        report.class.to_string(),
        report.latency_ms,
        report.objective_percent,
        report.long.total,
        milliseconds(report.p50_us),
        milliseconds(report.p99_us),
        report.short_burn(),
        report.long_burn(),
        alert_state(report),
    )
}

#[allow(clippy::cast_precision_loss)]
pub(crate) fn milliseconds(microseconds: u64) -> f64 {
    microseconds as f64 / 1_000.0
}
