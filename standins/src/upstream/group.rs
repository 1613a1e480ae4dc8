//! The server's part in its group: term, role, log and what of it is applied.

mod state;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use masticreel_base::ids::{LogPosition, Term};
use masticreel_base::position::TermPosition;
use rusqlite::Connection;

use crate::upstream::error::SqlError;
pub use crate::upstream::group::state::{Part, Rebuild, State, Status};
use crate::upstream::log::{Log, LogEntry, LoggedStatement, Recovered};
use crate::upstream::settings::{InitialRole, UpstreamSettings};

/// How long a promotion waits until all log entries are applied.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(30);

/// The server's part in its group, shared by all its threads.
#[derive(Debug)]
pub struct Group {
    state: Mutex<State>,
    changed: Condvar,
    /// The number of the database that serves, readable without the lock.
    generation: AtomicU64,
}

impl Group {
    /// Takes up the part that the settings or the data directory say.
    pub fn new(settings: &UpstreamSettings, log: Log, recovered: Recovered) -> Self {
        let is_new = recovered.term == Term(0);
        let part = match &settings.initial_role {
            // A primary that comes back can't know whether it was replaced.
            InitialRole::Primary if !is_new => Part::Fenced,
            InitialRole::Primary => Part::Primary,
            InitialRole::Replica { .. } if !is_new => Part::Fenced,
            InitialRole::Replica { primary } => Part::Replica(*primary),
        };
        let term = if is_new { settings.initial_term } else { recovered.term };
        let data_term = match (&part, is_new) {
            (Part::Primary, _) => term,
            (_, true) => Term(0),
            (_, false) => recovered.data_term,
        };
        let rebuild = (log.last() > LogPosition(0)).then(|| Rebuild {
            generation: 1,
            applied: LogPosition(0),
            target: log.last(),
        });
        let mut state = State {
            term,
            claim: recovered.claim,
            part: part.clone(),
            epoch: 0,
            data_term,
            log,
            applied: LogPosition(0),
            rebuild,
            is_copying: false,
            stopped: false,
        };
        state.change_part(part);
        Self { state: Mutex::new(state), changed: Condvar::new(), generation: AtomicU64::new(0) }
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the state panics")
    }

