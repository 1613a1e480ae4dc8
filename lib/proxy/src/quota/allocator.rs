//! Grants units of the organisations whose quotas this instance allocates.
//!
//! At most one instance grants an organisation's units at any time. An instance may grant
//! while all of these hold:
//!
//! - its store lease certainly lasts, so the store shows its live key to all;
//! - it is the first in a view younger than [`MAX_FRESH_VIEW_AGE`];
//! - its live key was written at least [`TAKEOVER_TIME`] ago, so any view by which another
//!   instance may grant shows it; or the instance that allocated before has handed the
//!   organisation over to it.
//!
//! An instance that was the first earlier and is missing in the view grants no more, since
//! its store lease has ended. In a new era of the store, where a live key may be missing
//! though its lease has not ended by its holder's clock, all live keys are written anew, so
//! every instance waits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::InstanceId;

use super::bucket::{Bucket, Limit};
use super::messages::HandedBucket;
use super::ranking::Ranking;
use crate::moment::Moment;
use crate::primary_lease::MAX_FRESH_VIEW_AGE;

/// How long before its store lease may end an instance stops granting; covers clocks that
/// run at different rates.
const LEASE_MARGIN: Duration = Duration::from_millis(100);
/// How long after its live key was written an instance may grant without a handover.
pub const TAKEOVER_TIME: Duration = MAX_FRESH_VIEW_AGE.saturating_add(LEASE_MARGIN);
/// How long a bucket is kept after its last use, if it is full.
const BUCKET_RETENTION: Duration = Duration::from_secs(10);
/// The interval at which buckets that are not needed are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The shortest time after which an entry asks again for an organisation whose bucket is empty.
const MIN_RETRY: Duration = Duration::from_millis(20);
/// The longest, unless no unit is added for longer; a longer one leaves units unused after
/// demand has fallen.
const MAX_RETRY: Duration = Duration::from_millis(500);
/// The requests per second for one organisation at which entries are asked to wait twice as
/// long. With 200, a flood on 63 instances cost each of them 33 datagrams a second.
const REQUESTS_PER_S: f64 = 50.0;
/// The share of what is above half of a full bucket that one entry gets in advance.
const SPARE_DIVISOR: f64 = 4.0;

/// What an instance's right to grant depends on, besides the ranking.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// The revision of this instance's live key, none unless the view shows that the instance
    /// is a member under its present incarnation in the store's present era.
    pub registration: Option<u64>,
    /// When the exchange began that last confirmed the view.
    pub confirmed_at: Option<Moment>,
    /// Until when the store lease certainly lasts, none if there is none.
    pub lease_until: Option<Moment>,
    /// Whether the instance is shutting down.
    pub is_leaving: bool,
}

/// The answer to a request for units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// So many units are granted. If these are fewer than needed, the time after which to ask
    /// again is given.
    Granted(u32, Option<Duration>),
    /// This instance can't grant yet, but is expected to after this time.
    NotYet(Duration),
    /// This instance doesn't allocate the organisation's quota.
    NotAllocator,
}

#[derive(Debug)]
struct Allocation {
    bucket: Bucket,
    /// The version of the document with the limit.
    version: u64,
    used_at: Moment,
    /// Requests per second, smoothed over about a second.
    request_rate: f64,
}

/// A handover that was received; its units are taken when the first request arrives.
#[derive(Debug)]
struct Received {
    units: Option<f64>,
    at: Moment,
}

/// The buckets of the organisations that this instance allocates.
#[derive(Debug)]
pub struct Allocator {
    own: InstanceId,
    standing: Standing,
    /// Since when this instance has known its present live key.
    registered_since: Moment,
    /// When the view was last confirmed after a time in which it was too old to grant by.
    interrupted_at: Moment,
    allocations: HashMap<Arc<str>, Allocation>,
    received: HashMap<Arc<str>, Received>,
    swept_at: Moment,
}

impl Allocator {
    /// Creates the allocator of an instance that has just started.
    pub fn new(own: InstanceId) -> Self {
        Self {
            own,
            standing: Standing::default(),
            registered_since: Moment::default(),
            interrupted_at: Moment::default(),
            allocations: HashMap::new(),
            received: HashMap::new(),
            swept_at: Moment::default(),
        }
    }

