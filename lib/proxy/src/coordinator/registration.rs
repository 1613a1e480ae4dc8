//! An instance's lease, membership and doubts in the store.

use std::time::Duration;

use masticreel_base::ids::{GroupId, InstanceId, ServerId};
use slog::info;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::coordinator::{ControlFailure, Coordinator, Purpose, Step};
use crate::moment::Moment;
use crate::records::{
    DoubtKind, DoubtRecord, MemberRecord, Phase, StoreAnswer, StoreCall, Write, doubt_key,
    live_key, member_key,
};
use crate::statement::{Command, ServerStatus};
use crate::store_view::StoreView;

/// The pause before a call that failed is made again.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The longest pause after failures in a row, in pauses.
pub(super) const LONGEST_RETRY_PAUSES: u32 = 4;
/// The time in which a watch shows what was written.
pub(super) const SETTLE_PAUSE: Duration = Duration::from_millis(150);
/// How long a confirmation waits for the holder to hear it directly, before it
/// is written into the store.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(300);
/// How long a lease lasts: two renewals may be lost.
const LEASE_LIFETIME: Duration = Duration::from_millis(3200);
/// The part of its lifetime after which a lease is renewed.
const RENEWALS_PER_LIFETIME: u32 = 3;

/// How many instances look at a primary that another one doubts, beside the
/// holder of the duty.
pub(super) const PROBING_MEMBERS: usize = 4;
/// The pause between two such looks.
const PROBE_PAUSE: Duration = Duration::from_millis(300);

/// A look at a primary that another instance doubts.
#[derive(Debug)]
pub(super) struct Probe {
    primary: ServerId,
    epoch: u64,
    asked_at: Moment,
}

/// The instance's lease.
#[derive(Debug)]
pub struct Lease {
    lifetime: Duration,
    id: Option<u64>,
    valid_until: Moment,
    renewed_at: Moment,
}

impl Lease {
    /// Creates a lease that is yet to be granted.
    pub fn new(shortest: Duration) -> Self {
        Self {
            lifetime: LEASE_LIFETIME.max(shortest),
            id: None,
            valid_until: Moment::default(),
            renewed_at: Moment::default(),
        }
    }

    /// Returns the lease if it surely lasts for this long.
    pub(super) fn lasting(&self, now: Moment, duration: Duration) -> Option<u64> {
        self.id.filter(|_| now + duration < self.valid_until)
    }

    /// Takes the answer to a grant or renewal that was asked for at a moment.
    ///
    /// The lease runs from the arrival of the call, which is not before.
    pub(super) fn answered(&mut self, asked_at: Moment, now: Moment, answer: Option<&StoreAnswer>) {
        match answer {
            Some(StoreAnswer::Lease { lease, lifetime }) => {
                if *lease != 0 {
                    self.id = Some(*lease);
                }
                self.valid_until = asked_at + *lifetime;
                self.renewed_at = now;
            }
            Some(StoreAnswer::LeaseGone) => self.ended(),
            _ => {}
        }
    }

    /// Forgets a lease that has ended.
    pub(super) fn ended(&mut self) {
        self.id = None;
        self.valid_until = Moment::default();
    }
}

