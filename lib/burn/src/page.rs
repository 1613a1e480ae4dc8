//! Renders reports as a self-contained HTML page, without other resources.

use crate::alert::{ALERT_BURN, AlertState, alert_state};
use crate::report::{LevelReport, Tally};
use crate::table::milliseconds;

// The size of a chart, in the units of its view box.
const WIDTH: f64 = 600.0;
const HEIGHT: f64 = 80.0;

/// The burn rate at the upper edge of a chart; higher ones are cut off.
const CHART_MAX_BURN: f64 = 2.0 * ALERT_BURN;

const STYLE: &str = "body{font:14px sans-serif;margin:2em;color:#222}\
h2{margin:1.5em 0 .2em}p{margin:.2em 0}svg{background:#f5f5f5;max-width:100%}\
.burning{color:#b00020}.quiet{color:#2e7d32}";

/// Renders a page with a chart of the last hour for each level.
///
/// The title and the names are escaped, so any text may be passed.
pub fn render_page(title: &str, reports: &[LevelReport]) -> String {
    let levels: String = reports.iter().map(render_level).collect();
    let title = escape(title);
    format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>{title}</title><style>{STYLE}</style></head>\n\
         <body><h1>{title}</h1>\n\
         <p>A burn rate of 1 spends exactly the error budget; a level burns when both windows \
         reach {ALERT_BURN}.</p>\n{levels}</body></html>\n"
    )
}

fn render_level(report: &LevelReport) -> String {
    let state = alert_state(report);
    let class = match state {
        AlertState::Quiet => "quiet",
        AlertState::Burning => "burning",
    };
    format!(
        "<h2>{name}</h2>\n<p>{objective}% of {kind} requests within {bound} ms: \
         <b class=\"{class}\">{state}</b></p>\n\
         <p>burn rate {short:.2} over 5 minutes, {long:.2} over 1 hour; {bad} of {total} requests \
         bad; median {p50:.2} ms, 99th percentile {p99:.2} ms</p>\n{chart}\n",
        name = escape(&report.name),
        objective = report.objective_percent,
        kind = report.class,
        bound = report.latency_ms,
        short = report.short_burn(),
        long = report.long_burn(),
        bad = report.long.bad,
        total = report.long.total,
        p50 = milliseconds(report.p50_us),
        p99 = milliseconds(report.p99_us),
        chart = render_chart(report),
    )
}

/// Renders a bar for each minute, as high as its burn rate, and a line at the
/// burn rate that raises an alert.
fn render_chart(report: &LevelReport) -> String {
    let step = WIDTH / to_float(report.course.len().max(1));
    let bars: String = report
        .course
        .iter()
        .enumerate()
        .map(|(index, tally)| render_bar(report, *tally, to_float(index) * step, step))
        .collect();
    let alert_y = HEIGHT * (1.0 - ALERT_BURN / CHART_MAX_BURN);
    format!(
        "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" width=\"{WIDTH}\" height=\"{HEIGHT}\" role=\"img\" \
         aria-label=\"burn rate by minute over the last hour\">{bars}\
         <line x1=\"0\" x2=\"{WIDTH}\" y1=\"{alert_y}\" y2=\"{alert_y}\" stroke=\"#b00020\" \
         stroke-dasharray=\"4\"/></svg>"
    )
}

fn render_bar(report: &LevelReport, tally: Tally, x: f64, step: f64) -> String {
    let height = HEIGHT * (report.burn(tally) / CHART_MAX_BURN).min(1.0);
    if height <= 0.0 {
        return String::new();
    }
    let y = HEIGHT - height;
    let width = step * 0.8;
    format!(
        "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{width:.1}\" height=\"{height:.1}\" \
         fill=\"#1565c0\"><title>{} of {} bad</title></rect>",
        tally.bad, tally.total
    )
}

#[allow(clippy::cast_precision_loss)]
fn to_float(number: usize) -> f64 {
    number as f64
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
