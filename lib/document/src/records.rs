//! The JSON records of the document in the platform's store.
//!
//! See `docs/design/08-document.md` for the layout. Unknown fields are
//! ignored, so that clients of different versions can use one store.

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

/// The number of recent edits that the head lists, newest first.
pub const RECENT_EDITS: usize = 64;

/// The store's version number of a key; 0 for an absent key.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into,
)]
pub struct StoreVersion(pub u64);

/// A record with the store's version of its key.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Versioned<Record> {
    /// The store's version of the key.
    pub version: StoreVersion,
    /// The decoded value of the key.
    pub record: Record,
}

/// A section's text and the edit that wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionRecord {
    /// The document's revision that the edit made.
    pub revision: Revision,
    /// The attempt that wrote the text.
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
    /// The most recent edits, newest first; at most [`RECENT_EDITS`].
    pub recent: Vec<EditEntry>,
}

impl HeadRecord {
    /// Returns the head after an edit is accepted.
    pub fn with_edit(&self, entry: EditEntry) -> Self {
        let revision = entry.revision;
        let recent =
            std::iter::once(entry).chain(self.recent.iter().cloned()).take(RECENT_EDITS).collect();
        Self { revision, recent }
    }

    /// Returns the edit that made a revision; `None` if the head no longer
    /// lists it.
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
    /// The section that the edit changed.
    pub section: SectionName,
    /// The revision of the text that the edit replaced; 0 for a new section.
    pub replaces: Revision,
    /// Who made the edit.
    pub author: Arc<str>,
    /// When it was made, by the client's clock, in milliseconds since the Unix
    /// epoch.
    pub edited_at_ms: u64,
}

/// The text of a section as one edit wrote it, kept for a limited time.
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
    /// The key in the store.
    pub key: String,
    /// The reason given by the JSON decoder.
    pub message: String,
}

impl std::error::Error for RecordError {}

/// Decodes a record from the value of a key.
///
/// # Errors
///
/// Fails if the value is not a valid record of the expected type.
pub fn decode<Record>(key: &str, value: &[u8]) -> Result<Record, RecordError>
where
    Record: DeserializeOwned,
{
    serde_json::from_slice(value)
        .map_err(|error| RecordError { key: key.to_owned(), message: error.to_string() })
}

/// Encodes a record as the value of a key.
pub fn encode<Record>(record: &Record) -> Vec<u8>
where
    Record: Serialize,
{
    serde_json::to_vec(record).expect("records have string keys only")
}

/// The document as read from the store at one point in time.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct StoredDocument {
    /// The head; the default if no edit was ever accepted.
    pub head: Versioned<HeadRecord>,
    /// The sections by name.
    pub sections: BTreeMap<SectionName, Versioned<SectionRecord>>,
}

impl StoredDocument {
    /// Builds the document from keys, values and the store's versions.
    ///
    /// Keys that are neither the head nor a section are ignored.
    ///
    /// # Errors
    ///
    /// Fails if a value is not a valid record.
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
    /// Fails with every error found, as [`Document::parse`] does.
    pub fn to_document(&self) -> Result<Document, Vec<DocumentError>> {
        Document::parse(self.texts(), self.head.record.revision)
    }
}

impl From<&SectionRecord> for SectionText {
    fn from(record: &SectionRecord) -> Self {
        Self { revision: record.revision, text: record.text.clone(), author: record.author.clone() }
    }
}
