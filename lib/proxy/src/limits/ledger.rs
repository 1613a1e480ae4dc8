//! What the connections hold together, and which of them may be read.

use std::collections::{BTreeMap, BTreeSet};

use masticreel_admission::memory_budget::{Holder, MemoryBudget};

/// The bytes charged to each connection, with the last decision of the memory budget.
#[derive(Debug)]
pub struct Ledger<Id> {
    budget: MemoryBudget,
    held: BTreeMap<Id, usize>,
    total_bytes: usize,
    /// The connections that may complete their messages though reading has stopped.
    continued: BTreeSet<Id>,
}

impl<Id> Ledger<Id>
where
    Id: Copy + Ord,
{
    /// Creates a ledger without connections.
    pub fn new(budget: MemoryBudget) -> Self {
        Self { budget, held: BTreeMap::new(), total_bytes: 0, continued: BTreeSet::new() }
    }

    /// Sets what a connection holds.
    pub fn charge(&mut self, id: Id, bytes: usize) {
        let previous = if bytes == 0 { self.held.remove(&id) } else { self.held.insert(id, bytes) };
        self.total_bytes = self.total_bytes - previous.unwrap_or_default() + bytes;
    }

    /// Removes a connection.
    pub fn remove(&mut self, id: Id) {
        self.charge(id, 0);
        self.continued.remove(&id);
    }

    /// Returns what all connections hold.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Returns what a connection holds.
    pub fn held_bytes(&self, id: Id) -> usize {
        self.held.get(&id).copied().unwrap_or_default()
    }

    /// Returns whether so much is held that reading stops.
    pub fn is_under_pressure(&self) -> bool {
        self.total_bytes > self.budget.reading_stops_bytes
    }

    /// Returns how many bytes may be read from a connection at once, none if it must not be
    /// read. `wanted_bytes` is what is read without pressure.
    pub fn allowance(&self, id: Id, wanted_bytes: usize) -> Option<usize> {
        if !self.is_under_pressure() || self.continued.contains(&id) {
            return Some(wanted_bytes);
        }
        let is_small = self.held_bytes(id) <= self.budget.small_bytes;
        (is_small && self.total_bytes <= self.budget.total_bytes)
            .then_some(self.budget.small_bytes.min(wanted_bytes))
    }

    /// Decides anew which connections may be read, and returns those that are to be closed.
    ///
    /// `describe` returns what is known of a connection that holds something.
    pub fn decide<Describe>(&mut self, describe: Describe) -> Vec<Id>
    where
        Describe: Fn(Id, usize) -> Holder<Id>,
    {
        self.continued.clear();
        if !self.is_under_pressure() {
            return Vec::new();
        }
        let holders: Vec<Holder<Id>> =
            self.held.iter().map(|(id, bytes)| describe(*id, *bytes)).collect();
        let decision = self.budget.decide(holders.clone());
        let stopped: BTreeSet<Id> = decision.stopped.iter().copied().collect();
        let continued = holders.iter().filter(|holder| holder.is_ordinary);
        let continued = continued.filter(|h| h.missing_bytes > 0 && !stopped.contains(&h.id));
        self.continued = continued.map(|holder| holder.id).collect();
        decision.closed
    }
}
