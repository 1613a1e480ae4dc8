//! Who replaces primaries, and the members that it counts on.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use masticreel_base::ids::{GroupId, InstanceId, Term};
use slog::info;

use crate::coordinator::{Coordinator, Purpose};
use crate::moment::Moment;
use crate::records::{DUTY_KEY, GroupRecord, Phase, StoreCall, Write, group_key, member_key};
use crate::statement::Role;
use crate::store_view::StoreView;
use crate::trust::{ENTITLEMENT, ENTITLEMENT_MARGIN};

/// What must be left of the lease for the duty to count as held.
const DUTY_RESERVE: Duration = Duration::from_millis(500);
/// How often an instance looks which of the members are without their leases.
const COUNTING_INTERVAL: Duration = Duration::from_millis(100);
/// Spreads the attempts of all instances to take a vacant duty.
const VACANCY_SPREAD_MS: u64 = 400;

impl Coordinator {
    /// Returns whether this instance replaces primaries.
    pub fn holds_duty(&self, view: &StoreView, now: Moment) -> bool {
        let is_holder = view.duty().is_some_and(|duty| {
            duty.holder == self.instance && duty.incarnation == self.incarnation
        });
        is_holder && self.lease.lasting(now, DUTY_RESERVE).is_some()
    }

    /// Returns the condition that the duty is still held, with the token.
    pub(super) fn duty_condition(&self, view: &StoreView) -> Option<((String, u64), u64)> {
        let duty = view.duty()?;
        Some(((DUTY_KEY.to_owned(), duty.revision), duty.token))
    }

    pub(super) fn keep_duty(&mut self, view: &StoreView, now: Moment) {
        if self.holds_duty(view, now) {
            if self.held_since.is_none() {
                self.held_since = Some(now);
                info!(self.log, "duty taken";
                    "token" => view.duty().map_or(0, |duty| duty.token));
            }
            return;
        }
        if view.duty().is_some() || view.confirmed_at().is_none() {
            self.vacant_since = None;
            return;
        }
        let vacant_since = *self.vacant_since.get_or_insert(now);
        let mut hasher = DefaultHasher::new();
        (&self.instance, view.revision()).hash(&mut hasher);
        let spread = Duration::from_millis(hasher.finish() % VACANCY_SPREAD_MS);
        let Some(lease) = self.lease.lasting(now, DUTY_RESERVE) else {
            return;
        };
        if now < vacant_since + spread {
            return;
        }
        let holder = (&self.instance, self.incarnation);
        let value = serde_json::to_vec(&holder).expect("a record is made of plain values");
        let write = Write { key: DUTY_KEY.to_owned(), value: Some(value), lease: Some(lease) };
        let expected = vec![(DUTY_KEY.to_owned(), 0)];
        self.call(now, Purpose::TakeDuty, StoreCall::Commit { expected, writes: vec![write] });
    }

    /// Notes since when members have been without their leases.
    pub(super) fn note_silent_members(&mut self, view: &StoreView, now: Moment) {
        if view.confirmed_at().is_none() || now.since(self.counted_at) < COUNTING_INTERVAL {
            return;
        }
        self.counted_at = now;
        self.silent_members
            .retain(|instance, _| view.member(instance).is_some() && !view.is_live(instance));
        for (instance, _) in view.members() {
            if !view.is_live(instance) {
                self.silent_members.entry(instance.clone()).or_insert(now);
            }
        }
    }

    /// Returns whether a member has been without its lease for longer than an
    /// entitlement lasts.
    pub(super) fn is_silent_for(
        &self,
        member: &InstanceId,
        entitlement: Duration,
        now: Moment,
    ) -> bool {
        self.silent_members
            .get(member)
            .is_some_and(|since| now.since(*since) >= entitlement + ENTITLEMENT_MARGIN)
    }

    /// Removes members that can't be entitled any more.
    pub(super) fn dismiss_members(&mut self, view: &StoreView, now: Moment) {
        let members: Vec<(InstanceId, u64)> =
            view.members().map(|(instance, member)| (instance.clone(), member.revision)).collect();
        for (instance, revision) in members {
            if !self.is_silent_for(&instance, ENTITLEMENT, now) {
                continue;
            }
            let Some((condition, _)) = self.duty_condition(view) else {
                continue;
            };
            let key = member_key(&instance);
            let expected = vec![condition, (key.clone(), revision)];
            let writes = vec![Write { key, value: None, lease: None }];
            let call = StoreCall::Commit { expected, writes };
            if self.call(now, Purpose::Dismiss(instance.clone()), call) {
                info!(self.log, "member dismissed"; "member" => %instance);
            }
        }
    }

    /// Writes the first record of groups that have none.
    pub(super) fn introduce_groups(&mut self, view: &StoreView, now: Moment) {
        let Some(document) = view.document() else {
            return;
        };
        let unknown: Vec<GroupId> =
            document.groups.keys().filter(|group| view.group(group).is_none()).cloned().collect();
        for group in unknown {
            let primary = view
                .servers_of(&group)
                .filter(|server| server.role == Some(Role::Primary) && !server.is_leaving)
                .map(|server| server.id.clone())
                .min();
            let (Some(primary), Some((condition, _))) = (primary, self.duty_condition(view)) else {
                continue;
            };
            let record = GroupRecord {
                epoch: 1,
                phase: Phase::Serving,
                primary,
                term: Term(0),
                candidate: None,
            };
            let key = group_key(&group);
            let expected = vec![condition, (key.clone(), 0)];
            let value = serde_json::to_vec(&record).expect("a record is made of plain values");
            let writes = vec![Write { key, value: Some(value), lease: None }];
            let call = StoreCall::Commit { expected, writes };
            self.call(now, Purpose::Introduce(group), call);
        }
    }
}
