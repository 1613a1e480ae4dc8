//! The document as instances send it to each other.

use std::collections::BTreeMap;

use masticreel_base::ids::{Revision, SectionName};
use serde::{Deserialize, Serialize};

use crate::document::{Document, DocumentErrors};
use crate::edit_id::EditId;
use crate::section::SectionText;

/// All sections at one revision.
///
/// It carries the original texts instead of the merged content. The receiver
/// parses and validates them again, so that both instances derive the content
/// from the same texts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireDocument {
    /// The number of the last accepted edit.
    pub revision: Revision,
    /// The ids of the last edits, newest first; empty if the sender's version does not
    /// send them.
    #[serde(default)]
    pub edits: Vec<EditId>,
    /// The sections by name.
    pub sections: BTreeMap<SectionName, SectionText>,
}

impl From<&Document> for WireDocument {
    fn from(document: &Document) -> Self {
        Self {
            revision: document.revision(),
            edits: document.edits().to_vec(),
            sections: document.sections().clone(),
        }
    }
}

impl TryFrom<WireDocument> for Document {
    type Error = DocumentErrors;

    fn try_from(wire: WireDocument) -> Result<Self, Self::Error> {
        let document = Self::parse(wire.sections, wire.revision).map_err(DocumentErrors)?;
        Ok(document.with_edits(wire.edits))
    }
}