impl Coordinator {
    pub(super) fn keep_registered(&mut self, view: &StoreView, now: Moment) {
        let Some(lease) = self.lease.id else {
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
        let record = self.member_record(view, now);
        let is_registered = view.member(&self.instance) == Some(&record);
        let is_live = view.is_live(&self.instance);
        if is_registered && is_live {
            return;
        }
        let value = serde_json::to_vec(&record).expect("a record is made of plain values");
        let mut writes = Vec::new();
        if !is_live {
            let value = Some(self.incarnation.to_string().into_bytes());
            writes.push(Write { key: live_key(&self.instance), value, lease: Some(lease) });
        }
        if !is_registered {
            let key = member_key(&self.instance);
            writes.push(Write { key, value: Some(value), lease: None });
        }
        self.call(now, Purpose::Register, StoreCall::Commit { expected: Vec::new(), writes });
    }

    /// Returns the membership as it should be in the store.
    fn member_record(&self, view: &StoreView, now: Moment) -> MemberRecord {
        let is_current =
            |group: &_, epoch: u64| view.group(group).is_some_and(|record| record.epoch == epoch);
        let stopped: Vec<_> = self
            .stopped
            .iter()
            .filter(|(group, (epoch, at))| {
                is_current(group, *epoch) && now.since(*at) >= CONFIRMATION_DELAY
            })
            .map(|(group, (epoch, _))| (group.clone(), *epoch))
            .collect();
        let known = view.member(&self.instance);
        // Confirmations of changes that are over need no write of their own.
        match known {
            Some(known)
                if known.incarnation == self.incarnation
                    && known.address == Some(self.placement.address)
                    && known.domain.as_ref() == Some(&self.placement.domain)
                    && known.capacity == self.placement.capacity
                    && known.is_leaving == self.is_leaving
                    && covers(known, &stopped) =>
            {
                known.clone()
            }
            _ => MemberRecord {
                incarnation: self.incarnation,
                stopped,
                address: Some(self.placement.address),
                domain: Some(self.placement.domain.clone()),
                capacity: self.placement.capacity,
                is_leaving: self.is_leaving,
            },
        }
    }

    /// Looks at primaries that other instances doubt.
    ///
    /// One instance's doubt replaces nobody, and the others may have no traffic
    /// that would show them what it saw.
    pub(super) fn probe_doubted(&mut self, view: &StoreView, now: Moment) {
        if !view.has_doubts() {
            return;
        }
        let is_chosen = self.holds_duty(view, now) || view.live_count() <= PROBING_MEMBERS;
        for (group, record) in view.groups() {
            let record = &record.value;
            let is_doubted = view
                .doubts(group)
                .any(|(instance, doubt)| *instance != self.instance && doubt.epoch == record.epoch);
            let is_known = self.doubts.contains_key(group) || record.phase == Phase::Changing;
            let is_recent =
                self.probes.get(group).is_some_and(|probe| now.since(probe.asked_at) < PROBE_PAUSE);
            let Some(server) = view.last_known(&record.primary) else {
                continue;
            };
            if !is_doubted || is_known || is_recent {
                continue;
            }
            if !is_chosen && !probing_members(view, group).contains(&self.instance) {
                continue;
            }
            let primary = record.primary.clone();
            self.probes.insert(
                group.clone(),
                Probe { primary: primary.clone(), epoch: record.epoch, asked_at: now },
            );
            self.steps.push(Step::Control {
                server: primary,
                address: server.address,
                group: group.clone(),
                command: Command::Status,
            });
        }
    }

    /// Takes what a look at a doubted primary showed.
    pub(super) fn note_probe(
        &mut self,
        group: &GroupId,
        server: &ServerId,
        result: &Result<ServerStatus, ControlFailure>,
    ) {
        let Some(probe) = self.probes.get(group).filter(|probe| probe.primary == *server) else {
            return;
        };
        let kind = match result {
            Err(ControlFailure::Refused) => DoubtKind::Refused,
            Err(ControlFailure::Silent) => DoubtKind::Silent,
            Ok(_) | Err(ControlFailure::Rejected) => return,
        };
        let doubt = DoubtRecord { primary: server.clone(), epoch: probe.epoch, kind };
        self.doubts.insert(group.clone(), doubt);
    }

    pub(super) fn keep_doubts(&mut self, view: &StoreView, now: Moment) {
        let Some(lease) = self.lease.id else {
            return;
        };
        if self.doubts.is_empty() && !view.has_doubts() {
            return;
        }
        let mut calls = Vec::new();
        self.doubts.retain(|group, doubt| {
            view.group(group).is_some_and(|record| record.epoch == doubt.epoch)
        });
        for (group, doubt) in &self.doubts {
            let written = view.doubts(group).find(|(instance, _)| **instance == self.instance);
            // A refusal is the stronger sign; it is not taken back for silence.
            let is_written = written.is_some_and(|(_, written)| {
                written == doubt
                    || (written.epoch == doubt.epoch && written.kind == DoubtKind::Refused)
            });
            if !is_written {
                let value = serde_json::to_vec(doubt).expect("a record is made of plain values");
                let key = doubt_key(group, &self.instance);
                let write = Write { key, value: Some(value), lease: Some(lease) };
                calls.push((Purpose::Doubt(group.clone()), write));
            }
        }
        let withdrawn: Vec<_> = view
            .groups()
            .filter(|(group, _)| !self.doubts.contains_key(*group))
            .filter(|(group, record)| {
                let mut doubts = view.doubts(group);
                doubts.any(|(instance, doubt)| {
                    *instance == self.instance && doubt.epoch == record.value.epoch
                })
            })
            .map(|(group, _)| group.clone())
            .collect();
        for group in withdrawn {
            let key = doubt_key(&group, &self.instance);
            calls.push((Purpose::Doubt(group), Write { key, value: None, lease: None }));
        }
        for (purpose, write) in calls {
            let call = StoreCall::Commit { expected: Vec::new(), writes: vec![write] };
            if self.call(now, purpose.clone(), call) {
                info!(self.log, "doubt about a primary written"; "purpose" => ?purpose,
                    "doubts" => ?self.doubts);
            }
        }
    }
}

/// Returns the instances that look at a group's primary when others doubt it,
/// the same in every instance's eyes and spread over the fleet.
pub(super) fn probing_members(view: &StoreView, group: &GroupId) -> Vec<InstanceId> {
    let seed = xxh3_64(group.as_str().as_bytes());
    let mut ranked: Vec<_> = view
        .live()
        .map(|instance| (xxh3_64_with_seed(instance.as_str().as_bytes(), seed), instance))
        .collect();
    ranked.sort();
    ranked.into_iter().take(PROBING_MEMBERS).map(|(_, instance)| instance.clone()).collect()
}

/// Returns whether a record has at least these confirmations.
fn covers(known: &MemberRecord, stopped: &[(GroupId, u64)]) -> bool {
    stopped
        .iter()
        .all(|(group, epoch)| known.stopped.iter().any(|(known, at)| known == group && at >= epoch))
}
