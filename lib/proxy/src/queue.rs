//! The order in which queued requests get the connections of a group or a
//! server.
//!
//! The queue is meant for overload: more requests than connections, from routes
//! of different urgency. The order does not consider which servers may run a
//! request: the user of the queue skips those that it can't place. Requests are
//! ordered by
//!
//! 1. urgency of the route;
//! 2. whether the route's target latency can still be met. Requests that are
//!    late already come last: with first come, first served, an overload would
//!    make every answer late;
//! 3. whether the organisation is within its fair share of the execution time of
//!    this urgency, so that one which asks for many times its share takes nothing
//!    from the others;
//! 4. expected duration, the shortest first, so that as many requests as
//!    possible are answered in time;
//! 5. arrival.
//!
//! Where requests of organisations wait, one in [`OLDEST_INTERVAL`] requests that start is
//! instead the one of the highest urgency that has waited longest, so that late and long
//! requests don't starve.

use std::collections::BTreeMap;
use std::time::Duration;

use masticreel_admission::fair_shares::FairShares;
use xxhash_rust::xxh3::xxh3_64;

use crate::moment::Moment;

/// Identifies a request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    urgency: u8,
    arrival: u64,
}

impl Ticket {
    /// Returns the urgency of the request; lower values are more urgent.
    pub fn urgency(self) -> u8 {
        self.urgency
    }
}

/// Stands for an organisation's name, since comparing names would take most of the time that
/// the order takes.
type OrganisationKey = u64;
/// Stands for requests without an organisation.
const NO_ORGANISATION: OrganisationKey = 0;

#[derive(Debug)]
struct Waiting<Id> {
    id: Id,
    due_at: Moment,
    expected_duration: Duration,
    organisation: OrganisationKey,
}

/// Step to which expected durations are rounded down, so that small differences
/// don't override the order of arrival.
const EXPECTED_STEP_MS: u128 = 4;
/// How many requests start for each one that is chosen by arrival only. With a smaller
/// number, an overload would make more answers late.
const OLDEST_INTERVAL: u64 = 10;
/// How much more execution time than the others an organisation may get before it is beyond
/// its share: a few statements, so that short ones of all organisations still go first.
const SHARE_ALLOWANCE: Duration = Duration::from_millis(50);
/// Least execution time that is charged for a request, for those that are expected to take
/// none.
const MIN_CHARGE: Duration = Duration::from_millis(1);

/// Requests that are queued for a connection.
#[derive(Debug)]
pub struct WaitingQueue<Id> {
    next_arrival: u64,
    waiting: BTreeMap<Ticket, Waiting<Id>>,
    /// How many requests have left the queue because they started.
    started: u64,
    /// The shares of the organisations by urgency, where requests wait.
    shares: BTreeMap<u8, FairShares<OrganisationKey>>,
}

impl<Id> Default for WaitingQueue<Id> {
    fn default() -> Self {
        Self { next_arrival: 0, waiting: BTreeMap::new(), started: 0, shares: BTreeMap::new() }
    }
}

impl<Id> WaitingQueue<Id>
where
    Id: Copy,
{
    /// The memory that a waiting request takes, without that of its organisation's share.
    pub const BYTES_PER_REQUEST: usize = size_of::<Ticket>() + size_of::<Waiting<Id>>();

    /// Adds a request and returns its ticket.
    ///
    /// `due_at` is the moment by which its route's target latency is reached; the
    /// expected duration is how long the request takes once it has a connection.
    pub fn push(
        &mut self,
        urgency: u8,
        id: Id,
        due_at: Moment,
        expected_duration: Duration,
    ) -> Ticket {
        self.push_for(None, urgency, id, due_at, expected_duration)
    }

    /// Adds a request of an organisation, like [`WaitingQueue::push`].
    pub fn push_for(
        &mut self,
        organisation: Option<&str>,
        urgency: u8,
        id: Id,
        due_at: Moment,
        expected_duration: Duration,
    ) -> Ticket {
        let ticket = Ticket { urgency, arrival: self.next_arrival };
        self.next_arrival += 1;
        let organisation = organisation.map_or(NO_ORGANISATION, |name| xxh3_64(name.as_bytes()));
        let shares = self.shares.entry(urgency);
        shares.or_insert_with(|| FairShares::new(SHARE_ALLOWANCE)).enqueued(&organisation);
        let waiting = Waiting { id, due_at, expected_duration, organisation };
        self.waiting.insert(ticket, waiting);
        ticket
    }

    /// Removes a request that does not start.
    pub fn remove(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.waiting.remove(&ticket)
            && let Some(shares) = self.shares.get_mut(&ticket.urgency)
        {
            shares.removed(&waiting.organisation);
        }
    }

    /// Removes a request that starts, and charges its expected duration to its organisation.
    pub fn start(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.waiting.remove(&ticket)
            && let Some(shares) = self.shares.get_mut(&ticket.urgency)
        {
            self.started += 1;
            let cost = waiting.expected_duration.max(MIN_CHARGE);
            shares.started(&waiting.organisation, cost);
        }
    }

    /// Returns the queued requests in the order in which they get connections.
    ///
    /// `would_be_answered_at` is when a request that starts now would be answered;
    /// requests that are due earlier can't be answered in time and come after the
    /// others of their urgency.
    pub fn in_order(&self, would_be_answered_at: Moment) -> Vec<Id> {
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .map(|(ticket, waiting)| {
                let is_late = would_be_answered_at > waiting.due_at;
                let shares = self.shares.get(&ticket.urgency);
                let is_within_share =
                    shares.is_none_or(|shares| shares.is_within_share(&waiting.organisation));
                let step = waiting.expected_duration.as_millis() / EXPECTED_STEP_MS;
                ((ticket.urgency, is_late, !is_within_share, step), waiting.id)
            })
            .collect();
        let has_organisations =
            self.waiting.values().any(|waiting| waiting.organisation != NO_ORGANISATION);
        if has_organisations
            && self.started % OLDEST_INTERVAL == OLDEST_INTERVAL - 1
            && let Some(oldest) = oldest_of_most_urgent(&order)
        {
            let urgency = order[oldest].0.0;
            order[oldest].0 = (urgency, false, false, 0);
            order[..=oldest].rotate_right(1);
        }
        // The sort is stable, so requests of equal rank stay in order of arrival.
        order.sort_by_key(|(rank, _)| *rank);
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// The rank of a queued request: its urgency, whether it is late, whether its organisation is
/// beyond its share, and the step of its expected duration.
type Rank = (u8, bool, bool, u128);

/// Returns the index of the request that has waited longest among those of the highest
/// urgency, as far as possible of an organisation within its share. The requests are in order
/// of urgency and arrival.
fn oldest_of_most_urgent<Id>(order: &[(Rank, Id)]) -> Option<usize> {
    let urgency = order.first()?.0.0;
    let of_urgency = order.partition_point(|(rank, _)| rank.0 == urgency);
    order[..of_urgency].iter().position(|(rank, _)| !rank.2).or(Some(0))
}
