//! The coordinator role, and what its holder does besides replacing primaries.
//!
//! The role is a key of the store that is removed when its holder's store lease
//! expires; an instance takes the role by writing the missing key. Every instance
//! tracks which members have lost their store leases. The active coordinator removes
//! the memberships of members that can't use primaries any more, and writes the first
//! records of new groups.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use masticreel_base::ids::{GroupId, InstanceId, Term};
use slog::info;

use crate::coordinator::{Coordinator, Purpose};
use crate::moment::Moment;
use crate::primary_lease::{PRIMARY_LEASE, PRIMARY_LEASE_MARGIN};
use crate::records::{
    COORDINATOR_KEY, GroupRecord, Phase, StoreAnswer, StoreCall, Write, group_key, live_key,
    member_key,
};
use crate::statement::Role;
use crate::store_era::next_epoch;
use crate::store_view::StoreView;

/// How much of the lifetime of the holder's store lease must be left for the
/// coordinator role to count as held.
const STORE_LEASE_RESERVE: Duration = Duration::from_millis(500);
/// The time between two checks of which members have lost their store leases.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The upper bound of the jitter with which instances try to take the vacant
/// coordinator role.
const VACANCY_JITTER_MS: u64 = 400;

impl Coordinator {
    /// Returns whether this instance is the active coordinator, which replaces
    /// primaries: it holds the coordinator role, by its present store lease.
    pub fn is_active(&self, view: &StoreView, now: Moment) -> bool {
        let lease = self.lease.id_if_valid_for(now, STORE_LEASE_RESERVE);
        self.is_holder(view) && lease.is_some() && lease == self.role_lease
    }

    /// Returns whether the store names this instance as the holder of the coordinator role.
    fn is_holder(&self, view: &StoreView) -> bool {
        view.coordinator_role().is_some_and(|role| {
            role.holder == self.instance && role.incarnation == self.incarnation
        })
    }

    /// Returns the condition under which a transaction commits only while the
    /// coordinator role has its present holder, and that holder's fencing token.
    ///
    /// It does not check that the holder is this instance: only the active coordinator
    /// calls it.
    pub(super) fn role_condition(&self, view: &StoreView) -> Option<((String, u64), u64)> {
        let role = view.coordinator_role()?;
        Some(((COORDINATOR_KEY.to_owned(), role.revision), role.fencing_token))
    }

    /// Tries to take the coordinator role when it is vacant, and binds it to the present store
    /// lease if this instance holds it by an earlier one.
    pub(super) fn maintain_role(&mut self, view: &StoreView, now: Moment) {
        if self.is_active(view, now) {
            if self.active_since.is_none() {
                self.active_since = Some(now);
                info!(self.log, "coordinator role taken";
                    "token" => view.coordinator_role().map_or(0, |role| role.fencing_token));
            }
            return;
        }
        if view.confirmed_at().is_none() {
            self.vacant_since = None;
            return;
        }
        if let Some(role) = view.coordinator_role() {
            self.vacant_since = None;
            if self.is_holder(view) {
                self.write_role(now, role.revision);
            }
            return;
        }
        let vacant_since = *self.vacant_since.get_or_insert(now);
        let mut hasher = DefaultHasher::new();
        (&self.instance, view.revision()).hash(&mut hasher);
        let jitter = Duration::from_millis(hasher.finish() % VACANCY_JITTER_MS);
        if now >= vacant_since + jitter {
            self.write_role(now, 0);
        }
    }

    /// Writes the key of the coordinator role if it has this revision, bound to the present
    /// store lease.
    fn write_role(&mut self, now: Moment, revision: u64) {
        let Some(lease) = self.lease.id_if_valid_for(now, STORE_LEASE_RESERVE) else {
            return;
        };
        if self.role_lease == Some(lease) && revision > 0 {
            return;
        }
        let holder = (&self.instance, self.incarnation);
        let value = serde_json::to_vec(&holder).expect("a record is made of plain values");
        let write =
            Write { key: COORDINATOR_KEY.to_owned(), value: Some(value), lease: Some(lease) };
        let expected = vec![(COORDINATOR_KEY.to_owned(), revision)];
        let call = StoreCall::Commit { expected, writes: vec![write] };
        if self.call(now, Purpose::TakeDuty, call) {
            self.sent_role_lease = Some(lease);
        }
    }

