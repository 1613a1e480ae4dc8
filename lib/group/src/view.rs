//! What an instance knows about a database group, as a value to share.

use std::time::{Duration, Instant};

use masticreel_base::ids::{LogPosition, ServerId, Term};
use masticreel_base::position::TermPosition;

/// A position that covers every write acknowledged before a moment.
///
/// It is known to be valid because a majority of the group's servers reported
/// the term in polls that started at or after that moment, so no newer term can
/// have acknowledged anything before it. See `docs/design/05-read-your-writes.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmedPosition {
    /// Where the primary's log ended.
    pub position: TermPosition,
    /// The moment up to which acknowledged writes are covered.
    pub as_of: Instant,
}

/// What is known about one server of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerView {
    /// The server.
    pub server: ServerId,
    /// Whether the last poll of the server succeeded.
    pub reachable: bool,
    /// What reads on the server see, if its log agrees with the primary's.
    ///
    /// The position only grows while the server stays in the term.
    pub readable: Option<TermPosition>,
    /// Every write acknowledged before this moment is visible on the server.
    pub fresh_as_of: Option<Instant>,
}

impl ServerView {
    /// Returns whether reads on the server see everything up to a floor.
    ///
    /// A floor of an older term names an acknowledged write, which keeps its
    /// position under every later primary, or a read whose unacknowledged data
    /// is gone; in both cases only the position counts.
    pub fn covers(&self, floor: TermPosition) -> bool {
        self.readable.is_some_and(|readable| {
            readable.term >= floor.term && readable.position >= floor.position
        })
    }

    /// Returns an upper bound of the age of what reads on the server see.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.fresh_as_of?))
    }
}

/// What is known about a group at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupView {
    /// The newest term that any server reported.
    pub term: Term,
    /// The primary of the newest term, once it was seen.
    pub primary: Option<ServerId>,
    /// The newest position that covers all acknowledged writes of its moment.
    pub confirmed: Option<ConfirmedPosition>,
    /// The group's servers in document order.
    pub servers: Vec<ServerView>,
}

impl GroupView {
    /// Returns what is known about a server.
    pub fn server(&self, id: &ServerId) -> Option<&ServerView> {
        self.servers.iter().find(|view| view.server == *id)
    }

    /// Returns how far a server's data trails the primary's.
    pub fn lag(&self, server: &ServerView) -> Option<Duration> {
        let confirmed = self.confirmed?;
        Some(confirmed.as_of.saturating_duration_since(server.fresh_as_of?))
    }

    /// Returns the group's position if it covers everything acknowledged before
    /// a question was asked.
    pub fn position_since(&self, asked_at: Instant) -> Option<TermPosition> {
        self.confirmed
            .filter(|confirmed| confirmed.as_of >= asked_at)
            .map(|confirmed| confirmed.position)
    }

    /// Returns whether this view is newer than another.
    pub fn supersedes(&self, other: &Self) -> bool {
        let key = |view: &Self| (view.term, view.primary.is_some(), as_of(view));
        key(self) > key(other)
    }

    /// Returns the end of the primary's log, as far as it is confirmed.
    pub fn confirmed_end(&self) -> LogPosition {
        self.confirmed.map(|confirmed| confirmed.position.position).unwrap_or_default()
    }
}

fn as_of(view: &GroupView) -> Option<Instant> {
    view.confirmed.map(|confirmed| confirmed.as_of)
}
