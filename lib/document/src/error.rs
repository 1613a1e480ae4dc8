//! Errors in a document and their locations.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use displaydoc::Display as DisplayDoc;
use masticreel_base::ids::SectionName;

use crate::toml_source::{KeyPath, TomlError};

/// An error in the document, with the location that an operator must correct.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("section {section}, line {line}, key {key:?}: {problem}", key = key.to_string())]
pub struct DocumentError {
    /// The section with the error.
    pub section: SectionName,
    /// The line in the section's text, counted from 1.
    pub line: usize,
    /// The key with the error; empty if the error concerns the whole section.
    pub key: KeyPath,
    /// What is wrong.
    pub problem: Problem,
}

impl std::error::Error for DocumentError {}

impl DocumentError {
    pub(crate) fn whole_section(section: &SectionName, problem: Problem) -> Self {
        Self { section: section.clone(), line: 1, key: KeyPath::default(), problem }
    }

    pub(crate) fn from_toml(section: &SectionName, error: TomlError) -> Self {
        Self {
            section: section.clone(),
            line: error.line,
            key: error.key,
            problem: Problem::Syntax(error.message),
        }
    }
}

/// The kinds of errors that parsing and validation find.
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub enum Problem {
    /// {0}
    Syntax(String),
    /// a section's name must have 1 to 64 letters, digits, '-', '_' or '.'
    SectionName,
    /// the section is larger than 400 KiB
    SectionTooLarge,
    /// {0:?} must have 1 to 64 letters, digits, '-', '_' or '.'
    Name(Arc<str>),
    /// group {0} is also in section {1}
    DuplicateGroup(Arc<str>, SectionName),
    /// server {0} is also in section {1}
    DuplicateServer(Arc<str>, SectionName),
    /// address {0} is also given to server {1}
    DuplicateAddress(SocketAddr, Arc<str>),
    /// database {0:?} already belongs to group {1}
    DuplicateDatabase(Arc<str>, Arc<str>),
    /// level {0} is also in section {1}
    DuplicateLevel(Arc<str>, SectionName),
    /// instance {0} is also in section {1}
    DuplicateInstance(Arc<str>, SectionName),
    /// a rule with pattern {0:?} is also in section {1}
    DuplicateRule(Arc<str>, SectionName),
    /// the database name is empty
    EmptyDatabase,
    /// group {0} has no servers
    NoServers(Arc<str>),
    /// all servers of group {0} are leaving
    AllServersLeaving(Arc<str>),
    /// a server needs at least one slot
    NoSlots,
    /// a server needs at least {0} connections: 3 are reserved for control and each slot needs one
    TooFewConnections(u32),
    /// port 0 can't be connected to
    NoPort,
    /// the pattern is empty and would match every statement
    EmptyPattern,
    /// the rule states neither class, max_staleness_ms nor idempotent
    VoidRule,
    /// the latency bound must be above 0
    NoLatency,
    /// the objective must be above 0 and below 100 percent
    Objective,
    /// an arriving instance needs an address
    ArrivingWithoutAddress,
}
