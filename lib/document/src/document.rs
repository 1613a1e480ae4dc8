//! The document as a whole: all sections merged and validated together.

use std::collections::BTreeMap;

use derive_more::Display;
use masticreel_base::ids::{GroupId, Revision, SectionName};

use crate::error::DocumentError;
use crate::groups::GroupSpec;
use crate::instances::InstanceSpec;
use crate::levels::ServiceLevel;
use crate::policy::Policy;
use crate::rules::StatementRule;
use crate::section::{ParsedSection, SectionContent, SectionText};
use crate::validation;

/// The merged and validated content of all sections at one revision.
///
/// A value of this type has passed validation, so its readers need not check
/// it again. Sections are merged in the order of their names.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Document {
    revision: Revision,
    sections: BTreeMap<SectionName, SectionText>,
    groups: Vec<GroupSpec>,
    rules: Vec<StatementRule>,
    levels: Vec<ServiceLevel>,
    instances: Vec<InstanceSpec>,
    policy: Policy,
}

/// All faults of a document that was refused.
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
    /// Fails with every fault found, so that an operator can mend all at once.
    /// Faults that concern several sections are reported only once each
    /// section is well-formed.
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

    /// Returns the number of the last accepted change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the sections as their teams wrote them.
    pub fn sections(&self) -> &BTreeMap<SectionName, SectionText> {
        &self.sections
    }

    /// Returns the database groups of all sections.
    pub fn groups(&self) -> &[GroupSpec] {
        &self.groups
    }

    /// Returns the group that serves a database name.
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

    /// Returns the instances that are arriving or leaving.
    pub fn instances(&self) -> &[InstanceSpec] {
        &self.instances
    }

    /// Returns the rules prepared for matching.
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