    /// Waits until the state changes or the time is over.
    pub fn wait<'a>(
        &self,
        state: MutexGuard<'a, State>,
        timeout: Duration,
    ) -> MutexGuard<'a, State> {
        let (state, _) =
            self.changed.wait_timeout(state, timeout).expect("no holder of the state panics");
        state
    }

    /// Wakes all threads that wait for a change.
    pub fn notify(&self) {
        self.changed.notify_all();
    }

    /// Tells the server's threads to end.
    pub fn stop(&self) {
        self.lock().stopped = true;
        self.notify();
    }

    /// Returns the number of the database that serves.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Returns the epoch in which writes are allowed.
    ///
    /// # Errors
    ///
    /// Fails with 25006 when the server is not the primary.
    pub fn write_epoch(&self) -> Result<u64, SqlError> {
        let state = self.lock();
        match state.part {
            Part::Primary => Ok(state.epoch),
            Part::Replica(_) | Part::Fenced => Err(SqlError::not_primary()),
        }
    }

    /// Commits a transaction if the server's part has not changed since.
    ///
    /// The lock makes the order of the log that of the commits.
    ///
    /// # Errors
    ///
    /// Fails with 25006 when the server's part has changed; the transaction is
    /// still open then.
    pub fn commit(
        &self,
        connection: &Connection,
        epoch: u64,
        statements: Vec<LoggedStatement>,
    ) -> Result<TermPosition, SqlError> {
        let mut state = self.lock();
        if state.part != Part::Primary || state.epoch != epoch {
            return Err(SqlError::not_primary());
        }
        connection.execute_batch("COMMIT")?;
        if !statements.is_empty() {
            let position = state.log.last().next();
            let entry = LogEntry { term: state.term, position, statements };
            state.log.append(entry, Instant::now());
            state.applied = position;
        }
        let committed = state.visible();
        drop(state);
        self.notify();
        Ok(committed)
    }

    /// Raises the term and ends writing and copying.
    ///
    /// # Errors
    ///
    /// Fails with 55000 when the term is old or another claim has it.
    pub fn fence(&self, term: Term, claim: &str) -> Result<Status, SqlError> {
        let mut state = self.lock();
        let is_repeated = term == state.term && *state.claim == *claim && !claim.is_empty();
        if is_repeated {
            return Ok(state.status());
        }
        if term <= state.term {
            return Err(state.refuse("fence", term));
        }
        state.term = term;
        state.claim = claim.into();
        state.change_part(Part::Fenced);
        let status = state.status();
        drop(state);
        self.notify();
        Ok(status)
    }

    /// Makes the fenced server the primary, once all its entries are applied.
    ///
    /// # Errors
    ///
    /// Fails with 55000 unless the server is fenced to this term and claim.
    pub fn promote(&self, term: Term, claim: &str) -> Result<Status, SqlError> {
        let deadline = Instant::now() + PROMOTION_TIMEOUT;
        let mut state = self.lock();
        loop {
            let is_claimed = term == state.term && *state.claim == *claim;
            match state.part {
                Part::Primary if is_claimed => return Ok(state.status()),
                Part::Fenced if is_claimed => {}
                _ => return Err(state.refuse("promote", term)),
            }
            let is_applied = state.rebuild.is_none() && state.applied == state.log.last();
            if is_applied {
                break;
            }
            if Instant::now() > deadline || state.stopped {
                return Err(state.refuse("promote", term));
            }
            state = self.wait(state, Duration::from_millis(20));
        }
        state.data_term = term;
        state.change_part(Part::Primary);
        let status = state.status();
        drop(state);
        self.notify();
        Ok(status)
    }

    /// Makes the server copy a primary's log.
    ///
    /// # Errors
    ///
    /// Fails with 55000 when the term is old or the server is its primary.
    pub fn follow(&self, term: Term, primary: SocketAddr) -> Result<Status, SqlError> {
        let mut state = self.lock();
        let leads = term == state.term && state.part == Part::Primary;
        if term < state.term || leads {
            return Err(state.refuse("follow", term));
        }
        let part = Part::Replica(Some(primary));
        if term == state.term && state.part == part {
            return Ok(state.status());
        }
        if term > state.term {
            state.term = term;
            state.claim = "".into();
        }
        state.change_part(part);
        let status = state.status();
        drop(state);
        self.notify();
        Ok(status)
    }

    /// Begins to copy: discards what the primary does not have.
    ///
    /// Returns whether the server still has the part that it had in `epoch`.
    pub fn begin_copy(&self, epoch: u64, common: LogPosition) -> bool {
        let mut state = self.lock();
        if state.epoch != epoch {
            return false;
        }
        state.log.truncate(common);
        state.is_copying = true;
        let building = state.rebuild;
        if building.map_or(state.applied, |rebuild| rebuild.applied) > common {
            let last = building.map_or(self.generation(), |rebuild| rebuild.generation);
            let applied = LogPosition(0);
            state.rebuild = Some(Rebuild { generation: last + 1, applied, target: common });
        } else if let Some(rebuild) = &mut state.rebuild {
            rebuild.target = rebuild.target.min(common);
        }
        self.verify(&mut state);
        drop(state);
        self.notify();
        true
    }

    /// Appends a copied entry; an entry that is there already is passed over.
    ///
    /// Returns whether the server still has the part that it had in `epoch`.
    pub fn append_copy(&self, epoch: u64, entry: LogEntry) -> bool {
        let mut state = self.lock();
        if state.epoch != epoch {
            return false;
        }
        if entry.position == state.log.last().next() {
            state.log.append(entry, Instant::now());
            drop(state);
            self.notify();
        }
        true
    }

    /// Notes that entries up to a position were committed to a database.
    ///
    /// The caller holds the lock since before the commit.
    pub fn note_applied(&self, state: &mut State, generation: u64, position: LogPosition) {
        match &mut state.rebuild {
            Some(rebuild) if rebuild.generation == generation => rebuild.applied = position,
            _ => state.applied = position,
        }
        if let Some(rebuild) = state.rebuild.filter(|rebuild| rebuild.applied >= rebuild.target) {
            state.rebuild = None;
            state.applied = rebuild.applied;
            self.generation.store(rebuild.generation, Ordering::Release);
            self.verify(state);
        }
        self.notify();
    }

    /// Takes up the primary's term once the data is the start of its own.
    fn verify(&self, state: &mut State) {
        if state.is_copying && state.rebuild.is_none() && !state.is_verified() {
            state.data_term = state.term;
            let State { term, claim, data_term, log, .. } = state;
            log.record_term(*term, claim, *data_term);
        }
    }
}
