//! The log of committed transactions, in memory and, with a data directory, in a
//! file.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use masticreel_base::ids::{LogPosition, Term};
use rusqlite::types::Value;
use serde::{Deserialize, Serialize};

use crate::upstream::frame;

/// One committed transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term of the primary that committed it.
    pub term: Term,
    /// Its position in the log, from 1 and without gaps.
    pub position: LogPosition,
    /// The statements that replicas run.
    pub statements: Vec<LoggedStatement>,
}

/// A statement that wrote, with its parameters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoggedStatement {
    /// The text in SQLite's dialect.
    pub sql: Arc<str>,
    /// The values of `$1` and so on.
    pub parameters: Vec<LoggedValue>,
}

/// A parameter's value in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LoggedValue {
    Null,
    /// An integer or a truth value.
    Integer(i64),
    Real(f64),
    Text(String),
    Blob(Vec<u8>),
}

impl From<Value> for LoggedValue {
    fn from(value: Value) -> Self {
        match value {
            Value::Null => Self::Null,
            Value::Integer(number) => Self::Integer(number),
            Value::Real(number) => Self::Real(number),
            Value::Text(text) => Self::Text(text),
            Value::Blob(bytes) => Self::Blob(bytes),
        }
    }
}

impl From<LoggedValue> for Value {
    fn from(value: LoggedValue) -> Self {
        match value {
            LoggedValue::Null => Self::Null,
            LoggedValue::Integer(number) => Self::Integer(number),
            LoggedValue::Real(number) => Self::Real(number),
            LoggedValue::Text(text) => Self::Text(text),
            LoggedValue::Blob(bytes) => Self::Blob(bytes),
        }
    }
}

/// The range of a log's entries that have the same term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRun {
    /// The term.
    pub term: Term,
    /// The last entry of the term.
    pub last: LogPosition,
}

/// Returns the last entry that two logs have in common.
///
/// A term has one primary, which uses each position once. Two logs that agree
/// on all earlier terms therefore agree on a term's entries as far as both reach.
pub fn last_common(one: &[LogRun], other: &[LogRun]) -> LogPosition {
    let mut common = LogPosition(0);
    for (left, right) in one.iter().zip(other) {
        if left.term != right.term {
            break;
        }
        common = left.last.min(right.last);
        if left.last != right.last {
            break;
        }
    }
    common
}

/// A record in the log's file, stored as one frame.
#[derive(Debug, Serialize, Deserialize)]
enum LogRecord {
    Entry(LogEntry),
    Truncated(LogPosition),
    Term { term: Term, claim: Arc<str>, data_term: Term },
}

/// The state recovered from a server's data directory.
#[derive(Debug, Default)]
pub struct RecoveredState {
    /// The newest term that the server accepted, 0 if the directory was empty.
    pub term: Term,
    /// The claim of that term.
    pub claim: Arc<str>,
    /// The newest term for which its data was verified to be a prefix of the
    /// primary's log.
    pub data_term: Term,
}

/// All log entries of a server.
///
/// Every entry in the log counts as durable, also without a file, when a restart
/// loses them.
#[derive(Debug, Default)]
pub struct Log {
    entries: Vec<(Arc<LogEntry>, Instant)>,
    runs: Vec<LogRun>,
    file: Option<File>,
}

impl Log {
    /// Opens the log in a directory, or in memory if no directory is given.
    ///
    /// # Errors
    ///
    /// Fails when the directory can't be used.
    pub fn open(directory: Option<&Path>) -> io::Result<(Self, RecoveredState)> {
        let mut log = Self::default();
        let mut recovered = RecoveredState::default();
        let Some(directory) = directory else {
            return Ok((log, recovered));
        };
        std::fs::create_dir_all(directory)?;
        let path = directory.join("log");
        let mut file = OpenOptions::new().create(true).append(true).read(true).open(path)?;
        let mut content = Vec::new();
        file.read_to_end(&mut content)?;
        let mut rest = content.as_slice();
        let mut complete_length = 0;
        while let Ok(record) = frame::read(&mut rest) {
            log.apply_record(record, &mut recovered);
            complete_length = content.len() - rest.len();
        }
        // A record cut short by a kill was never reported as durable, so it is
        // removed.
        file.set_len(complete_length as u64)?;
        log.file = Some(file);
        Ok((log, recovered))
    }

    fn apply_record(&mut self, record: LogRecord, recovered: &mut RecoveredState) {
        match record {
            LogRecord::Entry(entry) => self.push(Arc::new(entry), Instant::now()),
            LogRecord::Truncated(last) => self.discard_after(last),
            LogRecord::Term { term, claim, data_term } => {
                *recovered = RecoveredState { term, claim, data_term };
            }
        }
    }

    /// Appends an entry and makes it durable.
    pub fn append(&mut self, entry: LogEntry, now: Instant) {
        self.persist(&LogRecord::Entry(entry.clone()));
        self.push(Arc::new(entry), now);
    }

    /// Discards all entries after a position.
    pub fn truncate(&mut self, last: LogPosition) {
        if last < self.last() {
            self.persist(&LogRecord::Truncated(last));
            self.discard_after(last);
        }
    }

    /// Writes the server's term, claim and data term to the file.
    pub fn record_term(&mut self, term: Term, claim: &Arc<str>, data_term: Term) {
        self.persist(&LogRecord::Term { term, claim: Arc::clone(claim), data_term });
    }

    /// Returns the position of the last entry, 0 if there is none.
    pub fn last(&self) -> LogPosition {
        LogPosition(self.entries.len() as u64)
    }

    /// Returns the term of the last entry, 0 if there is none.
    pub fn last_term(&self) -> Term {
        self.runs.last().map_or(Term(0), |run| run.term)
    }

    /// Returns the ranges of entries with the same term, in order.
    pub fn runs(&self) -> &[LogRun] {
        &self.runs
    }

    /// Returns up to `limit` entries after a position.
    pub fn after(&self, position: LogPosition, limit: usize) -> Vec<Arc<LogEntry>> {
        let start = (position.0 as usize).min(self.entries.len());
        let entries = self.entries[start..].iter().take(limit);
        entries.map(|(entry, _)| Arc::clone(entry)).collect()
    }

    /// Returns when the entry at a position became durable on this server.
    pub fn durable_since(&self, position: LogPosition) -> Option<Instant> {
        let index = (position.0 as usize).checked_sub(1)?;
        self.entries.get(index).map(|(_, since)| *since)
    }

    fn push(&mut self, entry: Arc<LogEntry>, now: Instant) {
        match self.runs.last_mut() {
            Some(run) if run.term == entry.term => run.last = entry.position,
            _ => self.runs.push(LogRun { term: entry.term, last: entry.position }),
        }
        self.entries.push((entry, now));
    }

    fn discard_after(&mut self, last: LogPosition) {
        self.entries.truncate(last.0 as usize);
        let mut start = LogPosition(0);
        self.runs.retain_mut(|run| {
            let kept = start < last;
            start = run.last;
            run.last = run.last.min(last);
            kept
        });
    }

    /// Writes a record to the file; a written record survives a kill of the
    /// process.
    fn persist(&mut self, record: &LogRecord) {
        if let Some(file) = &mut self.file {
            let bytes = frame::encode(record);
            file.write_all(&bytes).expect("the data directory stays writable");
        }
    }
}
