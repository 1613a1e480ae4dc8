//! Chooses the server that a read is sent to.

use std::time::{Duration, Instant};

use masticreel_base::ids::{FailureDomain, ServerId};
use masticreel_base::position::TermPosition;
use masticreel_group::view::{GroupView, ServerView};

use crate::floors::Floor;

/// What a read requires of the server that answers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadRequirements {
    /// The minimum position that the server must have applied.
    pub floor: TermPosition,
    /// The maximum age of the data, or `None` if only the floor counts.
    pub max_staleness: Option<Duration>,
}

impl ReadRequirements {
    /// Combines a session's floor with the age that the document allows.
    ///
    /// A read that may be stale must still see the session's own writes, but
    /// not all that the session has read before.
    pub fn new(floor: Floor, max_staleness: Duration) -> Self {
        if max_staleness.is_zero() {
            return Self { floor: floor.seen, max_staleness: None };
        }
        Self { floor: floor.written, max_staleness: Some(max_staleness) }
    }

    /// Returns whether a server meets the requirements by its last reported position.
    pub fn are_met_by(&self, server: &ServerView, now: Instant) -> bool {
        server.covers(self.floor) && self.allow_age(server.age(now))
    }

    /// Returns whether a server of a group meets the requirements, also if it is the
    /// primary.
    ///
    /// The primary has applied every position that a session saw in its term, even if
    /// its last report is older.
    pub fn are_met_in(&self, view: &GroupView, server: &ServerId, now: Instant) -> bool {
        let Some(server_view) = view.server(server) else {
            return false;
        };
        if view.primary.as_ref() == Some(server) {
            return view.term >= self.floor.term && self.allow_age(server_view.age(now));
        }
        self.are_met_by(server_view, now)
    }

    fn allow_age(&self, age: Option<Duration>) -> bool {
        self.max_staleness.is_none_or(|allowed| age.is_some_and(|age| age <= allowed))
    }
}

/// Where a read goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadRoute {
    /// To a replica that meets the requirements now.
    Replica(ServerId),
    /// To a replica that is expected to meet the floor within the time that the
    /// read may wait.
    CatchingUpReplica(ServerId),
    /// To the primary.
    Primary(ServerId),
    /// To no server until there is a newer view of the group.
    NoServer,
}

/// A server as the document lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Whether the server is leaving and must get no new work.
    pub leaving: bool,
}

/// Chooses servers for the reads of one instance.
#[derive(Debug, Clone)]
pub struct ReadRouter {
    /// Where the instance runs.
    pub failure_domain: FailureDomain,
    /// How long a read may wait for a replica to catch up.
    pub catch_up_timeout: Duration,
}

impl ReadRouter {
    /// Chooses the server for a read.
    ///
    /// `tie_breaker` may be any number; it selects one of equally good replicas.
    pub fn route(
        &self,
        view: &GroupView,
        candidates: &[Candidate],
        requirements: &ReadRequirements,
        tie_breaker: u64,
        now: Instant,
    ) -> ReadRoute {
        if view.term < requirements.floor.term {
            return ReadRoute::NoServer;
        }
        let replicas = Self::replicas(view, candidates);
        let ready: Vec<&Replica<'_>> =
            replicas.iter().filter(|replica| requirements.are_met_by(replica.view, now)).collect();
        if let Some(replica) = self.pick(&ready, tie_breaker) {
            return ReadRoute::Replica(replica);
        }
        if let Some(replica) = self.least_lagging(view, &replicas, requirements) {
            return ReadRoute::CatchingUpReplica(replica);
        }
        Self::primary(view, requirements, now)
    }

    fn replicas<'a>(view: &'a GroupView, candidates: &'a [Candidate]) -> Vec<Replica<'a>> {
        candidates
            .iter()
            .filter(|candidate| !candidate.leaving)
            .filter(|candidate| view.primary.as_ref() != Some(&candidate.server))
            .filter_map(|candidate| {
                let view = view.server(&candidate.server)?;
                Some(Replica { candidate, view })
            })
            .filter(|replica| replica.view.reachable && replica.view.readable.is_some())
            .collect()
    }

    /// Picks a server in this instance's failure domain, or any if there is none.
    fn pick(&self, ready: &[&Replica<'_>], tie_breaker: u64) -> Option<ServerId> {
        let near: Vec<&&Replica<'_>> = ready
            .iter()
            .filter(|replica| replica.candidate.failure_domain == self.failure_domain)
            .collect();
        let chosen = match near.len() {
            0 => ready.get(index(tie_breaker, ready.len())?)?,
            count => near[index(tie_breaker, count)?],
        };
        Some(chosen.candidate.server.clone())
    }

    /// Returns the replica with the least lag, if it should catch up in time.
    ///
    /// A position that the primary has reached now arrives at a replica after
    /// about the replica's lag.
    fn least_lagging(
        &self,
        view: &GroupView,
        replicas: &[Replica<'_>],
        requirements: &ReadRequirements,
    ) -> Option<ServerId> {
        let limit = requirements
            .max_staleness
            .map_or(self.catch_up_timeout, |age| age.min(self.catch_up_timeout));
        replicas
            .iter()
            .filter_map(|replica| Some((view.lag(replica.view)?, &replica.candidate.server)))
            .filter(|(lag, _)| *lag <= limit && !limit.is_zero())
            .min()
            .map(|(_, server)| server.clone())
    }

    fn primary(view: &GroupView, requirements: &ReadRequirements, now: Instant) -> ReadRoute {
        let Some(primary) = &view.primary else {
            return ReadRoute::NoServer;
        };
        let age = view.server(primary).and_then(|server| server.age(now));
        // The primary has applied every position that a session saw in its term, but
        // only a majority's reports can prove that it still is the primary.
        if requirements.allow_age(age) {
            ReadRoute::Primary(primary.clone())
        } else {
            ReadRoute::NoServer
        }
    }
}

struct Replica<'a> {
    candidate: &'a Candidate,
    view: &'a ServerView,
}

fn index(tie_breaker: u64, count: usize) -> Option<usize> {
    usize::try_from(tie_breaker.checked_rem(count as u64)?).ok()
}
