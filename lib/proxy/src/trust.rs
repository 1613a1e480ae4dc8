//! Whether an instance may use the primary of a group.
//!
//! An instance may use primaries for [`ENTITLEMENT`] after the start of the
//! last exchange with the store that showed it the newest records, its own
//! membership and its own live key. Whoever replaces a primary first writes
//! that nobody may use it, and then waits until every member has confirmed or
//! its entitlement is over: [`ENTITLEMENT`] after the record was written, or
//! after the member's live key was gone.

use std::time::Duration;

use masticreel_base::ids::{GroupId, InstanceId, ServerId};

use crate::moment::Moment;
use crate::records::{GroupRecord, Phase};
use crate::store_view::StoreView;

/// How long an instance may use primaries without hearing from the store.
///
/// Longer than the store's outages that operators plan for (9 s) and a watch.
pub const ENTITLEMENT: Duration = Duration::from_secs(12);
/// How much longer a replacement waits than entitlements last, so that
/// statements sent at the very end are over.
pub const ENTITLEMENT_MARGIN: Duration = Duration::from_millis(1500);

/// Returns the record of a group if its primary may be used now.
pub fn usable_primary<'a>(
    view: &'a StoreView,
    own: &InstanceId,
    incarnation: u64,
    group: &GroupId,
    now: Moment,
) -> Option<&'a GroupRecord> {
    let record = view.group(group)?;
    let is_entitled = is_member(view, own, incarnation)
        && view.is_live(own)
        && now < view.confirmed_at()? + ENTITLEMENT;
    (record.phase == Phase::Serving && is_entitled).then_some(record)
}

/// Returns whether the store lists this life of the instance.
pub fn is_member(view: &StoreView, own: &InstanceId, incarnation: u64) -> bool {
    view.member(own).is_some_and(|member| member.incarnation == incarnation)
}

/// Returns the server that must not be used in any role that demands the
/// newest data while its group changes its primary.
pub fn retiring_primary<'a>(view: &'a StoreView, group: &GroupId) -> Option<(&'a ServerId, u64)> {
    let record = view.group(group)?;
    (record.phase == Phase::Changing).then_some((&record.primary, record.epoch))
}
