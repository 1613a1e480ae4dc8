//! Decides which clients' connections are not read any more, and which are closed, so that
//! what a process holds for them stays within a budget.
//!
//! Responds to bytes: each connection's input, waiting requests, session state and unread
//! answers. Where the bytes stand and how they are measured is up to the request path.
//!
//! - Up to [`MemoryBudget::reading_stops_bytes`] nothing is decided.
//! - Above, connections that hold more than [`MemoryBudget::small_bytes`] are not read, except
//!   as many as have room to complete the messages that they have begun. One of them may
//!   always continue, so that messages that hold all of the budget can't stop each other.
//! - Connections that do not only carry ordinary work are closed, the one that holds the most
//!   first and among equals the one idle longest: above the budget until it is kept, and while
//!   an ordinary one is not read until reading may go on. An ordinary one is never closed.

use std::cmp::Reverse;
use std::time::Duration;

/// The part of a machine's memory that clients' connections may hold together.
///
/// What is charged costs up to twice as much memory, since a message is copied on its way to
/// the server and freed memory is not returned at once. The other half is the process's own.
const BUDGET_DIVISOR: usize = 4;
/// The least budget: a few messages of 1 MiB with their answers.
const MIN_BUDGET_BYTES: usize = 8 << 20;
/// What a connection may hold without being stopped. Most requests and answers are shorter,
/// so callers that send them are served while large messages wait.
const SMALL_BYTES: usize = 16 << 10;

/// What one connection holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder<Id> {
    /// Identifies the connection.
    pub id: Id,
    /// The bytes that are charged to it.
    pub held_bytes: usize,
    /// How many more bytes the message may have that it has begun, 0 if it has begun none.
    pub missing_bytes: usize,
    /// How long it has neither sent nor taken anything, though it could have. The time during
    /// which it was not read does not count.
    pub idle_for: Duration,
    /// Whether it only carries ordinary work: no more than one request, sent without a long
    /// pause, whose answer is read.
    pub is_ordinary: bool,
}

/// What is to be done so that the budget is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision<Id> {
    /// Connections that are not to be read until the next decision.
    pub stopped: Vec<Id>,
    /// Connections that are to be closed, in this order.
    pub closed: Vec<Id>,
}

impl<Id> Default for Decision<Id> {
    fn default() -> Self {
        Self { stopped: Vec::new(), closed: Vec::new() }
    }
}

/// The bytes that the connections of a process may hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Connections are closed when more is held.
    pub total_bytes: usize,
    /// Reading stops when more is held. The difference to the total is for messages that have
    /// been begun.
    pub reading_stops_bytes: usize,
    /// Connections that hold no more are read as long as the total is kept.
    pub small_bytes: usize,
}

impl MemoryBudget {
    /// Returns the budget of a process that has a machine's memory to itself.
    pub fn of_machine(memory_bytes: usize) -> Self {
        Self::of_total((memory_bytes / BUDGET_DIVISOR).max(MIN_BUDGET_BYTES))
    }

    /// Returns a budget whose total is set.
    pub fn of_total(total_bytes: usize) -> Self {
        Self { total_bytes, reading_stops_bytes: total_bytes / 2, small_bytes: SMALL_BYTES }
    }

    /// Decides by what all connections hold.
    ///
    /// The caller need not look at each connection while less than
    /// [`Self::reading_stops_bytes`] is held, since nothing is decided then.
    pub fn decide<Id>(&self, mut holders: Vec<Holder<Id>>) -> Decision<Id>
    where
        Id: Copy + Ord,
    {
        let mut used: usize = holders.iter().map(|holder| holder.held_bytes).sum();
        let mut decision = Decision::default();
        if used <= self.reading_stops_bytes {
            return decision;
        }
        holders.sort_by_key(|holder| (Reverse((holder.held_bytes, holder.idle_for)), holder.id));
        let is_ordinary_stopped =
            self.stopped(&holders, used).iter().any(|holder| holder.is_ordinary);
        let kept_bytes =
            if is_ordinary_stopped { self.reading_stops_bytes } else { self.total_bytes };
        holders.retain(|holder| {
            let is_closed = used > kept_bytes && !holder.is_ordinary && holder.held_bytes > 0;
            if is_closed {
                used -= holder.held_bytes;
                decision.closed.push(holder.id);
            }
            !is_closed
        });
        if used > self.reading_stops_bytes {
            decision.stopped =
                self.stopped(&holders, used).iter().map(|holder| holder.id).collect();
        }
        decision
    }

    /// Returns the connections that are not to be read, of all in the order of what they hold.
    fn stopped<Id>(&self, holders: &[Holder<Id>], used: usize) -> Vec<Holder<Id>>
    where
        Id: Copy,
    {
        let mut free = self.total_bytes.saturating_sub(used);
        let mut is_any_continued = false;
        let mut is_stopped = |holder: &Holder<Id>| {
            let has_room = !is_any_continued || holder.missing_bytes <= free;
            if holder.is_ordinary && holder.missing_bytes > 0 && has_room {
                is_any_continued = true;
                free = free.saturating_sub(holder.missing_bytes);
                return false;
            }
            holder.held_bytes > self.small_bytes || used > self.total_bytes
        };
        holders.iter().filter(|holder| is_stopped(holder)).copied().collect()
    }
}
