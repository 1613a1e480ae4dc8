//! Agrees with the other instances, by records in the store, on which server is the
//! primary of each group.
//!
//! Every instance has a [`Coordinator`], which keeps a store lease, the instance's
//! membership and its suspicions of primaries in the store (module `registration`).
//! One instance at a time, the active coordinator, holds the coordinator role
//! (module `coordinator_role`) and also replaces primaries (module `replacement`).
//! See `docs/design/10-platform.md`.
//!
//! [`Coordinator`] does no I/O: the event loop passes in the view of the store,
//! answers and the time, and carries out the returned [`CoordinatorAction`]s.

mod coordinator_role;
mod registration;
mod replacement;
mod settlement;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use masticreel_base::ids::{GroupId, InstanceId, ServerId};
use slog::{Logger, info};

pub use crate::coordinator::registration::StoreLease;
pub use crate::coordinator::replacement::ControlFailure;
use crate::coordinator::replacement::{Replacement, Succession};
use crate::moment::Moment;
use crate::peers::PeerMessage;
use crate::protocol::{PromoterAnswer, PromotionRequest};
use crate::records::{
    DoubtRecord, GroupRecord, MemberRecord, Placement, StoreAnswer, StoreCall, SuspicionKind,
};
use crate::statement::{Command, ServerStatus};
use crate::store_view::{Presence, StoreView, Versioned};

/// The purpose of a call to the store.
///
/// At most one call for each purpose is in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Purpose {
    /// Get a store lease.
    Grant,
    /// Renew the store lease.
    Renew,
    /// Write the membership and the live key of this instance.
    Register,
    /// Write or remove this instance's suspicion about a group's primary.
    Doubt(GroupId),
    /// Take the coordinator role.
    TakeDuty,
    /// Remove the membership of an instance whose store lease expired so long ago
    /// that its primary lease has expired too.
    Dismiss(InstanceId),
    /// Write a group's first record.
    Introduce(GroupId),
    /// Forbid the use of a group's primary, which begins its replacement.
    Block(GroupId),
    /// Record which server is to become the primary.
    Choose(GroupId),
    /// Allow the use of a group's new primary.
    Publish(GroupId),
    /// Write a group's record with an epoch of the store's new era.
    Settle(GroupId),
    /// Write a group's record again that the store has lost.
    Restore(GroupId),
}

/// An action that the event loop carries out for the coordinator.
#[derive(Debug, Clone, PartialEq)]
pub enum CoordinatorAction {
    /// Call the store; the answer goes to [`Coordinator::store_answered`].
    Store(Purpose, StoreCall),
    /// Send one command to a server over a new connection; the answer, or the
    /// failure, goes to [`Coordinator::control_answered`].
    Control(ControlRequest),
    /// Request the promotion of a server; the answer goes to
    /// [`Coordinator::promoter_answered`].
    Promote(PromotionRequest),
    /// Send a message to another instance.
    SendToPeer(SocketAddr, PeerMessage),
}

/// A command of the coordinator to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlRequest {
    /// The server.
    pub server: ServerId,
    /// The server's address.
    pub address: SocketAddr,
    /// The server's group.
    pub group: GroupId,
    /// The command.
    pub command: Command,
    /// When the command was requested; the answer shows the server's state at a later
    /// moment.
    pub sent_at: Moment,
}

