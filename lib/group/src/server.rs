//! The status that a database server reports and the commands that it accepts.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::{Display, FromStr};
use masticreel_base::failure::Failure;
use masticreel_base::ids::{LogPosition, Term};
use masticreel_base::position::TermPosition;
use serde::{Deserialize, Serialize};

/// What a server does in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Role {
    /// Accepts writes in its term.
    Primary,
    /// Copies the log of a primary.
    Replica,
    /// Stopped by [`ServerControl::fence`]: accepts neither writes nor log entries
    /// until it is promoted or made to follow a primary.
    Fenced,
}

/// The status of a server at one moment, as it reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The newest term of a command that the server has accepted.
    pub term: Term,
    /// What the server does in that term.
    pub role: Role,
    /// The term in which the last log entry was written.
    pub log_term: Term,
    /// The last log entry that survives a restart of this server.
    pub durable: LogPosition,
    /// The last log entry that reads can see.
    pub applied: LogPosition,
}

impl ServerStatus {
    /// Returns the end of the log with the term in which its last entry was written,
    /// which makes it comparable among servers.
    pub fn log_end(&self) -> TermPosition {
        TermPosition::new(self.log_term, self.durable)
    }
}

/// Identifies one attempt to replace a primary, so that two attempts can't use
/// the same term.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub struct ClaimId(pub Arc<str>);

/// The commands that a database server of a group accepts.
///
/// A server refuses a command of a term below its own, and one of its own term
/// under another claim, so safety does not depend on who sends commands.
pub trait ServerControl {
    /// Requests the server's status.
    ///
    /// # Errors
    ///
    /// Fails when the server does not respond in time.
    fn status(&mut self) -> Result<ServerStatus, Failure>;

    /// Raises the server's term and stops its writes and its copying.
    ///
    /// # Errors
    ///
    /// Fails when the server is at a newer term or at this term under another
    /// claim, and when it does not respond in time.
    fn fence(&mut self, term: Term, claim: &ClaimId) -> Result<ServerStatus, Failure>;

    /// Makes a fenced server the primary of the term it was fenced to.
    ///
    /// # Errors
    ///
    /// Fails unless the server is fenced to this term under this claim.
    fn promote(&mut self, term: Term, claim: &ClaimId) -> Result<ServerStatus, Failure>;

    /// Makes the server copy the log of the term's primary.
    ///
    /// # Errors
    ///
    /// Fails when the server is at a newer term, or is this term's primary.
    fn follow(&mut self, term: Term, primary: SocketAddr) -> Result<ServerStatus, Failure>;
}
