//! Replaces a failed primary, and makes servers that missed the replacement follow
//! the new one.
//!
//! [`Failover`] starts a [`Promotion`] when a suspicion, see [`SuspicionTracker`],
//! has lasted for the delay of the instance's rank. Without a suspicion it makes
//! each server that doesn't follow the current primary yet do so (a redirect). Any
//! number of instances may act at once; see `docs/design/04-failover.md`.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use masticreel_base::ids::{Incarnation, InstanceId, ServerId, Term};

use crate::observer::GroupObserver;
use crate::promotion::{Progress, Promotion, ServerCommand, ServerCommandOutcome, follow};
use crate::server::{ClaimId, Role, ServerStatus};
use crate::suspicion::{Finding, SuspicionTracker};

/// An instance of failover rank n waits n times this long before it starts an
/// attempt.
pub const RANK_DELAY: Duration = Duration::from_millis(250);

/// An instance whose attempt failed waits this long, plus the delay of its rank,
/// before it starts the next.
pub const RETRY_DELAY: Duration = Duration::from_millis(150);

/// A server that still doesn't follow the primary gets the command again after
/// this long.
const REDIRECT_INTERVAL: Duration = Duration::from_millis(500);

/// Generates claims that are unique among all attempts of the fleet.
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

/// One instance's part in the failover of one group.
#[derive(Debug, Clone)]
pub struct Failover {
    claims: ClaimSource,
    suspicion: SuspicionTracker,
    attempt: Option<Promotion>,
    highest_claimed: Term,
    next_attempt_at: Option<Instant>,
    redirected_at: BTreeMap<ServerId, Instant>,
}

impl Failover {
    /// Creates the state of a group without a suspicion or an attempt.
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            claims: ClaimSource { instance, incarnation, attempts: 0 },
            suspicion: SuspicionTracker::default(),
            attempt: None,
            highest_claimed: Term::default(),
            next_attempt_at: None,
            redirected_at: BTreeMap::new(),
        }
    }

    /// Records a finding of this or another instance.
    pub fn on_finding(&mut self, finding: Finding, now: Instant) {
        self.suspicion.record(finding, now);
    }

    /// Records a server's status and returns the next commands.
    ///
    /// The observer must have recorded the status before.
    pub fn on_status(&mut self, server: &ServerId, status: &ServerStatus) -> Vec<ServerCommand> {
        match &mut self.attempt {
            Some(attempt) => attempt.on_status(server, status),
            None => Vec::new(),
        }
    }

    /// Records how a command ended and returns the next commands.
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

    /// Returns the progress of the current attempt, if there is one.
    pub fn progress(&self) -> Option<&Progress> {
        self.attempt.as_ref().map(Promotion::progress)
    }

    /// Returns the commands to send now.
    ///
    /// `rank` is this instance's failover rank, its place from 0 among the instances
    /// that may act, or `None` if it must start neither attempts nor redirects.
    pub fn tick(
        &mut self,
        observer: &GroupObserver,
        rank: Option<u32>,
        now: Instant,
    ) -> Vec<ServerCommand> {
        let retries = self.tick_attempt(rank, now);
        let since = self.suspicion.update(observer.term(), now);
        if self.attempt.is_some() {
            return retries;
        }
        let Some(rank) = rank else {
            return Vec::new();
        };
        let Some(since) = since else {
            return self.redirect_to_primary(observer, now);
        };
        let waiting = self.next_attempt_at.is_some_and(|next_attempt_at| now < next_attempt_at);
        if waiting || now < since + RANK_DELAY * rank {
            return Vec::new();
        }
        self.start_attempt(observer, now)
    }

    /// Starts an attempt immediately, whether or not the primary is suspected, and
    /// drops an attempt that is still running.
    pub fn start_attempt(&mut self, observer: &GroupObserver, now: Instant) -> Vec<ServerCommand> {
        let term = observer.term().max(self.highest_claimed).next();
        self.highest_claimed = term;
        let servers = observer.servers().cloned().collect();
        let old_primary = observer.primary().cloned();
        let claim = self.claims.next();
        let (attempt, commands) = Promotion::start(servers, old_primary, term, claim, now);
        self.attempt = Some(attempt);
        commands
    }

    /// Returns the commands to send again, and drops an attempt that has ended.
    fn tick_attempt(&mut self, rank: Option<u32>, now: Instant) -> Vec<ServerCommand> {
        let Some(attempt) = &mut self.attempt else {
            return Vec::new();
        };
        let retries = attempt.tick(now);
        match attempt.progress() {
            Progress::Fencing | Progress::Promoting => {}
            Progress::Promoted(_) => self.attempt = None,
            Progress::Abandoned => {
                self.attempt = None;
                self.next_attempt_at =
                    Some(now + RETRY_DELAY + RANK_DELAY * rank.unwrap_or_default());
            }
        }
        retries
    }

    /// Makes servers of older terms and fenced servers follow the current primary.
    fn redirect_to_primary(
        &mut self,
        observer: &GroupObserver,
        now: Instant,
    ) -> Vec<ServerCommand> {
        let Some(primary) = observer.primary() else {
            return Vec::new();
        };
        let to_redirect: Vec<ServerId> = observer
            .servers()
            .filter(|server| *server != primary && needs_redirect(observer, server))
            .filter(|server| self.is_redirect_due(server, now))
            .cloned()
            .collect();
        for server in &to_redirect {
            self.redirected_at.insert(server.clone(), now);
        }
        to_redirect.iter().map(|server| follow(server, observer.term(), primary)).collect()
    }

    fn is_redirect_due(&self, server: &ServerId, now: Instant) -> bool {
        self.redirected_at
            .get(server)
            .is_none_or(|last| now.saturating_duration_since(*last) >= REDIRECT_INTERVAL)
    }
}

fn needs_redirect(observer: &GroupObserver, server: &ServerId) -> bool {
    let Some(status) = observer.status(server) else {
        return false;
    };
    observer.is_reachable(server) && (status.term < observer.term() || status.role == Role::Fenced)
}