/// Manages an instance's registration in the store and, while the instance is the
/// active coordinator, the replacement of primaries.
#[derive(Debug)]
pub struct Coordinator {
    instance: InstanceId,
    incarnation: u64,
    log: Logger,
    lease: StoreLease,
    /// The newest epoch per group in which this instance has ended all work at
    /// the primary that is being replaced, and when it did.
    stopped_epochs: BTreeMap<GroupId, (u64, Moment)>,
    suspicions: BTreeMap<GroupId, DoubtRecord>,
    /// Since when this instance has suspected the primaries.
    suspected_since: HashMap<GroupId, Moment>,
    /// Suspicions that were sent to the store and are not answered yet.
    sent_suspicions: HashMap<GroupId, DoubtRecord>,
    /// The suspicions that this instance last wrote, and the revisions of the writes.
    stored_suspicions: HashMap<GroupId, (DoubtRecord, u64)>,
    /// This instance's last registration, and when it was committed.
    registered: Option<(Versioned<MemberRecord>, Moment)>,
    probes: HashMap<GroupId, registration::StatusProbe>,
    /// The calls in flight, with the era of the store in which they were made.
    in_flight: BTreeMap<Purpose, u64>,
    /// The era of the store.
    era: u64,
    /// The era of the view, and since when that has been known.
    era_known_since: Option<(u64, Moment)>,
    /// Until when the next call for a purpose is delayed.
    not_before: HashMap<Purpose, Moment>,
    /// Purposes whose last call failed, so that their delay is a backoff.
    failed_calls: BTreeSet<Purpose>,
    /// Since when this instance has held the coordinator role.
    active_since: Option<Moment>,
    /// Since when no instance has held the coordinator role.
    vacant_since: Option<Moment>,
    /// Since when the entries of primaries have been missing in the store.
    missing_since: HashMap<ServerId, Moment>,
    /// Since when members have had no live key, and when they had it last.
    members_without_lease: HashMap<InstanceId, (Moment, Presence)>,
    members_checked_at: Moment,
    /// Calls to the store that failed in a row.
    store_failures: u32,
    /// The settlements of groups' records in progress.
    settlements: HashMap<GroupId, settlement::Settlement>,
    /// Since when the store has been known to have lost the groups' records.
    lost_since: HashMap<GroupId, Moment>,
    /// When this instance last committed a new primary of a group.
    replaced_at: HashMap<GroupId, Moment>,
    /// The replacements in progress; empty unless this instance is the active
    /// coordinator.
    replacements: BTreeMap<GroupId, Replacement>,
    replaced_primaries: HashMap<ServerId, replacement::ReplacedPrimary>,
    /// What is known of replicas that are to take over from servers that leave.
    successions: HashMap<GroupId, Succession>,
    /// Servers that have left, and whose commits another server has.
    handed_over: BTreeSet<ServerId>,
    /// Since when servers are not to be made the primary again after their replacement.
    unfit_primaries: HashMap<ServerId, Moment>,
    announcements: Vec<replacement::Announcement>,
    placement: Placement,
    is_leaving: bool,
    /// The addresses of active coordinators that wait until this instance has ended
    /// its work at a primary.
    stop_requests: BTreeMap<GroupId, SocketAddr>,
    /// When an active coordinator last requested to end the work at a group's primary, and
    /// the fencing token of the coordinator role then, if it was held.
    stop_requested_at: HashMap<GroupId, (Moment, Option<u64>)>,
    /// Records that were sent to the store and are not answered yet.
    uncommitted_records: HashMap<Purpose, (GroupId, GroupRecord)>,
    committed_records: Vec<(GroupId, Versioned<GroupRecord>)>,
    sent_registration: Option<registration::SentRegistration>,
    /// The store lease to which this instance has bound its live key.
    live_key_lease: Option<u64>,
    /// The store lease to which this instance has bound the coordinator role.
    role_lease: Option<u64>,
    /// The store lease in the call in flight that takes the coordinator role.
    sent_role_lease: Option<u64>,
    committed_registration: Option<Versioned<MemberRecord>>,
    /// Whether the last registration met a conflict.
    registers_unconditionally: bool,
    actions: Vec<CoordinatorAction>,
}

