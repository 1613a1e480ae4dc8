//! The whole document: all sections, merged and validated together.

use std::collections::BTreeMap;

use derive_more::Display;
use masticreel_base::ids::{GroupId, Revision, SectionName};

use crate::edit_id::EditId;
use crate::error::DocumentError;
use crate::groups::GroupSpec;
use crate::instances::InstanceSpec;
use crate::levels::ServiceLevel;
use crate::policy::Policy;
use crate::records::RECENT_EDITS;
use crate::rules::StatementRule;
use crate::section::{ParsedSection, SectionContent, SectionText};
use crate::validation;

/// The merged and validated content of all sections at one revision.
///
/// A value of this type has passed validation, so code that uses it need not
/// check it again. Sections are merged in the order of their names.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Document {
    revision: Revision,
    edits: Vec<EditId>,
    sections: BTreeMap<SectionName, SectionText>,
    groups: Vec<GroupSpec>,
    rules: Vec<StatementRule>,
    levels: Vec<ServiceLevel>,
    instances: Vec<InstanceSpec>,
    policy: Policy,
}

/// All validation errors of a refused document, displayed one per line.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{}", self.lines())]
pub struct DocumentErrors(pub Vec<DocumentError>);

impl std::error::Error for DocumentErrors {}

impl DocumentErrors {
    fn lines(&self) -> String {
        let lines: Vec<String> = self.0.iter().map(DocumentError::to_string).collect();
        lines.join("\n")
    }
}

impl Document {
    /// Merges and validates sections.
    ///
    /// # Errors
    ///
    /// Fails with every error found, so that an operator can correct them all
    /// at once. If a section can't be parsed, only the parse errors are
    /// returned, since validation needs all sections.
    pub fn parse(
        sections: BTreeMap<SectionName, SectionText>,
        revision: Revision,
    ) -> Result<Self, Vec<DocumentError>> {
        let parsed = parse_sections(&sections)?;
        let errors = validation::validate(&parsed);
        if !errors.is_empty() {
            return Err(errors);
        }
        let contents: Vec<SectionContent> =
            parsed.into_iter().map(|section| section.content).collect();
        Ok(Self::merge(contents, sections, revision))
    }

    fn merge(
        contents: Vec<SectionContent>,
        sections: BTreeMap<SectionName, SectionText>,
        revision: Revision,
    ) -> Self {
        let mut document = Self { revision, sections, ..Self::default() };
        for content in contents {
            document.groups.extend(content.groups);
            document.rules.extend(content.rules);
            document.levels.extend(content.levels);
            document.instances.extend(content.instances);
        }
        document.policy = Policy::new(&document.rules);
        document
    }

    /// Adds the ids of the last edits that led to the document, newest first.
    #[must_use]
    pub fn with_edits(mut self, edits: Vec<EditId>) -> Self {
        self.edits = edits;
        self
    }

    /// Returns the ids of the last edits that led to the document, newest first; none
    /// if it came from a version that does not send them.
    pub fn edits(&self) -> &[EditId] {
        &self.edits
    }

    /// Returns whether an edit led to the document, or may have: the ids of old edits
    /// are not kept.
    pub fn may_contain(&self, edit: &EditId) -> bool {
        let is_complete = (1..RECENT_EDITS).contains(&self.edits.len());
        let is_listed_since =
            is_complete || self.edits.last().is_some_and(|oldest| oldest.revision <= edit.revision);
        !is_listed_since || self.edits.contains(edit)
    }

    /// Returns the number of the last accepted edit.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the original texts of the sections by name.
    pub fn sections(&self) -> &BTreeMap<SectionName, SectionText> {
        &self.sections
    }

    /// Returns the database groups of all sections.
    pub fn groups(&self) -> &[GroupSpec] {
        &self.groups
    }

    /// Returns the group that callers reach under a database name.
    pub fn group_of_database(&self, database: &str) -> Option<&GroupSpec> {
        self.groups.iter().find(|group| &*group.database == database)
    }

    /// Returns a group by its name.
    pub fn group(&self, name: &GroupId) -> Option<&GroupSpec> {
        self.groups.iter().find(|group| &group.name == name)
    }

    /// Returns the rules in the order in which they apply.
    pub fn rules(&self) -> &[StatementRule] {
        &self.rules
    }

    /// Returns the service levels.
    pub fn levels(&self) -> &[ServiceLevel] {
        &self.levels
    }

    /// Returns the instances listed as arriving or leaving.
    pub fn instances(&self) -> &[InstanceSpec] {
        &self.instances
    }

    /// Returns the policy that classifies statements by the rules.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }
}

fn parse_sections(
    sections: &BTreeMap<SectionName, SectionText>,
) -> Result<Vec<ParsedSection<'_>>, Vec<DocumentError>> {
    let mut parsed = Vec::new();
    let mut errors = Vec::new();
    for (name, section) in sections {
        match ParsedSection::parse(name, &section.text) {
            Ok(section) => parsed.push(section),
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() { Ok(parsed) } else { Err(errors) }
}
