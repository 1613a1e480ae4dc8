//! The primary lease: whether an instance may use the primary of a group.
//!
//! An instance's primary lease lasts for [`PRIMARY_LEASE`] from the start of the
//! last exchange with the store that showed it the newest records, its own
//! membership and its own live key. The active coordinator, which replaces
//! primaries, first writes a record that forbids the use of the primary. It then
//! waits until every member has confirmed that its work there has ended or the
//! member's primary lease has expired: [`PRIMARY_LEASE`] after the record was written,
//! or after the member's live key was removed.
//!
//! A store that comes back from an older copy may show an older record and lack
//! memberships. There the primary lease is not extended until the active coordinator has
//! settled the group's record in the store's new era (module `settlement` of the
//! coordinator).
//!
//! Once the last such exchange is older than [`MAX_FRESH_VIEW_AGE`], an instance
//! delivers a primary's answer to a read outside a read-write transaction only
//! after the server has confirmed its role. Writes and read-write transactions need
//! no check: a server that has stepped down refuses them. So if the old primary has
//! stepped down before the new one is promoted, a replacement waits only for
//! [`MAX_FRESH_VIEW_AGE`].

use std::time::Duration;

use masticreel_base::ids::{GroupId, InstanceId, ServerId};

use crate::moment::Moment;
use crate::records::{GroupRecord, Phase};
use crate::store_view::StoreView;

/// How long an instance may use primaries after its last confirmed exchange with
/// the store.
///
/// Longer than the network cuts that operators plan for (12 s), plus a watch and its
/// timeout.
pub const PRIMARY_LEASE: Duration = Duration::from_secs(16);
/// How long after its last confirmed exchange with the store an instance accepts a
/// primary's answers to reads without requesting the server's role.
///
/// Longer than a watch with its timeout, so that it does not pass while the store is
/// reachable.
pub const MAX_FRESH_VIEW_AGE: Duration = Duration::from_millis(3500);
/// How much longer a replacement waits than primary leases last, so that statements
/// sent just before their end have finished.
pub const PRIMARY_LEASE_MARGIN: Duration = Duration::from_millis(1500);

/// Returns the record of a group if its primary may be used now.
pub fn usable_primary<'a>(
    view: &'a StoreView,
    own: &InstanceId,
    incarnation: u64,
    group: &GroupId,
    now: Moment,
) -> Option<&'a GroupRecord> {
    let record = view.group(group)?;
    let has_primary_lease = is_registered(view, own, incarnation)
        && view.is_live(own)
        && now < view.confirmed_at_of(group)? + PRIMARY_LEASE;
    (record.phase == Phase::Serving && has_primary_lease).then_some(record)
}

/// Returns whether a moment is less than [`MAX_FRESH_VIEW_AGE`] after the last
/// exchange in which the store showed that a group's record is the newest.
pub fn is_view_fresh(view: &StoreView, group: &GroupId, at: Moment) -> bool {
    view.confirmed_at_of(group).is_some_and(|confirmed_at| at < confirmed_at + MAX_FRESH_VIEW_AGE)
}

/// Returns whether the store lists this incarnation of the instance as a member.
pub fn is_registered(view: &StoreView, own: &InstanceId, incarnation: u64) -> bool {
    view.member(own).is_some_and(|member| member.incarnation == incarnation)
}

/// Returns the old primary of a group whose primary is being replaced, and the epoch
/// of the record that blocked it.
///
/// This server must not be used for anything that needs the newest data.
pub fn primary_being_replaced<'a>(
    view: &'a StoreView,
    group: &GroupId,
) -> Option<(&'a ServerId, u64)> {
    let record = view.group(group)?;
    (record.phase == Phase::Changing).then_some((&record.primary, record.epoch))
}
