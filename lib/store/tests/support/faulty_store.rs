//! A store in memory whose answers can be lost and whose writes can be late.

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
    /// The call is answered.
    None,
    /// The call never arrives.
    Down,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// A write arrives only just before the call that many calls later.
    Late(usize),
    /// Another client's write comes just before the call.
    After(Vec<Put>),
}

/// A store in memory; each call takes one fault from the script and a second.
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
    due: usize,
    conditions: Vec<Compare>,
    puts: Vec<Put>,
}

impl FaultyStore {
    pub fn new(clock: ManualClock) -> Self {
        Self { state: Arc::default(), clock }
    }

    /// Sets what happens to the next calls; later ones are answered.
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        self.lock().faults = faults.into_iter().collect();
    }

    /// Lets all late writes arrive now.
    pub fn deliver_late_writes(&self) {
        let mut state = self.lock();
        for write in std::mem::take(&mut state.late) {
            state.commit(&write.conditions, &write.puts);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the store panics")
    }

    fn begin(&self) -> (MutexGuard<'_, State>, Fault) {
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
        if let Fault::After(puts) = &fault {
            state.commit(&[], puts);
        }
        (state, fault)
    }
}

impl State {
    fn commit(&mut self, conditions: &[Compare], puts: &[Put]) -> CommitOutcome {
        let holds = |compare: &Compare| {
            let version = self.values.get(&compare.key).map_or(0, |(_, version)| *version);
            version == compare.mod_revision
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

fn lost() -> StoreError {
    StoreError::Unavailable("no answer".to_owned())
}

impl PlatformStore for FaultyStore {
    fn read_prefix(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        let (state, fault) = self.begin();
        if !matches!(fault, Fault::None | Fault::After(_)) {
            return Err(lost());
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
        let (mut state, fault) = self.begin();
        match fault {
            Fault::None | Fault::After(_) => Ok(state.commit(conditions, puts)),
            Fault::Down => Err(lost()),
            Fault::AnswerLost => {
                state.commit(conditions, puts);
                Err(lost())
            }
            Fault::Late(calls) => {
                let due = state.calls + calls;
                let write = LateWrite { due, conditions: conditions.to_vec(), puts: puts.to_vec() };
                state.late.push(write);
                Err(lost())
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