    /// Sets what the right to grant depends on.
    pub fn observe(&mut self, standing: Standing, now: Moment) {
        let previous = std::mem::replace(&mut self.standing, standing);
        if standing.registration != previous.registration {
            self.registered_since = now;
            // Another instance may have granted units meanwhile.
            self.allocations.clear();
            // A handover may arrive before the view shows the live key for which it was sent.
            if previous.registration.is_some() {
                self.received.clear();
            }
        }
        // An instance that came and went unseen may have granted units in the time between
        // two confirmations.
        if let (Some(last), Some(next)) = (previous.confirmed_at, standing.confirmed_at)
            && next.since(last) >= MAX_FRESH_VIEW_AGE
        {
            self.allocations.clear();
            self.interrupted_at = now;
        }
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.received.retain(|_, received| now.since(received.at) < TAKEOVER_TIME);
            self.allocations.retain(|_, allocation| {
                allocation.bucket.fill(now);
                !allocation.bucket.is_full() || now.since(allocation.used_at) < BUCKET_RETENTION
            });
        }
    }

    /// Returns how many buckets there are.
    pub fn len(&self) -> usize {
        self.allocations.len()
    }

    /// Returns whether there are no buckets.
    pub fn is_empty(&self) -> bool {
        self.allocations.is_empty()
    }

    /// Returns whether the store lease and the view allow to grant.
    fn has_right(&self, now: Moment) -> bool {
        let standing = &self.standing;
        standing.registration.is_some()
            && standing.lease_until.is_some_and(|until| now + LEASE_MARGIN < until)
            && standing.confirmed_at.is_some_and(|at| now < at + MAX_FRESH_VIEW_AGE)
    }

    /// Returns whether all views by which another instance may grant show this one.
    fn is_shown_to_all(&self, now: Moment) -> bool {
        now >= self.registered_since + TAKEOVER_TIME
    }

    /// Decides on a request for units: `needed` by operations that wait, `spare` in advance.
    ///
    /// Units in advance come from the upper half of the bucket only, so that what one entry
    /// holds doesn't refuse the operations of others.
    pub fn request(
        &mut self,
        ranking: &mut Ranking,
        organisation: &Arc<str>,
        (needed, spare): (u32, u32),
        (version, limit): (u64, Limit),
        now: Moment,
    ) -> Decision {
        if self.standing.is_leaving || ranking.first(organisation) != Some(&self.own) {
            return Decision::NotAllocator;
        }
        if !self.has_right(now) {
            return Decision::NotYet(MAX_RETRY);
        }
        let is_shown = self.is_shown_to_all(now);
        let received = self.received.get_mut(organisation);
        if received.is_none() && !is_shown {
            return Decision::NotYet((self.registered_since + TAKEOVER_TIME).since(now));
        }
        if !self.allocations.contains_key(organisation) {
            let units = match received.and_then(|received| received.units.take()) {
                Some(units) => units,
                None if !is_shown => 0.0,
                None => {
                    let first_since = ranking.first_since(organisation, &self.own).unwrap_or(now);
                    let since = first_since.max(self.registered_since + TAKEOVER_TIME);
                    now.since(since.max(self.interrupted_at)).as_secs_f64() * limit.operations_per_s
                }
            };
            let bucket = Bucket::new(limit, units, now);
            let allocation = Allocation { bucket, version, used_at: now, request_rate: 0.0 };
            self.allocations.insert(Arc::clone(organisation), allocation);
        }
        let allocation =
            self.allocations.get_mut(organisation).expect("the allocation was inserted above");
        allocation.grant(needed, spare, version, limit, now)
    }

    /// Returns the buckets that another instance takes over, by that instance, and removes
    /// them: those of which this instance is no longer the first, or all if it is leaving.
    ///
    /// None are returned if this instance can't know that nobody else grants their units.
    pub fn hand_over(
        &mut self,
        ranking: &mut Ranking,
        now: Moment,
    ) -> Vec<(InstanceId, HandedBucket)> {
        let has_right = self.has_right(now);
        let is_shown = self.is_shown_to_all(now);
        let is_leaving = self.standing.is_leaving;
        let mut handed = Vec::new();
        let names: Vec<Arc<str>> = self.allocations.keys().cloned().collect();
        for organisation in names {
            let first = ranking.first(&organisation).cloned();
            let next = match first {
                Some(first) if first != self.own => {
                    // The next one is known only if this instance comes directly after it.
                    let second = ranking.first_without(&organisation, &first);
                    (second == Some(&self.own)).then_some(first)
                }
                Some(_) if is_leaving => ranking.first_without(&organisation, &self.own).cloned(),
                Some(_) => continue,
                None => None,
            };
            let may_hand_over =
                has_right && (is_shown || self.received.contains_key(&organisation));
            let Some(mut allocation) = self.allocations.remove(&organisation) else {
                continue;
            };
            self.received.remove(&organisation);
            if let Some(next) = next.filter(|_| may_hand_over) {
                allocation.bucket.fill(now);
                let units = allocation.bucket.units();
                handed.push((next, HandedBucket { organisation, units }));
            }
        }
        handed
    }

    /// Records buckets that their allocator has handed over to this instance. A repeated
    /// handover is ignored.
    pub fn receive(&mut self, buckets: Vec<HandedBucket>, now: Moment) {
        for HandedBucket { organisation, units } in buckets {
            if !self.allocations.contains_key(&organisation) {
                self.received
                    .entry(organisation)
                    .or_insert(Received { units: Some(units.max(0.0)), at: now });
            }
        }
    }
}

impl Allocation {
    fn grant(
        &mut self,
        needed: u32,
        spare: u32,
        version: u64,
        limit: Limit,
        now: Moment,
    ) -> Decision {
        if version >= self.version {
            self.version = version;
            if limit != self.bucket.limit() {
                self.bucket.set_limit(limit, now);
            }
        }
        let quiet_s = now.since(self.used_at).as_secs_f64();
        self.request_rate = self.request_rate * (-quiet_s).exp() + 1.0;
        self.used_at = now;
        let taken = self.bucket.take(needed, now);
        if taken < needed {
            let time_to_unit = self.bucket.time_to_unit();
            let pressure = 1.0 + self.request_rate / REQUESTS_PER_S;
            let retry = time_to_unit.clamp(MIN_RETRY, MAX_RETRY).mul_f64(pressure).min(MAX_RETRY);
            return Decision::Granted(taken, Some(retry.max(time_to_unit)));
        }
        let above_half = self.bucket.units() - self.bucket.limit().burst / 2.0;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let in_advance = ((above_half / SPARE_DIVISOR).max(0.0) as u32).min(spare);
        Decision::Granted(taken + self.bucket.take(in_advance, now), None)
    }
}
