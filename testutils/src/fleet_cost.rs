//! The resources that running instances use.
//!
//! A [`Sample`] reads the counters of one instance from `/proc` and from its
//! metrics. [`Cost`] averages two samples of each instance, and [`fit`] fits a
//! line through costs of fleets of several sizes.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;

/// Clock ticks per second in `/proc`; fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
const KIBIBYTE: f64 = 1_024.0;
const MEGABYTE: f64 = 1e6;
/// The indices of user and system time in `/proc/PID/stat`, counted after the
/// process name.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// The counters of one instance at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    cpu_s: f64,
    rss_mb: f64,
    threads: f64,
    sent_bytes: f64,
    received_bytes: f64,
    store_reads: f64,
    fetches: f64,
}

/// The average resource use of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
#[display(
    "{cpu_percent:.3},{rss_mb:.2},{threads:.1},{sent_b_s:.0},{received_b_s:.0},\
     {store_reads_s:.3},{fetches_s:.3}"
)]
pub struct Cost {
    /// Processor time, in percent of one core.
    pub cpu_percent: f64,
    /// Resident memory, in megabytes.
    pub rss_mb: f64,
    /// The number of threads.
    pub threads: f64,
    /// Bytes of datagrams sent per second.
    pub sent_b_s: f64,
    /// Bytes of datagrams received per second.
    pub received_b_s: f64,
    /// Reads of the store per second.
    pub store_reads_s: f64,
    /// Documents fetched from peers per second.
    pub fetches_s: f64,
}

/// Returns one field of a cost.
pub type CostField = fn(&Cost) -> f64;

impl Cost {
    /// The fields with their names, in the order in which `Display` writes them.
    pub const FIELDS: [(&'static str, CostField); 7] = [
        ("cpu_percent", |cost| cost.cpu_percent),
        ("rss_mb", |cost| cost.rss_mb),
        ("threads", |cost| cost.threads),
        ("sent_b_s", |cost| cost.sent_b_s),
        ("received_b_s", |cost| cost.received_b_s),
        ("store_reads_s", |cost| cost.store_reads_s),
        ("fetches_s", |cost| cost.fetches_s),
    ];

    /// Averages over all instances: rates between two samples of each instance,
    /// and the memory and threads of the later samples.
    pub fn mean(before: &[Sample], after: &[Sample], elapsed: Duration) -> Self {
        let rate = |read: fn(&Sample) -> f64| {
            (total(after, read) - total(before, read)) / after.len() as f64 / elapsed.as_secs_f64()
        };
        let level = |read: fn(&Sample) -> f64| total(after, read) / after.len() as f64;
        Self {
            cpu_percent: 100.0 * rate(|sample| sample.cpu_s),
            rss_mb: level(|sample| sample.rss_mb),
            threads: level(|sample| sample.threads),
            sent_b_s: rate(|sample| sample.sent_bytes),
            received_b_s: rate(|sample| sample.received_bytes),
            store_reads_s: rate(|sample| sample.store_reads),
            fetches_s: rate(|sample| sample.fetches),
        }
    }
}

fn total(samples: &[Sample], read: fn(&Sample) -> f64) -> f64 {
    samples.iter().map(read).sum()
}

impl Sample {
    /// Returns the processor time that the process has used, in seconds.
    pub fn cpu_s(&self) -> f64 {
        self.cpu_s
    }

    /// Reads the counters of an instance's process and the metrics from its
    /// HTTP endpoint.
    ///
    /// # Errors
    ///
    /// Fails when the process has exited or does not answer.
    pub fn take(process: u32, operator_address: SocketAddr) -> io::Result<Self> {
        let text = metrics(operator_address)?;
        let status = fs::read_to_string(format!("/proc/{process}/status"))?;
        Ok(Self {
            cpu_s: cpu_seconds(&fs::read_to_string(format!("/proc/{process}/stat"))?),
            rss_mb: status_field(&status, "VmRSS:") * KIBIBYTE / MEGABYTE,
            threads: status_field(&status, "Threads:"),
            sent_bytes: metric(&text, "masticreel_control_sent_bytes_total"),
            received_bytes: metric(&text, "masticreel_control_received_bytes_total"),
            store_reads: metric(&text, "masticreel_store_reads_total"),
            fetches: metric(&text, "masticreel_document_fetches_total"),
        })
    }

    /// Returns how many members an instance considers alive.
    ///
    /// # Errors
    ///
    /// Fails when the instance does not answer.
    pub fn members_alive(operator_address: SocketAddr) -> io::Result<usize> {
        let text = metrics(operator_address)?;
        Ok(metric(&text, "masticreel_members{state=\"alive\"}") as usize)
    }
}

fn metrics(operator_address: SocketAddr) -> io::Result<String> {
    let response = ureq::get(&format!("http://{operator_address}/metrics")).call();
    let mut response = response.map_err(io::Error::other)?;
    response.body_mut().read_to_string().map_err(io::Error::other)
}

fn metric(text: &str, name: &str) -> f64 {
    let prefix = format!("{name} ");
    let line = text.lines().find_map(|line| line.strip_prefix(&prefix));
    line.and_then(|value| value.trim().parse().ok()).unwrap_or_default()
}

fn status_field(status: &str, name: &str) -> f64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|line| line.split_whitespace().next());
    value.and_then(|value| value.parse().ok()).unwrap_or_default()
}

fn cpu_seconds(stat: &str) -> f64 {
    // The process name may contain blanks, so fields are counted from the bracket
    // that closes it.
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |field: usize| fields.get(field).and_then(|it| it.parse::<f64>().ok());
    let all =
        ticks(USER_TICKS_FIELD).unwrap_or_default() + ticks(SYSTEM_TICKS_FIELD).unwrap_or_default();
    all / TICKS_PER_SECOND
}

/// Fits a line by least squares; returns its intercept and slope.
///
/// The slope is zero if all points have the same x.
pub fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = if sum_xx == 0.0 { 0.0 } else { sum_xy / sum_xx };
    (mean_y - slope * mean_x, slope)
}
