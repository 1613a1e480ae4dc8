//! The steps of a change of the primary.

use std::time::Duration;

use masticreel_base::ids::{GroupId, InstanceId, ServerId, Term};
use masticreel_base::position::TermPosition;
use slog::info;

use super::{Announcement, Change, ControlFailure, Deposed, STATUS_LIFETIME};
use crate::coordinator::{Coordinator, Purpose, Step};
use crate::moment::Moment;
use crate::peers::PeerMessage;
use crate::protocol::PromotionOrder;
use crate::records::{GroupRecord, MemberRecord, Phase};
use crate::statement::{Command, Role};
use crate::store_view::{StoreView, Versioned};
use crate::trust::ENTITLEMENT_MARGIN;

/// How often a server is asked for its state during a change.
const SURVEY_INTERVAL: Duration = Duration::from_millis(80);
/// How long the survey waits for servers that don't answer.
const SURVEY_PATIENCE: Duration = Duration::from_millis(450);
/// How long a planned change waits for the replica that takes over.
const CATCH_UP_PATIENCE: Duration = Duration::from_millis(1500);
/// How long members have to confirm before a primary whose process is gone is
/// replaced without them.
const CRASH_PATIENCE: Duration = Duration::from_millis(400);
/// How long a new holder waits before its first order, so that no order of the
/// holder before is still on its way: its window and the time-out of the call.
const FIRST_ORDER_DELAY: Duration = Duration::from_millis(1400);
/// The pause between two orders for one change.
const ORDER_PAUSE: Duration = Duration::from_millis(300);
/// The pause between two orders for one change, after one that was accepted:
/// longer than promotions take (1 s at most on the users' sites).
const ACCEPTED_PAUSE: Duration = Duration::from_millis(1500);
/// How long members may finish their work before the old primary is told to
/// step down.
const STEPPING_DELAY: Duration = Duration::from_millis(200);
/// The pause between two messages to a member.
const TELLING_PAUSE: Duration = Duration::from_millis(80);
/// How long members that stopped without the store are told of a new primary.
const ANNOUNCING_TIME: Duration = Duration::from_secs(4);

impl Coordinator {
    pub(in crate::coordinator) fn drive_changes(&mut self, view: &StoreView, now: Moment) {
        let groups: Vec<GroupId> = self.changes.keys().cloned().collect();
        for group in groups {
            let Some(mut change) = self.changes.remove(&group) else {
                continue;
            };
            let is_current = view.group(&group).is_some_and(|record| {
                record.phase == Phase::Changing && record.epoch == change.epoch
            });
            if is_current {
                self.drive(view, now, &group, &mut change);
                self.changes.insert(group, change);
            }
        }
    }

    fn drive(&mut self, view: &StoreView, now: Moment, group: &GroupId, change: &mut Change) {
        let Some(versioned) = view.versioned_group(group).cloned() else {
            return;
        };
        let record = versioned.value.clone();
        let leaving = view.server(&record.primary).is_some_and(|server| server.is_leaving);
        change.is_planned |= leaving;
        self.survey(view, now, group, &record, change);
        self.tell_members(view, now, group, &record, change);
        if let Some(leader) = self.new_leader(view, now, group, &record, change) {
            self.publish(view, now, group, &versioned, change, leader);
            return;
        }
        change.has_stepped_down |=
            change.status(&record.primary, now).is_some_and(|status| status.role == Role::Replica);
        if now.since(change.blocked_at) >= STEPPING_DELAY {
            self.step_down_old(view, now, group, &record, change);
        }
        if !self.is_unused(view, now, group, &record, change) {
            return;
        }
        let surveyed_since = *change.surveyed_since.get_or_insert(now);
        self.step_down_old(view, now, group, &record, change);
        let Some(candidate) = self.candidate(view, now, group, &record, change, surveyed_since)
        else {
            return;
        };
        let pause = if change.is_accepted { ACCEPTED_PAUSE } else { ORDER_PAUSE };
        let is_paused = change.ordered_at.is_some_and(|ordered_at| now.since(ordered_at) < pause);
        let held_for = self.held_since.map_or(Duration::ZERO, |since| now.since(since));
        if is_paused || held_for < FIRST_ORDER_DELAY {
            return;
        }
        let Some((condition, token)) = self.duty_condition(view) else {
            return;
        };
        let is_written = record.candidate.as_ref() == Some(&candidate);
        let is_proved = change.order_allowed_until.is_some_and(|until| now < until);
        if is_written && is_proved {
            change.ordered_at = Some(now);
            change.ordered.insert(candidate.clone());
            change.order_allowed_until = None;
            info!(self.log, "promotion ordered"; "group" => %group, "server" => %candidate,
                "token" => token, "epoch" => change.epoch,
                "blocked_ms_ago" => now.since(change.blocked_at).as_millis());
            self.steps.push(Step::Promote(PromotionOrder {
                group: group.clone(),
                server: candidate,
                holder: self.instance.as_str().into(),
                token,
            }));
            return;
        }
        let chosen = GroupRecord { candidate: Some(candidate), ..record };
        let purpose = Purpose::Choose(group.clone());
        self.write_record(now, purpose, group, &chosen, versioned.revision, condition);
    }

