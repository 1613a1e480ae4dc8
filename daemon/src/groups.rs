//! The database groups of the active document.

use std::sync::Arc;

use masticreel_base::ids::GroupId;
use masticreel_document::document::Document;
use masticreel_document::groups::{GroupSpec, ServerSpec};

use crate::documents::DocumentCell;

/// Looks up groups in the active document.
#[derive(Debug, Clone)]
pub struct Groups {
    document: DocumentCell,
}

impl Groups {
    /// Creates a lookup that always uses the active document.
    pub fn new(document: DocumentCell) -> Self {
        Self { document }
    }

    /// Returns the active document.
    pub fn document(&self) -> Arc<Document> {
        self.document.load_full()
    }

    /// Returns the group that serves a database name.
    pub fn by_database(&self, database: &str) -> Option<GroupSpec> {
        self.document.load().group_of_database(database).cloned()
    }

    /// Returns the group with a name.
    pub fn by_name(&self, name: &GroupId) -> Option<GroupSpec> {
        self.document.load().group(name).cloned()
    }

    /// Returns the server that is assumed to be the group's primary: the first in
    /// the document.
    pub fn primary<'group>(&self, group: &'group GroupSpec) -> Option<&'group ServerSpec> {
        group.servers.first()
    }
}
