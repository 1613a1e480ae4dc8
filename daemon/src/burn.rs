//! Service levels of this instance: records requests, and warns when a level's
//! error budget is spent too fast.
//!
//! See `docs/operating.md` for what to do about an alert.

use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use masticreel_base::cancellation::CancellationToken;
use masticreel_base::clock::Clock;
use masticreel_burn::alert::{AlertChange, AlertState, Alerts};
use masticreel_burn::recorder::{BurnRecorder, RequestResult};
use masticreel_burn::report::LevelReport;
use masticreel_document::class::Class;
use masticreel_document::levels::ServiceLevel;
use prometheus::GaugeVec;
use slog::{Logger, info, warn};

use crate::documents::DocumentCell;
use crate::metrics::Metrics;

/// Interval between updates of the burn rates.
const UPDATE_INTERVAL: Duration = Duration::from_secs(5);

/// Records requests and reports them against the document's service levels.
#[derive(Debug, Clone)]
pub struct BurnRateTracker<Time> {
    recorder: Arc<Mutex<BurnRecorder>>,
    clock: Time,
}

impl<Time> BurnRateTracker<Time>
where
    Time: Clock,
{
    /// Creates a tracker without recorded requests.
    pub fn new(clock: Time) -> Self {
        let recorder = BurnRecorder::new(clock.now());
        Self { recorder: Arc::new(Mutex::new(recorder)), clock }
    }

    /// Records one request with its latency and result.
    pub fn record(&self, class: Class, latency: Duration, result: RequestResult) {
        let now = self.clock.now();
        let mut recorder =
            self.recorder.lock().expect("no thread panics while it holds the recorder lock");
        recorder.record(class, latency, result, now);
    }

    /// Returns a report for each service level over the last hour.
    pub fn reports(&self, levels: &[ServiceLevel]) -> Vec<LevelReport> {
        // The reports use a copy, so that requests don't wait for the lock.
        let recorder = self
            .recorder
            .lock()
            .expect("no thread panics while it holds the recorder lock")
            .clone();
        let now = self.clock.now();
        levels.iter().map(|level| recorder.report(level, now)).collect()
    }
}

/// Updates the burn rates in the metrics, and logs when an alert starts or ends.
pub struct BurnRateMonitor<Time> {
    tracker: BurnRateTracker<Time>,
    document: DocumentCell,
    rates: GaugeVec,
    logger: Logger,
    alerts: Alerts,
}

impl<Time> BurnRateMonitor<Time>
where
    Time: Clock,
{
    /// Creates a monitor of the service levels in the active document.
    pub fn new(
        tracker: BurnRateTracker<Time>,
        document: DocumentCell,
        metrics: &Metrics,
        logger: Logger,
    ) -> Self {
        let rates = metrics.level_burn_rate.clone();
        Self { tracker, document, rates, logger, alerts: Alerts::default() }
    }

    /// Runs on a thread of its own until cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the system has no room for the thread.
    pub fn start(mut self, cancellation: CancellationToken) -> io::Result<()> {
        thread::Builder::new().name("burn".to_owned()).spawn(move || {
            while !cancellation.wait_timeout(UPDATE_INTERVAL) {
                self.update_rates();
            }
        })?;
        Ok(())
    }

    /// Updates the metrics and the alerts with the current burn rates.
    pub fn update_rates(&mut self) {
        let reports = self.tracker.reports(self.document.load().levels());
        // Removes levels that the document no longer has from the metrics.
        self.rates.reset();
        for report in &reports {
            self.rates.with_label_values(&[&report.name, "5m"]).set(report.short_burn());
            self.rates.with_label_values(&[&report.name, "1h"]).set(report.long_burn());
        }
        let (alerts, changes) = std::mem::take(&mut self.alerts).update(&reports);
        self.alerts = alerts;
        for change in changes {
            self.log(&change, &reports);
        }
    }

    fn log(&self, change: &AlertChange, reports: &[LevelReport]) {
        let report = reports.iter().find(|report| report.name == change.level);
        let short_burn = report.map_or(0.0, LevelReport::short_burn);
        let long_burn = report.map_or(0.0, LevelReport::long_burn);
        match change.state {
            AlertState::Burning => warn!(
                self.logger, "service level spends its error budget too fast";
                "level" => %change.level, "burn_5m" => short_burn, "burn_1h" => long_burn
            ),
            AlertState::Quiet => info!(
                self.logger, "service level no longer spends its error budget too fast";
                "level" => %change.level, "burn_5m" => short_burn, "burn_1h" => long_burn
            ),
        }
    }
}
