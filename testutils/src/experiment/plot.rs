//! Draws a dot plot of the 99th percentile of the waiting times, as SVG.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

use crate::experiment::report::{PolicyName, Row};

const LEFT_PX: f64 = 230.0;
const WIDTH_PX: f64 = 640.0;
const LINE_PX: f64 = 22.0;
const TOP_PX: f64 = 30.0;
const LEGEND_LINES: f64 = 7.0;
const COLOURS: [&str; 6] = ["#888888", "#d95f02", "#a6cee3", "#1f78b4", "#b2df8a", "#33a02c"];
/// The range of the logarithmic axis, from 0.1 ms to 100 s.
const DECADES: f64 = 6.0;

/// Draws a row for each phase and kind, with a dot for each policy.
pub fn to_svg(deployment: &str, rows: &[Row]) -> String {
    let mut lines: BTreeMap<(Arc<str>, Arc<str>), Vec<&Row>> = BTreeMap::new();
    for row in rows.iter().filter(|row| &*row.kind != "all") {
        lines.entry((row.phase.clone(), row.kind.clone())).or_default().push(row);
    }
    let axis_y = TOP_PX + LINE_PX * lines.len() as f64;
    let height = axis_y + LINE_PX * (LEGEND_LINES + 1.0);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
        LEFT_PX + WIDTH_PX + 40.0
    );
    text(&mut svg, 8.0, 18.0, &format!("{deployment}: wait for a slot, p99"));
    for (index, ((phase, kind), rows)) in lines.iter().enumerate() {
        let y = TOP_PX + LINE_PX * (index as f64 + 0.5);
        text(&mut svg, 8.0, y + 4.0, &format!("{phase}: {kind}"));
        line(&mut svg, (LEFT_PX, y), (LEFT_PX + WIDTH_PX, y));
        for row in rows {
            dot(&mut svg, x_of(row.wait_ms(99.0)), y, row.policy);
        }
    }
    draw_axis(&mut svg, axis_y);
    draw_legend(&mut svg, axis_y + LINE_PX * 1.5, rows);
    svg.push_str("</svg>\n");
    svg
}

fn draw_axis(svg: &mut String, axis_y: f64) {
    for (label, wait_ms) in [
        ("0.1 ms", 0.1),
        ("1 ms", 1.0),
        ("10 ms", 10.0),
        ("100 ms", 100.0),
        ("1 s", 1e3),
        ("10 s", 1e4),
    ] {
        let x = x_of(wait_ms);
        line(svg, (x, TOP_PX), (x, axis_y));
        text(svg, x - 14.0, axis_y + 14.0, label);
    }
}

fn draw_legend(svg: &mut String, top_y: f64, rows: &[Row]) {
    let mut policies: Vec<PolicyName> = rows.iter().map(|row| row.policy).collect();
    policies.sort();
    policies.dedup();
    for (index, policy) in policies.into_iter().enumerate() {
        let y = top_y + LINE_PX * index as f64;
        dot(svg, LEFT_PX, y, policy);
        text(svg, LEFT_PX + 12.0, y + 4.0, &policy.to_string());
    }
}

fn x_of(wait_ms: f64) -> f64 {
    let decades = (wait_ms.max(0.1) / 0.1).log10();
    LEFT_PX + WIDTH_PX * decades.min(DECADES) / DECADES
}

fn dot(svg: &mut String, x: f64, y: f64, policy: PolicyName) {
    let colour = COLOURS[policy as usize];
    writeln!(svg, "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"5\" fill=\"{colour}\"/>")
        .expect("writing to a string succeeds");
}

fn line(svg: &mut String, from: (f64, f64), to: (f64, f64)) {
    writeln!(
        svg,
        "<line x1=\"{:.1}\" y1=\"{:.1}\" x2=\"{:.1}\" y2=\"{:.1}\" stroke=\"#dddddd\"/>",
        from.0, from.1, to.0, to.1
    )
    .expect("writing to a string succeeds");
}

fn text(svg: &mut String, x: f64, y: f64, content: &str) {
    writeln!(svg, "<text x=\"{x:.1}\" y=\"{y:.1}\">{content}</text>")
        .expect("writing to a string succeeds");
}
