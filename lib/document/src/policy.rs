//! How statements are treated, decided from tags and rules.

use std::time::Duration;

use crate::class::Class;
use crate::rules::StatementRule;

/// What a statement says about itself in its tags.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct StatementTags {
    /// How the statement competes with others.
    pub class: Option<Class>,
    /// How old the data may be that a read returns.
    pub max_staleness: Option<Duration>,
    /// Whether the statement may run twice without harm.
    pub idempotent: Option<bool>,
}

/// How a statement is to be treated.
///
/// The default is the careful one: ordinary class, no staleness, and not to be
/// repeated.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct StatementTraits {
    /// How the statement competes with others.
    pub class: Class,
    /// How old the data may be that a read returns; zero demands the session's floor.
    pub max_staleness: Duration,
    /// Whether the statement may run twice without harm.
    pub idempotent: bool,
}

/// The document's rules, prepared for matching.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Policy {
    rules: Vec<PreparedRule>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct PreparedRule {
    /// The pattern in ASCII lower case, so that each statement is folded once.
    pattern: String,
    states: StatementTags,
}

impl Policy {
    /// Prepares rules for matching, in their order.
    pub fn new<'rules, Rules>(rules: Rules) -> Self
    where
        Rules: IntoIterator<Item = &'rules StatementRule>,
    {
        Self { rules: rules.into_iter().map(PreparedRule::from).collect() }
    }

    /// Decides how a statement is treated: tags first, then rules, then defaults.
    pub fn classify(&self, sql: &str, tags: &StatementTags) -> StatementTraits {
        let mut states = *tags;
        if !self.rules.is_empty() {
            let folded = sql.to_ascii_lowercase();
            for rule in self.rules.iter().filter(|rule| folded.contains(&rule.pattern)) {
                states = states.or(&rule.states);
            }
        }
        StatementTraits {
            class: states.class.unwrap_or_default(),
            max_staleness: states.max_staleness.unwrap_or_default(),
            idempotent: states.idempotent.unwrap_or_default(),
        }
    }
}

impl StatementTags {
    /// Fills what these tags leave open from others.
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
        let states = StatementTags {
            class: rule.class,
            max_staleness: rule.max_staleness(),
            idempotent: rule.idempotent,
        };
        Self { pattern: rule.pattern.to_ascii_lowercase(), states }
    }
}
