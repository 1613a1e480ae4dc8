//! Replaces a failed primary and repoints servers that missed it.
//!
//! Any number of instances may act at once; see `docs/design/04-failover.md`.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use masticreel_base::ids::{Incarnation, InstanceId, ServerId, Term};

use crate::observer::GroupObserver;
use crate::promotion::{Progress, Promotion, ServerCommand, ServerCommandOutcome, follow};
use crate::server::{ClaimId, Role, ServerStatus};
use crate::suspicion::{Finding, Suspicion};

/// Each place in the order of actors waits this much longer than the one before.
pub const RANK_DELAY: Duration = Duration::from_millis(250);

/// An actor whose attempt failed waits this long, and its turn, before the next.
pub const RETRY_DELAY: Duration = Duration::from_millis(150);

/// A server that doesn't follow is told so again after this long.
const REPAIR_INTERVAL: Duration = Duration::from_millis(500);

/// Makes claims that no other attempt in the fleet ever makes.
#[derive(Debug, Clone, Display)]
#[display("{instance}.{incarnation}.{attempts}")]
struct ClaimSource {
    instance: InstanceId,
    incarnation: Incarnation,
    attempts: u64,
}

impl ClaimSource {
    fn next(&mut self) -> ClaimId {
        self.attempts += 1;
        ClaimId(self.to_string().into())
    }
}

/// The part that one instance takes in the failover of one group.
#[derive(Debug, Clone)]
pub struct Failover {
    claims: ClaimSource,
    suspicion: Suspicion,
    attempt: Option<Promotion>,
    highest_claimed: Term,
    resume_at: Option<Instant>,
    repaired_at: BTreeMap<ServerId, Instant>,
}

impl Failover {
    /// Starts without a suspicion.
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            claims: ClaimSource { instance, incarnation, attempts: 0 },
            suspicion: Suspicion::default(),
            attempt: None,
            highest_claimed: Term::default(),
            resume_at: None,
            repaired_at: BTreeMap::new(),
        }
    }

    /// Takes in an observer's finding, the own ones included.
    pub fn on_finding(&mut self, finding: Finding, now: Instant) {
        self.suspicion.report(finding, now);
    }

    /// Takes in a server's status, after the observer has.
    pub fn on_status(&mut self, server: &ServerId, status: &ServerStatus) -> Vec<ServerCommand> {
        match &mut self.attempt {
            Some(attempt) => attempt.on_status(server, status),
            None => Vec::new(),
        }
    }

    /// Takes in how an order ended.
    pub fn on_outcome(
        &mut self,
        command: &ServerCommand,
        outcome: ServerCommandOutcome,
        now: Instant,
    ) -> Vec<ServerCommand> {
        match &mut self.attempt {
            Some(attempt) => attempt.on_outcome(command, outcome, now),
            None => Vec::new(),
        }
    }

    /// Returns the progress of the attempt under way.
    pub fn progress(&self) -> Option<&Progress> {
        self.attempt.as_ref().map(Promotion::progress)
    }

    /// Returns what is to be ordered now.
    ///
    /// `rank` is this instance's place in the order of actors, from 0, or `None`
    /// if it is not to act.
    pub fn tick(
        &mut self,
        observer: &GroupObserver,
        rank: Option<u32>,
        now: Instant,
    ) -> Vec<ServerCommand> {
        let repeated = self.settle_attempt(rank, now);
        let since = self.suspicion.suspected_since(observer.term(), now);
        if self.attempt.is_some() {
            return repeated;
        }
        let Some(rank) = rank else {
            return Vec::new();
        };
        let Some(since) = since else {
            return self.repair(observer, now);
        };
        let waiting = self.resume_at.is_some_and(|resume_at| now < resume_at);
        if waiting || now < since + RANK_DELAY * rank {
            return Vec::new();
        }
        self.start_attempt(observer, now)
    }

    /// Starts an attempt at once, whatever is suspected.
    pub fn start_attempt(&mut self, observer: &GroupObserver, now: Instant) -> Vec<ServerCommand> {
        let term = observer.term().max(self.highest_claimed).next();
        self.highest_claimed = term;
        let servers = observer.servers().cloned().collect();
        let suspect = observer.primary().cloned();
        let claim = self.claims.next();
        let (attempt, commands) = Promotion::start(servers, suspect, term, claim, now);
        self.attempt = Some(attempt);
        commands
    }

    fn settle_attempt(&mut self, rank: Option<u32>, now: Instant) -> Vec<ServerCommand> {
        let Some(attempt) = &mut self.attempt else {
            return Vec::new();
        };
        let repeated = attempt.tick(now);
        match attempt.progress() {
            Progress::Fencing | Progress::Promoting => {}
            Progress::Promoted(_) => self.attempt = None,
            Progress::Abandoned => {
                self.attempt = None;
                self.resume_at = Some(now + RETRY_DELAY + RANK_DELAY * rank.unwrap_or_default());
            }
        }
        repeated
    }

    /// Repoints servers of older terms and fenced ones to the current primary.
    fn repair(&mut self, observer: &GroupObserver, now: Instant) -> Vec<ServerCommand> {
        let Some(primary) = observer.primary() else {
            return Vec::new();
        };
        let strays: Vec<ServerId> = observer
            .servers()
            .filter(|server| *server != primary && is_stray(observer, server))
            .filter(|server| self.may_repair(server, now))
            .cloned()
            .collect();
        for server in &strays {
            self.repaired_at.insert(server.clone(), now);
        }
        strays.iter().map(|server| follow(server, observer.term(), primary)).collect()
    }

    fn may_repair(&self, server: &ServerId, now: Instant) -> bool {
        self.repaired_at
            .get(server)
            .is_none_or(|last| now.saturating_duration_since(*last) >= REPAIR_INTERVAL)
    }
}

fn is_stray(observer: &GroupObserver, server: &ServerId) -> bool {
    let Some(status) = observer.status(server) else {
        return false;
    };
    observer.is_reachable(server) && (status.term < observer.term() || status.role == Role::Fenced)
}
