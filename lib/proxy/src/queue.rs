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
//! 3. expected duration, the shortest first, so that as many requests as
//!    possible are answered in time;
//! 4. arrival.

use std::collections::BTreeMap;
use std::time::Duration;

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

#[derive(Debug)]
struct Waiting<Id> {
    id: Id,
    due_at: Moment,
    expected_duration: Duration,
}

/// Step to which expected durations are rounded down, so that small differences
/// don't override the order of arrival.
const EXPECTED_STEP_MS: u128 = 4;

/// Requests that are queued for a connection.
#[derive(Debug)]
pub struct WaitingQueue<Id> {
    next_arrival: u64,
    waiting: BTreeMap<Ticket, Waiting<Id>>,
}

impl<Id> Default for WaitingQueue<Id> {
    fn default() -> Self {
        Self { next_arrival: 0, waiting: BTreeMap::new() }
    }
}

impl<Id> WaitingQueue<Id>
where
    Id: Copy,
{
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
        let ticket = Ticket { urgency, arrival: self.next_arrival };
        self.next_arrival += 1;
        self.waiting.insert(ticket, Waiting { id, due_at, expected_duration });
        ticket
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
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
                let step = waiting.expected_duration.as_millis() / EXPECTED_STEP_MS;
                ((ticket.urgency, is_late, step), waiting.id)
            })
            .collect();
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
