//! How the active coordinator replaces a primary.
//!
//! It first blocks the primary: it writes a group record of phase `Changing`, which
//! forbids the use of the primary. It then waits until its view of the store shows that
//! record, and so all members of that time, and until every member has confirmed
//! that its work there has ended, or the member's primary lease has expired. Connections
//! that the primary refuses don't shorten the wait: a cut can reset connections of some
//! instances while others use the primary. Then the active coordinator chooses the server
//! whose received position is highest, which may be the old primary if that answers
//! again, records it as the candidate and requests its promotion. Once the candidate
//! answers as the primary, it writes a record of phase `Serving`, which allows its use.
//!
//! This file decides when a replacement starts, blocks the primary, handles the
//! answers to the calls and demotes replaced primaries for some time afterwards;
//! `steps` carries out the rest. See `docs/design/10-platform.md`.

mod candidates;
mod steps;
mod succession;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use masticreel_base::ids::{GroupId, InstanceId, ServerId, Term};
use masticreel_base::position::TermPosition;
use slog::{info, warn};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

pub(super) use self::steps::{COMMAND_TIMEOUT, FIRST_PROMOTION_DELAY};
pub(super) use self::succession::Succession;
use crate::coordinator::registration::{PROBING_MEMBER_COUNT, probing_members};
use crate::coordinator::{ControlRequest, Coordinator, CoordinatorAction, Purpose};
use crate::moment::Moment;
use crate::primary_lease::{MAX_FRESH_VIEW_AGE, PRIMARY_LEASE};
use crate::protocol::{PromoterAnswer, PromotionRequest};
use crate::records::{GroupRecord, Phase, StoreAnswer, StoreCall, SuspicionKind, Write, group_key};
use crate::relays::{is_relayed, rank_owners};
use crate::statement::{Command, Role, ServerStatus};
use crate::store_era::next_epoch;
use crate::store_view::StoreView;

/// How long a server's status is used in a replacement after it was received, how
/// long a server that refused a connection counts as refusing, and how long one
/// that the promoter refused to promote is not chosen again.
const STATUS_LIFETIME: Duration = Duration::from_millis(1000);
/// How long after sending the commit that proves the coordinator role a promotion
/// may be requested.
const PROMOTION_WINDOW: Duration = Duration::from_millis(400);
/// How long a primary's entry may be missing before the primary is replaced;
/// entries come back within two seconds after an outage of the store.
const MISSING_ENTRY_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long suspicions are ignored after a replacement of the primary.
const SUSPICION_IGNORE_PERIOD: Duration = Duration::from_millis(700);
/// How long a primary that dropped all work, or that has just been made the primary again,
/// is not made the primary again.
const UNFIT_PERIOD: Duration = Duration::from_secs(30);
/// The time between the writes of two instances that write the same lost record again, longer
/// than most writes take to be seen.
const RESTORE_INTERVAL: Duration = Duration::from_millis(40);
/// The most such times that an instance waits.
const MAX_RESTORE_RANK: u32 = 75;
/// How long step-down commands are sent to a replaced primary.
const DEMOTION_PERIOD: Duration = Duration::from_secs(10);
/// The time between two step-down commands to a replaced primary.
const DEMOTION_INTERVAL: Duration = Duration::from_millis(300);

/// The reason to replace a primary that drops all work.
const FAILING_REASON: &str = "failing";

/// Why a server did not answer a command.
///
/// The event loop derives it from [`Loss`](crate::engine::Loss). A probe that fails
/// as `Refused` or `Silent` makes this instance suspect the primary with the
/// [`SuspicionKind`] of the same name; one that fails as `Rejected` does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlFailure {
    /// The connection was refused, by the server's machine or by a fault of the network.
    Refused,
    /// The connection was not established before the timeout, or the attempt failed
    /// for another reason than a refusal.
    Silent,
    /// The connection was established, but closed, broken or timed out before an
    /// answer arrived, or the answer was not a status; or the socket could not be
    /// created.
    Rejected,
}

/// A replaced primary that may still act as one.
#[derive(Debug)]
pub(super) struct ReplacedPrimary {
    group: GroupId,
    /// The term of the new primary, which the step-down commands state.
    term: Term,
    /// When the new primary, whose record is sent to the store, was last found
    /// answering.
    since: Moment,
    /// When the last step-down command was sent to it.
    commanded_at: Moment,
}

