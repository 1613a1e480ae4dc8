//! An instance's store lease, membership and suspicions in the store.
//!
//! An instance writes its suspicions about primaries under keys that the store
//! removes when the instance's store lease expires. A few others then probe the
//! suspected primary themselves, and the active coordinator counts the suspicions to
//! decide on a replacement.

use std::time::Duration;

use masticreel_base::ids::{GroupId, InstanceId, ServerId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::coordinator::{ControlFailure, ControlRequest, Coordinator, CoordinatorAction, Purpose};
use crate::moment::Moment;
use crate::primary_lease;
use crate::records::{
    DoubtRecord, MemberRecord, Phase, StoreAnswer, StoreCall, SuspicionKind, Write, group_key,
    live_key, member_key, suspicion_key,
};
use crate::statement::{Command, ServerStatus};
use crate::store_era::era_of;
use crate::store_view::{StoreView, Versioned};

/// The backoff after the first failed call.
pub(super) const RETRY_BACKOFF: Duration = Duration::from_millis(200);
/// The longest backoff after failures in a row, in multiples of `RETRY_BACKOFF`.
pub(super) const MAX_RETRY_BACKOFF_FACTOR: u32 = 4;
/// How long the next call for a purpose is delayed after an answer, so that the
/// watch has probably shown what was committed.
pub(super) const WATCH_LATENCY: Duration = Duration::from_millis(150);
/// How long the confirmation that work at an old primary has ended is kept out of
/// the store, so that the active coordinator can receive it directly first.
const STOP_CONFIRMATION_DELAY: Duration = Duration::from_millis(300);
/// How long after its last request the active coordinator is taken to have received the
/// confirmation. It repeats requests that are not confirmed each 80 ms.
const STOP_REQUEST_SILENCE: Duration = Duration::from_millis(250);
/// How long a registration that the view does not contain is not repeated. The view may
/// never contain it, for example if the store has lost the lease again.
const VIEW_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long a store lease lasts without renewal: two renewals may be lost.
const STORE_LEASE_LIFETIME: Duration = Duration::from_millis(3200);
/// How often a store lease is renewed within its lifetime.
const RENEWALS_PER_LIFETIME: u32 = 3;

/// The most conditions and writes that the store accepts in one transaction.
const MAX_TRANSACTION_ENTRIES: usize = 32;

/// How many instances probe a primary that another instance suspects, besides the
/// active coordinator.
pub(super) const PROBING_MEMBER_COUNT: usize = 4;
/// In a fleet of more than this many instances, an instance that does not probe a suspected
/// primary keeps its own suspicion to itself for a while if the store has one already, as
/// all of them would write theirs at the same time.
const SMALL_FLEET: usize = 16;
/// How long; longer than probes take to show that a primary is down.
const DEFERRED_SUSPICION_TIME: Duration = Duration::from_millis(700);
/// The time between two probes of a group's primary.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// A status query to a primary that another instance suspects.
#[derive(Debug)]
pub(super) struct StatusProbe {
    primary: ServerId,
    epoch: u64,
    sent_at: Moment,
}

/// The registration call in flight.
#[derive(Debug)]
pub(super) struct SentRegistration {
    member: MemberRecord,
    /// Whether its commit proves that the view is the newest.
    is_proof: bool,
    /// The store lease to which it binds the live key, none if it doesn't write that.
    live_key_lease: Option<u64>,
}

/// The instance's store lease.
#[derive(Debug)]
pub struct StoreLease {
    lifetime: Duration,
    id: Option<u64>,
    valid_until: Moment,
    renewed_at: Moment,
}

impl StoreLease {
    /// Creates a lease that is yet to be granted, for the usual lifetime or the
    /// shortest that the store grants, whichever is longer.
    pub fn new(min_lifetime: Duration) -> Self {
        Self {
            lifetime: STORE_LEASE_LIFETIME.max(min_lifetime),
            id: None,
            valid_until: Moment::default(),
            renewed_at: Moment::default(),
        }
    }

    /// Returns whether the store has granted a lease that it has not reported as
    /// expired.
    pub(super) fn is_granted(&self) -> bool {
        self.id.is_some()
    }

    /// Returns until when the lease certainly lasts; none if it was not granted.
    pub(super) fn valid_until(&self) -> Option<Moment> {
        self.id.map(|_| self.valid_until)
    }

    /// Returns the id of the lease if it is certain to last longer than `duration`.
    pub(super) fn id_if_valid_for(&self, now: Moment, duration: Duration) -> Option<u64> {
        self.id.filter(|_| now + duration < self.valid_until)
    }

    /// Handles the answer to a grant or renewal.
    ///
    /// The lifetime is counted from `called_at`, when the call was sent: the store
    /// counts it from the arrival of the call, which can't be earlier.
    pub(super) fn handle_answer(
        &mut self,
        called_at: Moment,
        now: Moment,
        answer: Option<&StoreAnswer>,
    ) {
        match answer {
            Some(StoreAnswer::Lease { lease, lifetime }) => {
                if *lease != 0 {
                    self.id = Some(*lease);
                }
                self.valid_until = called_at + *lifetime;
                self.renewed_at = now;
            }
            Some(StoreAnswer::LeaseGone) => self.clear(),
            _ => {}
        }
    }

    /// Forgets a lease that has expired.
    pub(super) fn clear(&mut self) {
        self.id = None;
        self.valid_until = Moment::default();
    }
}

impl Coordinator {
    /// Gets and renews the store lease, and writes the membership and the live key
    /// where the store lacks them.
    pub(super) fn maintain_registration(&mut self, view: &StoreView, now: Moment) {
        let Some(lease) = self.lease.id else {
            // While even the items can't be listed, a lease has no use, and each call
            // of an outage counts against the store's limits.
            if view.confirmed_at().is_none() && self.store_failures > 0 {
                return;
            }
            let call = StoreCall::Grant { lifetime: self.lease.lifetime };
            self.call(now, Purpose::Grant, call);
            return;
        };
        let is_due =
            now.since(self.lease.renewed_at) >= self.lease.lifetime / RENEWALS_PER_LIFETIME;
        if is_due {
            self.call(now, Purpose::Renew, StoreCall::Renew { lease });
        }
        if view.confirmed_at().is_none() {
            return;
        }
        let record = self.wanted_membership(view, now);
        let is_record_current = view.member(&self.instance) == Some(&record);
        // A live key that is bound to an earlier lease ends with that.
        let is_live = view.is_live(&self.instance) && self.live_key_lease == Some(lease);
        // A write that the view does not contain yet need not be repeated.
        let is_awaited = self.registered.as_ref().is_some_and(|(member, at)| {
            member.value == record
                && self.live_key_lease == Some(lease)
                && view.revision() < member.revision
                && now.since(*at) < VIEW_TIMEOUT
        });
        if (is_record_current && is_live) || is_awaited {
            return;
        }
        let value = serde_json::to_vec(&record).expect("a record is made of plain values");
        let mut writes = Vec::new();
        if !is_live {
            let value = Some(self.incarnation.to_string().into_bytes());
            writes.push(Write { key: live_key(&self.instance), value, lease: Some(lease) });
        }
        if !is_record_current {
            let key = member_key(&self.instance);
            writes.push(Write { key, value: Some(value), lease: None });
        }
        let is_new = !view.is_live(&self.instance)
            || !primary_lease::is_registered(view, &self.instance, self.incarnation);
        let expected = if is_new && !self.registers_unconditionally {
            unchanged_groups(view, writes.len())
        } else {
            Vec::new()
        };
        let is_proof = !expected.is_empty();
        if self.call(now, Purpose::Register, StoreCall::Commit { expected, writes }) {
            let live_key_lease = (!is_live).then_some(lease);
            self.sent_registration =
                Some(SentRegistration { member: record, is_proof, live_key_lease });
        }
    }

    /// Handles the answer to a registration.
    ///
    /// A registration on the condition that no group's record has changed proves, once it
    /// is committed, that the view shows the newest records together with this
    /// instance's membership, so it counts before a watch shows it. After a conflict the
    /// instance registers without the condition and waits for the watch.
    pub(super) fn handle_registration_answer(&mut self, now: Moment, answer: Option<&StoreAnswer>) {
        let sent = self.sent_registration.take();
        match answer {
            Some(StoreAnswer::LeaseGone) => self.lease.clear(),
            Some(StoreAnswer::Conflict) => self.registers_unconditionally = true,
            Some(StoreAnswer::Committed { revision }) => {
                self.registers_unconditionally = false;
                let Some(sent) = sent else {
                    return;
                };
                self.live_key_lease = sent.live_key_lease.or(self.live_key_lease);
                let member = Versioned { revision: *revision, value: sent.member };
                self.committed_registration = sent.is_proof.then(|| member.clone());
                self.registered = Some((member, now));
            }
            _ => {}
        }
    }

    /// Returns the membership as it should be in the store, which is the stored one
    /// if that differs only in outdated stop confirmations.
    fn wanted_membership(&self, view: &StoreView, now: Moment) -> MemberRecord {
        let is_current =
            |group: &_, epoch: u64| view.group(group).is_some_and(|record| record.epoch == epoch);
        let stopped: Vec<_> = self
            .stopped_epochs
            .iter()
            .filter(|(group, (epoch, at))| {
                is_current(group, *epoch)
                    && now.since(*at) >= STOP_CONFIRMATION_DELAY
                    && !self.has_confirmed_directly(view, group, *at, now)
            })
            .map(|(group, (epoch, _))| (group.clone(), *epoch))
            .collect();
        let stored = view.member(&self.instance);
        // A stored record whose only difference is that it has more confirmations,
        // of replacements that are over, is left as it is.
        match stored {
            Some(stored)
                if stored.incarnation == self.incarnation
                    && stored.address == Some(self.placement.address)
                    && stored.domain.as_ref() == Some(&self.placement.domain)
                    && stored.capacity == self.placement.capacity
                    && stored.is_leaving == self.is_leaving
                    && has_stop_confirmations(stored, &stopped) =>
            {
                stored.clone()
            }
            _ => MemberRecord {
                incarnation: self.incarnation,
                stopped,
                address: Some(self.placement.address),
                domain: Some(self.placement.domain.clone()),
                capacity: self.placement.capacity,
                is_leaving: self.is_leaving,
                allocates_quotas: true,
            },
        }
    }

    /// Returns whether the active coordinator seems to have received the confirmation that
    /// work at a group's primary ended at `stopped_at`: it requested it and has stopped
    /// doing so, and the role has not changed since.
    ///
    /// In a large fleet a replacement that takes long would otherwise let every instance
    /// write to the store.
    fn has_confirmed_directly(
        &self,
        view: &StoreView,
        group: &GroupId,
        stopped_at: Moment,
        now: Moment,
    ) -> bool {
        let token = view.coordinator_role().map(|role| role.fencing_token);
        self.stop_requested_at.get(group).is_some_and(|(requested_at, requested_by)| {
            *requested_at + STOP_CONFIRMATION_DELAY > stopped_at
                && now.since(*requested_at) >= STOP_REQUEST_SILENCE
                && *requested_by == token
        })
    }

    /// Probes primaries that other instances suspect.
    ///
    /// A single instance's suspicion that a primary is unreachable is not enough to
    /// replace it, and the others may have no traffic that shows the same fault. An
    /// instance that already suspects the primary sends no probe, nor does any once
    /// the replacement has begun.
    pub(super) fn probe_suspected_primaries(&mut self, view: &StoreView, now: Moment) {
        if !view.has_suspicions() {
            return;
        }
        let is_chosen = self.is_active(view, now) || view.live_count() <= PROBING_MEMBER_COUNT;
        for (group, record) in view.groups() {
            let record = &record.value;
            let is_suspected = view
                .suspicions(group)
                .any(|(instance, found)| *instance != self.instance && found.epoch == record.epoch);
            let needs_no_probe =
                self.suspicions.contains_key(group) || record.phase == Phase::Changing;
            let is_recent = self
                .probes
                .get(group)
                .is_some_and(|probe| now.since(probe.sent_at) < PROBE_INTERVAL);
            let Some(server) = view.last_known_server(&record.primary) else {
                continue;
            };
            if !is_suspected || needs_no_probe || is_recent {
                continue;
            }
            if !is_chosen && !probing_members(view, group).contains(&self.instance) {
                continue;
            }
            let primary = record.primary.clone();
            self.probes.insert(
                group.clone(),
                StatusProbe { primary: primary.clone(), epoch: record.epoch, sent_at: now },
            );
            self.actions.push(CoordinatorAction::Control(ControlRequest {
                server: primary,
                address: server.address,
                group: group.clone(),
                command: Command::Status,
                sent_at: now,
            }));
        }
    }

    /// Handles the answer to a probe of a suspected primary: an address that refuses
    /// connections, or where none can be established, makes this instance suspect
    /// the primary too.
    ///
    /// A probe that was answered does not clear a suspicion that an earlier one
    /// caused. [`Coordinator::clear_suspicion`] does, when the instance's own traffic
    /// shows that the primary answers, and otherwise the next record of the group.
    pub(super) fn handle_probe_answer(
        &mut self,
        group: &GroupId,
        server: &ServerId,
        result: &Result<ServerStatus, ControlFailure>,
    ) {
        let Some(probe) = self.probes.get(group).filter(|probe| probe.primary == *server) else {
            return;
        };
        let kind = match result {
            Err(ControlFailure::Refused) => SuspicionKind::Refused,
            Err(ControlFailure::Silent) => SuspicionKind::Silent,
            Ok(_) | Err(ControlFailure::Rejected) => return,
        };
        let suspicion = DoubtRecord { primary: server.clone(), epoch: probe.epoch, kind };
        self.suspicions.insert(group.clone(), suspicion);
    }

    /// Writes this instance's suspicions into the store, and removes those that
    /// were cleared.
    pub(super) fn write_suspicions(&mut self, view: &StoreView, now: Moment) {
        let Some(lease) = self.lease.id else {
            return;
        };
        if self.suspicions.is_empty() && !view.has_suspicions() {
            return;
        }
        let is_active = self.is_active(view, now);
        let mut calls = Vec::new();
        self.suspicions.retain(|group, suspicion| {
            view.group(group).is_some_and(|record| record.epoch == suspicion.epoch)
        });
        let suspected_since = &mut self.suspected_since;
        suspected_since.retain(|group, _| self.suspicions.contains_key(group));
        let is_large = view.live_count() > SMALL_FLEET;
        for (group, suspicion) in &self.suspicions {
            let since = *suspected_since.entry(group.clone()).or_insert(now);
            // Those that probe a primary suffice to have it replaced if it is down. What the
            // others know matters where a cut separates only some of them from it.
            let is_deferred = is_large
                && suspicion.kind != SuspicionKind::Failing
                && now.since(since) < DEFERRED_SUSPICION_TIME
                && view.suspicions(group).any(|(_, found)| found.epoch == suspicion.epoch)
                && !probing_members(view, group).contains(&self.instance);
            if is_deferred && !is_active {
                continue;
            }
            let written = view.suspicions(group).find(|(instance, _)| **instance == self.instance);
            // A refused connection is the stronger sign, so a later suspicion of
            // another kind doesn't replace it.
            // One that this instance has not written in this era is bound to an earlier lease.
            let is_stored = self.stored_suspicions.contains_key(group);
            let is_written = written.filter(|_| is_stored).is_some_and(|(_, written)| {
                written == suspicion
                    || (written.epoch == suspicion.epoch && written.kind == SuspicionKind::Refused)
            });
            // The view may not contain the last write yet.
            let is_written = is_written
                || self.stored_suspicions.get(group).is_some_and(|(stored, revision)| {
                    stored == suspicion && view.revision() < *revision
                });
            if !is_written {
                let value =
                    serde_json::to_vec(suspicion).expect("a record is made of plain values");
                let key = suspicion_key(group, &self.instance);
                let write = Write { key, value: Some(value), lease: Some(lease) };
                calls.push((group.clone(), write));
            }
        }
        let cleared: Vec<_> = view
            .groups()
            .filter(|(group, _)| !self.suspicions.contains_key(*group))
            .filter(|(group, record)| {
                let mut suspicions = view.suspicions(group);
                suspicions.any(|(instance, suspicion)| {
                    *instance == self.instance && suspicion.epoch == record.value.epoch
                })
            })
            .map(|(group, _)| group.clone())
            .collect();
        for group in cleared {
            let key = suspicion_key(&group, &self.instance);
            calls.push((group, Write { key, value: None, lease: None }));
        }
        for (group, write) in calls {
            let is_removal = write.value.is_none();
            let call = StoreCall::Commit { expected: Vec::new(), writes: vec![write] };
            if self.call(now, Purpose::Doubt(group.clone()), call) {
                let sent = self.suspicions.get(&group).filter(|_| !is_removal).cloned();
                self.sent_suspicions.extend(sent.map(|sent| (group, sent)));
            }
        }
    }
}

/// Returns the instances that probe a group's primary when others suspect it.
///
/// They are ranked by a hash of group and instance, so that all instances choose
/// the same ones and groups are spread over all instances.
pub(super) fn probing_members(view: &StoreView, group: &GroupId) -> Vec<InstanceId> {
    let seed = xxh3_64(group.as_str().as_bytes());
    let mut ranked: Vec<_> = view
        .live()
        .map(|instance| (xxh3_64_with_seed(instance.as_str().as_bytes(), seed), instance))
        .collect();
    ranked.sort();
    ranked.into_iter().take(PROBING_MEMBER_COUNT).map(|(_, instance)| instance.clone()).collect()
}

/// Returns the condition that no group's record has changed since the view, empty if the
/// store does not accept so many conditions or a record's revision is not known.
fn unchanged_groups(view: &StoreView, writes: usize) -> Vec<(String, u64)> {
    let conditions: Vec<(String, u64)> =
        view.groups().map(|(group, record)| (group_key(group), record.revision)).collect();
    let is_possible = conditions.len() + writes <= MAX_TRANSACTION_ENTRIES
        && conditions.iter().all(|(_, revision)| *revision > 0 && era_of(*revision) == view.era());
    if is_possible { conditions } else { Vec::new() }
}

/// Returns whether a membership confirms at least these ends of work, each given as
/// the group and the epoch of its replacement.
fn has_stop_confirmations(stored: &MemberRecord, stopped: &[(GroupId, u64)]) -> bool {
    stopped
        .iter()
        .all(|(group, epoch)| stored.stopped.iter().any(|(id, last)| id == group && last >= epoch))
}
