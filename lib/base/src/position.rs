//! Positions that stay comparable when the primary changes.

use std::str::FromStr;

use derive_more::Display;
use displaydoc::Display as DisplayDoc;
use serde::{Deserialize, Serialize};

use crate::ids::{LogPosition, Term};

/// A log position together with a term.
///
/// The term is one of two kinds: for the end of a log, the term in which its last
/// entry was written, and otherwise the term in which a server reached the
/// position. Values of different kinds must not be compared with each other.
///
/// The order compares the term first. A position of an older term may name an
/// entry that a promotion discarded, so it never satisfies a minimum position of a
/// newer term. See `docs/design/05-read-your-writes.md`.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{term}/{position}")]
pub struct TermPosition {
    /// The term in which the last entry was written, for the end of a log, or in
    /// which the position was reached.
    pub term: Term,
    /// The number of the last log entry covered.
    pub position: LogPosition,
}

impl TermPosition {
    /// Combines a term and a position.
    pub fn new(term: Term, position: LogPosition) -> Self {
        Self { term, position }
    }
}

/// not a position of the form TERM/POSITION: {0:?}
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub struct ParsePositionError(pub String);

impl std::error::Error for ParsePositionError {}

impl FromStr for TermPosition {
    type Err = ParsePositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParsePositionError(text.to_owned());
        let (term, position) = text.split_once('/').ok_or_else(invalid)?;
        let term = term.parse().map_err(|_| invalid())?;
        let position = position.parse().map_err(|_| invalid())?;
        Ok(Self::new(Term(term), LogPosition(position)))
    }
}
