//! The keys of the platform's store that masticreel uses.

use masticreel_base::ids::{Revision, SectionName};

/// Everything that an instance needs to apply the document, in one read.
pub const DOCUMENT_PREFIX: &str = "masticreel/document/";

/// The head of the document; every accepted edit writes it.
pub const HEAD_KEY: &str = "masticreel/document/head";

/// What the system reports back to the operators.
pub const REPORT_PREFIX: &str = "masticreel/report/";

const SECTIONS_PREFIX: &str = "masticreel/document/sections/";

/// Lies outside [`DOCUMENT_PREFIX`], so that instances don't read old texts.
const HISTORY_PREFIX: &str = "masticreel/history/";

/// How many former texts are kept; the slots are used in turn, since the store
/// offers no deletion to its users.
pub const HISTORY_SLOTS: u64 = 512;

/// Returns the key of a report by the writer's place among the few that report.
pub fn report_key(rank: usize) -> String {
    format!("{REPORT_PREFIX}{rank}")
}

/// Returns the key of a section.
pub fn section_key(section: &SectionName) -> String {
    format!("{SECTIONS_PREFIX}{section}")
}

/// Returns the section that a key belongs to, if it belongs to one.
pub fn section_of_key(key: &str) -> Option<SectionName> {
    key.strip_prefix(SECTIONS_PREFIX).map(SectionName::from)
}

/// Returns the key under which the text of a revision is kept for a while.
pub fn history_key(revision: Revision) -> String {
    format!("{HISTORY_PREFIX}{:04}", revision.0 % HISTORY_SLOTS)
}
