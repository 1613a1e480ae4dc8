//! Request keys: a retry with the same key returns the first result instead of
//! running the request again.
//!
//! The key is written in the transaction that does the work, so either both are
//! kept or neither is. See `docs/design/06-verdicts.md`.

use std::fmt::Write as _;
use std::sync::Arc;

/// Statement that creates the table of keys if it does not exist yet.
pub const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS masticreel_request_keys (\
     request_key TEXT PRIMARY KEY, \
     fingerprint TEXT NOT NULL, \
     result TEXT, \
     replays INTEGER NOT NULL)";

const UNIQUE_VIOLATION: &str = "23505";
const UNDEFINED_TABLE: &str = "42P01";

/// A request with a request key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRequest {
    /// The key that the caller chose.
    pub key: Arc<str>,
    /// Hash of the statements and their parameters, so that a key isn't reused for
    /// other work. Unlike admission's `Fingerprint`, it depends on literals.
    pub work_hash: u64,
}

/// The outcome of reserving a request key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyReservation {
    /// The key is new: do the work, store its result and commit.
    First,
    /// The key exists, so this is a retry: roll back and read the first result.
    Replay,
    /// The table of keys does not exist yet: roll back, create it and try again.
    NoTable,
    /// The server reported another error.
    Failed,
}

/// What the row of an existing key, which the first attempt wrote, means for a retry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Replay {
    /// The messages of the response to the first attempt.
    Result(Vec<u8>),
    /// The key belongs to other work.
    KeyReused,
    /// The key has no row, or its row is malformed.
    Missing,
}

impl KeyedRequest {
    /// Returns the statement that reserves the key.
    ///
    /// It must be the first in the transaction.
    pub fn reserve_sql(&self) -> String {
        format!(
            "INSERT INTO masticreel_request_keys VALUES ({}, '{:016x}', NULL, 0)",
            literal(&self.key),
            self.work_hash
        )
    }

    /// Interprets the response to the reservation; `sqlstate` is `None` on success.
    pub fn reservation(&self, sqlstate: Option<&str>) -> KeyReservation {
        match sqlstate {
            None => KeyReservation::First,
            Some(UNIQUE_VIOLATION) => KeyReservation::Replay,
            Some(UNDEFINED_TABLE) => KeyReservation::NoTable,
            Some(_) => KeyReservation::Failed,
        }
    }

    /// Returns the statement that stores the response.
    ///
    /// It must be the last in the transaction.
    pub fn store_sql(&self, response: &[u8]) -> String {
        format!(
            "UPDATE masticreel_request_keys SET result = '{}' WHERE request_key = {}",
            hex(response),
            literal(&self.key)
        )
    }

    /// Returns the statements that read the first result, in one transaction.
    ///
    /// The first result may never have been confirmed. The update therefore writes a
    /// log entry in the current term: once that entry is confirmed, so is the first
    /// result.
    pub fn replay_sql(&self) -> [String; 2] {
        let key = literal(&self.key);
        [
            format!(
                "UPDATE masticreel_request_keys SET replays = replays + 1 WHERE request_key = {key}"
            ),
            format!(
                "SELECT fingerprint, result FROM masticreel_request_keys WHERE request_key = {key}"
            ),
        ]
    }

    /// Interprets the row of an existing key, `None` if there is no row.
    pub fn replay(&self, row: Option<&[Option<String>]>) -> Replay {
        let Some([Some(fingerprint), Some(result)]) = row else {
            return Replay::Missing;
        };
        if *fingerprint != format!("{:016x}", self.work_hash) {
            return Replay::KeyReused;
        }
        unhex(result).map_or(Replay::Missing, Replay::Result)
    }
}

fn literal(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) {
        return None;
    }
    let digits = |index: usize| text.get(index..index + 2);
    (0..text.len()).step_by(2).map(|index| u8::from_str_radix(digits(index)?, 16).ok()).collect()
}