/// The last status that a server has reported.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownStatus {
    status: ServerStatus,
    /// When it was requested. The server held at least the log that it reports at some
    /// moment after that.
    requested_at: Moment,
    received_at: Moment,
}

/// The replacement of a group's primary, in progress.
#[derive(Debug)]
pub(super) struct Replacement {
    /// The epoch of the group record that blocked the old primary.
    epoch: u64,
    /// When this instance, as the active coordinator, first saw the record that
    /// blocked the old primary.
    blocked_at: Moment,
    /// The revision of that record, zero while it is known only from another instance.
    blocked_revision: u64,
    /// When the last command to a server was answered; while it is unanswered, the
    /// time of its timeout, which may be in the future. Intervals between status
    /// queries count from it.
    command_end: HashMap<ServerId, Moment>,
    statuses: HashMap<ServerId, KnownStatus>,
    /// Servers that did not answer the last command.
    failed: HashMap<ServerId, (ControlFailure, Moment)>,
    /// When the promoter last refused to promote a server.
    refused_promotions: HashMap<ServerId, Moment>,
    /// Since when a candidate is being chosen: no instance can use the old primary
    /// any more.
    selecting_since: Option<Moment>,
    /// Until when a promotion may be requested: shortly after the commit of the
    /// candidate has proved the coordinator role.
    promotion_allowed_until: Option<Moment>,
    promotion_requested_at: Option<Moment>,
    is_promotion_accepted: bool,
    /// Servers whose promotion was requested.
    promotion_targets: BTreeSet<ServerId>,
    /// Members that confirmed by a direct message that their work at the old primary
    /// has ended.
    directly_confirmed: BTreeSet<InstanceId>,
    /// Whether the old primary's last answer, if it is recent, says that it is a replica. A
    /// server that restarts before a promotion leads again.
    has_stepped_down: bool,
    /// When the old primary was last sent a step-down command.
    step_down_sent_at: Moment,
    /// When members were last sent the record that blocked the old primary.
    notified_at: Moment,
    /// Whether it was logged that no server is known to have all acknowledged commits.
    is_shortage_logged: bool,
}

/// The record of a new primary, which is sent to members that may not see it in the
/// store.
#[derive(Debug)]
pub(super) struct Announcement {
    group: GroupId,
    record: GroupRecord,
    to: Vec<SocketAddr>,
    /// Since when the store is known to hold the record; `None` before that.
    stored_since: Option<Moment>,
    notified_at: Moment,
}

impl Replacement {
    fn new(epoch: u64, blocked_at: Moment, blocked_revision: u64) -> Self {
        Self {
            epoch,
            blocked_at,
            blocked_revision,
            command_end: HashMap::new(),
            statuses: HashMap::new(),
            failed: HashMap::new(),
            refused_promotions: HashMap::new(),
            selecting_since: None,
            promotion_allowed_until: None,
            promotion_requested_at: None,
            is_promotion_accepted: false,
            promotion_targets: BTreeSet::new(),
            directly_confirmed: BTreeSet::new(),
            has_stepped_down: false,
            step_down_sent_at: Moment::default(),
            notified_at: Moment::default(),
            is_shortage_logged: false,
        }
    }

    /// Returns whether a view shows the store as it was when the old primary was blocked, or
    /// later, and so all instances that may use that.
    ///
    /// An instance that registers afterwards sees the record before it uses a primary.
    fn is_blocked_in(&self, view: &StoreView) -> bool {
        self.blocked_revision > 0 && view.revision() >= self.blocked_revision
    }

    pub(super) fn peer_stopped(&mut self, instance: &InstanceId, epoch: u64) {
        if epoch >= self.epoch {
            self.directly_confirmed.insert(instance.clone());
        }
    }

    /// Returns for how long after the start of the replacement a member may use the
    /// old primary, if its view of the store does not show the replacement.
    ///
    /// An old primary that has stepped down refuses everything that a member may send
    /// with a view older than [`MAX_FRESH_VIEW_AGE`], so it is only that time then.
    fn max_use_of_old_primary(&self) -> Duration {
        if self.has_stepped_down { MAX_FRESH_VIEW_AGE } else { PRIMARY_LEASE }
    }

    fn status(&self, server: &ServerId, now: Moment) -> Option<ServerStatus> {
        let known = self.statuses.get(server)?;
        (now.since(known.received_at) < STATUS_LIFETIME).then_some(known.status)
    }

