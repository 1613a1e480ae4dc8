//! Derives the state of a group from the status reports of its servers.
//!
//! [`GroupObserver`] keeps the newest report of each server. It derives the
//! newest term with its primary, the confirmed position (see
//! [`ConfirmedPosition`]), and whether the primary seems to have failed.
//! `freshness` keeps earlier confirmed positions, which give the age of a replica's
//! data.

use std::time::{Duration, Instant};

use masticreel_base::ids::{ServerId, Term};
use masticreel_base::position::TermPosition;

use crate::server::{Role, ServerStatus};
use crate::view::{ConfirmedPosition, GroupView, ServerView};
use freshness::FreshnessHistory;

mod freshness;

/// A primary that has not responded for this long is reported as unseen.
pub const PRIMARY_TIMEOUT: Duration = Duration::from_millis(400);

/// The outcome of one poll of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollReport {
    /// The server polled.
    pub server: ServerId,
    /// When the poll started, just before the request was sent.
    pub started_at: Instant,
    /// The response, or `None` if it did not arrive in time.
    pub status: Option<ServerStatus>,
}

/// One observer's assessment of a group's primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Assessment {
    /// The observer recently reached the primary and a majority in its term.
    Healthy,
    /// The observer recently reached a majority, but no primary of the newest
    /// term.
    PrimaryUnseen,
    /// The primary or its term was reported recently, or the reports don't suffice
    /// to decide about the primary.
    Unclear,
}

#[derive(Debug, Clone)]
struct ServerRecord {
    server: ServerId,
    last_poll_at: Option<Instant>,
    reachable: bool,
    status: Option<StatusRecord>,
}

#[derive(Debug, Clone)]
struct StatusRecord {
    status: ServerStatus,
    started_at: Instant,
}

#[derive(Debug, Clone)]
struct PrimaryRecord {
    server: ServerId,
    /// The end of the log that the primary had at its promotion; `None` if no report
    /// from before its first own entry was received.
    inherited_end: Option<TermPosition>,
}

/// Keeps the newest report of each server of one group, as one observer received
/// them.
///
/// The times of all reports must come from one clock.
#[derive(Debug, Clone)]
pub struct GroupObserver {
    records: Vec<ServerRecord>,
    term: Term,
    /// Start of the poll that first reported the term.
    term_since: Instant,
    primary: Option<PrimaryRecord>,
    confirmed: Option<ConfirmedPosition>,
    history: FreshnessHistory,
}

impl GroupObserver {
    /// Creates an observer of servers that have not been polled yet.
    pub fn new<I>(servers: I, now: Instant) -> Self
    where
        I: IntoIterator<Item = ServerId>,
    {
        let records = servers.into_iter().map(ServerRecord::new).collect();
        Self {
            records,
            term: Term::default(),
            term_since: now,
            primary: None,
            confirmed: None,
            history: FreshnessHistory::default(),
        }
    }

    /// Returns the newest term that any server reported.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the primary of the newest term, or `None` until it has reported.
    pub fn primary(&self) -> Option<&ServerId> {
        self.primary.as_ref().map(|primary| &primary.server)
    }

    /// Returns the servers observed, in document order.
    pub fn servers(&self) -> impl Iterator<Item = &ServerId> {
        self.records.iter().map(|record| &record.server)
    }

    /// Returns the last status that a server reported.
    pub fn status(&self, server: &ServerId) -> Option<&ServerStatus> {
        let record = self.records.iter().find(|record| record.server == *server)?;
        record.status.as_ref().map(|report| &report.status)
    }

    /// Returns whether the last poll of a server succeeded.
    pub fn is_reachable(&self, server: &ServerId) -> bool {
        self.records.iter().any(|record| record.server == *server && record.reachable)
    }

    /// Returns whether this observer reaches none of the servers.
    pub fn is_isolated(&self) -> bool {
        self.records.iter().all(|record| !record.reachable)
    }

    /// Returns how many servers are a majority of the group.
    pub fn majority(&self) -> usize {
        self.records.len() / 2 + 1
    }

    /// Records the outcome of a poll.
    ///
    /// It is ignored if a poll of the server that started later was recorded.
    pub fn record(&mut self, report: PollReport) {
        let Some(record) = self.records.iter_mut().find(|record| record.server == report.server)
        else {
            return;
        };
        if record.last_poll_at.is_some_and(|last| last > report.started_at) {
            return;
        }
        record.last_poll_at = Some(report.started_at);
        record.reachable = report.status.is_some();
        let Some(status) = report.status else {
            return;
        };
        record.status =
            Some(StatusRecord { status: status.clone(), started_at: report.started_at });
        self.update_term(&status, report.started_at);
        self.update_primary(&report.server, &status);
        self.update_confirmed();
    }

    fn update_term(&mut self, status: &ServerStatus, started_at: Instant) {
        if status.term <= self.term {
            return;
        }
        self.term = status.term;
        self.term_since = started_at;
        self.primary = None;
    }

    fn update_primary(&mut self, server: &ServerId, status: &ServerStatus) {
        if status.term != self.term {
            return;
        }
        if status.role != Role::Primary {
            self.primary = self.primary.take().filter(|primary| primary.server != *server);
            return;
        }
        let inherited_end = (status.log_term < status.term).then(|| status.log_end());
        match &mut self.primary {
            Some(primary) if primary.server == *server => {
                primary.inherited_end = primary.inherited_end.max(inherited_end);
            }
            _ => self.primary = Some(PrimaryRecord { server: server.clone(), inherited_end }),
        }
    }

