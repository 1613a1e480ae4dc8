//! What callers' connections hold in memory, and which of them must wait or be closed.
//!
//! The rule itself is [`MemoryBudget::decide`]. Worker threads charge what their connection
//! holds after each step; the thread that polls idle connections decides. See
//! `docs/design/15-client-limits-postgresql.md`.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use masticreel_admission::memory_budget::{Decision, Holder, MemoryBudget};
use prometheus::IntGauge;

/// A connection that has made no progress for this long while it could have does not only
/// carry ordinary work: messages and answers of 1 MiB cross any network in less.
const ORDINARY_PAUSE: Duration = Duration::from_secs(1);
/// A message or answer that is incomplete for longer is not ordinary either, so that slow
/// progress does not hold memory on account of others.
const ORDINARY_AGE: Duration = Duration::from_secs(10);
/// Bytes per MiB, the unit of the setting.
const MIB: usize = 1 << 20;
/// The memory assumed for a machine that does not report its own.
const FALLBACK_MEMORY_BYTES: usize = 512 * MIB;

/// What one connection holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// The bytes that are charged to the connection.
    pub bytes: usize,
    /// How many more bytes the message has that was begun; 0 if none was begun.
    pub missing_bytes: usize,
    /// Whether a request is complete and waits for memory to run.
    pub waits_to_run: bool,
    /// Whether requests wait behind the one whose answer is not read yet.
    pub has_backlog: bool,
    /// Since when the caller could have sent or taken something; `None` if it is the
    /// process's turn, or nothing was begun.
    pub idle_since: Option<Instant>,
    /// When the incomplete message or answer was begun, not counting pauses.
    pub begun_at: Option<Instant>,
}

impl Held {
    /// Returns whether the connection carries no more than one request without a long pause.
    pub fn is_ordinary(&self, now: Instant) -> bool {
        let age = self.begun_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        !self.has_backlog && self.idle_for(now) < ORDINARY_PAUSE && age < ORDINARY_AGE
    }