    fn record_status(
        &mut self,
        server: &ServerId,
        status: ServerStatus,
        requested_at: Moment,
        received_at: Moment,
    ) {
        let is_older =
            self.statuses.get(server).is_some_and(|known| known.requested_at > requested_at);
        if !is_older {
            let known = KnownStatus { status, requested_at, received_at };
            self.statuses.insert(server.clone(), known);
        }
    }

    /// Returns whether a server has answered a command that was sent after a moment.
    fn has_status_since(&self, server: &ServerId, moment: Moment) -> bool {
        self.statuses.get(server).is_some_and(|known| known.requested_at > moment)
    }

    /// Returns the position that a server has received, according to its last status that
    /// was requested at or after a moment.
    fn received_since(&self, server: &ServerId, moment: Moment) -> Option<TermPosition> {
        let known = self.statuses.get(server)?;
        (known.requested_at >= moment).then_some(known.status.received)
    }

    /// Returns whether a server has just answered that it is a replica, and has not failed
    /// to answer since.
    fn is_replica_now(&self, server: &ServerId, now: Moment) -> bool {
        !self.failed.contains_key(server)
            && self.status(server, now).is_some_and(|status| status.role == Role::Replica)
    }

    /// Returns whether a server has just refused a connection of this instance.
    fn is_refusing(&self, server: &ServerId, now: Moment) -> bool {
        self.failed.get(server).is_some_and(|(failure, at)| {
            *failure == ControlFailure::Refused && now.since(*at) < STATUS_LIFETIME
        })
    }

    fn newest_term(&self, record: &GroupRecord) -> Term {
        let seen = self.statuses.values().map(|known| known.status.term).max();
        seen.unwrap_or_default().max(record.term)
    }
}