    /// Asks the group's servers for their state.
    fn survey(
        &mut self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        record: &GroupRecord,
        change: &mut Change,
    ) {
        let old = view.last_known(&record.primary).filter(|old| view.server(&old.id).is_none());
        for server in view.servers_of(group).chain(old) {
            let asked_at = change.asked.get(&server.id).copied();
            let is_early =
                now.since(change.blocked_at) < SURVEY_PATIENCE || change.surveyed_since.is_some();
            let interval = if is_early { SURVEY_INTERVAL } else { SURVEY_PATIENCE };
            let is_due = asked_at.is_none_or(|asked_at| now.since(asked_at) >= interval);
            let is_old = server.id == record.primary;
            if !is_due || (is_old && change.surveyed_since.is_some()) {
                continue;
            }
            change.asked.insert(server.id.clone(), now + SURVEY_PATIENCE);
            self.steps.push(Step::Control {
                server: server.id.clone(),
                address: server.address,
                group: group.clone(),
                command: Command::Status,
            });
        }
    }

    /// Returns the server that leads the group already.
    ///
    /// Before an order was given, that is a primary which came back under
    /// another id; afterwards only a server that was ordered to lead, since the
    /// order may still take effect.
    fn new_leader(
        &self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        record: &GroupRecord,
        change: &Change,
    ) -> Option<(ServerId, Term)> {
        let leaders = view.servers_of(group).filter_map(|server| {
            let status = change.status(&server.id, now)?;
            let leads = status.role == Role::Primary && server.id != record.primary;
            leads.then(|| (server.id.clone(), status.term))
        });
        let newest_term = change.newest_term(record);
        if change.ordered.is_empty() && record.candidate.is_none() {
            return leaders.max_by_key(|(_, term)| *term).filter(|(_, term)| *term >= newest_term);
        }
        leaders
            .filter(|(server, _)| {
                change.ordered.contains(server) || record.candidate.as_ref() == Some(server)
            })
            .max_by_key(|(_, term)| *term)
            .filter(|(_, term)| *term >= newest_term)
    }

    /// Returns whether no instance can be using the old primary.
    fn is_unused(
        &self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        record: &GroupRecord,
        change: &Change,
    ) -> bool {
        if now.since(change.blocked_at) >= change.entitlement() + ENTITLEMENT_MARGIN {
            return true;
        }
        if view
            .members()
            .all(|(instance, member)| self.has_stopped(instance, &member.value, group, change, now))
        {
            return true;
        }
        // A process that isn't running can't be used by anyone.
        let is_gone = change.failed.get(&record.primary).is_some_and(|(failure, at)| {
            *failure == ControlFailure::Refused && now.since(*at) < STATUS_LIFETIME
        });
        is_gone && now.since(change.blocked_at) >= CRASH_PATIENCE
    }

    /// Returns whether a member can't be using the old primary.
    fn has_stopped(
        &self,
        instance: &InstanceId,
        member: &MemberRecord,
        group: &GroupId,
        change: &Change,
        now: Moment,
    ) -> bool {
        let is_own = *instance == self.instance
            && self.stopped.get(group).is_some_and(|(epoch, _)| *epoch >= change.epoch);
        is_own
            || member.stopped.iter().any(|(of, epoch)| of == group && *epoch >= change.epoch)
            || change.told_stopped.contains(instance)
            || self.is_silent_for(instance, change.entitlement(), now)
    }

