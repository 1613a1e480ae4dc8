//! Reads and conditional writes of the document in the platform's store.
//!
//! The document consists of sections, one key each, and of a head, whose key is
//! written by every edit. The history keeps the texts of the last revisions in a
//! fixed number of slots, which later revisions overwrite (see
//! [`masticreel_document::layout`]). A revision numbers the edits of the document;
//! the store's own revision of a key is called its version here.

use displaydoc::Display;
use masticreel_base::ids::Revision;
use masticreel_document::edit::{EditCommit, FenceCommit};
use masticreel_document::layout::{DOCUMENT_PREFIX, HEAD_KEY, history_key, section_key};
use masticreel_document::records::{
    HeadState, HistoryRecord, RecordError, StoreVersion, StoredDocument, StoredHead, decode, encode,
};

use crate::store::{CommitOutcome, Compare, PlatformStore, Put, StoreError};

/// Why the document could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ReadError {
    /// {0}
    Store(StoreError),
    /// {0}
    Record(RecordError),
}

impl std::error::Error for ReadError {}

impl From<StoreError> for ReadError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl From<RecordError> for ReadError {
    fn from(error: RecordError) -> Self {
        Self::Record(error)
    }
}

/// Reads the head and all sections in one call, as a consistent snapshot.
///
/// # Errors
///
/// Fails when the store does not answer or holds an invalid record.
pub fn read_document<Store>(store: &Store) -> Result<StoredDocument, ReadError>
where
    Store: PlatformStore,
{
    let snapshot = store.read_prefix(DOCUMENT_PREFIX)?;
    let entries = snapshot.entries.iter().map(|entry| {
        (entry.key.as_str(), entry.value.as_slice(), StoreVersion(entry.mod_revision))
    });
    Ok(StoredDocument::from_entries(entries)?)
}

/// Reads only the head, as a cheap check for a newer revision.
///
/// Returns the default head if the store has none yet.
///
/// # Errors
///
/// Fails when the store does not answer or holds an invalid record.
pub fn read_head<Store>(store: &Store) -> Result<StoredHead, ReadError>
where
    Store: PlatformStore,
{
    let snapshot = store.read_prefix(HEAD_KEY)?;
    let Some(entry) = snapshot.entries.iter().find(|entry| entry.key == HEAD_KEY) else {
        return Ok(StoredHead::default());
    };
    Ok(StoredHead::decode(StoreVersion(entry.mod_revision), &entry.value)?)
}

/// Reads the record in a revision's history slot, if there is one.
///
/// Slots are reused, so the record may be of a later revision.
///
/// # Errors
///
/// Fails when the store does not answer or holds an invalid record.
pub fn read_history<Store>(
    store: &Store,
    revision: Revision,
) -> Result<Option<HistoryRecord>, ReadError>
where
    Store: PlatformStore,
{
    let key = history_key(revision);
    let snapshot = store.read_prefix(&key)?;
    let entry = snapshot.entries.iter().find(|entry| entry.key == key);
    Ok(entry.map(|entry| decode(&key, &entry.value)).transpose()?)
}

/// Attempts to write an edit, unless its section or the head has changed.
///
/// # Errors
///
/// Fails when the store does not answer; the write may take effect anyway.
pub fn commit_edit<Store>(store: &Store, edit: &EditCommit) -> Result<CommitOutcome, StoreError>
where
    Store: PlatformStore,
{
    let section = section_key(&edit.section);
    let conditions = [
        Compare { key: section.clone(), mod_revision: edit.section_version.0, value: None },
        compare_head(&edit.head_state),
    ];
    let puts = [
        Put { key: section, value: encode(&edit.section_record) },
        Put { key: HEAD_KEY.to_owned(), value: encode(&edit.head) },
        Put { key: history_key(edit.history.entry.revision), value: encode(&edit.history) },
    ];
    store.commit(&conditions, &puts)
}

/// Attempts to invalidate outstanding writes of the document, by rewriting the head
/// unchanged unless it has changed.
///
/// The head gets a new version, so every outstanding write that compares the
/// old version fails.
///
/// # Errors
///
/// Fails when the store does not answer; the write may take effect anyway.
pub fn commit_fence<Store>(store: &Store, fence: &FenceCommit) -> Result<CommitOutcome, StoreError>
where
    Store: PlatformStore,
{
    let put = Put { key: HEAD_KEY.to_owned(), value: encode(&fence.head) };
    store.commit(&[compare_head(&fence.head_state)], &[put])
}

fn compare_head(state: &HeadState) -> Compare {
    let StoreVersion(mod_revision) = state.version;
    let value = (mod_revision != 0).then(|| state.value.to_vec());
    Compare { key: HEAD_KEY.to_owned(), mod_revision, value }
}
