//! Validation of all sections together.
//!
//! It checks single values and the rules between sections, such as unique
//! names of groups and addresses of servers. Each error names the section, the
//! line and the key of the value.

use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::Arc;

use masticreel_base::ids::SectionName;

use crate::error::{DocumentError, Problem};
use crate::groups::{GroupSpec, ServerSpec};
use crate::instances::{InstanceIntent, InstanceSpec};
use crate::levels::ServiceLevel;
use crate::rules::StatementRule;
use crate::section::{ParsedSection, is_valid_name};
use crate::toml_source::KeyPath;

/// Connections of each server that are reserved for status polls and promotion, one
/// for each of its observers.
pub const RESERVED_CONNECTIONS: u32 = 3;

/// Returns every error found in the sections.
pub(crate) fn validate(sections: &[ParsedSection<'_>]) -> Vec<DocumentError> {
    let mut validator = Validator::default();
    for section in sections {
        validator.check_section(section);
    }
    validator.errors
}

/// Collects errors, and for each value that must be unique, what declared it first:
/// a group for a database, a server for an address, and a section for all others.
#[derive(Default)]
struct Validator {
    errors: Vec<DocumentError>,
    groups: HashMap<Arc<str>, SectionName>,
    databases: HashMap<Arc<str>, Arc<str>>,
    servers: HashMap<Arc<str>, SectionName>,
    addresses: HashMap<SocketAddr, Arc<str>>,
    rules: HashMap<Arc<str>, SectionName>,
    levels: HashMap<Arc<str>, SectionName>,
    instances: HashMap<Arc<str>, SectionName>,
}

/// The section and key path of the value that is checked.
struct Location<'section, 'text> {
    section: &'section ParsedSection<'text>,
    path: KeyPath,
}

impl Location<'_, '_> {
    fn key(&self, key: &str) -> Self {
        Self { section: self.section, path: self.path.key(key) }
    }

    fn element(&self, key: &str, index: usize) -> Self {
        Self { section: self.section, path: self.path.key(key).index(index) }
    }

    fn error(&self, problem: Problem) -> DocumentError {
        DocumentError {
            section: self.section.name.clone(),
            line: self.section.source.line(&self.path),
            key: self.path.clone(),
            problem,
        }
    }
}

impl Validator {
    fn check_section(&mut self, section: &ParsedSection<'_>) {
        let root = Location { section, path: KeyPath::default() };
        for (index, group) in section.content.groups.iter().enumerate() {
            self.check_group(&root.element("groups", index), group);
        }
        for (index, rule) in section.content.rules.iter().enumerate() {
            self.check_rule(&root.element("rules", index), rule);
        }
        for (index, level) in section.content.levels.iter().enumerate() {
            self.check_level(&root.element("levels", index), level);
        }
        for (index, instance) in section.content.instances.iter().enumerate() {
            self.check_instance(&root.element("instances", index), instance);
        }
    }

    fn check_group(&mut self, location: &Location<'_, '_>, group: &GroupSpec) {
        let name: Arc<str> = group.name.as_str().into();
        self.check_name(&location.key("name"), &name);
        if let Some(other) = earlier_declarer(&mut self.groups, &name, &location.section.name) {
            self.report(&location.key("name"), Problem::DuplicateGroup(name.clone(), other));
        }
        if group.database.is_empty() {
            self.report(&location.key("database"), Problem::EmptyDatabase);
        }
        if let Some(other) = earlier_declarer(&mut self.databases, &group.database, &name) {
            let problem = Problem::DuplicateDatabase(group.database.clone(), other);
            self.report(&location.key("database"), problem);
        }
        if group.servers.is_empty() {
            self.report(&location.key("servers"), Problem::NoServers(name));
            return;
        }
        if group.servers.iter().all(|server| server.leaving) {
            self.report(&location.key("servers"), Problem::AllServersLeaving(name));
        }
        for (index, server) in group.servers.iter().enumerate() {
            self.check_server(&location.element("servers", index), server);
        }
    }

    fn check_server(&mut self, location: &Location<'_, '_>, server: &ServerSpec) {
        let name: Arc<str> = server.name.as_str().into();
        self.check_name(&location.key("name"), &name);
        self.check_name(&location.key("failure_domain"), &server.failure_domain.as_str().into());
        if let Some(other) = earlier_declarer(&mut self.servers, &name, &location.section.name) {
            self.report(&location.key("name"), Problem::DuplicateServer(name.clone(), other));
        }
        if server.address.port() == 0 {
            self.report(&location.key("address"), Problem::NoPort);
        }
        if let Some(other) = earlier_declarer(&mut self.addresses, &server.address, &name) {
            let problem = Problem::DuplicateAddress(server.address, other);
            self.report(&location.key("address"), problem);
        }
        if server.slots == 0 {
            self.report(&location.key("slots"), Problem::NoSlots);
        }
        let needed = server.slots.max(1).saturating_add(RESERVED_CONNECTIONS);
        if server.max_connections < needed {
            self.report(&location.key("max_connections"), Problem::TooFewConnections(needed));
        }
    }

    fn check_rule(&mut self, location: &Location<'_, '_>, rule: &StatementRule) {
        let pattern: Arc<str> = rule.pattern.to_ascii_lowercase().into();
        if pattern.trim().is_empty() {
            self.report(&location.key("pattern"), Problem::EmptyPattern);
        }
        if rule.is_void() {
            self.report(location, Problem::VoidRule);
        }
        if let Some(other) = earlier_declarer(&mut self.rules, &pattern, &location.section.name) {
            self.report(&location.key("pattern"), Problem::DuplicateRule(pattern, other));
        }
    }

    fn check_level(&mut self, location: &Location<'_, '_>, level: &ServiceLevel) {
        self.check_name(&location.key("name"), &level.name);
        if let Some(other) = earlier_declarer(&mut self.levels, &level.name, &location.section.name)
        {
            self.report(&location.key("name"), Problem::DuplicateLevel(level.name.clone(), other));
        }
        if level.latency_ms == 0 {
            self.report(&location.key("latency_ms"), Problem::NoLatency);
        }
        if !(level.objective_percent > 0.0 && level.objective_percent < 100.0) {
            self.report(&location.key("objective_percent"), Problem::Objective);
        }
    }

    fn check_instance(&mut self, location: &Location<'_, '_>, instance: &InstanceSpec) {
        let name: Arc<str> = instance.name.as_str().into();
        self.check_name(&location.key("name"), &name);
        if let Some(other) = earlier_declarer(&mut self.instances, &name, &location.section.name) {
            self.report(&location.key("name"), Problem::DuplicateInstance(name, other));
        }
        if instance.state == InstanceIntent::Arriving && instance.address.is_none() {
            self.report(&location.key("address"), Problem::ArrivingWithoutAddress);
        }
        if instance.address.is_some_and(|address| address.port() == 0) {
            self.report(&location.key("address"), Problem::NoPort);
        }
    }

    fn check_name(&mut self, location: &Location<'_, '_>, name: &Arc<str>) {
        if !is_valid_name(name) {
            self.report(location, Problem::Name(name.clone()));
        }
    }

    fn report(&mut self, location: &Location<'_, '_>, problem: Problem) {
        self.errors.push(location.error(problem));
    }
}

/// Records that `declarer` declares `key`, or returns what declared it earlier.
fn earlier_declarer<Key, Declarer>(
    declarers: &mut HashMap<Key, Declarer>,
    key: &Key,
    declarer: &Declarer,
) -> Option<Declarer>
where
    Key: Clone + Eq + Hash,
    Declarer: Clone,
{
    if let Some(earlier) = declarers.get(key) {
        return Some(earlier.clone());
    }
    declarers.insert(key.clone(), declarer.clone());
    None
}
