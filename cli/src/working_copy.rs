//! Files in which operators edit a section.
//!
//! The first line names the section and the revision that the edit starts
//! from, so that a change that another team made in between is detected.

use std::sync::Arc;

use masticreel_base::ids::{Revision, SectionName};

const ORIGIN_PREFIX: &str = "# masticreel section ";
const BASE_SEPARATOR: &str = " from revision ";

/// A section's text with the section and revision that it was copied from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkingCopy {
    /// Where the text comes from; `None` if the first line does not name it.
    pub origin: Option<SectionOrigin>,
    /// The section's text without the line that names its origin.
    pub text: Arc<str>,
}

/// Which section an edit changes, and from which revision it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SectionOrigin {
    /// The section.
    pub section: SectionName,
    /// The section's revision that the edit starts from; 0 for a new section.
    pub base: Revision,
}

impl WorkingCopy {
    /// Reads a file's content.
    pub fn parse(content: &str) -> Self {
        let (first, rest) = content.split_once('\n').unwrap_or((content, ""));
        match SectionOrigin::parse(first.trim_end()) {
            Some(origin) => Self { origin: Some(origin), text: rest.into() },
            None => Self { origin: None, text: content.into() },
        }
    }

    /// Returns the file's content.
    pub fn render(&self) -> String {
        match &self.origin {
            Some(SectionOrigin { section, base }) => {
                format!("{ORIGIN_PREFIX}{section}{BASE_SEPARATOR}{base}\n{}", self.text)
            }
            None => self.text.to_string(),
        }
    }
}

impl SectionOrigin {
    fn parse(line: &str) -> Option<Self> {
        let (section, base) = line.strip_prefix(ORIGIN_PREFIX)?.split_once(BASE_SEPARATOR)?;
        Some(Self { section: section.into(), base: Revision(base.parse().ok()?) })
    }
}
