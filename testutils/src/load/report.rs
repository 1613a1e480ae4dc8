//! The results of a load: counts, latencies and errors of each kind of
//! statement.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::load::settings::LoadSettings;

/// The precision of the histograms, in significant decimal digits.
const HISTOGRAM_DIGITS: u8 = 3;
/// Stands in place of a SQLSTATE for statements whose connection broke.
const CONNECTION_LOST: &str = "connection_lost";

/// The results of one kind of statement.
#[derive(Debug, Clone)]
pub struct StatementRecord {
    /// The latencies of statements without error, in microseconds.
    pub latency_us: Histogram<u64>,
    /// How many statements failed, by SQLSTATE.
    pub errors: BTreeMap<String, u64>,
}

impl StatementRecord {
    fn new() -> Self {
        let latency_us = Histogram::new(HISTOGRAM_DIGITS).expect("a valid precision");
        Self { latency_us, errors: BTreeMap::new() }
    }
}

/// The results of one caller, or the sum over several.
#[derive(Debug)]
pub struct CallerRecord {
    /// The results of each kind of statement, in the order of the settings.
    pub statements: Vec<StatementRecord>,
    /// The number of failed connection attempts, timeouts included.
    pub failed_connects: u64,
}

impl CallerRecord {
    /// Creates an empty record.
    pub fn new(statements: usize) -> Self {
        let statements = (0..statements).map(|_| StatementRecord::new()).collect();
        Self { statements, failed_connects: 0 }
    }

    /// Records an answer, with its SQLSTATE if it is an error.
    pub fn record_answer(&mut self, index: usize, latency: Duration, error: Option<&str>) {
        let statement = &mut self.statements[index];
        match error {
            Some(code) => *statement.errors.entry(code.to_owned()).or_default() += 1,
            None => statement.latency_us += latency.as_micros() as u64,
        }
    }

    /// Records a statement whose connection broke before its answer.
    pub fn record_lost_connection(&mut self, index: usize) {
        *self.statements[index].errors.entry(CONNECTION_LOST.to_owned()).or_default() += 1;
    }
}

/// The results of all callers.
#[derive(Debug)]
pub struct Report {
    names: Vec<String>,
    elapsed: Duration,
    total: CallerRecord,
}

impl Report {
    /// Creates an empty report.
    pub fn new(settings: &LoadSettings, elapsed: Duration) -> Self {
        let names = settings.statements.iter().map(|statement| statement.name.clone()).collect();
        Self { names, elapsed, total: CallerRecord::new(settings.statements.len()) }
    }

    /// Adds the results of a caller.
    pub fn add(&mut self, record: &CallerRecord) {
        self.total.failed_connects += record.failed_connects;
        for (total, part) in self.total.statements.iter_mut().zip(&record.statements) {
            total.latency_us.add(&part.latency_us).expect("the histograms grow as needed");
            for (code, count) in &part.errors {
                *total.errors.entry(code.clone()).or_default() += count;
            }
        }
    }

    /// Returns each kind of statement with its name.
    pub fn statements(&self) -> impl Iterator<Item = (&str, &StatementRecord)> {
        self.names.iter().map(String::as_str).zip(&self.total.statements)
    }

    /// Writes a line of key=value pairs for each kind of statement.
    ///
    /// # Errors
    ///
    /// Fails when the output can't be written.
    pub fn write_text(&self, output: &mut impl Write) -> io::Result<()> {
        for (name, record) in self.statements() {
            let figures = self.figures(record);
            writeln!(
                output,
                "statement={name} count={} rate_per_s={:.1} p50_us={} p99_us={} max_us={} errors={}",
                figures.count,
                figures.rate_per_s,
                figures.p50_us,
                figures.p99_us,
                figures.max_us,
                figures.errors
            )?;
            for (code, count) in &record.errors {
                writeln!(output, "statement={name} error={code} count={count}")?;
            }
        }
        writeln!(output, "connections_refused={}", self.total.failed_connects)
    }

    /// Writes a row of comma-separated values for each kind of statement.
    ///
    /// # Errors
    ///
    /// Fails when the output can't be written.
    pub fn write_csv(&self, output: &mut impl Write) -> io::Result<()> {
        writeln!(output, "statement,count,rate_per_s,p50_us,p99_us,max_us,errors")?;
        for (name, record) in self.statements() {
            let figures = self.figures(record);
            writeln!(
                output,
                "{name},{},{:.1},{},{},{},{}",
                figures.count,
                figures.rate_per_s,
                figures.p50_us,
                figures.p99_us,
                figures.max_us,
                figures.errors
            )?;
        }
        Ok(())
    }

    fn figures(&self, record: &StatementRecord) -> Figures {
        let latency_us = &record.latency_us;
        Figures {
            count: latency_us.len(),
            rate_per_s: latency_us.len() as f64 / self.elapsed.as_secs_f64(),
            p50_us: latency_us.value_at_quantile(0.5),
            p99_us: latency_us.value_at_quantile(0.99),
            max_us: latency_us.max(),
            errors: record.errors.values().sum(),
        }
    }
}

/// The figures of one kind of statement.
struct Figures {
    count: u64,
    rate_per_s: f64,
    p50_us: u64,
    p99_us: u64,
    max_us: u64,
    errors: u64,
}