    fn idle_for(&self, now: Instant) -> Duration {
        self.idle_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

/// The memory that callers' connections hold together; clones share it.
#[derive(Debug, Clone)]
pub struct CallerMemory {
    budget: MemoryBudget,
    state: Arc<Mutex<State>>,
    gauge: IntGauge,
}

#[derive(Debug, Default)]
struct State {
    used_bytes: usize,
    held: HashMap<usize, Held>,
    /// Connections that the last decision stopped.
    stopped: BTreeSet<usize>,
    /// The connection that may always read on, so that incomplete messages that hold all
    /// of the budget can't stop each other.
    continued: Option<usize>,
    /// Requests that run with a permit of [`CallerMemory::may_run`].
    running: usize,
}

impl State {
    fn set(&mut self, connection: usize, held: Held) {
        let before = self.held.insert(connection, held).map_or(0, |earlier| earlier.bytes);
        self.used_bytes = self.used_bytes - before + held.bytes;
    }

    fn held_bytes(&self, connection: usize) -> usize {
        self.held.get(&connection).map_or(0, |held| held.bytes)
    }
}

impl CallerMemory {
    /// Creates an account without connections; the gauge shows what is held.
    pub fn new(budget_mb: Option<usize>, gauge: IntGauge) -> Self {
        let budget = match budget_mb {
            Some(megabytes) => MemoryBudget::of_total(megabytes * MIB),
            None => MemoryBudget::of_machine(available_bytes()),
        };
        Self { budget, state: Arc::default(), gauge }
    }

    /// Sets what a connection holds.
    pub fn charge(&self, connection: usize, held: Held) {
        if held.bytes == 0 {
            return self.remove(connection);
        }
        let mut state = self.lock();
        state.set(connection, held);
        self.gauge.set(i64::try_from(state.used_bytes).unwrap_or(i64::MAX));
    }

    /// Removes a connection that was closed or holds nothing any more.
    pub fn remove(&self, connection: usize) {
        let mut state = self.lock();
        let before = state.held.remove(&connection).map_or(0, |earlier| earlier.bytes);
        state.used_bytes -= before;
        state.stopped.remove(&connection);
        self.gauge.set(i64::try_from(state.used_bytes).unwrap_or(i64::MAX));
    }

    /// Returns whether a connection may read, and so hold, this many more bytes.
    pub fn may_read(&self, connection: usize, bytes: usize) -> bool {
        let state = self.lock();
        if state.used_bytes + bytes <= self.budget.reading_stops_bytes {
            return true;
        }
        let held_bytes = state.held_bytes(connection);
        let has_room = state.used_bytes + bytes <= self.budget.total_bytes;
        // A lone message may be larger than the budget.
        let is_alone = held_bytes == state.used_bytes;
        let has_precedence = is_alone || state.continued == Some(connection);
        has_precedence || (has_room && !state.stopped.contains(&connection))
    }

    /// Returns whether a connection's request may run; if so, what the connection holds
    /// then is charged, and [`Self::run_ended`] must follow.
    ///
    /// One may always run, since it ends without further input of its caller.
    pub fn may_run(&self, connection: usize, held: Held) -> bool {
        let mut state = self.lock();
        let may_run = self.has_room_to_run(&state, connection, held);
        if may_run {
            state.running += 1;
            state.set(connection, held);
        }
        may_run
    }

    /// Returns whether [`Self::may_run`] would allow a request now.
    pub fn could_run(&self, connection: usize, held: Held) -> bool {
        self.has_room_to_run(&self.lock(), connection, held)
    }

    fn has_room_to_run(&self, state: &State, connection: usize, held: Held) -> bool {
        let others_bytes = state.used_bytes - state.held_bytes(connection);
        state.running == 0 || others_bytes + held.bytes <= self.budget.total_bytes
    }

    /// Records that a request that was allowed to run has ended.
    pub fn run_ended(&self) {
        self.lock().running -= 1;
    }

    /// Returns whether reading may have to stop.
    pub fn is_tight(&self) -> bool {
        self.lock().used_bytes > self.budget.reading_stops_bytes / 2
    }

    /// Decides which connections are stopped until the next decision, and which are closed.
    pub fn decide(&self, now: Instant) -> Decision<usize> {
        let mut state = self.lock();
        let holders = state.held.iter().map(|(id, held)| Holder {
            id: *id,
            held_bytes: held.bytes,
            missing_bytes: held.missing_bytes,
            idle_for: held.idle_for(now),
            is_ordinary: held.is_ordinary(now),
        });
        let decision = self.budget.decide(holders.collect());
        state.stopped = decision.stopped.iter().copied().collect();
        // Requests that run or wait to run free memory without reading.
        let is_memory_freed =
            state.running > 0 || state.held.values().any(|held| held.waits_to_run);
        let continued = state.held.iter().filter(|(id, held)| {
            held.is_ordinary(now) && held.missing_bytes > 0 && !state.stopped.contains(id)
        });
        let continued = continued.max_by_key(|(id, held)| (held.bytes, **id)).map(|(id, _)| *id);
        state.continued = continued.filter(|_| !is_memory_freed);
        decision
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the memory lock")
    }
}

/// Returns the memory of the machine, or that of the control group if it is less.
fn available_bytes() -> usize {
    let machine = std::fs::read_to_string("/proc/meminfo").ok().and_then(|text| {
        let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
        total.trim().strip_suffix(" kB")?.parse::<usize>().ok().map(|kb| kb * 1024)
    });
    let groups = std::fs::read_to_string("/proc/self/cgroup").unwrap_or_default();
    let limits = groups.lines().filter_map(control_group_limit);
    limits.chain(machine).min().unwrap_or(FALLBACK_MEMORY_BYTES)
}

/// Returns the least memory limit of a control group and the groups that contain it.
fn control_group_limit(line: &str) -> Option<usize> {
    let mut fields = line.splitn(3, ':').skip(1);
    let (root, file) = match fields.next()? {
        "" => ("/sys/fs/cgroup", "memory.max"),
        "memory" => ("/sys/fs/cgroup/memory", "memory.limit_in_bytes"),
        _ => return None,
    };
    let path = std::path::Path::new(fields.next()?);
    let limits = path.ancestors().filter_map(|group| {
        let folder = std::path::Path::new(root).join(group.strip_prefix("/").ok()?);
        std::fs::read_to_string(folder.join(file)).ok()?.trim().parse().ok()
    });
    limits.min()
}

/// Returns how many files the process may have open, if the system says so.
pub fn descriptor_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
