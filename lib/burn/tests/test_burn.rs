//! Tests of burn rates, alerts and rendered reports.

use std::time::{Duration, Instant};

use masticreel_burn::alert::{AlertChange, AlertState, Alerts, alert_state};
use masticreel_burn::page::render_page;
use masticreel_burn::recorder::{BurnRecorder, LONG_WINDOW, RequestResult, SHORT_WINDOW};
use masticreel_burn::report::{Tally, merge_reports};
use masticreel_burn::table::render_table;
use masticreel_document::class::Class;
use masticreel_document::levels::ServiceLevel;
use proptest::prelude::*;

fn level(objective_percent: f64) -> ServiceLevel {
    ServiceLevel {
        name: "abort-in-time".into(),
        class: Class::Urgent,
        latency_ms: 20,
        objective_percent,
    }
}

fn record(recorder: &mut BurnRecorder, count: u64, latency_ms: u64, now: Instant) {
    for _ in 0..count {
        let latency = Duration::from_millis(latency_ms);
        recorder.record(Class::Urgent, latency, RequestResult::Served, now);
    }
}

#[test]
fn test_burn_compares_the_bad_share_with_the_budget() {
    let start = Instant::now();
    let mut recorder = BurnRecorder::new(start);
    record(&mut recorder, 980, 5, start);
    record(&mut recorder, 15, 50, start);
    for _ in 0..5 {
        recorder.record(Class::Urgent, Duration::ZERO, RequestResult::Failed, start);
    }
    recorder.record(Class::Normal, Duration::from_secs(9), RequestResult::Served, start);
    let report = recorder.report(&level(99.0), start);
    assert_eq!(report.short, Tally { total: 1_000, bad: 20 });
    assert!((report.short_burn() - 2.0).abs() < 1e-9, "{}", report.short_burn());
    assert_eq!(report.course.last(), Some(&report.long));
}

#[test]
fn test_a_level_without_requests_burns_nothing() {
    let start = Instant::now();
    let report = BurnRecorder::new(start).report(&level(99.0), start);
    assert_eq!(report.long_burn(), 0.0);
    assert_eq!(alert_state(&report), AlertState::Quiet);
}

#[test]
fn test_windows_forget() {
    let start = Instant::now();
    let mut recorder = BurnRecorder::new(start);
    record(&mut recorder, 10, 50, start);
    let report = recorder.report(&level(99.0), start + SHORT_WINDOW);
    assert_eq!((report.short.bad, report.long.bad), (0, 10));
    let report = recorder.report(&level(99.0), start + LONG_WINDOW);
    assert_eq!((report.short.bad, report.long.bad), (0, 0));
}

#[test]
fn test_memory_is_bounded() {
    let start = Instant::now();
    let mut recorder = BurnRecorder::new(start);
    for minute in 0..24 * 60 * 2 {
        let now = start + Duration::from_secs(30 * minute);
        record(&mut recorder, 1, 5, now);
        recorder.record(Class::Long, Duration::from_secs(9), RequestResult::Served, now);
    }
    assert_eq!(recorder.bucket_count(), 2 * 120);
}

#[test]
fn test_a_clone_does_not_see_later_requests() {
    let start = Instant::now();
    let mut recorder = BurnRecorder::new(start);
    record(&mut recorder, 1, 5, start);
    let snapshot = recorder.clone();
    record(&mut recorder, 1, 5, start);
    assert_eq!(snapshot.report(&level(99.0), start).long.total, 1);
    assert_eq!(recorder.report(&level(99.0), start).long.total, 2);
}

