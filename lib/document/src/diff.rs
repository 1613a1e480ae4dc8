//! Differences between two texts of a section.

use derive_more::Display;
use similar::TextDiff;

/// Unchanged lines shown before and after each change.
const CONTEXT_LINES: usize = 3;

/// A unified diff, ready to be printed; empty if the texts are equal.
#[derive(Debug, Default, Clone, PartialEq, Eq, Display)]
pub struct SectionDiff(String);

impl SectionDiff {
    /// Compares two texts; the names appear in the diff's header.
    pub fn between(old_name: &str, old: &str, new_name: &str, new: &str) -> Self {
        if old == new {
            return Self::default();
        }
        let diff = TextDiff::from_lines(old, new);
        let text = diff
            .unified_diff()
            .context_radius(CONTEXT_LINES)
            .header(old_name, new_name)
            .to_string();
        Self(text)
    }

    /// Returns whether the texts are equal.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the diff as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
