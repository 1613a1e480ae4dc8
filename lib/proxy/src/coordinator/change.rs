//! How the holder of the duty replaces a primary.
//!
//! First a record says that nobody may use the primary. When every member has
//! confirmed that its work there has ended, or can't be entitled any more, the
//! replica that received most is chosen, written down and ordered to lead. Once
//! it leads, a record lets it be used. See `docs/design/10-platform.md`.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use masticreel_base::ids::{GroupId, InstanceId, ServerId, Term};
use masticreel_base::position::TermPosition;
use slog::{info, warn};

use crate::coordinator::{Coordinator, Purpose, Step};
use crate::moment::Moment;
use crate::peers::PeerMessage;
use crate::protocol::{PromoterAnswer, PromotionOrder};
use crate::records::{
    DoubtKind, GroupRecord, MemberRecord, Phase, StoreAnswer, StoreCall, Write, group_key,
};
use crate::statement::{Command, Role, ServerStatus};
use crate::store_view::{StoreView, Versioned};
use crate::trust::{ENTITLEMENT, ENTITLEMENT_MARGIN, FRESHNESS};

/// How often a server is asked for its state during a change.
const SURVEY_INTERVAL: Duration = Duration::from_millis(80);
/// How long the survey waits for servers that don't answer.
const SURVEY_PATIENCE: Duration = Duration::from_millis(450);
/// How long a planned change waits for the replica that takes over.
const CATCH_UP_PATIENCE: Duration = Duration::from_millis(1500);
/// How long members have to confirm before a primary whose process is gone is
/// replaced without them.
const CRASH_PATIENCE: Duration = Duration::from_millis(400);
/// How old a server's answer may be to count in a change.
const STATUS_LIFETIME: Duration = Duration::from_millis(1000);
/// How long after a proof of the duty an order may be sent.
const ORDER_WINDOW: Duration = Duration::from_millis(400);
/// How long a new holder waits before its first order, so that no order of the
/// holder before is still on its way: its window and the time-out of the call.
const FIRST_ORDER_DELAY: Duration = Duration::from_millis(1400);
/// The pause between two orders for one change, after one that was accepted:
/// longer than promotions take (1 s at most on the users' sites).
const ACCEPTED_PAUSE: Duration = Duration::from_millis(1500);
/// The pause between two orders for one change.
const ORDER_PAUSE: Duration = Duration::from_millis(300);
/// How long a server's entry may be missing before its primary is replaced;
/// entries come back within two seconds after an outage of the store.
const ABSENCE_PATIENCE: Duration = Duration::from_millis(2500);
/// How long doubts are ignored after a change.
const SETTLING_TIME: Duration = Duration::from_millis(700);
/// How long members may finish their work before the old primary is told to
/// step down.
const STEPPING_DELAY: Duration = Duration::from_millis(200);
/// The pause between two messages to a member.
const TELLING_PAUSE: Duration = Duration::from_millis(80);
/// How long members that stopped without the store are told of a new primary.
const ANNOUNCING_TIME: Duration = Duration::from_secs(4);
/// How long a replaced primary is told to step down.
const DEPOSING_TIME: Duration = Duration::from_secs(10);
/// The pause between two such commands.
const DEPOSING_PAUSE: Duration = Duration::from_millis(300);

/// Why a server did not answer a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlFailure {
    /// Nothing listens at its address.
    Refused,
    /// Nothing answered in time.
    Silent,
    /// It answered, but not what was asked.
    Rejected,
}

/// A primary that was replaced and may not know.
#[derive(Debug)]
pub(super) struct Deposed {
    group: GroupId,
    term: Term,
    since: Moment,
    asked_at: Moment,
}

/// A change of a group's primary that is under way.
#[derive(Debug)]
pub(super) struct Change {
    epoch: u64,
    blocked_at: Moment,
    is_planned: bool,
    asked: HashMap<ServerId, Moment>,
    known: HashMap<ServerId, (ServerStatus, Moment)>,
    failed: HashMap<ServerId, (ControlFailure, Moment)>,
    unfit: HashMap<ServerId, Moment>,
    surveyed_since: Option<Moment>,
    order_allowed_until: Option<Moment>,
    ordered_at: Option<Moment>,
    /// Whether the last order was accepted.
    is_accepted: bool,
    /// Servers that were ordered to lead.
    ordered: BTreeSet<ServerId>,
    /// Members that said directly that they have stopped.
    told_stopped: BTreeSet<InstanceId>,
    /// Whether the old primary said that it does not lead any more.
    has_stepped_down: bool,
    told_at: Moment,
}

