//! The order in which waiting requests of a group get its connections.
//!
//! The load it answers: more requests than connections, from routes of unequal
//! urgency, some of which any server may run and some only the primary.

use std::collections::BTreeMap;

use crate::caller::CallerId;

/// Where a request stands in the queue: urgent ones first, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    urgency: u8,
    arrival: u64,
}

/// Requests that wait for a connection.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    next_arrival: u64,
    waiting: BTreeMap<Turn, CallerId>,
}

impl WaitingQueue {
    /// Adds a request behind all others of its urgency.
    pub fn push(&mut self, urgency: u8, caller: CallerId) -> Turn {
        let turn = Turn { urgency, arrival: self.next_arrival };
        self.next_arrival += 1;
        self.waiting.insert(turn, caller);
        turn
    }

    /// Removes a request.
    pub fn remove(&mut self, turn: Turn) {
        self.waiting.remove(&turn);
    }

    /// Returns the waiting requests in their order.
    pub fn in_order(&self) -> Vec<(Turn, CallerId)> {
        self.waiting.iter().map(|(turn, caller)| (*turn, *caller)).collect()
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
