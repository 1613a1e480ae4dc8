//! Chooses the server that is to become the primary.
//!
//! A group whose commits are acknowledged without waiting for replicas may lose the last
//! ones with its primary: there, the replica that has received most is chosen after a
//! short wait. Where commits are acknowledged only once replicas have received them, a
//! server is chosen only if it is known to have all of them, and a replacement waits for
//! such a server for as long as it takes.
//!
//! See "Which server is promoted" in `docs/design/10-platform.md`.

use std::collections::BTreeSet;
use std::time::Duration;

use masticreel_base::ids::{GroupId, ServerId};
use masticreel_base::position::TermPosition;
use slog::warn;

use super::steps::COMMAND_TIMEOUT;
use super::{Replacement, STATUS_LIFETIME, UNFIT_PERIOD};
use crate::coordinator::Coordinator;
use crate::moment::Moment;
use crate::records::GroupRecord;
use crate::store_view::StoreView;

/// How long a replacement waits for a replica to catch up with an old primary that
/// still answers.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long after the start of a replacement the last member has to confirm the end of
/// its work for the old primary to be waited for, which may have more commits than its
/// replicas.
const LATE_CONFIRMATION_TIME: Duration = Duration::from_secs(1);

/// How long no other server has to answer until one with discarded commits is promoted:
/// longer than crashed servers usually take to come back.
const DISCARDED_COMMITS_TIMEOUT: Duration = Duration::from_secs(15);

/// How well a server with all acknowledged commits suits as the next primary; a higher
/// value is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Suitability {
    /// A server with commits that were discarded.
    WithDiscardedCommits,
    /// The old primary, which is shutting down or could not be used a short time ago.
    UnfitOldPrimary,
    /// A replica that is shutting down, and has to be replaced again soon.
    LeavingReplica,
    /// The old primary, which answers again.
    OldPrimary,
    /// A replica that stays.
    Replica,
}

/// Returns whether a group's commits are acknowledged only once a replica has received them.
///
/// Nothing relies on more than one replica with each commit, whatever `sync_replicas` is:
/// its meaning above 1 is not specified, and servers were seen that wait for one then.
pub(super) fn has_sync_replicas(view: &StoreView, group: &GroupId) -> bool {
    let limits = view.document().and_then(|document| document.groups.get(group));
    limits.is_some_and(|limits| limits.sync_replicas > 0)
}

impl Coordinator {
    /// Chooses the server that is to become the primary; returns none while it waits for
    /// answers, for a replica to catch up, or for a server with all acknowledged commits.
    pub(super) fn choose_candidate(
        &self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        record: &GroupRecord,
        replacement: &mut Replacement,
        selecting_since: Moment,
    ) -> Option<ServerId> {
        if let Some(chosen) = &record.candidate
            && replacement.promotion_targets.contains(chosen)
            && !replacement.refused_promotions.contains_key(chosen)
        {
            // A promotion that was requested and not refused may still take effect.
            return Some(chosen.clone());
        }
        if !has_sync_replicas(view, group) {
            return self.choose_most_advanced(
                view,
                now,
                group,
                record,
                replacement,
                selecting_since,
            );
        }
        // A server that has joined just before may have the only copy of a commit.
        if !replacement.is_blocked_in(view) {
            return None;
        }
        let selection = Selection {
            view,
            now,
            group,
            record,
            replacement,
            since: selecting_since,
            handed_over: &self.handed_over,
            is_old_fit: self.position_of_fit_old_primary(view, now, record, replacement).is_some(),
        };
        let bound = selection.acknowledged_bound();
        let chosen = bound.and_then(|bound| selection.best_complete(bound));
        if chosen.is_none()
            && now.since(selecting_since) >= COMMAND_TIMEOUT
            && !std::mem::replace(&mut replacement.is_shortage_logged, true)
        {
            warn!(self.log, "no server is known to have all acknowledged commits, waiting for one";
                "group" => %group, "old" => %record.primary, "epoch" => record.epoch,
                "acknowledged_up_to" => bound.map(|bound| bound.to_string()));
        }
        chosen
    }

    /// Chooses the replica whose received position is highest, or the old primary if that
    /// is ahead of all replicas and may lead again.
    fn choose_most_advanced(
        &self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        record: &GroupRecord,
        replacement: &Replacement,
        selecting_since: Moment,
    ) -> Option<ServerId> {
        let waited = now.since(selecting_since);
        let mut is_complete = true;
        let mut best: Option<(TermPosition, &ServerId)> = None;
        for server in view.servers_of(group) {
            if server.id == record.primary || server.is_leaving {
                continue;
            }
            let was_refused = replacement
                .refused_promotions
                .get(&server.id)
                .is_some_and(|at| now.since(*at) < STATUS_LIFETIME);
            if was_refused {
                continue;
            }
            match replacement.status(&server.id, now) {
                // Its clients would see commits again that others have missed meanwhile.
                Some(status)
                    if record.has_discarded_commits(status.received)
                        && waited < DISCARDED_COMMITS_TIMEOUT => {}
                Some(status) => best = best.max(Some((status.received, &server.id))),
                None => is_complete = false,
            }
        }
        if !is_complete && waited < COMMAND_TIMEOUT {
            return None;
        }
        // Members that could use the old primary until now may have committed there, and
        // what kept this instance from reaching it may have ended with their silence.
        let may_be_ahead = selecting_since.since(replacement.blocked_at) >= LATE_CONFIRMATION_TIME;
        let is_old_unknown = replacement.status(&record.primary, now).is_none()
            && !replacement.is_refusing(&record.primary, now);
        if may_be_ahead && is_old_unknown && waited < COMMAND_TIMEOUT {
            return None;
        }
        // No replica catches up with a primary that has stepped down, so promoting one that
        // is behind it would discard acknowledged commits.
        if let Some(received_by_old) =
            self.position_of_fit_old_primary(view, now, record, replacement)
            && best.is_none_or(|(received, _)| received < received_by_old)
        {
            return Some(record.primary.clone());
        }
        let (received, best) = best?;
        let received_by_old =
            replacement.statuses.get(&record.primary).map(|known| known.status.received);
        let is_behind = received_by_old.is_some_and(|received_by_old| received < received_by_old);
        let old_answers = replacement.status(&record.primary, now).is_some();
        let waits = is_behind && old_answers && waited < CATCH_UP_TIMEOUT;
        (!waits).then(|| best.clone())
    }