    pub(super) fn handle_role_answer(&mut self, answer: Option<&StoreAnswer>) {
        let sent = self.sent_role_lease.take();
        if matches!(answer, Some(StoreAnswer::Committed { .. })) {
            self.role_lease = sent;
        }
    }

    /// Tracks since when members have been without their store leases.
    pub(super) fn track_members_without_lease(&mut self, view: &StoreView, now: Moment) {
        if view.confirmed_at().is_none()
            || now.since(self.members_checked_at) < MEMBER_CHECK_INTERVAL
        {
            return;
        }
        self.members_checked_at = now;
        // A member that was back in between may have used primaries since.
        self.members_without_lease.retain(|instance, (_, presence)| {
            view.member(instance).is_some()
                && !view.is_live(instance)
                && *presence == view.last_presence(instance)
        });
        for (instance, _) in view.members() {
            if !view.is_live(instance) {
                let gone = (now, view.last_presence(instance));
                self.members_without_lease.entry(instance.clone()).or_insert(gone);
            }
        }
    }

    /// Returns whether a member has been without its store lease for `max_use` and
    /// [`PRIMARY_LEASE_MARGIN`]. `max_use` is the time for which it may use a
    /// primary after its last view of the store: its primary lease, or less if the
    /// primary has stepped down.
    pub(super) fn has_been_without_lease_for(
        &self,
        view: &StoreView,
        member: &InstanceId,
        max_use: Duration,
        now: Moment,
    ) -> bool {
        // The members without a lease are tracked less often than the view changes.
        !view.is_live(member)
            && self.members_without_lease.get(member).is_some_and(|(since, presence)| {
                *presence == view.last_presence(member)
                    && now.since(*since) >= max_use + PRIMARY_LEASE_MARGIN
            })
    }

    /// Requests the removal of the memberships of instances whose primary lease has
    /// expired.
    pub(super) fn remove_expired_members(&mut self, view: &StoreView, now: Moment) {
        let members: Vec<(InstanceId, u64)> =
            view.members().map(|(instance, member)| (instance.clone(), member.revision)).collect();
        for (instance, revision) in members {
            if !self.has_been_without_lease_for(view, &instance, PRIMARY_LEASE, now) {
                continue;
            }
            let Some((condition, _)) = self.role_condition(view) else {
                continue;
            };
            let key = member_key(&instance);
            // A member that is back may have written only its live key.
            let expected = vec![condition, (key.clone(), revision), (live_key(&instance), 0)];
            let writes = vec![Write { key, value: None, lease: None }];
            let call = StoreCall::Commit { expected, writes };
            if self.call(now, Purpose::Dismiss(instance.clone()), call) {
                info!(self.log, "removal of instance without a store lease requested";
                    "member" => %instance);
            }
        }
    }

    /// Writes the first record of groups that have none, with the server that
    /// reports itself as the primary.
    pub(super) fn create_group_records(&mut self, view: &StoreView, now: Moment) {
        let Some(document) = view.document() else {
            return;
        };
        let without_record: Vec<GroupId> =
            document.groups.keys().filter(|group| view.group(group).is_none()).cloned().collect();
        for group in without_record {
            let primary = view
                .servers_of(&group)
                .filter(|server| server.role == Some(Role::Primary) && !server.is_leaving)
                .map(|server| server.id.clone())
                .min();
            let (Some(primary), Some((condition, _))) = (primary, self.role_condition(view)) else {
                continue;
            };
            let record = GroupRecord {
                epoch: next_epoch(0, view.era()),
                phase: Phase::Serving,
                primary,
                term: Term(0),
                candidate: None,
                term_starts: Vec::new(),
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
