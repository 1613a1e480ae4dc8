//! The baseline without masticreel: each entry connects directly to the server
//! and has an equal share of its connections.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use masticreel_admission::request::QueueAction;
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::{Incarnation, RequestId};

use crate::experiment::run::ServerPolicy;
use crate::experiment::settings::ExperimentSettings;
use crate::experiment::trace::Arrival;

/// Entries with separate queues in front of a server that executes statements in
/// the order of their arrival.
#[derive(Debug)]
pub struct Direct {
    connections_per_entry: usize,
    max_queue_length: usize,
    slots: usize,
    entries: BTreeMap<Incarnation, Entry>,
    /// Statements that were sent to the server and wait for a slot.
    sent: VecDeque<RequestId>,
    executing: usize,
}

#[derive(Debug, Default)]
struct Entry {
    waiting: VecDeque<(RequestId, Instant)>,
    connections_in_use: usize,
}

/// The maximum length of all entries' queues together, equal to that of an owner's
/// queue.
const MAX_QUEUED: usize = 1536;

impl Direct {
    /// Creates entries that share the server's connections equally.
    pub fn new(settings: &ExperimentSettings) -> Self {
        let entries = settings.entries as usize;
        Self {
            connections_per_entry: (settings.connections as usize / entries).max(1),
            max_queue_length: MAX_QUEUED / entries,
            slots: settings.slots as usize,
            entries: BTreeMap::new(),
            sent: VecDeque::new(),
            executing: 0,
        }
    }

    fn send(&mut self, entry: &Incarnation) {
        let limit = self.connections_per_entry;
        let entry = self.entries.entry(*entry).or_default();
        while entry.connections_in_use < limit {
            let Some((id, _)) = entry.waiting.pop_front() else {
                return;
            };
            entry.connections_in_use += 1;
            self.sent.push_back(id);
        }
    }

    fn execute(&mut self, actions: &mut Vec<QueueAction>) {
        while self.executing < self.slots {
            let Some(id) = self.sent.pop_front() else {
                return;
            };
            self.executing += 1;
            actions.push(QueueAction::Start(id));
        }
    }
}

impl ServerPolicy for Direct {
    fn arrive(&mut self, id: RequestId, arrival: &Arrival, now: Instant) -> Vec<QueueAction> {
        let mut actions = self.expire(now);
        let entry = self.entries.entry(arrival.entry).or_default();
        if entry.waiting.len() >= self.max_queue_length {
            actions.push(refuse(id));
            return actions;
        }
        entry.waiting.push_back((id, now + arrival.timeout));
        self.send(&arrival.entry);
        self.execute(&mut actions);
        actions
    }

    fn finish(&mut self, _id: RequestId, arrival: &Arrival, now: Instant) -> Vec<QueueAction> {
        let mut actions = self.expire(now);
        self.executing -= 1;
        if let Some(entry) = self.entries.get_mut(&arrival.entry) {
            entry.connections_in_use -= 1;
        }
        self.send(&arrival.entry);
        self.execute(&mut actions);
        actions
    }

    fn expire(&mut self, now: Instant) -> Vec<QueueAction> {
        let mut actions = Vec::new();
        for entry in self.entries.values_mut() {
            entry.waiting.retain(|(id, deadline)| {
                let is_expired = *deadline <= now;
                if is_expired {
                    actions.push(refuse(*id));
                }
                !is_expired
            });
        }
        actions
    }

    fn next_expiry(&self) -> Option<Instant> {
        let waiting = self.entries.values().flat_map(|entry| &entry.waiting);
        waiting.map(|(_, deadline)| *deadline).min()
    }
}

/// Refuses a request that found a full queue or has expired; the simulation drops the
/// reason.
fn refuse(id: RequestId) -> QueueAction {
    QueueAction::Refuse(id, Failure::not_run(FailureKind::Overloaded, "the entry's queue is full"))
}
