//! One attempt to replace a primary.
//!
//! An attempt fences a majority of the group's servers, promotes the one of them
//! whose log reaches furthest, and makes the others follow it.
//!
//! Safety depends on the servers, which refuse commands of a lower term, and on
//! two rules that this module enforces: the new primary has the furthest log of
//! a fenced majority, and one attempt never promotes two servers. See
//! `docs/design/04-failover.md`.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use masticreel_base::ids::{ServerId, Term};

use crate::server::{ClaimId, Role, ServerStatus};

/// An attempt that has not fenced a majority within this time is abandoned.
pub const FENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// An attempt whose chosen server has not confirmed its promotion within this
/// time is abandoned.
pub const PROMOTE_TIMEOUT: Duration = Duration::from_millis(600);

/// A command to one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerCommand {
    /// The server that the command is sent to.
    pub server: ServerId,
    /// What the server is to do.
    pub kind: ServerCommandKind,
}

/// What a command makes a server do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerCommandKind {
    /// Stop writes and copying, and refuse other claims to this term.
    Fence {
        /// The term claimed.
        term: Term,
        /// The attempt that claims it.
        claim: ClaimId,
    },
    /// Become the primary of the term.
    Promote {
        /// The term claimed.
        term: Term,
        /// The attempt that claimed it.
        claim: ClaimId,
    },
    /// Copy the log of the term's primary.
    Follow {
        /// The primary's term.
        term: Term,
        /// The primary.
        primary: ServerId,
    },
}

/// How a command ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerCommandOutcome {
    /// The server applied the command.
    Done(ServerStatus),
    /// The server refused this command, which changed nothing; an earlier copy of it
    /// may have been applied.
    Refused,
    /// No response arrived in time; the server may have applied the command.
    Lost,
}

/// How far an attempt has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// Waiting for a majority of the group's servers to be fenced.
    Fencing,
    /// Waiting for the chosen server to confirm its promotion.
    Promoting,
    /// The server is the primary of the attempt's term.
    Promoted(ServerId),
    /// The attempt can no longer succeed; its term must not be used again.
    Abandoned,
}

/// The state of one attempt under one claim.
#[derive(Debug, Clone)]
pub struct Promotion {
    servers: Vec<ServerId>,
    old_primary: Option<ServerId>,
    term: Term,
    claim: ClaimId,
    fenced: BTreeMap<ServerId, ServerStatus>,
    chosen: Option<ServerId>,
    progress: Progress,
    deadline: Instant,
    /// Commands whose responses were lost, to be sent again at the next tick.
    without_response: Vec<ServerCommand>,
}

impl Promotion {
    /// Starts an attempt and returns the commands that fence the servers.
    ///
    /// `term` must be above every observed term, and `claim` must never have
    /// been used before. `old_primary`, the one to be replaced, is chosen only if
    /// its log reaches further than those of the other fenced servers.
    pub fn start(
        servers: Vec<ServerId>,
        old_primary: Option<ServerId>,
        term: Term,
        claim: ClaimId,
        now: Instant,
    ) -> (Self, Vec<ServerCommand>) {
        let attempt = Self {
            servers,
            old_primary,
            term,
            claim,
            fenced: BTreeMap::new(),
            chosen: None,
            progress: Progress::Fencing,
            deadline: now + FENCE_TIMEOUT,
            without_response: Vec::new(),
        };
        let commands = attempt.servers.iter().map(|server| attempt.fence(server)).collect();
        (attempt, commands)
    }

