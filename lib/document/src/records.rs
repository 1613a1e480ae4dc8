//! The JSON records that the platform's store holds.
//!
//! See `docs/design/08-document.md` for the layout. Unknown fields are passed
//! over, so that clients of two versions can work on one store.

use std::collections::BTreeMap;
use std::sync::Arc;

use derive_more::{Display, From, Into};
use displaydoc::Display as DisplayDoc;
use masticreel_base::ids::{Revision, SectionName};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::edit_id::EditId;
use crate::error::DocumentError;
use crate::layout::{HEAD_KEY, section_of_key};
use crate::section::SectionText;

/// How many edits the head names, newest first.
pub const RECENT_EDITS: usize = 64;

/// The store's own number for the last change of a key; 0 for an absent key.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into,
)]
pub struct StoreVersion(pub u64);

/// A record with the store's number for its last change.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Versioned<Record> {
    /// The store's number for the key's last change.
    pub version: StoreVersion,
    /// What the key holds.
    pub record: Record,
}

/// One section's text with the edit that wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionRecord {
    /// The document's revision that the edit made.
    pub revision: Revision,
    /// The edit that wrote the text.
    pub edit: EditId,
    /// Who made the edit.
    pub author: Arc<str>,
    /// The section's TOML text.
    pub text: Arc<str>,
}

/// The document's revision and the edits that led to it.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// The number of the last accepted edit.
    pub revision: Revision,
    /// The last edits, newest first.
    pub recent: Vec<EditEntry>,
}

impl HeadRecord {
    /// Returns the head that follows when an edit is accepted.
    pub fn with_edit(&self, entry: EditEntry) -> Self {
        let revision = entry.revision;
        let recent =
            std::iter::once(entry).chain(self.recent.iter().cloned()).take(RECENT_EDITS).collect();
        Self { revision, recent }
    }

    /// Returns the edit that made a revision, unless it is too old.
    pub fn edit_of(&self, revision: Revision) -> Option<&EditEntry> {
        self.recent.iter().find(|entry| entry.revision == revision)
    }
}

/// One accepted edit, without its text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditEntry {
    /// The document's revision that the edit made.
    pub revision: Revision,
    /// The attempt that was accepted.
    pub edit: EditId,
    /// The section changed.
    pub section: SectionName,
    /// The revision of the text that the edit replaced; 0 for a new section.
    pub replaces: Revision,
    /// Who made the edit.
    pub author: Arc<str>,
    /// When it was made by the client's clock, in milliseconds since 1970.
    pub edited_at_ms: u64,
}

/// A former text of a section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// The edit that wrote the text.
    pub entry: EditEntry,
    /// The section's TOML text.
    pub text: Arc<str>,
}

/// the store's key {key} holds no valid record: {message}
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub struct RecordError {
    /// The key.
    pub key: String,
    /// What is wrong.
    pub message: String,
}

impl std::error::Error for RecordError {}

/// Reads a record from a key's value.
///
/// # Errors
///
/// Fails when the value is no such record.
pub fn decode<Record>(key: &str, value: &[u8]) -> Result<Record, RecordError>
where
    Record: DeserializeOwned,
{
    serde_json::from_slice(value)
        .map_err(|error| RecordError { key: key.to_owned(), message: error.to_string() })
}

/// Writes a record as a key's value.
pub fn encode<Record>(record: &Record) -> Vec<u8>
where
    Record: Serialize,
{
    serde_json::to_vec(record).expect("records have string keys only")
}

/// The document as the store holds it at one moment.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct StoredDocument {
    /// The head; its default if nothing was ever written.
    pub head: Versioned<HeadRecord>,
    /// The sections by name.
    pub sections: BTreeMap<SectionName, Versioned<SectionRecord>>,
}

impl StoredDocument {
    /// Collects the document from keys, values and the store's versions.
    ///
    /// Keys that are neither the head nor a section are passed over.
    ///
    /// # Errors
    ///
    /// Fails when a value is no valid record.
    pub fn from_entries<'entries, Entries>(entries: Entries) -> Result<Self, RecordError>
    where
        Entries: IntoIterator<Item = (&'entries str, &'entries [u8], StoreVersion)>,
    {
        let mut stored = Self::default();
        for (key, value, version) in entries {
            if key == HEAD_KEY {
                stored.head = Versioned { version, record: decode(key, value)? };
            } else if let Some(section) = section_of_key(key) {
                let record = decode(key, value)?;
                stored.sections.insert(section, Versioned { version, record });
            }
        }
        Ok(stored)
    }

    /// Returns the texts of all sections.
    pub fn texts(&self) -> BTreeMap<SectionName, SectionText> {
        self.sections
            .iter()
            .map(|(name, section)| (name.clone(), SectionText::from(&section.record)))
            .collect()
    }

    /// Merges and validates the sections.
    ///
    /// # Errors
    ///
    /// Fails with every fault found.
    pub fn to_document(&self) -> Result<Document, Vec<DocumentError>> {
        Document::parse(self.texts(), self.head.record.revision)
    }
}

impl From<&SectionRecord> for SectionText {
    fn from(record: &SectionRecord) -> Self {
        Self { revision: record.revision, text: record.text.clone(), author: record.author.clone() }
    }
}
