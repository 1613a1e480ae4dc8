//! Tests of the burn rates in the metrics.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use masticreel_base::clock::ManualClock;
use masticreel_base::ids::Revision;
use masticreel_burn::recorder::RequestResult;
use masticreel_daemon::burn::{BurnRateMonitor, BurnRateTracker};
use masticreel_daemon::metrics::Metrics;
use masticreel_document::class::Class;
use masticreel_document::document::Document;
use masticreel_document::section::SectionText;

const LEVEL: &str = "[[levels]]\nname = \"abort-in-time\"\nclass = \"urgent\"\nlatency_ms = 20\n\
                     objective_percent = 99.0\n";

fn document(text: &str, revision: u64) -> Arc<Document> {
    let section =
        SectionText { revision: Revision(revision), text: text.into(), author: "test".into() };
    let sections = [("levels".into(), section)].into();
    Arc::new(Document::parse(sections, Revision(revision)).unwrap())
}

#[test]
fn test_burn_rates_follow_requests_and_levels() {
    let tracker = BurnRateTracker::new(ManualClock::new());
    let metrics = Metrics::new();
    let cell = Arc::new(ArcSwap::new(document(LEVEL, 1)));
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let mut monitor = BurnRateMonitor::new(tracker.clone(), cell.clone(), &metrics, logger);
    for number in 0..100 {
        let latency = Duration::from_millis(if number < 30 { 50 } else { 5 });
        tracker.record(Class::Urgent, latency, RequestResult::Served);
    }
    monitor.update_rates();
    let text = metrics.render();
    for window in ["5m", "1h"] {
        let prefix =
            format!("masticreel_level_burn_rate{{level=\"abort-in-time\",window=\"{window}\"}} ");
        let line = text.lines().find(|line| line.starts_with(&prefix)).unwrap();
        let rate: f64 = line.rsplit(' ').next().unwrap().parse().unwrap();
        assert!((rate - 30.0).abs() < 1e-6, "{line}");
    }

    // A level that the document no longer has is removed from the metrics.
    cell.store(document("", 2));
    monitor.update_rates();
    assert!(!metrics.render().contains("masticreel_level_burn_rate{"));
}
