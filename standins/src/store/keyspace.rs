//! The keys of the store with their revisions, leases and events, as in etcd.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// How many events are kept for watches that start in the past.
const HISTORY_EVENTS: usize = 100_000;

/// A key's value and its revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRecord {
    /// The key.
    pub key: Vec<u8>,
    /// Its value.
    pub value: Vec<u8>,
    /// The store's revision at its creation.
    pub create_revision: i64,
    /// The store's revision at its last change.
    pub mod_revision: i64,
    /// How often it was written since its creation, that included.
    pub version: i64,
    /// The lease that the key is attached to, 0 if none.
    pub lease: i64,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The key and its value, which is empty if the key was deleted.
    pub record: KeyRecord,
    /// Whether the key was deleted.
    pub is_deletion: bool,
}

/// The keys that a request covers.
///
/// By etcd's rules, an empty end means the start key alone, and an end of one zero
/// byte means all keys from the start on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRange {
    start: Vec<u8>,
    end: Vec<u8>,
}

impl KeyRange {
    /// Creates a range from the start key to the end, which is not in the range.
    pub fn new(start: Vec<u8>, end: Vec<u8>) -> Self {
        Self { start, end }
    }

    /// Returns whether a key is covered.
    pub fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.start,
            [0] => key >= self.start.as_slice(),
            end => key >= self.start.as_slice() && key < end,
        }
    }
}

/// An operation of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Writes a value.
    Put {
        /// The key.
        key: Vec<u8>,
        /// The value.
        value: Vec<u8>,
        /// The lease that the key is attached to, 0 if none.
        lease: i64,
    },
    /// Deletes keys.
    Delete(KeyRange),
    /// Reads keys.
    Range(KeyRange),
}

/// The result of an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The value was written.
    Put,
    /// The number of keys that were deleted.
    Deleted(i64),
    /// The keys found.
    Found(Vec<KeyRecord>),
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// The keys, the leases and the most recent events.
#[derive(Debug, Clone)]
pub struct Keyspace {
    revision: i64,
    records: BTreeMap<Vec<u8>, KeyRecord>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    events: VecDeque<Event>,
    /// The newest revision whose events are no longer kept, 0 if all are.
    newest_discarded: i64,
}

impl Default for Keyspace {
    fn default() -> Self {
        Self {
            revision: 1,
            records: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            events: VecDeque::new(),
            newest_discarded: 0,
        }
    }
}

impl Keyspace {
    /// Returns the store's revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns a key's record.
    pub fn get(&self, key: &[u8]) -> Option<&KeyRecord> {
        self.records.get(key)
    }

    /// Returns the records of a range in the order of their keys.
    pub fn range(&self, range: &KeyRange) -> Vec<KeyRecord> {
        let from = self.records.range(range.start.clone()..);
        let covered = from.take_while(|(key, _)| range.contains(key));
        covered.map(|(_, record)| record.clone()).collect()
    }

    /// Applies operations as one change; the revision increases only if a key
    /// changes.
    pub fn apply(&mut self, operations: Vec<Operation>) -> Vec<Outcome> {
        let next = self.revision + 1;
        let before = self.events.len();
        let outcomes = operations.into_iter().map(|operation| self.apply_one(operation, next));
        let outcomes = outcomes.collect();
        if self.events.len() > before {
            self.revision = next;
        }
        self.discard_old_events();
        outcomes
    }

    fn apply_one(&mut self, operation: Operation, revision: i64) -> Outcome {
        match operation {
            Operation::Put { key, value, lease } => {
                self.put(key, value, lease, revision);
                Outcome::Put
            }
            Operation::Delete(range) => Outcome::Deleted(self.delete(&range, revision)),
            Operation::Range(range) => Outcome::Found(self.range(&range)),
        }
    }

    fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64, revision: i64) {
        let old = self.records.get(&key);
        let record = KeyRecord {
            key: key.clone(),
            value,
            create_revision: old.map_or(revision, |old| old.create_revision),
            mod_revision: revision,
            version: old.map_or(1, |old| old.version + 1),
            lease,
        };
        self.events.push_back(Event { record: record.clone(), is_deletion: false });
        self.records.insert(key, record);
    }

    fn delete(&mut self, range: &KeyRange, revision: i64) -> i64 {
        let deleted = self.range(range);
        for record in &deleted {
            self.records.remove(&record.key);
            let tombstone = KeyRecord {
                key: record.key.clone(),
                value: Vec::new(),
                create_revision: 0,
                mod_revision: revision,
                version: 0,
                lease: 0,
            };
            self.events.push_back(Event { record: tombstone, is_deletion: true });
        }
        deleted.len() as i64
    }

    fn discard_old_events(&mut self) {
        while self.events.len() > HISTORY_EVENTS {
            let Some(event) = self.events.pop_front() else { return };
            self.newest_discarded = event.record.mod_revision;
        }
    }

    /// Returns the events of a range from a revision on.
    ///
    /// # Errors
    ///
    /// Fails with the newest discarded revision when the events of that revision
    /// or older ones are requested.
    pub fn events(&self, range: &KeyRange, from: i64) -> Result<Vec<Event>, i64> {
        if from <= self.newest_discarded {
            return Err(self.newest_discarded);
        }
        let start = self.events.partition_point(|event| event.record.mod_revision < from);
        let events = self.events.range(start..);
        Ok(events.filter(|event| range.contains(&event.record.key)).cloned().collect())
    }

    /// Grants a lease and returns its id; 0 lets the store choose one. `None` if the
    /// id is in use.
    pub fn grant(&mut self, id: i64, ttl: Duration, now: Instant) -> Option<i64> {
        let id = if id == 0 { self.unused_lease() } else { id };
        if self.leases.contains_key(&id) {
            return None;
        }
        self.leases.insert(id, Lease { ttl, expires: now + ttl });
        Some(id)
    }

    fn unused_lease(&mut self) -> i64 {
        while self.leases.contains_key(&self.next_lease) {
            self.next_lease += 1;
        }
        self.next_lease
    }

    /// Renews a lease and returns its time to live; `None` if there is no such
    /// lease.
    pub fn keep_alive(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Returns whether a lease exists.
    pub fn has_lease(&self, id: i64) -> bool {
        self.leases.contains_key(&id)
    }

    /// Revokes a lease and deletes its keys; returns false if there is no such lease.
    pub fn revoke(&mut self, id: i64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys = self.records.values().filter(|record| record.lease == id);
        let ranges = keys.map(|record| KeyRange::new(record.key.clone(), Vec::new()));
        let operations = ranges.map(Operation::Delete).collect();
        self.apply(operations);
        true
    }

    /// Revokes the leases whose time to live has passed.
    pub fn expire(&mut self, now: Instant) {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let expired: Vec<i64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.revoke(id);
        }
    }
}
