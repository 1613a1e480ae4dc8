//! Decides from several observers' findings whether a primary has failed.
//!
//! If only one observer can't reach the primary, requests are routed around the
//! problem and the primary is not replaced. See `docs/design/04-failover.md`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use masticreel_base::ids::{FailureDomain, InstanceId, Term};

use crate::observer::Assessment;

/// A finding counts for this long after it was received.
pub const FINDING_LIFETIME: Duration = Duration::from_millis(400);

/// Number of failure domains in which an observer must report the primary as
/// unseen before it is suspected.
const MIN_REPORTING_DOMAINS: usize = 2;

/// One observer's finding about a group's primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The instance that polls the servers.
    pub observer: InstanceId,
    /// Where the observer runs.
    pub failure_domain: FailureDomain,
    /// The newest term that any server reported to the observer.
    pub term: Term,
    /// The observer's assessment of the primary of that term.
    pub assessment: Assessment,
}

#[derive(Debug, Clone)]
struct ReceivedFinding {
    finding: Finding,
    received_at: Instant,
}

/// Combines the newest finding of each observer of one group, and records since when
/// they have amounted to a suspicion, if they do.
#[derive(Debug, Clone, Default)]
pub struct SuspicionTracker {
    findings: BTreeMap<InstanceId, ReceivedFinding>,
    suspected: Option<SuspectedTerm>,
}

#[derive(Debug, Clone, Copy)]
struct SuspectedTerm {
    term: Term,
    since: Instant,
}

impl SuspicionTracker {
    /// Records a finding of this or another instance.
    pub fn record(&mut self, finding: Finding, now: Instant) {
        let received = ReceivedFinding { finding, received_at: now };
        self.findings.insert(received.finding.observer.clone(), received);
    }

    /// Removes expired findings, and returns since when the primary of a term has been
    /// suspected, or `None` if it is not suspected now.
    ///
    /// The primary is not suspected while any observer reaches both the primary and a
    /// majority of the servers: through that observer writes can still be
    /// acknowledged.
    pub fn update(&mut self, term: Term, now: Instant) -> Option<Instant> {
        self.findings.retain(|_, received| {
            now.saturating_duration_since(received.received_at) <= FINDING_LIFETIME
        });
        if !self.is_suspected(term) {
            self.suspected = None;
            return None;
        }
        let suspected = self
            .suspected
            .filter(|suspected| suspected.term == term)
            .unwrap_or(SuspectedTerm { term, since: now });
        self.suspected = Some(suspected);
        Some(suspected.since)
    }

    fn is_suspected(&self, term: Term) -> bool {
        let findings = || self.findings.values().map(|received| &received.finding);
        let seen_healthy = findings()
            .any(|finding| finding.term >= term && finding.assessment == Assessment::Healthy);
        if seen_healthy {
            return false;
        }
        let domains: BTreeSet<&FailureDomain> = findings()
            .filter(|finding| finding.term == term)
            .filter(|finding| finding.assessment == Assessment::PrimaryUnseen)
            .map(|finding| &finding.failure_domain)
            .collect();
        domains.len() >= MIN_REPORTING_DOMAINS
    }
}
