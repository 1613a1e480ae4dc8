//! Classification of statements by their tags and the document's rules.

use std::time::Duration;

use crate::class::Class;
use crate::rules::StatementRule;

/// The traits that a statement's tags or a rule state explicitly; `None` for those
/// that they leave open.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct StatedTraits {
    /// The scheduling class of the statement.
    pub class: Option<Class>,
    /// The maximum age of the data that a read returns.
    pub max_staleness: Option<Duration>,
    /// Whether running the statement twice has the same effect as running it once.
    pub idempotent: Option<bool>,
}

/// The traits that decide how a statement is handled.
///
/// The default is conservative: normal class, no stale data and no retry.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct StatementTraits {
    /// The scheduling class of the statement.
    pub class: Class,
    /// The maximum age of the data that a read returns. With zero, the read sees
    /// all that the session has seen, otherwise at least the session's own writes.
    pub max_staleness: Duration,
    /// Whether running the statement twice has the same effect as running it once.
    pub idempotent: bool,
}

/// The document's rules, prepared for matching.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Policy {
    rules: Vec<PreparedRule>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct PreparedRule {
    /// The pattern in ASCII lower case. The statement is lowercased too, once
    /// for all rules.
    pattern: String,
    stated: StatedTraits,
}

impl Policy {
    /// Prepares rules for matching; earlier rules take precedence.
    pub fn new<'rules, Rules>(rules: Rules) -> Self
    where
        Rules: IntoIterator<Item = &'rules StatementRule>,
    {
        Self { rules: rules.into_iter().map(PreparedRule::from).collect() }
    }

    /// Determines the traits of a statement.
    ///
    /// Tags take precedence over rules, and rules over the defaults.
    pub fn classify(&self, sql: &str, tags: &StatedTraits) -> StatementTraits {
        let mut stated = *tags;
        if !self.rules.is_empty() {
            let lowercased = sql.to_ascii_lowercase();
            for rule in self.rules.iter().filter(|rule| lowercased.contains(&rule.pattern)) {
                stated = stated.or(&rule.stated);
            }
        }
        StatementTraits {
            class: stated.class.unwrap_or_default(),
            max_staleness: stated.max_staleness.unwrap_or_default(),
            idempotent: stated.idempotent.unwrap_or_default(),
        }
    }
}

impl StatedTraits {
    /// Returns these traits, with those that are missing taken from `others`.
    fn or(&self, others: &Self) -> Self {
        Self {
            class: self.class.or(others.class),
            max_staleness: self.max_staleness.or(others.max_staleness),
            idempotent: self.idempotent.or(others.idempotent),
        }
    }
}

impl From<&StatementRule> for PreparedRule {
    fn from(rule: &StatementRule) -> Self {
        let stated = StatedTraits {
            class: rule.class,
            max_staleness: rule.max_staleness(),
            idempotent: rule.idempotent,
        };
        Self { pattern: rule.pattern.to_ascii_lowercase(), stated }
    }
}
