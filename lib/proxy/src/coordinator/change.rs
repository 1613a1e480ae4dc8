//! How the holder of the duty replaces a primary.
//!
//! First a record says that nobody may use the primary. When every member has
//! confirmed that its work there has ended, or can't be entitled any more, the
//! replica that received most is chosen, written down and ordered to lead. Once
//! it leads, a record lets it be used. See `docs/design/10-platform.md`.

mod steps;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use masticreel_base::ids::{GroupId, InstanceId, ServerId, Term};
use slog::{info, warn};

use crate::coordinator::registration::{PROBING_MEMBERS, probing_members};
use crate::coordinator::{Coordinator, Purpose, Step};
use crate::moment::Moment;
use crate::protocol::{PromoterAnswer, PromotionOrder};
use crate::records::{DoubtKind, GroupRecord, Phase, StoreAnswer, StoreCall, Write, group_key};
use crate::statement::{Command, Role, ServerStatus};
use crate::store_view::StoreView;
use crate::trust::{ENTITLEMENT, FRESHNESS};

/// How old a server's answer may be to count in a change.
const STATUS_LIFETIME: Duration = Duration::from_millis(1000);
/// How long after a proof of the duty an order may be sent.
const ORDER_WINDOW: Duration = Duration::from_millis(400);
/// How long a server's entry may be missing before its primary is replaced;
/// entries come back within two seconds after an outage of the store.
const ABSENCE_PATIENCE: Duration = Duration::from_millis(2500);
/// How long doubts are ignored after a change.
const SETTLING_TIME: Duration = Duration::from_millis(700);
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
        // Most groups are well, and there may be many of them.
        let groups: Vec<(GroupId, GroupRecord, u64)> = view
            .groups()
            .filter(|(group, record)| {
                let primary = view.server(&record.value.primary);
                record.value.phase == Phase::Changing
                    || primary.is_none_or(|primary| primary.is_leaving)
                    || self.changes.contains_key(*group)
                    || self.absent.contains_key(&record.value.primary)
                    || view.doubts(group).next().is_some()
            })
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
        let live = view.live_count().max(1);
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
        if refused + silent >= live.min((live / 2).max(2)) {
            return Some("silent");
        }
        // Where servers have owners, few instances meet a silence by themselves;
        // those that looked because of another's doubt stand for the rest.
        let is_unseen = |instance: &InstanceId| {
            view.doubts(group).any(|(of, doubt)| {
                of == instance
                    && doubt.primary == record.primary
                    && doubt.epoch == record.epoch
                    && doubt.kind != DoubtKind::Deposed
            })
        };
        let probing = probing_members(view, group);
        let all_looked = probing.len() >= PROBING_MEMBERS && probing.iter().all(is_unseen);
        (all_looked && is_unseen(&self.instance)).then_some("silent_to_those_who_looked")
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
        let is_called = self.call(now, purpose.clone(), StoreCall::Commit { expected, writes });
        if is_called {
            self.offered.insert(purpose, (group.clone(), record.clone()));
        }
        is_called
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