/// A new record that members without the store are told of.
#[derive(Debug)]
pub(super) struct Announcement {
    group: GroupId,
    record: GroupRecord,
    to: Vec<SocketAddr>,
    since: Moment,
    told_at: Moment,
}

impl Change {
    fn new(epoch: u64, blocked_at: Moment, is_planned: bool) -> Self {
        Self {
            epoch,
            blocked_at,
            is_planned,
            asked: HashMap::new(),
            known: HashMap::new(),
            failed: HashMap::new(),
            unfit: HashMap::new(),
            surveyed_since: None,
            order_allowed_until: None,
            ordered_at: None,
            is_accepted: false,
            ordered: BTreeSet::new(),
            told_stopped: BTreeSet::new(),
            has_stepped_down: false,
            told_at: Moment::default(),
        }
    }

    pub(super) fn peer_stopped(&mut self, instance: &InstanceId, epoch: u64) {
        if epoch >= self.epoch {
            self.told_stopped.insert(instance.clone());
        }
    }

    /// Returns for how long after a change began members that know nothing of it
    /// may use the old primary.
    fn entitlement(&self) -> Duration {
        if self.has_stepped_down { FRESHNESS } else { ENTITLEMENT }
    }

    fn status(&self, server: &ServerId, now: Moment) -> Option<ServerStatus> {
        let (status, at) = self.known.get(server)?;
        (now.since(*at) < STATUS_LIFETIME).then_some(*status)
    }

    fn newest_term(&self, record: &GroupRecord) -> Term {
        let seen = self.known.values().map(|(status, _)| status.term).max();
        seen.unwrap_or_default().max(record.term)
    }
}

impl Coordinator {
    /// Starts a change where the primary leaves, is gone or is doubted.
    pub(super) fn watch_primaries(&mut self, view: &StoreView, now: Moment) {
        let groups: Vec<(GroupId, GroupRecord, u64)> = view
            .groups()
            .map(|(group, record)| (group.clone(), record.value.clone(), record.revision))
            .collect();
        for (group, record, revision) in groups {
            if record.phase == Phase::Changing {
                self.changes.entry(group).or_insert_with(|| {
                    let mut change = Change::new(record.epoch, now, false);
                    change.ordered.extend(record.candidate);
                    change
                });
                continue;
            }
            self.changes.remove(&group);
            let Some(reason) = self.reason_to_change(view, now, &group, &record) else {
                continue;
            };
            let Some((condition, _)) = self.duty_condition(view) else {
                continue;
            };
            let blocked = GroupRecord {
                epoch: record.epoch + 1,
                phase: Phase::Changing,
                candidate: None,
                ..record.clone()
            };
            let purpose = Purpose::Block(group.clone());
            if self.write_record(now, purpose, &group, &blocked, revision, condition) {
                info!(self.log, "primary is to be replaced"; "group" => %group,
                    "primary" => %record.primary, "term" => %record.term,
                    "epoch" => blocked.epoch, "reason" => reason);
            }
        }
    }

