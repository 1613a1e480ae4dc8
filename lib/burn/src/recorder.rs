//! Records the latencies and failures of the last hour in bounded memory.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use masticreel_document::class::Class;
use masticreel_document::levels::ServiceLevel;

use crate::report::{LevelReport, Tally};

/// The short window, which shows whether a level spends its error budget too fast
/// at present.
pub const SHORT_WINDOW: Duration = Duration::from_secs(5 * 60);

/// The long window, which shows whether enough of the budget was spent to
/// matter.
pub const LONG_WINDOW: Duration = Duration::from_secs(60 * 60);

/// The time that one bucket covers.
const BUCKET: Duration = Duration::from_secs(30);

const SHORT_BUCKETS: u64 = SHORT_WINDOW.as_secs() / BUCKET.as_secs();
const LONG_BUCKETS: u64 = LONG_WINDOW.as_secs() / BUCKET.as_secs();

/// How many buckets are added up for one minute of a report's course.
const BUCKETS_PER_MINUTE: u64 = 2;

/// The largest latency recorded, in microseconds; longer ones are recorded as
/// this one.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The precision of the histograms: two digits keep each near 12 KB and its
/// values within one percent.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The outcome of a request, as service levels count it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestResult {
    /// The caller received the server's answer, which may be an error of the
    /// database.
    Served,
    /// The proxy refused the request, or the answer was lost.
    Failed,
}

/// Records requests by class and time.
///
/// It keeps histograms instead of counts of late requests, so that a level that
/// was just added or changed in the document is reported over the whole past
/// hour. It holds at most 120 histograms for each of the three classes.
///
/// A clone shares the histograms until either side changes one, so that a
/// report can be made from a clone while further requests are recorded.
#[derive(Debug, Clone)]
pub struct BurnRecorder {
    started: Instant,
    urgent: ClassHistory,
    normal: ClassHistory,
    long: ClassHistory,
}

#[derive(Debug, Default, Clone)]
struct ClassHistory {
    /// The buckets in the order of time; those without requests are left out.
    buckets: VecDeque<Arc<Bucket>>,
}

#[derive(Debug, Clone)]
struct Bucket {
    /// Which bucket this is, counted from the start of the recorder.
    number: u64,
    failed: u64,
    latencies_us: Histogram<u32>,
}

impl BurnRecorder {
    /// Creates a recorder without any requests.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            urgent: ClassHistory::default(),
            normal: ClassHistory::default(),
            long: ClassHistory::default(),
        }
    }

    /// Records one request.
    pub fn record(&mut self, class: Class, latency: Duration, result: RequestResult, now: Instant) {
        let number = self.bucket_number(now);
        let bucket = self.history_mut(class).newest_bucket_mut(number);
        match result {
            RequestResult::Failed => bucket.failed += 1,
            RequestResult::Served => {
                let latency_us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
                bucket.latencies_us.saturating_record(latency_us);
            }
        }
    }

    /// Compares the requests of the last hour with a level.
    pub fn report(&self, level: &ServiceLevel, now: Instant) -> LevelReport {
        let number = self.bucket_number(now);
        let history = self.history(level.class);
        let latency_limit_us = level.latency_ms.saturating_mul(1_000);
        let mut latencies_us = new_histogram();
        for bucket in history.window_ending_at(number, LONG_BUCKETS) {
            latencies_us += &bucket.latencies_us;
        }
        LevelReport {
            name: level.name.clone(),
            class: level.class,
            latency_ms: level.latency_ms,
            objective_percent: level.objective_percent,
            short: history.tally(number, SHORT_BUCKETS, latency_limit_us),
            long: history.tally(number, LONG_BUCKETS, latency_limit_us),
            p50_us: latencies_us.value_at_quantile(0.5),
            p99_us: latencies_us.value_at_quantile(0.99),
            course: history.course(number, latency_limit_us),
        }
    }

    /// Returns the number of histograms held, which determines the memory used.
    pub fn bucket_count(&self) -> usize {
        [&self.urgent, &self.normal, &self.long].iter().map(|history| history.buckets.len()).sum()
    }

    fn bucket_number(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started).as_secs() / BUCKET.as_secs()
    }

    fn history(&self, class: Class) -> &ClassHistory {
        match class {
            Class::Urgent => &self.urgent,
            Class::Normal => &self.normal,
            Class::Long => &self.long,
        }
    }

    fn history_mut(&mut self, class: Class) -> &mut ClassHistory {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Normal => &mut self.normal,
            Class::Long => &mut self.long,
        }
    }
}

impl ClassHistory {
    /// Returns the newest bucket, after adding the numbered one if it is newer.
    ///
    /// The result has a later number if another thread read the clock later but
    /// recorded first.
    fn newest_bucket_mut(&mut self, number: u64) -> &mut Bucket {
        if self.buckets.back().is_none_or(|newest| newest.number < number) {
            self.remove_before(number.saturating_sub(LONG_BUCKETS - 1));
            self.buckets.push_back(Arc::new(Bucket::new(number)));
        }
        let newest = self.buckets.back_mut().expect("a bucket was just added if there was none");
        Arc::make_mut(newest)
    }

    fn remove_before(&mut self, number: u64) {
        while self.buckets.front().is_some_and(|oldest| oldest.number < number) {
            self.buckets.pop_front();
        }
    }

    /// Returns the buckets of a window that ends with the numbered bucket.
    fn window_ending_at(&self, number: u64, window_buckets: u64) -> impl Iterator<Item = &Bucket> {
        let first = (number + 1).saturating_sub(window_buckets);
        self.buckets.iter().map(Arc::as_ref).filter(move |bucket| bucket.number >= first)
    }

    fn tally(&self, number: u64, window_buckets: u64, latency_limit_us: u64) -> Tally {
        self.window_ending_at(number, window_buckets)
            .map(|bucket| bucket.tally(latency_limit_us))
            .sum()
    }

    /// Returns one tally per minute of the long window, the newest last.
    fn course(&self, number: u64, latency_limit_us: u64) -> Vec<Tally> {
        let minutes = LONG_BUCKETS / BUCKETS_PER_MINUTE;
        let mut course = vec![Tally::default(); usize::try_from(minutes).unwrap_or_default()];
        for bucket in self.window_ending_at(number, LONG_BUCKETS) {
            let age = number.saturating_sub(bucket.number) / BUCKETS_PER_MINUTE;
            let index = minutes.saturating_sub(1 + age);
            if let Some(tally) = course.get_mut(usize::try_from(index).unwrap_or_default()) {
                *tally += bucket.tally(latency_limit_us);
            }
        }
        course
    }
}

impl Bucket {
    fn new(number: u64) -> Self {
        Self { number, failed: 0, latencies_us: new_histogram() }
    }

    fn tally(&self, latency_limit_us: u64) -> Tally {
        let served = self.latencies_us.len();
        let good = self.latencies_us.count_between(0, latency_limit_us);
        Tally { total: served + self.failed, bad: served - good + self.failed }
    }
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the bounds are constants")
}
