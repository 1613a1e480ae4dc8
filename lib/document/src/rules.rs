//! Rules that set the traits of statements.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::class::Class;

/// Sets traits of the statements whose text contains a pattern.
///
/// Rules apply in the order of section names, and within a section in the
/// order of the text. Each trait is decided by the first matching rule that
/// states it. Tags in the statement itself (`/*class='urgent'*/`) take
/// precedence over rules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatementRule {
    /// Text that the statement contains, compared ignoring ASCII case.
    pub pattern: String,
    /// The scheduling class of the statement.
    #[serde(default)]
    pub class: Option<Class>,
    /// The maximum age of the data that a read returns, in milliseconds.
    #[serde(default)]
    pub max_staleness_ms: Option<u64>,
    /// Whether running the statement twice has the same effect as running it once.
    #[serde(default)]
    pub idempotent: Option<bool>,
}

impl StatementRule {
    /// Returns the maximum age of the data that a read returns.
    pub fn max_staleness(&self) -> Option<Duration> {
        self.max_staleness_ms.map(Duration::from_millis)
    }

    /// Returns whether the rule states no trait and so has no effect.
    pub fn is_void(&self) -> bool {
        self.class.is_none() && self.max_staleness_ms.is_none() && self.idempotent.is_none()
    }
}
