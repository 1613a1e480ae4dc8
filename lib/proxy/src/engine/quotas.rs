//! Takes a unit of the organisation's quota for each operation that goes to a server.
//!
//! An operation is a statement outside of a transaction, or a transaction, which is counted
//! with its first statement for a server. Retries by this instance are not counted again.

use std::sync::Arc;
use std::time::Duration;

use super::{Context, Engine};
use crate::caller::{CallerId, Stage, Transaction};
use crate::moment::Moment;
use crate::primary_lease::is_registered;
use crate::quota::allocator::Standing;
use crate::quota::bucket::Limit;
use crate::quota::grants::{Shortage, Take, Unit};
use crate::quota::{Limits, Member};
use crate::statement::{Failure, FailureKind, Work};
use crate::store_era::era_of;

/// When a caller may ask again after the allocator has not answered.
const UNANSWERED_RETRY: Duration = Duration::from_millis(500);

impl Engine {
    /// Passes on what this instance's right to grant quotas depends on.
    pub fn observe_quota_standing(
        &mut self,
        context: Context<'_>,
        lease_until: Option<Moment>,
        is_leaving: bool,
    ) {
        let Context { view, now } = context;
        let own = &self.settings.instance;
        let live_revision = view.live_revision(own).filter(|revision| {
            view.shows_present_era()
                && era_of(*revision) == view.era()
                && is_registered(view, own, self.settings.incarnation)
        });
        let standing = Standing {
            registration: live_revision,
            confirmed_at: view.confirmed_at(),
            lease_until,
            is_leaving,
        };
        self.quotas.observe(standing, now);
    }

    /// Passes on the members among which the allocators of quotas are chosen.
    pub fn members_changed(&mut self, context: Context<'_>) {
        let view = context.view;
        let members = view.live().filter(|instance| view.accepts_work(instance));
        let members = members.filter_map(|instance| {
            let record = view.member(instance).filter(|record| record.allocates_quotas)?;
            Some(Member {
                instance: instance.clone(),
                incarnation: record.incarnation,
                address: record.address,
            })
        });
        self.quotas.set_members(members.collect(), context.now);
    }

    /// Passes on the limits of the active document.
    pub fn limits_changed(&mut self, context: Context<'_>) {
        let Some(document) = context.view.document() else {
            return;
        };
        let organisations = document.organisations.iter().flat_map(|known| known.iter());
        let by_organisation = organisations.filter_map(|organisation| {
            let quota = organisation.quota?;
            // With less than one unit, a bucket would never give one out.
            let least = if quota.operations_per_s > 0.0 { 1.0 } else { 0.0 };
            let burst = quota.burst.max(least);
            let limit = Limit { operations_per_s: quota.operations_per_s, burst };
            Some((Arc::clone(&organisation.name), limit))
        });
        let version = document.version;
        self.quotas.set_limits(Limits { version, by_organisation: by_organisation.collect() });
    }

    /// Takes a unit for a pending request if it needs one. Returns whether the request may go
    /// on; otherwise it waits for a unit or was refused.
    pub(super) fn has_unit(&mut self, context: Context<'_>, id: CallerId) -> bool {
        let Some(caller) = self.callers.get(&id) else {
            return false;
        };
        let Some(pending) = &caller.pending else {
            return false;
        };
        if matches!(&caller.transaction, Transaction::Open(open) if open.has_unit) {
            return true;
        }
        let Some(organisation) = &pending.organisation else {
            return true;
        };
        let Some(limit) = self.quotas.limit_of(organisation) else {
            return true;
        };
        let organisation = Arc::clone(organisation);
        match self.quotas.take(&organisation, limit, id, context.now) {
            Take::Taken(unit) => {
                self.unit_taken(id, unit);
                true
            }
            Take::Refused(shortage) => {
                self.refuse_over_quota(context, id, shortage);
                false
            }
            Take::Waiting => {
                if let Some(pending) =
                    self.callers.get_mut(&id).and_then(|caller| caller.pending.as_mut())
                {
                    pending.stage = Stage::AwaitingQuota;
                }
                false
            }
        }
    }

    /// Requests the units that operations wait for, and continues or refuses the operations
    /// whose wait has ended.
    pub fn settle_quotas(&mut self, context: Context<'_>) {
        loop {
            self.quotas.send_requests(context.now);
            let outcomes = self.quotas.take_outcomes();
            if outcomes.is_empty() {
                return;
            }
            for (id, outcome) in outcomes {
                let stage = self.callers.get(&id).and_then(|caller| caller.pending.as_ref());
                if stage.is_none_or(|pending| pending.stage != Stage::AwaitingQuota) {
                    continue;
                }
                match outcome {
                    Ok(unit) => {
                        self.unit_taken(id, unit);
                        self.place(context, id, true);
                    }
                    Err(shortage) => self.refuse_over_quota(context, id, shortage),
                }
            }
        }
    }

    fn unit_taken(&mut self, id: CallerId, unit: Unit) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        if let Transaction::Open(open) = &mut caller.transaction {
            open.has_unit = true;
        }
        if let Some(pending) = &mut caller.pending {
            pending.unit = Some(unit);
        }
    }

    /// Returns the unit of a request that was never sent to a server, and ends its wait for
    /// one.
    pub(super) fn give_unit_back(&mut self, context: Context<'_>, id: CallerId) {
        let Some(pending) = self.callers.get_mut(&id).and_then(|caller| caller.pending.as_mut())
        else {
            return;
        };
        if pending.stage == Stage::AwaitingQuota {
            self.quotas.cancel(id);
        }
        let Some(unit) = pending.unit.take().filter(|_| pending.attempts == 0) else {
            return;
        };
        if let Some(organisation) = &pending.organisation {
            self.quotas.give_back(organisation, unit, context.now);
        }
    }

    /// Answers a request for which there is no unit. It has not run, and its transaction holds
    /// no connection, as it has sent nothing.
    fn refuse_over_quota(&mut self, context: Context<'_>, id: CallerId, shortage: Shortage) {
        // Callers that are refused together get different times.
        let jitter = self.jitter() + 0.5;
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let Some(pending) = &caller.pending else {
            return;
        };
        let name = pending.organisation.as_deref().unwrap_or_default();
        let text = match shortage {
            Shortage::Empty(retry_after) => {
                let retry_ms = retry_after.mul_f64(jitter).as_millis().max(1);
                format!("not run: the quota of {name} is used up; retry in {retry_ms} ms")
            }
            Shortage::NoAnswer => {
                let retry_ms = UNANSWERED_RETRY.mul_f64(jitter).as_millis();
                format!(
                    "not run: no answer about the quota of {name} in time; retry in {retry_ms} ms"
                )
            }
        };
        let tag = Arc::clone(&pending.tag);
        let is_commit = pending.work == Work::Commit;
        if matches!(caller.transaction, Transaction::Open(_)) {
            // A commit ends the transaction, and its answer reports the failure.
            caller.transaction = if is_commit {
                Transaction::None
            } else {
                Transaction::Failed { unreported: None }
            };
        }
        self.answer_failure(context, id, &tag, Failure::new(FailureKind::Busy, text));
    }
}
