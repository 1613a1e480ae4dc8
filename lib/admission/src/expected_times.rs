//! Expected execution times, learned from the statements that ran.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::{Display, From, Into};
use xxhash_rust::xxh3::Xxh3;

/// Identifies the statements that differ only in literals, case and spacing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From, Into)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Computes the fingerprint of a statement's text.
    pub fn of(statement: &str) -> Self {
        let mut hash = Xxh3::new();
        normalize(statement, |byte| hash.update(&[byte]));
        Self(hash.digest())
    }
}

/// Emits the text with literals replaced, comments dropped and space collapsed.
fn normalize<Emit>(statement: &str, mut emit: Emit)
where
    Emit: FnMut(u8),
{
    let bytes = statement.as_bytes();
    let mut index = 0;
    let mut previous = b' ';
    while index < bytes.len() {
        let (token, next) = token(bytes, index, previous);
        index = next;
        let is_repeated = token == previous && (token == b' ' || token == LITERAL);
        if token == SKIPPED || is_repeated {
            continue;
        }
        emit(token);
        previous = token;
    }
}

const LITERAL: u8 = b'?';
const SKIPPED: u8 = 0;

fn token(bytes: &[u8], index: usize, previous: u8) -> (u8, usize) {
    let byte = bytes[index];
    let follows_word = previous.is_ascii_alphanumeric() || previous == b'_' || previous == b'$';
    match byte {
        b'\'' => (LITERAL, end_of_quoted(bytes, index + 1)),
        b'/' if bytes.get(index + 1) == Some(&b'*') => (SKIPPED, end_of_comment(bytes, index + 2)),
        b'0'..=b'9' if !follows_word => (LITERAL, end_of_number(bytes, index)),
        _ if byte.is_ascii_whitespace() => (b' ', index + 1),
        _ => (byte.to_ascii_lowercase(), index + 1),
    }
}

fn end_of_quoted(bytes: &[u8], start: usize) -> usize {
    let mut index = start;
    while index < bytes.len() {
        if bytes[index] != b'\'' {
            index += 1;
            continue;
        }
        if bytes.get(index + 1) != Some(&b'\'') {
            return index + 1;
        }
        index += 2;
    }
    bytes.len()
}

fn end_of_comment(bytes: &[u8], start: usize) -> usize {
    let rest = bytes.get(start..).unwrap_or_default();
    let end = rest.windows(2).position(|pair| pair == b"*/");
    end.map_or(bytes.len(), |offset| start + offset + 2)
}

fn end_of_number(bytes: &[u8], start: usize) -> usize {
    let rest = bytes[start..].iter();
    start + rest.take_while(|byte| byte.is_ascii_alphanumeric() || **byte == b'.').count()
}

/// Remembers how long the statements of each fingerprint took.
///
/// Memory is bounded: when a generation is full, fingerprints that were not
/// seen during it are forgotten.
#[derive(Debug, Clone)]
pub struct ExpectedTimes {
    capacity: usize,
    unknown: Duration,
    recent: HashMap<Fingerprint, Duration>,
    older: HashMap<Fingerprint, Duration>,
}

/// The weight of a new observation is one in this many.
const SMOOTHING: u32 = 8;

impl ExpectedTimes {
    /// Creates an empty memory for at most this many fingerprints.
    ///
    /// Statements that were never seen are expected to take `unknown`.
    pub fn new(capacity: usize, unknown: Duration) -> Self {
        let generation = (capacity / 2).max(1);
        Self {
            capacity: generation,
            unknown,
            recent: HashMap::with_capacity(generation),
            older: HashMap::new(),
        }
    }

    /// Returns how long a statement is expected to execute.
    pub fn expected(&self, fingerprint: Fingerprint) -> Duration {
        self.learned(fingerprint).unwrap_or(self.unknown)
    }

    /// Returns the smoothed time of earlier executions, if there were any.
    pub fn learned(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let recent = self.recent.get(&fingerprint);
        recent.or_else(|| self.older.get(&fingerprint)).copied()
    }

    /// Learns from a statement that ran.
    pub fn observe(&mut self, fingerprint: Fingerprint, took: Duration) {
        let smoothed = match self.learned(fingerprint) {
            Some(expected) => (expected * (SMOOTHING - 1) + took) / SMOOTHING,
            None => took,
        };
        if self.recent.len() >= self.capacity && !self.recent.contains_key(&fingerprint) {
            self.older = std::mem::take(&mut self.recent);
        }
        self.older.remove(&fingerprint);
        self.recent.insert(fingerprint, smoothed);
    }

    /// Returns how many fingerprints are remembered.
    pub fn len(&self) -> usize {
        self.recent.len() + self.older.len()
    }

    /// Returns whether nothing was learned yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