    /// Derives the confirmed position again, and keeps it if its moment is newer.
    fn update_confirmed(&mut self) {
        let Some(confirmed) = self.derive_confirmed() else {
            return;
        };
        if self.confirmed.is_some_and(|previous| previous.as_of >= confirmed.as_of) {
            return;
        }
        self.confirmed = Some(confirmed);
        self.history.record(confirmed);
    }

    fn derive_confirmed(&self) -> Option<ConfirmedPosition> {
        let primary = self.current_status(self.primary()?)?;
        let mut starts: Vec<Instant> = self
            .records
            .iter()
            .filter_map(|record| self.in_term(record))
            .map(|report| report.started_at)
            .collect();
        starts.sort_unstable_by(|left, right| right.cmp(left));
        let majority_since = *starts.get(self.majority() - 1)?;
        Some(ConfirmedPosition {
            position: TermPosition::new(self.term, primary.status.durable),
            as_of: majority_since.min(primary.started_at),
        })
    }

    fn current_status(&self, server: &ServerId) -> Option<&StatusRecord> {
        let record = self.records.iter().find(|record| record.server == *server)?;
        self.in_term(record)
    }

    fn in_term<'a>(&self, record: &'a ServerRecord) -> Option<&'a StatusRecord> {
        record.status.as_ref().filter(|report| report.status.term == self.term)
    }

    /// Returns whether a write that the primary committed is on a majority of the
    /// servers and can no longer be lost.
    ///
    /// [`ServerStatus::durable`] in contrast concerns the disk of one server.
    ///
    /// A majority must have reported, in the commit's term, a log that contains
    /// the entry. The term of the log's last entry must be the commit's as well:
    /// a server that has just begun to follow may still hold entries at these
    /// positions that its new primary is about to discard.
    pub fn is_on_majority(&self, commit: TermPosition) -> bool {
        let holders = self
            .records
            .iter()
            .filter_map(|record| record.status.as_ref())
            .filter(|report| log_contains(&report.status, commit))
            .count();
        holders >= self.majority()
    }

    /// Returns whether a position of the current term lies before the primary's own
    /// entries, in the log that it inherited at its promotion.
    ///
    /// A commit that wrote nothing may report such a position; it has no entry
    /// that a majority would need to confirm.
    pub fn is_inherited(&self, position: TermPosition) -> bool {
        let inherited = self.primary.as_ref().and_then(|primary| primary.inherited_end);
        position.term == self.term
            && inherited.is_some_and(|inherited| position.position <= inherited.position)
    }

    /// Assesses the primary by the reports of the last [`PRIMARY_TIMEOUT`].
    pub fn assess(&self, now: Instant) -> Assessment {
        let recent = |moment: Instant| now.saturating_duration_since(moment) <= PRIMARY_TIMEOUT;
        let confirmed = self.confirmed.filter(|confirmed| confirmed.position.term == self.term);
        if confirmed.is_some_and(|confirmed| recent(confirmed.as_of)) {
            return Assessment::Healthy;
        }
        let primary = self.primary().and_then(|server| self.current_status(server));
        if recent(self.term_since) || primary.is_some_and(|report| recent(report.started_at)) {
            return Assessment::Unclear;
        }
        let responding = self
            .records
            .iter()
            .filter_map(|record| record.status.as_ref())
            .filter(|report| recent(report.started_at))
            .count();
        if responding < self.majority() {
            return Assessment::Unclear;
        }
        Assessment::PrimaryUnseen
    }

    /// Returns a snapshot of the observed state.
    pub fn view(&self) -> GroupView {
        GroupView {
            term: self.term,
            primary: self.primary().cloned(),
            confirmed: self.confirmed,
            servers: self.records.iter().map(|record| self.server_view(record)).collect(),
        }
    }

    fn server_view(&self, record: &ServerRecord) -> ServerView {
        let readable = self.readable(record);
        let fresh_as_of = if self.primary() == Some(&record.server) {
            self.confirmed
                .filter(|confirmed| confirmed.position.term == self.term)
                .map(|confirmed| confirmed.as_of)
        } else {
            readable.and_then(|position| self.history.fresh_as_of(position))
        };
        ServerView {
            server: record.server.clone(),
            reachable: record.reachable,
            readable,
            fresh_as_of,
        }
    }

    fn readable(&self, record: &ServerRecord) -> Option<TermPosition> {
        let status = &self.in_term(record)?.status;
        if status.role == Role::Fenced || !self.agrees_with_primary(status) {
            return None;
        }
        Some(TermPosition::new(status.term, status.applied))
    }

    /// Returns whether the log of a server in the newest term is a prefix of the
    /// primary's.
    fn agrees_with_primary(&self, status: &ServerStatus) -> bool {
        if status.log_term == self.term {
            return true;
        }
        let Some(inherited) = self.primary.as_ref().and_then(|primary| primary.inherited_end)
        else {
            return false;
        };
        status.log_term == inherited.term && status.durable <= inherited.position
    }
}

impl ServerRecord {
    fn new(server: ServerId) -> Self {
        Self { server, last_poll_at: None, reachable: false, status: None }
    }
}

fn log_contains(status: &ServerStatus, commit: TermPosition) -> bool {
    status.term == commit.term
        && status.log_term == commit.term
        && status.durable >= commit.position
}
