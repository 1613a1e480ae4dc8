//! Rules that say how statements are to be treated.

use serde::{Deserialize, Serialize};

use crate::class::Class;

/// Overrides the treatment of statements whose text contains a pattern.
///
/// Rules apply in document order and the first that matches wins. Tags in the
/// statement itself (`/*class='urgent'*/`) go before rules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatementRule {
    /// Text that the statement contains, compared without case.
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