impl Coordinator {
    /// Creates the coordinator of an instance that has just started.
    pub fn new(
        instance: InstanceId,
        incarnation: u64,
        placement: Placement,
        lease: StoreLease,
        log: Logger,
    ) -> Self {
        Self {
            instance,
            incarnation,
            log,
            lease,
            stopped_epochs: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            suspected_since: HashMap::new(),
            sent_suspicions: HashMap::new(),
            stored_suspicions: HashMap::new(),
            registered: None,
            probes: HashMap::new(),
            in_flight: BTreeMap::new(),
            era: 0,
            era_known_since: None,
            not_before: HashMap::new(),
            failed_calls: BTreeSet::new(),
            active_since: None,
            vacant_since: None,
            missing_since: HashMap::new(),
            members_without_lease: HashMap::new(),
            members_checked_at: Moment::default(),
            store_failures: 0,
            settlements: HashMap::new(),
            lost_since: HashMap::new(),
            replaced_at: HashMap::new(),
            replacements: BTreeMap::new(),
            replaced_primaries: HashMap::new(),
            successions: HashMap::new(),
            handed_over: BTreeSet::new(),
            unfit_primaries: HashMap::new(),
            announcements: Vec::new(),
            placement,
            is_leaving: false,
            stop_requests: BTreeMap::new(),
            stop_requested_at: HashMap::new(),
            uncommitted_records: HashMap::new(),
            committed_records: Vec::new(),
            sent_registration: None,
            live_key_lease: None,
            role_lease: None,
            sent_role_lease: None,
            committed_registration: None,
            registers_unconditionally: false,
            actions: Vec::new(),
        }
    }

    /// Returns the actions that were added since the last call.
    pub fn take_actions(&mut self) -> Vec<CoordinatorAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the group records that the store has committed since the last
    /// call.
    ///
    /// The instance that wrote them uses them at once, because its watch may show
    /// them much later if the store rejects its watch calls.
    pub fn take_committed_records(&mut self) -> Vec<(GroupId, Versioned<GroupRecord>)> {
        std::mem::take(&mut self.committed_records)
    }

    /// Returns the membership with which a registration has proved that the view is the
    /// newest, if there was one since the last call.
    pub fn take_committed_registration(&mut self) -> Option<Versioned<MemberRecord>> {
        self.committed_registration.take()
    }

    /// Returns whether this instance is replacing a primary or has no store lease,
    /// without which it can't use primaries; both need frequent ticks.
    pub fn is_busy(&self) -> bool {
        !self.replacements.is_empty()
            || !self.settlements.is_empty()
            || !self.successions.is_empty()
            || !self.lease.is_granted()
    }

    /// Adds the actions that are due at this time, given the view of the store.
    pub fn tick(&mut self, view: &StoreView, now: Moment) {
        self.store_era_changed(view.era());
        if self.era_known_since.is_none_or(|(era, _)| era < view.era()) {
            self.era_known_since = Some((view.era(), now));
        }
        self.track_members_without_lease(view, now);
        self.maintain_registration(view, now);
        self.probe_suspected_primaries(view, now);
        self.write_suspicions(view, now);
        self.maintain_role(view, now);
        self.restore_lost_records(view, now);
        if self.is_active(view, now) {
            self.remove_expired_members(view, now);
            self.create_group_records(view, now);
            self.settle_records(view, now);
            self.track_successions(view, now);
            self.start_replacements(view, now);
            self.advance_replacements(view, now);
            self.demote_replaced_primaries(view, now);
            self.announce_new_primaries(view, now);
        } else {
            self.replacements.clear();
            self.settlements.clear();
            self.successions.clear();
            self.handed_over.clear();
            self.active_since = None;
        }
    }

    /// Returns until when the store lease certainly lasts by this instance's clock; none if
    /// it has none.
    pub fn lease_until(&self) -> Option<Moment> {
        self.lease.valid_until()
    }

    /// Returns whether this instance is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Marks this instance as shutting down in its membership, which other instances
    /// read.
    pub fn set_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Records that this instance has ended all work at a primary that is being
    /// replaced, and confirms it to the active coordinator that requested it.
    pub fn work_done(&mut self, now: Moment, group: &GroupId, epoch: u64) {
        let is_recorded =
            self.stopped_epochs.get(group).is_some_and(|(recorded, _)| *recorded >= epoch);
        if !is_recorded {
            self.stopped_epochs.insert(group.clone(), (epoch, now));
        }
        if let Some(coordinator) = self.stop_requests.remove(group) {
            let instance = self.instance.clone();
            let message = PeerMessage::Stopped { instance, group: group.clone(), epoch };
            self.actions.push(CoordinatorAction::SendToPeer(coordinator, message));
        }
    }