    fn reason_to_change(
        &mut self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        record: &GroupRecord,
    ) -> Option<&'static str> {
        let others = view.servers_of(group).filter(|s| s.id != record.primary && !s.is_leaving);
        if others.count() == 0 {
            return None;
        }
        match view.server(&record.primary) {
            Some(server) => {
                self.absent.remove(&record.primary);
                if server.is_leaving {
                    return Some("leaving");
                }
            }
            None => {
                let since = *self.absent.entry(record.primary.clone()).or_insert(now);
                if now.since(since) > ABSENCE_PATIENCE {
                    return Some("entry_gone");
                }
            }
        }
        let settled_at = self.settled_at.get(group).copied().unwrap_or_default();
        if now.since(settled_at) < SETTLING_TIME {
            return None;
        }
        let live = view.live().count().max(1);
        let count = |kind: DoubtKind| {
            view.doubts(group)
                .filter(|(_, doubt)| doubt.primary == record.primary)
                .filter(|(_, doubt)| doubt.epoch == record.epoch && doubt.kind == kind)
                .count()
        };
        let refused = count(DoubtKind::Refused);
        let silent = count(DoubtKind::Silent);
        if refused >= live.min(2) {
            return Some("refused");
        }
        if count(DoubtKind::Deposed) > 0 {
            return Some("deposed");
        }
        (refused + silent >= live.min((live / 2).max(2))).then_some("silent")
    }

    fn write_record(
        &mut self,
        now: Moment,
        purpose: Purpose,
        group: &GroupId,
        record: &GroupRecord,
        revision: u64,
        condition: (String, u64),
    ) -> bool {
        let key = group_key(group);
        let value = serde_json::to_vec(record).expect("a record is made of plain values");
        let expected = vec![condition, (key.clone(), revision)];
        let writes = vec![Write { key, value: Some(value), lease: None }];
        self.call(now, purpose, StoreCall::Commit { expected, writes })
    }

    pub(super) fn record_written(
        &mut self,
        now: Moment,
        group: &GroupId,
        purpose: &Purpose,
        answer: Option<&StoreAnswer>,
    ) {
        if matches!(answer, Some(StoreAnswer::Committed { .. })) {
            if matches!(purpose, Purpose::Publish(_)) {
                self.changes.remove(group);
                self.settled_at.insert(group.clone(), now);
            }
        } else {
            warn!(self.log, "record not written"; "group" => %group, "purpose" => ?purpose,
                "answer" => ?answer);
        }
    }

    pub(super) fn drive_changes(&mut self, view: &StoreView, now: Moment) {
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
    pub(super) fn announce(&mut self, now: Moment) {
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

    pub(super) fn chosen(
        &mut self,
        asked_at: Moment,
        group: &GroupId,
        answer: Option<&StoreAnswer>,
    ) {
        let is_written = matches!(answer, Some(StoreAnswer::Committed { .. }));
        if let Some(change) = self.changes.get_mut(group)
            && is_written
        {
            change.order_allowed_until = Some(asked_at + ORDER_WINDOW);
        }
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

    /// Tells replaced primaries to step down.
    pub(super) fn depose(&mut self, view: &StoreView, now: Moment) {
        self.deposed.retain(|_, deposed| now.since(deposed.since) < DEPOSING_TIME);
        for (server, deposed) in &mut self.deposed {
            let Some(server) = view.last_known(server) else {
                continue;
            };
            if now.since(deposed.asked_at) < DEPOSING_PAUSE {
                continue;
            }
            deposed.asked_at = now;
            self.steps.push(Step::Control {
                server: server.id.clone(),
                address: server.address,
                group: deposed.group.clone(),
                command: Command::StepDown { term: deposed.term },
            });
        }
    }

    pub(super) fn note_control(
        &mut self,
        now: Moment,
        group: &GroupId,
        server: &ServerId,
        command: &Command,
        result: Result<ServerStatus, ControlFailure>,
    ) {
        if let Ok(status) = result
            && status.role == Role::Replica
            && self.deposed.get(server).is_some_and(|deposed| status.term >= deposed.term)
        {
            self.deposed.remove(server);
        }
        let Some(change) = self.changes.get_mut(group) else {
            return;
        };
        info!(self.log, "server surveyed"; "group" => %group, "server" => %server,
            "command" => ?command, "answer" => ?result);
        // The next question may follow after the interval.
        change.asked.insert(server.clone(), now);
        match result {
            Ok(status) => {
                change.known.insert(server.clone(), (status, now));
                change.failed.remove(server);
            }
            Err(failure) => {
                change.failed.insert(server.clone(), (failure, now));
            }
        }
    }

    pub(super) fn note_order(
        &mut self,
        now: Moment,
        order: &PromotionOrder,
        answer: Option<PromoterAnswer>,
    ) {
        info!(self.log, "promotion answered"; "group" => %order.group, "server" => %order.server,
            "answer" => answer.map_or_else(|| "lost".to_owned(), |answer| answer.to_string()));
        if let Some(change) = self.changes.get_mut(&order.group) {
            change.is_accepted = answer == Some(PromoterAnswer::Accepted);
            if answer == Some(PromoterAnswer::Refused) {
                change.unfit.insert(order.server.clone(), now);
            }
        }
    }
}
