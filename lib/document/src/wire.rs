//! The document as instances send it to each other.

use std::collections::BTreeMap;

use masticreel_base::ids::{Revision, SectionName};
use serde::{Deserialize, Serialize};

use crate::document::{Document, DocumentErrors};
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
    /// The sections by name.
    pub sections: BTreeMap<SectionName, SectionText>,
}

impl From<&Document> for WireDocument {
    fn from(document: &Document) -> Self {
        Self { revision: document.revision(), sections: document.sections().clone() }
    }
}

impl TryFrom<WireDocument> for Document {
    type Error = DocumentErrors;

    fn try_from(wire: WireDocument) -> Result<Self, Self::Error> {
        Self::parse(wire.sections, wire.revision).map_err(DocumentErrors)
    }
}
