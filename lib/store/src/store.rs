//! The interface that masticreel requires of the platform's key-value store.

use std::time::Duration;

use displaydoc::Display;

/// A key with its value and the store revision that last changed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// The key as text.
    pub key: String,
    /// The value's bytes.
    pub value: Vec<u8>,
    /// The store's revision at the key's last change.
    pub mod_revision: u64,
}

/// All keys under a prefix at one store revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The store's revision at the time of the read.
    pub revision: u64,
    /// The entries in the order of their keys.
    pub entries: Vec<KeyValue>,
}

/// A condition on a key: it was last changed at this revision, or does not
/// exist if the revision is 0. It may have to hold a value, too, since a store that was
/// restored from a copy gives revisions out again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compare {
    /// The key compared.
    pub key: String,
    /// The expected revision of the key's last change.
    pub mod_revision: u64,
    /// The expected value; `None` if it is not compared.
    pub value: Option<Vec<u8>>,
}

/// A value to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key written.
    pub key: String,
    /// The new value.
    pub value: Vec<u8>,
}

/// Whether a conditional write took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All conditions held and all values were written at this store revision.
    Committed(u64),
    /// A condition did not hold and nothing was written.
    Conflict,
}

/// Why the store did not answer a call.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum StoreError {
    /// the store is unreachable or slow: {0}
    Unavailable(String),
    /// the store's answer can't be understood: {0}
    Protocol(String),
}

impl std::error::Error for StoreError {}

/// The platform's key-value service.
///
/// Every call counts against the service's rate limits, so users of this trait
/// poll rarely and share what they read. A failed [`PlatformStore::commit`] may
/// have taken effect, which only a later read can show.
pub trait PlatformStore: Clone + Send + Sync + 'static {
    /// Reads all keys that start with a prefix.
    ///
    /// # Errors
    ///
    /// Fails when the store is unreachable, does not answer within the timeout
    /// or sends an invalid response.
    fn read_prefix(&self, prefix: &str) -> Result<Snapshot, StoreError>;

    /// Writes all values if all conditions hold.
    ///
    /// # Errors
    ///
    /// Fails when the store is unreachable, does not answer within the timeout
    /// or sends an invalid response; the write may take effect anyway.
    fn commit(&self, conditions: &[Compare], puts: &[Put]) -> Result<CommitOutcome, StoreError>;

    /// Waits until a key that starts with the prefix changes after a store
    /// revision; returns whether one did within the timeout.
    ///
    /// A waiting call counts against the rate limits as one call, which suits a few
    /// instances that wait, not all of them. Instances don't use this today: they
    /// read the store at intervals.
    ///
    /// # Errors
    ///
    /// Fails when the store is unreachable or sends an invalid response. A
    /// connection that is lost while waiting is a failure too, since a change may
    /// have been missed.
    fn wait_for_change(
        &self,
        prefix: &str,
        after_revision: u64,
        timeout: Duration,
    ) -> Result<bool, StoreError>;
}
