//! The positions of a session's own commits, which its reads must see.
//!
//! A configuration may lead a database to another group and back, so a session may have commits
//! in several groups. See `docs/incidents/own-commit-in-another-group.md`.

use masticreel_base::ids::{GroupId, LogPosition, Term};
use masticreel_base::position::TermPosition;

/// The most groups of which a session's last commit is kept. Operators rarely lead a database to
/// another group, and each session of thousands keeps these.
pub const MAX_GROUPS: usize = 8;

/// The position of a commit whose position is not known: no replica reaches it, so that only the
/// primary runs reads that must see the commit.
const UNKNOWN_POSITION: TermPosition =
    TermPosition { term: Term(u64::MAX), position: LogPosition(0) };

/// The last commit of a session in each group.
#[derive(Debug, Default)]
pub struct OwnCommits {
    /// The group of the latest commit last.
    by_group: Vec<(GroupId, TermPosition)>,
    /// Whether there were commits in more than [`MAX_GROUPS`] groups.
    has_forgotten: bool,
}

impl OwnCommits {
    /// Records a commit, whose position may be unknown.
    pub fn record(&mut self, group: GroupId, position: Option<TermPosition>) {
        self.by_group.retain(|(known, _)| *known != group);
        if self.by_group.len() == MAX_GROUPS {
            self.by_group.remove(0);
            self.has_forgotten = true;
        }
        self.by_group.push((group, position.unwrap_or(UNKNOWN_POSITION)));
    }

    /// Returns the position that the session's reads in a group must see, none if it has no
    /// commit there.
    ///
    /// Once a group was forgotten, the session may have commits in each that is not kept, so
    /// only the primary runs its reads there.
    pub fn in_group(&self, group: &GroupId) -> Option<TermPosition> {
        let known = self.by_group.iter().find(|(known, _)| known == group);
        known
            .map(|(_, position)| *position)
            .or_else(|| self.has_forgotten.then_some(UNKNOWN_POSITION))
    }
}
