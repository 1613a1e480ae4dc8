//! Rules that say how statements are to be treated.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::class::Class;

/// Overrides the treatment of statements whose text contains a pattern.
///
/// Rules apply in the order of section names, and within a section in the
/// order of the text. Each trait is decided by the first matching rule that
/// states it. Tags in the statement itself (`/*class='urgent'*/`) go before
/// rules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatementRule {
    /// Text that the statement contains, compared without ASCII case.
    pub pattern: String,
    /// How the statement competes with others.
    #[serde(default)]
    pub class: Option<Class>,
    /// How old the data may be that a read returns, in milliseconds.
    #[serde(default)]
    pub max_staleness_ms: Option<u64>,
    /// Whether the statement may run twice without harm.
    #[serde(default)]
    pub idempotent: Option<bool>,
}

impl StatementRule {
    /// Returns how old the data may be that a read returns.
    pub fn max_staleness(&self) -> Option<Duration> {
        self.max_staleness_ms.map(Duration::from_millis)
    }

    /// Returns whether the rule states no trait at all.
    pub fn is_void(&self) -> bool {
        self.class.is_none() && self.max_staleness_ms.is_none() && self.idempotent.is_none()
    }
}