    /// Returns how far the attempt has come.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Returns the term that the attempt claims.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the commands without response to send again, or abandons the attempt if
    /// its timeout has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<ServerCommand> {
        if now >= self.deadline {
            self.abandon();
        }
        std::mem::take(&mut self.without_response)
    }

    /// Records how a command ended and returns the next commands.
    pub fn on_outcome(
        &mut self,
        command: &ServerCommand,
        outcome: ServerCommandOutcome,
        now: Instant,
    ) -> Vec<ServerCommand> {
        match (&command.kind, &self.progress) {
            (ServerCommandKind::Fence { term, claim }, Progress::Fencing)
                if *term == self.term && *claim == self.claim =>
            {
                self.on_fence_outcome(&command.server, outcome, now)
            }
            (ServerCommandKind::Promote { term, claim }, Progress::Promoting)
                if *term == self.term && *claim == self.claim =>
            {
                self.on_promote_outcome(command, outcome)
            }
            _ => Vec::new(),
        }
    }

    /// Records a status report and returns the next commands.
    ///
    /// The report may show that a promotion succeeded whose response was lost.
    pub fn on_status(&mut self, server: &ServerId, status: &ServerStatus) -> Vec<ServerCommand> {
        if status.term > self.term {
            self.abandon();
            return Vec::new();
        }
        let promoted = self.progress == Progress::Promoting
            && self.chosen.as_ref() == Some(server)
            && status.term == self.term
            && status.role == Role::Primary;
        if !promoted {
            return Vec::new();
        }
        self.finish(server.clone())
    }

    fn on_fence_outcome(
        &mut self,
        server: &ServerId,
        outcome: ServerCommandOutcome,
        now: Instant,
    ) -> Vec<ServerCommand> {
        match outcome {
            ServerCommandOutcome::Done(status) => {
                self.fenced.insert(server.clone(), status);
                self.promote_furthest(now)
            }
            // The server is at a newer term, or at this one under another claim.
            ServerCommandOutcome::Refused => {
                self.abandon();
                Vec::new()
            }
            ServerCommandOutcome::Lost => {
                self.without_response.push(self.fence(server));
                Vec::new()
            }
        }
    }

    fn promote_furthest(&mut self, now: Instant) -> Vec<ServerCommand> {
        if self.fenced.len() < self.servers.len() / 2 + 1 {
            return Vec::new();
        }
        let preference = |server: &ServerId, status: &ServerStatus| {
            (status.log_end(), self.old_primary.as_ref() != Some(server))
        };
        let furthest = self.fenced.iter().max_by_key(|(server, status)| preference(server, status));
        let Some((chosen, _)) = furthest else {
            return Vec::new();
        };
        let chosen = chosen.clone();
        self.chosen = Some(chosen.clone());
        self.without_response.clear();
        self.progress = Progress::Promoting;
        self.deadline = now + PROMOTE_TIMEOUT;
        let kind = ServerCommandKind::Promote { term: self.term, claim: self.claim.clone() };
        vec![ServerCommand { server: chosen, kind }]
    }

    fn on_promote_outcome(
        &mut self,
        command: &ServerCommand,
        outcome: ServerCommandOutcome,
    ) -> Vec<ServerCommand> {
        match outcome {
            ServerCommandOutcome::Done(_) => self.finish(command.server.clone()),
            ServerCommandOutcome::Lost => {
                self.without_response.push(command.clone());
                Vec::new()
            }
            // If only the response to an earlier command was lost, the server is
            // the primary already and refuses the retry, so the outcome is
            // unknown until the next status report.
            ServerCommandOutcome::Refused => Vec::new(),
        }
    }

    fn finish(&mut self, primary: ServerId) -> Vec<ServerCommand> {
        self.progress = Progress::Promoted(primary.clone());
        let others = self.servers.iter().filter(|server| **server != primary);
        others.map(|server| follow(server, self.term, &primary)).collect()
    }

    fn abandon(&mut self) {
        if matches!(self.progress, Progress::Fencing | Progress::Promoting) {
            self.progress = Progress::Abandoned;
            self.without_response.clear();
        }
    }

    fn fence(&self, server: &ServerId) -> ServerCommand {
        let kind = ServerCommandKind::Fence { term: self.term, claim: self.claim.clone() };
        ServerCommand { server: server.clone(), kind }
    }
}

/// Returns the command that makes a server copy the log of a term's primary.
pub fn follow(server: &ServerId, term: Term, primary: &ServerId) -> ServerCommand {
    ServerCommand {
        server: server.clone(),
        kind: ServerCommandKind::Follow { term, primary: primary.clone() },
    }
}
