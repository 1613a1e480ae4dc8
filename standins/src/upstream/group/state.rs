//! The data of a server's membership, and the status that it reports.

use std::net::SocketAddr;
use std::sync::Arc;

use masticreel_base::ids::{LogPosition, Term};
use masticreel_base::position::TermPosition;

use crate::upstream::error::{SqlError, codes};
use crate::upstream::log::Log;

/// The server's role in its term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// It commits transactions.
    Primary,
    /// It receives the log of the primary at this address, if one is given.
    Replica(Option<SocketAddr>),
    /// It neither commits transactions nor receives a log; it only applies the
    /// entries in its log.
    Fenced,
}

/// The status that the server reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The newest term that it accepted.
    pub term: Term,
    /// Its role, as `group_status()` returns it.
    pub role: &'static str,
    /// The term of the last log entry.
    pub log_term: Term,
    /// The last log entry that is durable.
    pub durable: LogPosition,
    /// The last log entry that reads see.
    pub applied: LogPosition,
    /// The primary whose log it receives.
    pub primary: Option<SocketAddr>,
}

/// A database that is being rebuilt from the start of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rebuild {
    /// The database's generation.
    pub generation: u64,
    /// The last entry applied to it.
    pub applied: LogPosition,
    /// The entry at which it replaces the database in use.
    pub target: LogPosition,
}

/// The state of a server in its group; `group` explains the counters.
#[derive(Debug)]
pub struct State {
    /// The newest term that it accepted.
    pub term: Term,
    /// Identifies the fence that set the term, empty if none did; a promotion must
    /// name it again.
    pub claim: Arc<str>,
    /// Its role in that term.
    pub role: Role,
    /// Counts role changes; work that began before the last one is discarded.
    pub role_epoch: u64,
    /// The newest term for which its data was verified to be a prefix of the
    /// primary's log.
    pub data_term: Term,
    /// The log of committed transactions.
    pub log: Log,
    /// The last entry applied to the database in use.
    pub applied: LogPosition,
    /// The database that will replace the one in use.
    pub rebuild: Option<Rebuild>,
    /// Whether the log was verified to be a prefix of the followed primary's.
    pub is_prefix_of_primary: bool,
    /// Whether the server's threads must end.
    pub stopped: bool,
}

impl State {
    /// Returns whether the server's threads must end.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Returns whether the data was verified for the current term.
    pub fn is_verified(&self) -> bool {
        self.data_term == self.term
    }

    /// Returns the newest position that reads can have seen.
    pub fn visible(&self) -> TermPosition {
        TermPosition::new(self.data_term, self.applied)
    }

    /// Returns the status to report.
    ///
    /// A replica whose data is not yet verified is reported as fenced, since its
    /// positions can't be compared with the primary's.
    pub fn status(&self) -> Status {
        let role = match &self.role {
            Role::Primary => "primary",
            Role::Replica(_) if self.is_verified() => "replica",
            Role::Replica(_) | Role::Fenced => "fenced",
        };
        let primary = match &self.role {
            Role::Replica(primary) => *primary,
            Role::Primary | Role::Fenced => None,
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

    /// Changes the role and discards the work that began before.
    pub fn change_role(&mut self, role: Role) {
        self.role = role;
        self.role_epoch += 1;
        self.is_prefix_of_primary = false;
        self.log.record_term(self.term, &self.claim, self.data_term);
    }

    /// Returns the error for a command that the server's state does not allow.
    pub fn refusal(&self, command: &str, term: Term) -> SqlError {
        let status = self.status();
        SqlError::new(
            codes::NOT_IN_PREREQUISITE_STATE,
            format!(
                "{command} {term} refused: the server is {} of term {}",
                status.role, self.term
            ),
        )
    }
}
