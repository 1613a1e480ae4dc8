//! Snapshot of what an instance has observed about a database group.

use std::time::{Duration, Instant};

use masticreel_base::ids::{LogPosition, ServerId, Term};
use masticreel_base::position::TermPosition;

/// The end of the primary's log, known to cover every write acknowledged before a
/// moment.
///
/// A majority of the group's servers reported the term in polls that started at or
/// after that moment, so no newer term can have acknowledged anything before it.
/// They confirm the term only: entries up to the position may be on the primary
/// alone. See `docs/design/05-read-your-writes.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmedPosition {
    /// Where the primary's log ended, and the primary's term.
    pub position: TermPosition,
    /// The moment up to which acknowledged writes are covered.
    pub as_of: Instant,
}

/// The observed state of one server of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerView {
    /// The server.
    pub server: ServerId,
    /// Whether the last poll of the server succeeded.
    pub reachable: bool,
    /// The last position that reads on the server see.
    ///
    /// It is `None` if the server is fenced, is not known to be in the newest
    /// term, or has a log that may diverge from the primary's. The position only
    /// grows while the server stays in the term.
    pub readable: Option<TermPosition>,
    /// Every write acknowledged before this moment is visible on the server.
    pub fresh_as_of: Option<Instant>,
}

impl ServerView {
    /// Returns whether reads on the server see every entry up to `floor`, the
    /// minimum position of a read.
    ///
    /// A floor of an older term stands either for an acknowledged write, which
    /// keeps its position under every later primary, or for a read of
    /// unacknowledged data that has been discarded since. In both cases
    /// comparing the position is sufficient.
    pub fn covers(&self, floor: TermPosition) -> bool {
        self.readable.is_some_and(|readable| {
            readable.term >= floor.term && readable.position >= floor.position
        })
    }

    /// Returns an upper bound of the age of the data that reads on the server see.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.fresh_as_of?))
    }
}

/// The observed state of a group at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupView {
    /// The newest term that any server reported.
    pub term: Term,
    /// The primary of the newest term, or `None` until it has been observed.
    pub primary: Option<ServerId>,
    /// The newest position known to cover all writes acknowledged before its `as_of`.
    pub confirmed: Option<ConfirmedPosition>,
    /// The group's servers in document order.
    pub servers: Vec<ServerView>,
}

impl GroupView {
    /// Returns the observed state of a server, if it belongs to the group.
    pub fn server(&self, id: &ServerId) -> Option<&ServerView> {
        self.servers.iter().find(|view| view.server == *id)
    }

    /// Returns the time by which a server's data lags behind the confirmed position.
    pub fn lag(&self, server: &ServerView) -> Option<Duration> {
        let confirmed = self.confirmed?;
        Some(confirmed.as_of.saturating_duration_since(server.fresh_as_of?))
    }

    /// Returns the confirmed position if it covers every write acknowledged
    /// before `requested_at`, the moment at which the position was requested.
    pub fn position_covering(&self, requested_at: Instant) -> Option<TermPosition> {
        self.confirmed
            .filter(|confirmed| confirmed.as_of >= requested_at)
            .map(|confirmed| confirmed.position)
    }

    /// Returns whether this view is newer than another.
    pub fn supersedes(&self, other: &Self) -> bool {
        let key = |view: &Self| (view.term, view.primary.is_some(), as_of(view));
        key(self) > key(other)
    }

    /// Returns the last confirmed position of the primary's log, 0 if there is none.
    pub fn confirmed_end(&self) -> LogPosition {
        self.confirmed.map(|confirmed| confirmed.position.position).unwrap_or_default()
    }
}

fn as_of(view: &GroupView) -> Option<Instant> {
    view.confirmed.map(|confirmed| confirmed.as_of)
}
