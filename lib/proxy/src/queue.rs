//! The order in which waiting requests of a group or a server get its
//! connections.
//!
//! The load it answers: more requests than connections, from routes of unequal
//! urgency, some of which any server may run and some only the primary. The
//! urgent go first. Among equals, those that can still be answered as soon as
//! their route promises go before those that can't: in an overload, first come,
//! first served would answer everybody late. Among those the short go first, so
//! that the time which is left answers as many as it can.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::moment::Moment;

/// Where a request stands in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    urgency: u8,
    arrival: u64,
}

impl Turn {
    /// Returns how urgent the request is; the lower, the more.
    pub fn urgency(self) -> u8 {
        self.urgency
    }
}

#[derive(Debug)]
struct Waiting<Id> {
    id: Id,
    wanted_by: Moment,
    expected: Duration,
}

/// Requests whose expected times differ by less than this are equals.
const EXPECTED_STEP_MS: u128 = 4;

/// Requests that wait for a connection.
#[derive(Debug)]
pub struct WaitingQueue<Id> {
    next_arrival: u64,
    waiting: BTreeMap<Turn, Waiting<Id>>,
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
    /// Adds a request that is wanted by a moment and expected to take a time.
    pub fn push(&mut self, urgency: u8, id: Id, wanted_by: Moment, expected: Duration) -> Turn {
        let turn = Turn { urgency, arrival: self.next_arrival };
        self.next_arrival += 1;
        self.waiting.insert(turn, Waiting { id, wanted_by, expected });
        turn
    }

    /// Removes a request.
    pub fn remove(&mut self, turn: Turn) {
        self.waiting.remove(&turn);
    }

    /// Returns the waiting requests in their order, if one that starts now is
    /// answered at a moment.
    pub fn in_order(&self, answered_at: Moment) -> Vec<Id> {
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .map(|(turn, waiting)| {
                let is_late = answered_at > waiting.wanted_by;
                let step = waiting.expected.as_millis() / EXPECTED_STEP_MS;
                ((turn.urgency, is_late, step), waiting.id)
            })
            .collect();
        // The sort is stable: arrival decides between equals.
        order.sort_by_key(|(rank, _)| *rank);
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