#[test]
fn test_an_alert_needs_both_windows() {
    let start = Instant::now();
    let mut recorder = BurnRecorder::new(start);
    // An hour without bad requests, then a minute in which every request is late.
    for minute in 0..60 {
        record(&mut recorder, 100, 5, start + Duration::from_secs(60 * minute));
    }
    let now = start + Duration::from_secs(60 * 60);
    record(&mut recorder, 100, 50, now);
    let (alerts, changes) = Alerts::default().update(&[recorder.report(&level(99.0), now)]);
    assert!(changes.is_empty(), "the long window does not burn yet: {changes:?}");

    // Ten more such minutes.
    let mut later = now;
    for _ in 0..10 {
        later += Duration::from_secs(60);
        record(&mut recorder, 100, 50, later);
    }
    let (alerts, changes) = alerts.update(&[recorder.report(&level(99.0), later)]);
    let change = |state| vec![AlertChange { level: "abort-in-time".into(), state }];
    assert_eq!(changes, change(AlertState::Burning));
    let (alerts, changes) = alerts.update(&[recorder.report(&level(99.0), later)]);
    assert!(changes.is_empty(), "each change is reported once: {changes:?}");

    // Requests are fast again, so the short window ends the alert.
    later += SHORT_WINDOW;
    record(&mut recorder, 100, 5, later);
    let (alerts, changes) = alerts.update(&[recorder.report(&level(99.0), later)]);
    assert_eq!(changes, change(AlertState::Quiet));
    assert_eq!(alerts.state("abort-in-time"), AlertState::Quiet);
}

#[test]
fn test_a_level_that_is_removed_becomes_quiet() {
    let start = Instant::now();
    let mut recorder = BurnRecorder::new(start);
    record(&mut recorder, 100, 50, start);
    let (alerts, _) = Alerts::default().update(&[recorder.report(&level(99.0), start)]);
    assert_eq!(alerts.state("abort-in-time"), AlertState::Burning);
    let (alerts, changes) = alerts.update(&[]);
    assert_eq!(changes[0].state, AlertState::Quiet);
    assert_eq!(alerts, Alerts::default());
}

#[test]
fn test_reports_of_several_instances_add_up() {
    let start = Instant::now();
    let mut first = BurnRecorder::new(start);
    record(&mut first, 90, 5, start);
    let mut second = BurnRecorder::new(start);
    record(&mut second, 10, 50, start);
    let reports = [first.report(&level(99.0), start), second.report(&level(99.0), start)];
    let merged = merge_reports(reports);
    assert_eq!(merged.len(), 1);
    assert_eq!(merged[0].long, Tally { total: 100, bad: 10 });
    let other =
        merge_reports([first.report(&level(99.0), start), second.report(&level(98.0), start)]);
    assert_eq!(other.len(), 2, "levels of two revisions are not merged");
}

#[test]
fn test_rendered_reports() {
    let start = Instant::now();
    let mut recorder = BurnRecorder::new(start);
    record(&mut recorder, 80, 5, start);
    record(&mut recorder, 20, 50, start + Duration::from_secs(300));
    let now = start + Duration::from_secs(300);
    let mut report = recorder.report(&level(99.9), now);
    report.name = "<abort> & \"go\"".into();
    insta::assert_snapshot!("table", render_table(&[report.clone()]));
    insta::assert_snapshot!("page", render_page("levels of <today>", &[report]));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Every request is counted once, and as bad if it is clearly above the bound.
    #[test]
    fn test_tallies_add_up(
        requests in prop::collection::vec((0..3_600_u64, 0..2_000_000_u64, any::<bool>()), 0..200),
    ) {
        let start = Instant::now();
        let mut recorder = BurnRecorder::new(start);
        let mut requests = requests;
        requests.sort();
        let end = start + Duration::from_secs(3_599);
        for (second, latency_us, served) in &requests {
            let result = if *served { RequestResult::Served } else { RequestResult::Failed };
            let now = start + Duration::from_secs(*second);
            recorder.record(Class::Urgent, Duration::from_micros(*latency_us), result, now);
        }
        let report = recorder.report(&level(99.0), end);
        let certainly_bad =
            requests.iter().filter(|(_, latency_us, served)| !served || *latency_us > 20_400).count();
        let maybe_bad =
            requests.iter().filter(|(_, latency_us, served)| !served || *latency_us > 20_000).count();
        prop_assert_eq!(report.long.total, requests.len() as u64);
        prop_assert!(certainly_bad as u64 <= report.long.bad);
        prop_assert!(report.long.bad <= maybe_bad as u64);
        let course: Tally = report.course.iter().copied().sum();
        prop_assert_eq!(course, report.long);
    }
}