    /// Begins a new era of the store, in which this instance holds no lease and what it wrote
    /// may be missing; without effect if the era is not newer.
    ///
    /// Keys of this instance that the store still lists are bound to the lease of before.
    pub fn store_era_changed(&mut self, era: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.lease.clear();
        self.live_key_lease = None;
        self.role_lease = None;
        self.registered = None;
        self.committed_registration = None;
        self.registers_unconditionally = false;
        self.stored_suspicions.clear();
        self.replacements.clear();
        self.successions.clear();
        self.announcements.clear();
        self.settlements.clear();
        self.active_since = None;
        self.vacant_since = None;
        self.members_without_lease.clear();
        self.not_before.clear();
    }

    /// Records the address of the active coordinator, to which this instance
    /// confirms when it has ended all work at a primary that is being replaced.
    pub fn note_stop_request(
        &mut self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        coordinator: SocketAddr,
    ) {
        self.stop_requests.insert(group.clone(), coordinator);
        let token = view.coordinator_role().map(|role| role.fencing_token);
        self.stop_requested_at.insert(group.clone(), (now, token));
    }

    /// Records a member's confirmation, received directly from it, that it has ended
    /// all work at a primary that is being replaced.
    pub fn peer_stopped(&mut self, instance: &InstanceId, group: &GroupId, epoch: u64) {
        if let Some(replacement) = self.replacements.get_mut(group) {
            replacement.peer_stopped(instance, epoch);
        }
    }

    /// Records a suspicion about a primary, unless it is no longer the group's
    /// primary.
    pub fn suspect(
        &mut self,
        view: &StoreView,
        group: &GroupId,
        primary: &ServerId,
        kind: SuspicionKind,
    ) {
        let Some(record) = view.group(group) else {
            return;
        };
        if record.primary != *primary {
            return;
        }
        let suspicion = DoubtRecord { primary: primary.clone(), epoch: record.epoch, kind };
        self.suspicions.insert(group.clone(), suspicion);
    }

    /// Clears the suspicion about a group's primary because it has answered, unless it
    /// has answered no work and is suspected to drop all of it.
    pub fn clear_suspicion(&mut self, group: &GroupId, has_run_work: bool) {
        let is_cleared = |found: &DoubtRecord| has_run_work || found.kind != SuspicionKind::Failing;
        if self.suspicions.get(group).is_some_and(is_cleared) {
            self.suspicions.remove(group);
        }
    }

    /// Handles the answer to a call to the store, or its loss (`None`).
    ///
    /// `called_at` is when the call was sent. The answer to a call that was made in an earlier
    /// era of the store counts as lost: it says nothing of what the store holds now.
    pub fn store_answered(
        &mut self,
        now: Moment,
        called_at: Moment,
        purpose: &Purpose,
        answer: Option<&StoreAnswer>,
    ) {
        let called_in_era = self.in_flight.remove(purpose);
        let answer = answer.filter(|_| called_in_era.is_none_or(|era| era == self.era));
        let uncommitted = self.uncommitted_records.remove(purpose);
        if let (Some(StoreAnswer::Committed { revision }), Some((group, value))) =
            (answer, uncommitted)
        {
            self.committed_records.push((group, Versioned { revision: *revision, value }));
        }
        match purpose {
            Purpose::Grant | Purpose::Renew => self.lease.handle_answer(called_at, now, answer),
            Purpose::Register => self.handle_registration_answer(now, answer),
            Purpose::TakeDuty => self.handle_role_answer(answer),
            Purpose::Doubt(group) => {
                let sent = self.sent_suspicions.remove(group);
                let Some(StoreAnswer::Committed { revision }) = answer else {
                    return self.delay_next_call(now, purpose, answer);
                };
                if let Some(sent) = sent {
                    self.stored_suspicions.insert(group.clone(), (sent, *revision));
                }
                let suspicion = self.suspicions.get(group);
                info!(self.log, "suspicion about a primary stored or removed"; "group" => %group,
                    "primary" => suspicion.map(|suspicion| suspicion.primary.to_string()),
                    "kind" => suspicion.map(|suspicion| suspicion.kind.to_string()));
            }
            Purpose::Choose(group) => self.handle_choice_answer(called_at, group, answer),
            Purpose::Block(group) | Purpose::Publish(group) => {
                self.handle_record_answer(now, group, purpose, answer);
            }
            _ => {}
        }
        self.delay_next_call(now, purpose, answer);
    }

