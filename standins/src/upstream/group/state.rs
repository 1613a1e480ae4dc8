//! All that changes with a server's part in its group.

use std::net::SocketAddr;
use std::sync::Arc;

use masticreel_base::ids::{LogPosition, Term};
use masticreel_base::position::TermPosition;

use crate::upstream::error::{SqlError, state};
use crate::upstream::log::Log;

/// What the server does in its term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// It commits transactions.
    Primary,
    /// It copies the log of the primary at this address.
    Replica(Option<SocketAddr>),
    /// It does neither.
    Fenced,
}

/// The server's account of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The newest term that it obeyed.
    pub term: Term,
    /// Its role, as the group's interface names it.
    pub role: &'static str,
    /// The term of the last log entry.
    pub log_term: Term,
    /// The last log entry that is durable.
    pub durable: LogPosition,
    /// The last log entry that reads see.
    pub applied: LogPosition,
    /// Which primary it follows.
    pub primary: Option<SocketAddr>,
}

/// A copy of the data that is being built from the log's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rebuild {
    /// The database's number.
    pub generation: u64,
    /// How far it has got.
    pub applied: LogPosition,
    /// Where it replaces the database that serves.
    pub target: LogPosition,
}

/// All that changes with the server's part in its group.
#[derive(Debug)]
pub struct State {
    /// The newest term that it obeyed.
    pub term: Term,
    /// Whose order it obeyed in that term.
    pub claim: Arc<str>,
    /// What it does.
    pub part: Part,
    /// Counts the changes of its part; work that began before one is void.
    pub epoch: u64,
    /// The newest term in which its log was known to be the primary's.
    pub data_term: Term,
    /// Its log.
    pub log: Log,
    /// The last entry in the database that serves.
    pub applied: LogPosition,
    /// The database that shall serve next.
    pub rebuild: Option<Rebuild>,
    /// Whether the log is known to be the start of the followed primary's.
    pub is_copying: bool,
    /// Whether the server's threads shall end.
    pub stopped: bool,
}

impl State {
    /// Returns whether the server's threads shall end.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Returns whether reads of this server fit its term.
    pub fn is_verified(&self) -> bool {
        self.data_term == self.term
    }

    /// Returns the position that reads of the present have seen at most.
    pub fn visible(&self) -> TermPosition {
        TermPosition::new(self.data_term, self.applied)
    }

    /// Returns the server's account of itself.
    ///
    /// A replica whose log is not yet known to be its primary's counts as
    /// fenced, since its positions can't be compared with the primary's.
    pub fn status(&self) -> Status {
        let role = match &self.part {
            Part::Primary => "primary",
            Part::Replica(_) if self.is_verified() => "replica",
            Part::Replica(_) | Part::Fenced => "fenced",
        };
        let primary = match &self.part {
            Part::Replica(primary) => *primary,
            Part::Primary | Part::Fenced => None,
        };
        Status {
            term: self.term,
            role,
            log_term: self.log.last_term(),
            durable: self.log.last(),
            applied: self.applied,
            primary,
        }
    }

    /// Takes up another part; work that began before is void.
    pub fn change_part(&mut self, part: Part) {
        self.part = part;
        self.epoch += 1;
        self.is_copying = false;
        self.log.record_term(self.term, &self.claim, self.data_term);
    }

    /// Describes an order that does not fit.
    pub fn refuse(&self, order: &str, term: Term) -> SqlError {
        let status = self.status();
        SqlError::new(
            state::NOT_IN_PREREQUISITE_STATE,
            format!("{order} {term} refused: the server is {} of term {}", status.role, self.term),
        )
    }
}
