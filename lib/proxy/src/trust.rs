//! Whether an instance may use the primary of a group.
//!
//! An instance may use primaries for [`ENTITLEMENT`] after the start of the
//! last exchange with the store that showed it the newest records, its own
//! membership and its own live key. Whoever replaces a primary first writes
//! that nobody may use it, and then waits until every member has confirmed or
//! its entitlement is over: [`ENTITLEMENT`] after the record was written, or
//! after the member's live key was gone.
//!
//! After [`FRESHNESS`] an instance uses a primary only for what the server would
//! refuse once it has stepped down (writes and transactions), and asks for the
//! server's role after each other read. So where the old primary has stepped
//! down before the new one leads, a replacement waits for [`FRESHNESS`] only.

use std::time::Duration;

use masticreel_base::ids::{GroupId, InstanceId, ServerId};

use crate::moment::Moment;
use crate::records::{GroupRecord, Phase};
use crate::store_view::StoreView;

/// How long an instance may use primaries without hearing from the store.
///
/// Longer than the cuts that operators plan for (12 s), a watch and its time-out.
pub const ENTITLEMENT: Duration = Duration::from_secs(16);
/// How long an instance takes a primary's answers to reads on trust.
///
/// Longer than a watch with its time-out, so that it lasts while the store is
/// well.
pub const FRESHNESS: Duration = Duration::from_millis(3500);
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

/// Returns whether the store had shown the newest records shortly before a
/// moment.
pub fn is_fresh(view: &StoreView, at: Moment) -> bool {
    view.confirmed_at().is_some_and(|confirmed_at| at < confirmed_at + FRESHNESS)
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
