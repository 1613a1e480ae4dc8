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

/// The head as it was read.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct StoredHead {
    /// What a conditional write compares.
    pub state: HeadState,
    /// The decoded value.
    pub record: HeadRecord,
}

impl StoredHead {
    /// Decodes the head from the value and the version of its key.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a valid record.
    pub fn decode(version: StoreVersion, value: &[u8]) -> Result<Self, RecordError> {
        let state = HeadState { version, value: value.into() };
        Ok(Self { state, record: decode(HEAD_KEY, value)? })
    }
}

/// The state of the head that a conditional write was prepared for.
///
/// A restored store gives versions out again, so the version alone may belong to two
/// heads. Edits with their random ids make the values differ.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct HeadState {
    /// The store's version of the key; 0 if it does not exist.
    pub version: StoreVersion,
    /// The value as stored; empty if the key does not exist.
    pub value: Arc<[u8]>,
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
    /// The edits that the store lost when it was last restored from a copy; `None`
    /// if it never was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lost: Option<LostEdits>,
}

impl HeadRecord {
    /// Returns the head after an edit is accepted.
    pub fn with_edit(&self, entry: EditEntry) -> Self {
        let revision = entry.revision;
        let recent =
            std::iter::once(entry).chain(self.recent.iter().cloned()).take(RECENT_EDITS).collect();
        Self { revision, recent, lost: self.lost }
    }

    /// Returns the revision that the next edit makes: higher than all that were ever
    /// given out, also by edits that the store lost.
    pub fn next_revision(&self) -> Revision {
        let lost = self.lost.map_or_else(Revision::default, |lost| lost.through);
        self.revision.max(lost).next()
    }

    /// Returns whether the head lists every edit that made this revision or a later
    /// one.
    pub fn lists_edits_since(&self, revision: Revision) -> bool {
        let is_complete = self.recent.len() < RECENT_EDITS;
        is_complete || self.recent.last().is_some_and(|oldest| oldest.revision <= revision)
    }

    /// Returns the ids of the edits that the head lists, newest first.
    pub fn edits(&self) -> Vec<EditId> {
        self.recent.iter().map(|entry| entry.edit.clone()).collect()
    }

    /// Returns the head to be written if the store was restored from a copy older than
    /// the document in force; `None` if it was not.
    ///
    /// The head must come from a linearizable read that started while the document was
    /// in force. Only a restored store can then show a lower revision, or another
    /// edit with the same one. With the returned head, the next edit makes a higher
    /// revision than that in force. If an edit was accepted after the restore already,
    /// the returned head itself has a higher revision, so that the edit takes effect.
    pub fn after_restore(&self, in_force: &Document) -> Option<Self> {
        let through = in_force.revision();
        let has_unseen_edit = self.revision <= through
            && self.recent.first().is_some_and(|newest| !in_force.may_contain(&newest.edit));
        if !has_unseen_edit && self.next_revision() > through {
            return None;
        }
        let kept = self.recent.iter().find(|entry| in_force.may_contain(&entry.edit));
        let after = kept.map_or_else(Revision::default, |entry| entry.revision);
        let revision = if has_unseen_edit { through.next() } else { self.revision };
        let lost = Some(LostEdits { after, through });
        Some(Self { revision, recent: self.recent.clone(), lost })
    }
}

/// The revisions of edits that were accepted, and lost when the store was restored from
/// a copy.
///
/// Instances keep the last of them in force until the next edit is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("revisions {} to {through}", after.next())]
pub struct LostEdits {
    /// The last revision that the copy contains.
    pub after: Revision,
    /// The last revision that was in force.
    pub through: Revision,
}

impl LostEdits {
    /// Returns whether a revision is among the lost ones.
    pub fn contains(&self, revision: Revision) -> bool {
        self.after < revision && revision <= self.through
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
    pub head: StoredHead,
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
                stored.head = StoredHead::decode(version, value)?;
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
        let document = Document::parse(self.texts(), self.head.record.revision)?;
        Ok(document.with_edits(self.head.record.edits()))
    }
}

impl From<&SectionRecord> for SectionText {
    fn from(record: &SectionRecord) -> Self {
        Self { revision: record.revision, text: record.text.clone(), author: record.author.clone() }
    }
}
