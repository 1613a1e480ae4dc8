//! Expected execution times, derived from earlier executions.
//!
//! A [`Fingerprint`] groups statements that differ only in literals, case, spacing
//! and block comments; [`ExpectedTimes`] keeps a smoothed execution time for each.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::{Display, From, Into};
use xxhash_rust::xxh3::Xxh3;

/// Identifies a group of statements that differ only in literals, case, spacing
/// and block comments.
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

/// Emits the text in lower case, with numbers and quoted literals replaced, block
/// comments removed and whitespace collapsed.
///
/// Line comments and dollar-quoted texts are emitted like other text.
fn normalize<Emit>(statement: &str, mut emit: Emit)
where
    Emit: FnMut(u8),
{
    let bytes = statement.as_bytes();
    let mut index = 0;
    let mut previous = b' ';
    while index < bytes.len() {
        let (byte, next) = next_byte(bytes, index, previous);
        index = next;
        let is_repeated = byte == previous && (byte == b' ' || byte == LITERAL);
        if byte == SKIPPED || is_repeated {
            continue;
        }
        emit(byte);
        previous = byte;
    }
}

const LITERAL: u8 = b'?';
const SKIPPED: u8 = 0;

/// Returns the normalized byte for what starts at `index`, a literal, a comment or
/// a single byte, and the index after it.
fn next_byte(bytes: &[u8], index: usize, previous: u8) -> (u8, usize) {
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

/// Keeps a smoothed execution time for each fingerprint.
///
/// Memory is bounded by two generations: when the recent one is full, it replaces
/// the older one, and fingerprints that were last observed before it are removed.
#[derive(Debug, Clone)]
pub struct ExpectedTimes {
    generation_capacity: usize,
    unknown: Duration,
    recent: HashMap<Fingerprint, Duration>,
    older: HashMap<Fingerprint, Duration>,
}

/// A new observation has a weight of one in this many.
const SMOOTHING_DIVISOR: u32 = 8;

impl ExpectedTimes {
    /// Creates an empty collection for at most `capacity` fingerprints, at least
    /// two.
    ///
    /// `unknown` is the expected time of statements that were never observed.
    pub fn new(capacity: usize, unknown: Duration) -> Self {
        let generation = (capacity / 2).max(1);
        Self {
            generation_capacity: generation,
            unknown,
            recent: HashMap::with_capacity(generation),
            older: HashMap::new(),
        }
    }

    /// Returns the expected execution time of a statement.
    pub fn expected(&self, fingerprint: Fingerprint) -> Duration {
        self.observed(fingerprint).unwrap_or(self.unknown)
    }

    /// Returns the smoothed execution time of a statement, if it was observed.
    pub fn observed(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let recent = self.recent.get(&fingerprint);
        recent.or_else(|| self.older.get(&fingerprint)).copied()
    }

    /// Records the execution time of a statement.
    pub fn observe(&mut self, fingerprint: Fingerprint, took: Duration) {
        let smoothed = match self.observed(fingerprint) {
            Some(expected) => (expected * (SMOOTHING_DIVISOR - 1) + took) / SMOOTHING_DIVISOR,
            None => took,
        };
        if self.recent.len() >= self.generation_capacity && !self.recent.contains_key(&fingerprint)
        {
            self.older = std::mem::take(&mut self.recent);
        }
        self.older.remove(&fingerprint);
        self.recent.insert(fingerprint, smoothed);
    }

    /// Returns the number of fingerprints with a recorded time.
    pub fn len(&self) -> usize {
        self.recent.len() + self.older.len()
    }

    /// Returns whether no fingerprint has a recorded time.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