    /// Delays the next call for a purpose, by the answer to the last one.
    fn delay_next_call(&mut self, now: Moment, purpose: &Purpose, answer: Option<&StoreAnswer>) {
        // After a commit or a conflict, the delay gives the watch time to show the new
        // items; after a failure it is a backoff.
        let delay = match answer {
            Some(StoreAnswer::Committed { .. } | StoreAnswer::Lease { .. }) => {
                self.store_failures = 0;
                registration::WATCH_LATENCY
            }
            Some(StoreAnswer::Conflict) if *purpose == Purpose::Register => Duration::ZERO,
            Some(StoreAnswer::Conflict | StoreAnswer::LeaseGone) => registration::WATCH_LATENCY,
            _ => {
                self.store_failures += 1;
                registration::RETRY_BACKOFF
                    * self.store_failures.min(registration::MAX_RETRY_BACKOFF_FACTOR)
            }
        };
        self.not_before.insert(purpose.clone(), now + delay);
        match answer {
            None | Some(StoreAnswer::Unavailable) => self.failed_calls.insert(purpose.clone()),
            Some(_) => self.failed_calls.remove(purpose),
        };
    }

    /// Ends the backoffs after failed calls, because another call has shown that the
    /// store answers again.
    pub fn store_is_back(&mut self, now: Moment) {
        for purpose in std::mem::take(&mut self.failed_calls) {
            if let Some(not_before) = self.not_before.get_mut(&purpose) {
                *not_before = now.min(*not_before);
            }
        }
        self.store_failures = 0;
    }

    /// Handles a server's answer to a command, or its failure.
    ///
    /// The command was sent to probe a suspected primary, for a replacement, or to
    /// demote a replaced primary. A status is used for each of these that is in
    /// progress at the server, whichever of them sent the command.
    pub fn control_answered(
        &mut self,
        now: Moment,
        request: &ControlRequest,
        result: Result<ServerStatus, ControlFailure>,
    ) {
        self.handle_probe_answer(&request.group, &request.server, &result);
        self.handle_settlement_answer(&request.group, &request.server, &result);
        self.handle_succession_answer(request, &result);
        self.handle_control_answer(now, request, result);
    }

    /// Handles the answer to a promotion request, or its loss (`None`).
    pub fn promoter_answered(
        &mut self,
        now: Moment,
        request: &PromotionRequest,
        answer: Option<PromoterAnswer>,
    ) {
        self.handle_promotion_answer(now, request, answer);
    }

    /// Calls the store, unless a call for the same purpose is in flight or the delay
    /// after the last one has not passed, or the call names revisions of an earlier era; returns
    /// whether it did.
    fn call(&mut self, now: Moment, purpose: Purpose, call: StoreCall) -> bool {
        let is_due = self.not_before.get(&purpose).is_none_or(|not_before| now >= *not_before);
        let is_made = is_due && !self.in_flight.contains_key(&purpose) && call.is_of_era(self.era);
        if is_made {
            self.in_flight.insert(purpose.clone(), self.era);
            self.actions.push(CoordinatorAction::Store(purpose, call));
        }
        is_made
    }
}
