//! A store in memory whose calls can fail, whose responses can be lost and whose
//! writes can be delayed.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use masticreel_base::clock::ManualClock;
use masticreel_store::store::{
    CommitOutcome, Compare, KeyValue, PlatformStore, Put, Snapshot, StoreError,
};

/// What happens to the next call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The call succeeds.
    None,
    /// The call fails without reaching the store.
    Down,
    /// The call takes effect, but its response is lost.
    AnswerLost,
    /// The call fails, but if it is a write, it takes effect this many calls
    /// later, just before that call.
    Late(usize),
    /// The call succeeds, but another client's write takes effect just before it.
    PrecededBy(Vec<Put>),
}

/// A store in memory; each call takes one fault from the script and one second
/// of the manual clock.
#[derive(Debug, Clone)]
pub struct FaultyStore {
    state: Arc<Mutex<State>>,
    clock: ManualClock,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    values: BTreeMap<String, (Vec<u8>, u64)>,
    faults: VecDeque<Fault>,
    late: Vec<LateWrite>,
    calls: usize,
}

#[derive(Debug)]
struct LateWrite {
    /// The number of the call before which the write takes effect.
    due: usize,
    conditions: Vec<Compare>,
    puts: Vec<Put>,
}

impl FaultyStore {
    pub fn new(clock: ManualClock) -> Self {
        Self { state: Arc::default(), clock }
    }

    /// Sets the faults of the next calls; the calls after them succeed.
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        self.lock().faults = faults.into_iter().collect();
    }

    /// Applies all late writes now.
    pub fn deliver_late_writes(&self) {
        let mut state = self.lock();
        for write in std::mem::take(&mut state.late) {
            state.commit(&write.conditions, &write.puts);
        }
    }

    /// Returns a store that holds a copy of this one's keys and has no faults.
    pub fn copy(&self) -> Self {
        let state = self.lock();
        let (revision, values) = (state.revision, state.values.clone());
        let state = State { revision, values, ..State::default() };
        Self { state: Arc::new(Mutex::new(state)), clock: self.clock.clone() }
    }

    /// Goes back to a copy: later writes are lost, their revisions given out again.
    pub fn restore(&self, copy: &Self) {
        let copy = copy.lock();
        let mut state = self.lock();
        (state.revision, state.values) = (copy.revision, copy.values.clone());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the store panics")
    }

    fn begin_call(&self) -> (MutexGuard<'_, State>, Fault) {
        self.clock.advance(Duration::from_secs(1));
        let mut state = self.lock();
        state.calls += 1;
        let calls = state.calls;
        let (due, late) =
            std::mem::take(&mut state.late).into_iter().partition(|write| write.due <= calls);
        state.late = late;
        for write in due {
            state.commit(&write.conditions, &write.puts);
        }
        let fault = state.faults.pop_front().unwrap_or(Fault::None);
        if let Fault::PrecededBy(puts) = &fault {
            state.commit(&[], puts);
        }
        (state, fault)
    }
}

impl State {
    fn commit(&mut self, conditions: &[Compare], puts: &[Put]) -> CommitOutcome {
        let holds = |compare: &Compare| {
            let stored = self.values.get(&compare.key);
            let version = stored.map_or(0, |(_, version)| *version);
            let value = stored.map(|(value, _)| value);
            version == compare.mod_revision
                && compare.value.as_ref().is_none_or(|expected| value == Some(expected))
        };
        if !conditions.iter().all(holds) {
            return CommitOutcome::Conflict;
        }
        self.revision += 1;
        for put in puts {
            self.values.insert(put.key.clone(), (put.value.clone(), self.revision));
        }
        CommitOutcome::Committed(self.revision)
    }
}

fn unavailable() -> StoreError {
    StoreError::Unavailable("no answer".to_owned())
}

impl PlatformStore for FaultyStore {
    fn read_prefix(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        let (state, fault) = self.begin_call();
        if !matches!(fault, Fault::None | Fault::PrecededBy(_)) {
            return Err(unavailable());
        }
        let entries = state
            .values
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, (value, version))| KeyValue {
                key: key.clone(),
                value: value.clone(),
                mod_revision: *version,
            })
            .collect();
        Ok(Snapshot { revision: state.revision, entries })
    }

    fn commit(&self, conditions: &[Compare], puts: &[Put]) -> Result<CommitOutcome, StoreError> {
        let (mut state, fault) = self.begin_call();
        match fault {
            Fault::None | Fault::PrecededBy(_) => Ok(state.commit(conditions, puts)),
            Fault::Down => Err(unavailable()),
            Fault::AnswerLost => {
                state.commit(conditions, puts);
                Err(unavailable())
            }
            Fault::Late(calls) => {
                let due = state.calls + calls;
                let write = LateWrite { due, conditions: conditions.to_vec(), puts: puts.to_vec() };
                state.late.push(write);
                Err(unavailable())
            }
        }
    }

    fn wait_for_change(
        &self,
        prefix: &str,
        after_revision: u64,
        _timeout: Duration,
    ) -> Result<bool, StoreError> {
        let snapshot = self.read_prefix(prefix)?;
        Ok(snapshot.entries.iter().any(|entry| entry.mod_revision > after_revision))
    }
}