/// Returns how many members come before an instance in the order in which they write a
/// group's lost record again.
fn rank_of(view: &StoreView, own: &InstanceId, group: &GroupId) -> u32 {
    let seed = xxh3_64(group.as_str().as_bytes());
    let place = |instance: &InstanceId| {
        (xxh3_64_with_seed(instance.as_str().as_bytes(), seed), instance.clone())
    };
    let own = place(own);
    let before = view.members().filter(|(instance, _)| place(instance) < own).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

impl Coordinator {
    /// Requests the write of the record that blocks the primary, for each group whose
    /// primary is leaving, missing or suspected, and creates the [`Replacement`] of
    /// each such record that the view shows, also those of earlier coordinators.
    pub(super) fn start_replacements(&mut self, view: &StoreView, now: Moment) {
        // Skips groups without any sign of a fault before their records are cloned:
        // there may be many.
        let groups: Vec<(GroupId, GroupRecord, u64)> = view
            .groups()
            .filter(|(group, record)| {
                let primary = view.server(&record.value.primary);
                record.value.phase == Phase::Changing
                    || primary.is_none_or(|primary| primary.is_leaving)
                    || self.replacements.contains_key(*group)
                    || self.missing_since.contains_key(&record.value.primary)
                    || view.suspicions(group).next().is_some()
            })
            .map(|(group, record)| (group.clone(), record.value.clone(), record.revision))
            .collect();
        for (group, record, revision) in groups {
            if record.phase == Phase::Changing {
                let replacement = self.replacements.entry(group).or_insert_with(|| {
                    let mut replacement = Replacement::new(record.epoch, now, revision);
                    replacement.promotion_targets.extend(record.candidate);
                    replacement
                });
                if replacement.blocked_revision == 0 {
                    replacement.blocked_revision = revision;
                }
                continue;
            }
            self.replacements.remove(&group);
            let Some(reason) = self.reason_to_replace(view, now, &group, &record) else {
                continue;
            };
            let Some((condition, _)) = self.role_condition(view) else {
                continue;
            };
            let blocked = GroupRecord {
                epoch: next_epoch(record.epoch, view.era()),
                phase: Phase::Changing,
                candidate: None,
                ..record.clone()
            };
            let purpose = Purpose::Block(group.clone());
            if self.write_record(now, purpose, &group, &blocked, revision, condition) {
                if reason == FAILING_REASON {
                    self.unfit_primaries.insert(record.primary.clone(), now);
                }
                info!(self.log, "primary is to be replaced"; "group" => %group,
                    "primary" => %record.primary, "term" => %record.term,
                    "epoch" => blocked.epoch, "reason" => reason);
            }
        }
    }

    /// Returns why a group's primary has to be replaced, for the log; `None` if there
    /// is no reason or no other server can take over. Also records since when the
    /// primary's entry has been missing.
    fn reason_to_replace(
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
                self.missing_since.remove(&record.primary);
                if server.is_leaving && self.may_replace_leaving_primary(view, group, record) {
                    return Some("leaving");
                }
            }
            None => {
                let since = *self.missing_since.entry(record.primary.clone()).or_insert(now);
                if now.since(since) > MISSING_ENTRY_TIMEOUT {
                    return Some("entry_gone");
                }
            }
        }
        let replaced_at = self.replaced_at.get(group).copied().unwrap_or_default();
        if now.since(replaced_at) < SUSPICION_IGNORE_PERIOD {
            return None;
        }
        let live = view.live_count().max(1);
        let count = |kind: SuspicionKind| {
            view.suspicions(group)
                .filter(|(_, suspicion)| suspicion.primary == record.primary)
                .filter(|(_, suspicion)| suspicion.epoch == record.epoch && suspicion.kind == kind)
                .count()
        };
        // Two instances suffice if the primary refuses connections or drops all work, and one
        // if it answered as a replica. Timeouts are weaker signs: half of the instances must
        // suspect the primary, at least two. If fewer instances are live, all of them suffice.
        let refused = count(SuspicionKind::Refused);
        let silent = count(SuspicionKind::Silent);
        if refused >= live.min(2) {
            return Some("refused");
        }
        if count(SuspicionKind::Deposed) > 0 {
            return Some("deposed");
        }
        // Where a server's connections have an owner, all work goes through it, so no
        // other instance can see that the server drops it.
        let owner = view.server(&record.primary).filter(|server| is_relayed(view, server));
        let owner = owner.and_then(|server| rank_owners(view, server).into_iter().next());
        let is_owner_suspecting = view.suspicions(group).any(|(instance, suspicion)| {
            owner.as_ref() == Some(instance)
                && suspicion.epoch == record.epoch
                && suspicion.kind == SuspicionKind::Failing
        });
        if is_owner_suspecting || count(SuspicionKind::Failing) >= live.min(2) {
            return Some(FAILING_REASON);
        }
        if refused + silent >= live.min((live / 2).max(2)) {
            return Some("silent");
        }
        // Where a server's connections are owned by few instances, only those notice
        // that it does not answer. So the suspicions of all instances that probed it
        // because of another's suspicion suffice too.
        let suspects_primary = |instance: &InstanceId| {
            view.suspicions(group).any(|(suspecting, suspicion)| {
                suspecting == instance
                    && suspicion.primary == record.primary
                    && suspicion.epoch == record.epoch
                    && matches!(suspicion.kind, SuspicionKind::Refused | SuspicionKind::Silent)
            })
        };
        let probing = probing_members(view, group);
        let all_probes_failed =
            probing.len() >= PROBING_MEMBER_COUNT && probing.iter().all(suspects_primary);
        (all_probes_failed && suspects_primary(&self.instance))
            .then_some("silent_to_those_who_looked")
    }

    /// Returns since when a replacement has waited for a view that shows its record; none if
    /// none does.
    pub fn awaits_view_since(&self, view: &StoreView) -> Option<Moment> {
        self.replacements
            .values()
            .filter(|replacement| !replacement.is_blocked_in(view))
            .map(|replacement| replacement.blocked_at)
            .min()
    }

    /// Writes a group's record on the `condition` that this instance is still the
    /// active coordinator, and that the stored record has this `revision`; returns
    /// whether the store was called.
    pub(super) fn write_record(
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
            self.uncommitted_records.insert(purpose, (group.clone(), record.clone()));
        }
        is_called
    }

    /// Writes the records again that the store lost when it came back from an older copy, so
    /// that instances which start now learn of them: the active coordinator at once, the
    /// others one after the other, as it may not know the newest.
    pub(super) fn restore_lost_records(&mut self, view: &StoreView, now: Moment) {
        self.lost_since.retain(|group, _| view.lost_records().any(|(lost, _)| lost == group));
        if !view.shows_present_era() {
            return;
        }
        let is_active = self.is_active(view, now);
        for (group, revision) in view.lost_records() {
            let Some(record) = view.group(group).cloned() else {
                continue;
            };
            let since = *self.lost_since.entry(group.clone()).or_insert(now);
            let delay =
                RESTORE_INTERVAL * rank_of(view, &self.instance, group).min(MAX_RESTORE_RANK);
            if !is_active && now < since + delay {
                continue;
            }
            let key = group_key(group);
            let value = serde_json::to_vec(&record).expect("a record is made of plain values");
            let writes = vec![Write { key: key.clone(), value: Some(value), lease: None }];
            let call = StoreCall::Commit { expected: vec![(key, revision)], writes };
            let purpose = Purpose::Restore(group.clone());
            if self.call(now, purpose.clone(), call) {
                info!(self.log, "record that the store has lost is written again";
                    "group" => %group, "epoch" => record.epoch, "phase" => %record.phase,
                    "primary" => %record.primary);
                self.uncommitted_records.insert(purpose, (group.clone(), record));
            }
        }
    }

    pub(super) fn handle_record_answer(
        &mut self,
        now: Moment,
        group: &GroupId,
        purpose: &Purpose,
        answer: Option<&StoreAnswer>,
    ) {
        if matches!(answer, Some(StoreAnswer::Committed { .. })) {
            if matches!(purpose, Purpose::Publish(_)) {
                self.replacements.remove(group);
                self.replaced_at.insert(group.clone(), now);
            }
        } else {
            warn!(self.log, "write of group record failed or unanswered"; "group" => %group, "purpose" => ?purpose,
                "answer" => ?answer);
        }
    }

    pub(super) fn handle_choice_answer(
        &mut self,
        called_at: Moment,
        group: &GroupId,
        answer: Option<&StoreAnswer>,
    ) {
        let is_written = matches!(answer, Some(StoreAnswer::Committed { .. }));
        if let Some(replacement) = self.replacements.get_mut(group)
            && is_written
        {
            replacement.promotion_allowed_until = Some(called_at + PROMOTION_WINDOW);
        }
    }

    /// Sends step-down commands to replaced primaries, until they answer as replicas
    /// or [`DEMOTION_PERIOD`] is over.
    pub(super) fn demote_replaced_primaries(&mut self, view: &StoreView, now: Moment) {
        self.replaced_primaries.retain(|_, replaced| now.since(replaced.since) < DEMOTION_PERIOD);
        for (server, replaced) in &mut self.replaced_primaries {
            let Some(server) = view.last_known_server(server) else {
                continue;
            };
            if now.since(replaced.commanded_at) < DEMOTION_INTERVAL {
                continue;
            }
            replaced.commanded_at = now;
            self.actions.push(CoordinatorAction::Control(ControlRequest {
                server: server.id.clone(),
                address: server.address,
                group: replaced.group.clone(),
                command: Command::StepDown { term: replaced.term },
                sent_at: now,
            }));
        }
    }

    pub(super) fn handle_control_answer(
        &mut self,
        now: Moment,
        request: &ControlRequest,
        result: Result<ServerStatus, ControlFailure>,
    ) {
        let ControlRequest { group, server, command, sent_at, .. } = request;
        if let Ok(status) = result
            && status.role == Role::Replica
            && self
                .replaced_primaries
                .get(server)
                .is_some_and(|replaced| status.term >= replaced.term)
        {
            self.replaced_primaries.remove(server);
        }
        let Some(replacement) = self.replacements.get_mut(group) else {
            return;
        };
        info!(self.log, "command to server answered or failed"; "group" => %group, "server" => %server,
            "command" => ?command, "answer" => ?result);
        // The interval before the next query counts from this answer.
        replacement.command_end.insert(server.clone(), now);
        match result {
            Ok(status) => {
                replacement.record_status(server, status, *sent_at, now);
                replacement.failed.remove(server);
            }
            // A command that was sent before one that was answered says nothing new.
            Err(failure) if !replacement.has_status_since(server, *sent_at) => {
                replacement.failed.insert(server.clone(), (failure, now));
            }
            Err(_) => {}
        }
    }

    pub(super) fn handle_promotion_answer(
        &mut self,
        now: Moment,
        request: &PromotionRequest,
        answer: Option<PromoterAnswer>,
    ) {
        info!(self.log, "promotion request ended"; "group" => %request.group,
            "server" => %request.server,
            "answer" => answer.map_or_else(|| "lost".to_owned(), |answer| answer.to_string()));
        if let Some(replacement) = self.replacements.get_mut(&request.group) {
            replacement.is_promotion_accepted = answer == Some(PromoterAnswer::Accepted);
            if answer == Some(PromoterAnswer::Refused) {
                replacement.refused_promotions.insert(request.server.clone(), now);
            }
        }
    }
}
