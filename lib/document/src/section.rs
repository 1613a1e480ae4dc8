//! Sections: the parts of the document that different teams own.
//!
//! The store holds a [`SectionRecord`](crate::records::SectionRecord), which gives
//! the [`SectionText`] that instances keep. Parsing the text gives a
//! `ParsedSection`: the [`SectionContent`], and the source with the line of each key.

use std::sync::Arc;

use masticreel_base::ids::{Revision, SectionName};
use serde::{Deserialize, Serialize};

use crate::error::{DocumentError, Problem};
use crate::groups::GroupSpec;
use crate::instances::InstanceSpec;
use crate::levels::ServiceLevel;
use crate::rules::StatementRule;
use crate::toml_source::TomlSource;

/// The largest section accepted, in bytes, so that its record stays below the
/// store's limit of a megabyte for a value.
pub const MAX_SECTION_BYTES: usize = 400 * 1024;

/// The longest section name accepted, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The text of a section as its team wrote it, and the last edit of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SectionText {
    /// The document's revision that the section's last edit made.
    pub revision: Revision,
    /// The TOML text.
    pub text: Arc<str>,
    /// Who made the last edit.
    pub author: Arc<str>,
}

/// The parsed content of a section's text.
#[derive(Debug, Default, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SectionContent {
    /// The team that is responsible for the section.
    #[serde(default)]
    pub owner: Option<Arc<str>>,
    /// Database groups.
    #[serde(default)]
    pub groups: Vec<GroupSpec>,
    /// Rules for statements.
    #[serde(default)]
    pub rules: Vec<StatementRule>,
    /// Service levels.
    #[serde(default)]
    pub levels: Vec<ServiceLevel>,
    /// Instances that are arriving or leaving.
    #[serde(default)]
    pub instances: Vec<InstanceSpec>,
}

/// A section's content with its source, which gives the line of each key.
pub(crate) struct ParsedSection<'text> {
    pub(crate) name: SectionName,
    pub(crate) source: TomlSource<'text>,
    pub(crate) content: SectionContent,
}

impl<'text> ParsedSection<'text> {
    pub(crate) fn parse(name: &SectionName, text: &'text str) -> Result<Self, DocumentError> {
        if !is_valid_name(name.as_str()) {
            return Err(DocumentError::whole_section(name, Problem::SectionName));
        }
        if text.len() > MAX_SECTION_BYTES {
            return Err(DocumentError::whole_section(name, Problem::SectionTooLarge));
        }
        match TomlSource::parse(text) {
            Ok((source, content)) => Ok(Self { name: name.clone(), source, content }),
            Err(error) => Err(DocumentError::from_toml(name, error)),
        }
    }
}

/// Returns whether a name can be part of a store key and of a metric label.
pub(crate) fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}