    /// Returns the received position of the old primary if it may become the primary
    /// again: it has stepped down and answers now, and is neither leaving nor unfit.
    fn position_of_fit_old_primary(
        &self,
        view: &StoreView,
        now: Moment,
        record: &GroupRecord,
        replacement: &Replacement,
    ) -> Option<TermPosition> {
        let is_unfit = self
            .unfit_primaries
            .get(&record.primary)
            .is_some_and(|since| now.since(*since) < UNFIT_PERIOD);
        let is_staying = view.server(&record.primary).is_some_and(|server| !server.is_leaving);
        let was_refused = replacement.refused_promotions.contains_key(&record.primary);
        if is_unfit || !is_staying || was_refused || !replacement.has_stepped_down {
            return None;
        }
        replacement.status(&record.primary, now).map(|status| status.received)
    }
}

/// What the choice among the servers with all acknowledged commits depends on.
#[derive(Debug)]
struct Selection<'a> {
    view: &'a StoreView,
    now: Moment,
    group: &'a GroupId,
    record: &'a GroupRecord,
    replacement: &'a Replacement,
    /// Since when no instance can use the old primary any more.
    since: Moment,
    /// Servers that have left, and whose commits another server has.
    handed_over: &'a BTreeSet<ServerId>,
    /// Whether the old primary may lead again like any other server.
    is_old_fit: bool,
}

impl Selection<'_> {
    /// Returns a position that no acknowledged commit of the group is above; `None` if too
    /// few servers have answered since no instance can use the old primary any more.
    ///
    /// The log of the old primary contains all acknowledged commits. So do those of all
    /// other servers together. Servers whose entries are missing count among those, as a
    /// crash removes the entry and not the log, unless their commits are known to have been
    /// handed over.
    fn acknowledged_bound(&self) -> Option<TermPosition> {
        let others = self
            .view
            .servers_of(self.group)
            .chain(self.view.missing_servers_of(self.group))
            .filter(|server| server.id != self.record.primary);
        let have_all_answered = others
            .filter(|server| !self.handed_over.contains(&server.id))
            .all(|server| self.received(&server.id).is_some());
        // A server that has answered may have left since.
        let answered = self.replacement.statuses.keys().filter(|id| **id != self.record.primary);
        let of_others = answered.filter_map(|id| self.received(id)).max();
        let of_others = of_others.filter(|_| have_all_answered);
        // Either one is a bound, so the lower one is too.
        [self.received(&self.record.primary), of_others].into_iter().flatten().min()
    }

    /// Returns the position that a server has received, without discarded commits, if it
    /// answered since no instance can use the old primary any more.
    fn received(&self, server: &ServerId) -> Option<TermPosition> {
        let received = self.replacement.received_since(server, self.since)?;
        Some(self.record.surviving_part(received))
    }

    fn has_discarded_commits(&self, server: &ServerId) -> bool {
        self.replacement
            .received_since(server, self.since)
            .is_some_and(|received| self.record.has_discarded_commits(received))
    }

    /// Returns the best server of those that have received a position and are running.
    ///
    /// A server that suits less is chosen only once no better one can be found.
    fn best_complete(&self, bound: TermPosition) -> Option<ServerId> {
        let complete = self.view.servers_of(self.group).filter_map(|server| {
            let received = self.received(&server.id)?;
            let is_running = self.replacement.status(&server.id, self.now).is_some();
            let was_refused = self
                .replacement
                .refused_promotions
                .get(&server.id)
                .is_some_and(|at| self.now.since(*at) < STATUS_LIFETIME);
            let is_old = server.id == self.record.primary;
            let may_still_lead = is_old && !self.replacement.has_stepped_down;
            if received < bound || !is_running || was_refused || may_still_lead {
                return None;
            }
            let suitability = match (is_old, server.is_leaving) {
                _ if self.has_discarded_commits(&server.id) => Suitability::WithDiscardedCommits,
                (true, _) if self.is_old_fit => Suitability::OldPrimary,
                (true, _) => Suitability::UnfitOldPrimary,
                (false, true) => Suitability::LeavingReplica,
                (false, false) => Suitability::Replica,
            };
            Some((suitability, received, &server.id))
        });
        let (suitability, _, best) = complete.max()?;
        let waited = self.now.since(self.since);
        if suitability == Suitability::WithDiscardedCommits && waited < DISCARDED_COMMITS_TIMEOUT {
            return None;
        }
        let all_answered = self.view.servers_of(self.group).all(|server| {
            self.received(&server.id).is_some()
                || self.replacement.is_refusing(&server.id, self.now)
        });
        let may_find_better =
            suitability < Suitability::Replica && !all_answered && waited < COMMAND_TIMEOUT;
        (!may_find_better).then(|| best.clone())
    }
}