    /// Tells members that have not confirmed yet of a change.
    fn tell_members(
        &mut self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        record: &GroupRecord,
        change: &mut Change,
    ) {
        if now.since(change.told_at) < TELLING_PAUSE {
            return;
        }
        change.told_at = now;
        for (instance, member) in view.members() {
            if self.has_stopped(instance, &member.value, group, change, now) {
                continue;
            }
            if let Some(address) = member.value.address {
                let message = PeerMessage::Record { group: group.clone(), record: record.clone() };
                self.steps.push(Step::Tell(address, message));
            }
        }
    }

    /// Tells members that stopped without the store of the new primary.
    pub(in crate::coordinator) fn announce(&mut self, now: Moment) {
        self.announcements.retain(|known| now.since(known.since) < ANNOUNCING_TIME);
        for known in &mut self.announcements {
            if now.since(known.told_at) < TELLING_PAUSE {
                continue;
            }
            known.told_at = now;
            for address in &known.to {
                let message = PeerMessage::Record {
                    group: known.group.clone(),
                    record: known.record.clone(),
                };
                self.steps.push(Step::Tell(*address, message));
            }
        }
    }

    fn step_down_old(
        &mut self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        record: &GroupRecord,
        change: &mut Change,
    ) {
        let Some(server) = view.last_known(&record.primary) else {
            return;
        };
        let asked_at = change.asked.get(&server.id).copied().unwrap_or_default();
        if now < asked_at {
            return;
        }
        if change.has_stepped_down {
            return;
        }
        change.asked.insert(server.id.clone(), now + SURVEY_PATIENCE);
        let term = Term(change.newest_term(record).0 + 1);
        self.steps.push(Step::Control {
            server: server.id.clone(),
            address: server.address,
            group: group.clone(),
            command: Command::StepDown { term },
        });
    }

    /// Chooses the replica that received most.
    fn candidate(
        &self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        record: &GroupRecord,
        change: &Change,
        surveyed_since: Moment,
    ) -> Option<ServerId> {
        if let Some(chosen) = &record.candidate
            && change.ordered.contains(chosen)
            && !change.unfit.contains_key(chosen)
        {
            // An order that was lost may still take effect.
            return Some(chosen.clone());
        }
        let waited = now.since(surveyed_since);
        let mut is_complete = true;
        let mut best: Option<(TermPosition, &ServerId)> = None;
        for server in view.servers_of(group) {
            if server.id == record.primary || server.is_leaving {
                continue;
            }
            let is_unfit =
                change.unfit.get(&server.id).is_some_and(|at| now.since(*at) < STATUS_LIFETIME);
            if is_unfit {
                continue;
            }
            match change.status(&server.id, now) {
                Some(status) => best = best.max(Some((status.received, &server.id))),
                None => is_complete = false,
            }
        }
        let (received, best) = best?;
        if !is_complete && waited < SURVEY_PATIENCE {
            return None;
        }
        let old = change.known.get(&record.primary).map(|(status, _)| status.received);
        let is_behind = old.is_some_and(|old| received < old);
        let old_answers = change.status(&record.primary, now).is_some();
        let waits = is_behind && old_answers && waited < CATCH_UP_PATIENCE;
        (!waits).then(|| best.clone())
    }

    fn publish(
        &mut self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        versioned: &Versioned<GroupRecord>,
        change: &Change,
        (leader, term): (ServerId, Term),
    ) {
        let record = &versioned.value;
        let Some((condition, _)) = self.duty_condition(view) else {
            return;
        };
        let published = GroupRecord {
            epoch: record.epoch + 1,
            phase: Phase::Serving,
            primary: leader.clone(),
            term,
            candidate: None,
        };
        let deposed =
            Deposed { group: group.clone(), term, since: now, asked_at: Moment::default() };
        self.deposed.insert(record.primary.clone(), deposed);
        let purpose = Purpose::Publish(group.clone());
        if self.write_record(now, purpose, group, &published, versioned.revision, condition) {
            info!(self.log, "primary replaced"; "group" => %group, "old" => %record.primary,
                "primary" => %leader, "term" => %term, "epoch" => published.epoch);
            self.announcements.retain(|known| known.group != *group);
            self.announcements.push(Announcement {
                group: group.clone(),
                record: published,
                to: view
                    .members()
                    .filter(|(instance, _)| change.told_stopped.contains(*instance))
                    .filter_map(|(_, member)| member.value.address)
                    .collect(),
                since: now,
                told_at: Moment::default(),
            });
        }
    }
}
