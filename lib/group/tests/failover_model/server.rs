//! In-memory model of a server that keeps the contract of `ServerControl`.

use masticreel_base::ids::{LogPosition, Term};
use masticreel_group::promotion::{ServerCommandKind, ServerCommandOutcome};
use masticreel_group::server::{ClaimId, Role, ServerStatus};

/// A log entry: the term in which it was written and a unique number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    pub term: Term,
    pub number: usize,
}

#[derive(Debug, Clone)]
pub struct ModelServer {
    pub term: Term,
    pub role: Role,
    pub log: Vec<Entry>,
    pub applied: usize,
    claim: Option<ClaimId>,
}

impl ModelServer {
    pub fn new(role: Role) -> Self {
        Self { term: Term(1), role, log: Vec::new(), applied: 0, claim: None }
    }

    pub fn status(&self) -> ServerStatus {
        ServerStatus {
            term: self.term,
            role: self.role,
            log_term: self.log.last().map(|entry| entry.term).unwrap_or_default(),
            durable: LogPosition(self.log.len() as u64),
            applied: LogPosition(self.applied as u64),
        }
    }

    pub fn execute(&mut self, command: &ServerCommandKind) -> ServerCommandOutcome {
        let accepted = match command {
            ServerCommandKind::Fence { term, claim } => self.fence(*term, claim),
            ServerCommandKind::Promote { term, claim } => self.promote(*term, claim),
            ServerCommandKind::Follow { term, .. } => self.follow(*term),
        };
        if accepted {
            ServerCommandOutcome::Done(self.status())
        } else {
            ServerCommandOutcome::Refused
        }
    }

    fn fence(&mut self, term: Term, claim: &ClaimId) -> bool {
        let same_claim = term == self.term && self.claim.as_ref() == Some(claim);
        if term <= self.term && !same_claim {
            return false;
        }
        self.term = term;
        self.claim = Some(claim.clone());
        self.role = Role::Fenced;
        true
    }

    fn promote(&mut self, term: Term, claim: &ClaimId) -> bool {
        let claimed = self.term == term && self.claim.as_ref() == Some(claim);
        if self.role != Role::Fenced || !claimed {
            return false;
        }
        self.role = Role::Primary;
        self.applied = self.log.len();
        true
    }

    fn follow(&mut self, term: Term) -> bool {
        let is_primary = self.role == Role::Primary && self.term == term;
        if term < self.term || is_primary {
            return false;
        }
        if term > self.term {
            self.claim = None;
        }
        self.term = term;
        self.role = Role::Replica;
        true
    }

    /// Appends an entry and returns its position, or `None` if the server is not
    /// a primary.
    pub fn write(&mut self, number: usize) -> Option<usize> {
        if self.role != Role::Primary {
            return None;
        }
        self.log.push(Entry { term: self.term, number });
        self.applied = self.log.len();
        Some(self.log.len())
    }

    /// Discards entries that diverge from the primary's log and copies one entry.
    pub fn copy_from(&mut self, primary: &ModelServer) {
        let same_term = primary.term == self.term && primary.role == Role::Primary;
        if self.role != Role::Replica || !same_term {
            return;
        }
        let pairs = self.log.iter().zip(&primary.log);
        let common = pairs.take_while(|(own, other)| own == other).count();
        self.log.truncate(common);
        self.applied = self.applied.min(common);
        self.log.extend(primary.log.get(common));
    }

    pub fn apply(&mut self) {
        if self.role != Role::Fenced {
            self.applied = (self.applied + 1).min(self.log.len());
        }
    }
}
