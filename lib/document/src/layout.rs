//! The keys of the document, its history and the reports in the platform's store.

use masticreel_base::ids::{Revision, SectionName};

/// Prefix of all keys that an instance needs to apply the document, so that one
/// read returns them.
pub const DOCUMENT_PREFIX: &str = "masticreel/document/";

/// Key of the head of the document; every accepted edit writes it.
pub const HEAD_KEY: &str = "masticreel/document/head";

/// Prefix of the reports that instances write for operators.
pub const REPORT_PREFIX: &str = "masticreel/report/";

const SECTIONS_PREFIX: &str = "masticreel/document/sections/";

/// Prefix of the history; outside [`DOCUMENT_PREFIX`], so that instances don't
/// read old texts.
const HISTORY_PREFIX: &str = "masticreel/history/";

/// Number of texts kept in the history. Later revisions overwrite them cyclically,
/// since the store offers no deletion to its users.
pub const HISTORY_ENTRIES: u64 = 512;

/// Returns the key of the report that is written by the instance of a reporter rank.
///
/// Only few instances write reports; the rank numbers them.
pub fn report_key(rank: usize) -> String {
    format!("{REPORT_PREFIX}{rank}")
}

/// Returns the key of a section.
pub fn section_key(section: &SectionName) -> String {
    format!("{SECTIONS_PREFIX}{section}")
}

/// Returns the section whose key this is, if it is the key of a section.
pub fn section_of_key(key: &str) -> Option<SectionName> {
    key.strip_prefix(SECTIONS_PREFIX).map(SectionName::from)
}

/// Returns the history key of the text that a revision wrote; the revision
/// [`HISTORY_ENTRIES`] later overwrites it.
pub fn history_key(revision: Revision) -> String {
    format!("{HISTORY_PREFIX}{:04}", revision.0 % HISTORY_ENTRIES)
}
