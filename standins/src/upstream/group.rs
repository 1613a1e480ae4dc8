//! One server's membership in its group. [`State`] is the data, and [`Membership`]
//! its lock and the operations on it.
//!
//! The counters of the state:
//!
//! - `term`: number of a primary's tenure; the newest that the server accepted,
//!   by a fence or by following a primary.
//! - `claim`: text that identifies the fence that set the term, empty if none did.
//!   A promotion must name it, so only the sender of that fence can promote.
//! - `data_term`: the newest term for which the applied data was verified to be a
//!   prefix of that term's primary's log. Positions are reported with it. Until it
//!   equals `term`, a replica reports that it is fenced.
//! - `log_term`: the term of the last log entry, that is, of the primary that
//!   committed it. Between servers, the log with the newer `log_term` is the more
//!   advanced one, whatever their positions.
//! - position: number of an entry in the log, from 1; `durable` is the last one in
//!   the log, `applied` the last one that reads see.
//! - `role_epoch`: how often this server's role changed since its start. It lets
//!   threads detect that the role changed while they worked, and is never sent.
//! - `generation`: number of a SQLite file. A server whose applied data contains
//!   entries that the primary lacks rebuilds the data in a new generation.

mod state;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use masticreel_base::ids::{LogPosition, Term};
use masticreel_base::position::TermPosition;
use rusqlite::Connection;

use crate::upstream::error::SqlError;
pub use crate::upstream::group::state::{Rebuild, Role, State, Status};
use crate::upstream::log::{Log, LogEntry, LoggedStatement, RecoveredState};
use crate::upstream::settings::{InitialRole, UpstreamSettings};

/// How long a promotion waits until all log entries are applied.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(30);

/// The server's state in its group, shared by all its threads.
#[derive(Debug)]
pub struct Membership {
    state: Mutex<State>,
    changed: Condvar,
    /// The generation in use, readable without the lock.
    generation: AtomicU64,
}

impl Membership {
    /// Creates the state from what was recovered from the data directory, else
    /// from the settings.
    pub fn new(settings: &UpstreamSettings, log: Log, recovered: RecoveredState) -> Self {
        let is_new = recovered.term == Term(0);
        let role = match &settings.initial_role {
            // A restarted primary can't know whether it was replaced meanwhile.
            InitialRole::Primary if !is_new => Role::Fenced,
            InitialRole::Primary => Role::Primary,
            InitialRole::Replica { .. } if !is_new => Role::Fenced,
            InitialRole::Replica { primary } => Role::Replica(*primary),
        };
        let term = if is_new { settings.initial_term } else { recovered.term };
        // A new replica has verified nothing, so its term is 0.
        let data_term = match (&role, is_new) {
            (Role::Primary, _) => term,
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
            role: role.clone(),
            role_epoch: 0,
            data_term,
            log,
            applied: LogPosition(0),
            rebuild,
            is_prefix_of_primary: false,
            stopped: false,
        };
        state.change_role(role);
        Self { state: Mutex::new(state), changed: Condvar::new(), generation: AtomicU64::new(0) }
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock of the state")
    }

    /// Waits until the state changes or the timeout has passed.
    pub fn wait<'a>(
        &self,
        state: MutexGuard<'a, State>,
        timeout: Duration,
    ) -> MutexGuard<'a, State> {
        let (state, _) = self
            .changed
            .wait_timeout(state, timeout)
            .expect("no thread panics while it holds the lock of the state");
        state
    }

    /// Wakes all threads that wait for a change.
    pub fn notify(&self) {
        self.changed.notify_all();
    }

    /// Signals the server's threads to end.
    pub fn stop(&self) {
        self.lock().stopped = true;
        self.notify();
    }

    /// Returns the generation in use.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Returns the current role epoch if writes are allowed in it.
    ///
    /// # Errors
    ///
    /// Fails with 25006 when the server is not the primary.
    pub fn primary_role_epoch(&self) -> Result<u64, SqlError> {
        let state = self.lock();
        match state.role {
            Role::Primary => Ok(state.role_epoch),
            Role::Replica(_) | Role::Fenced => Err(SqlError::not_primary()),
        }
    }

    /// Commits a transaction if the server's role has not changed since `role_epoch`.
    ///
    /// The lock is held over commit and append, so that the log has the order of
    /// the commits.
    ///
    /// # Errors
    ///
    /// Fails with 25006 when the server's role has changed; the transaction is
    /// then still open.
    pub fn commit(
        &self,
        connection: &Connection,
        role_epoch: u64,
        statements: Vec<LoggedStatement>,
    ) -> Result<TermPosition, SqlError> {
        let mut state = self.lock();
        if state.role != Role::Primary || state.role_epoch != role_epoch {
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

    /// Raises the term and ends writes and replication on this server, which still
    /// applies the entries in its log.
    ///
    /// Idempotent for the same term and claim.
    ///
    /// # Errors
    ///
    /// Fails with 55000 when the term is not newer than the server's, unless the
    /// fence is a retry.
    pub fn fence(&self, term: Term, claim: &str) -> Result<Status, SqlError> {
        let mut state = self.lock();
        let is_retry = term == state.term && *state.claim == *claim && !claim.is_empty();
        if is_retry {
            return Ok(state.status());
        }
        if term <= state.term {
            return Err(state.refusal("fence", term));
        }
        state.term = term;
        state.claim = claim.into();
        state.change_role(Role::Fenced);
        let status = state.status();
        drop(state);
        self.notify();
        Ok(status)
    }

    /// Makes the fenced server the primary once all its log entries are applied.
    ///
    /// # Errors
    ///
    /// Fails with 55000 when the server is not fenced with this term and claim,
    /// or when its entries are not applied within the timeout.
    pub fn promote(&self, term: Term, claim: &str) -> Result<Status, SqlError> {
        let deadline = Instant::now() + PROMOTION_TIMEOUT;
        let mut state = self.lock();
        loop {
            let is_claimed = term == state.term && *state.claim == *claim;
            match state.role {
                Role::Primary if is_claimed => return Ok(state.status()),
                Role::Fenced if is_claimed => {}
                _ => return Err(state.refusal("promote", term)),
            }
            let is_applied = state.rebuild.is_none() && state.applied == state.log.last();
            if is_applied {
                break;
            }
            if Instant::now() > deadline || state.stopped {
                // The message does not name the timeout or the stop.
                return Err(state.refusal("promote", term));
            }
            state = self.wait(state, Duration::from_millis(20));
        }
        state.data_term = term;
        state.change_role(Role::Primary);
        let status = state.status();
        drop(state);
        self.notify();
        Ok(status)
    }

    /// Makes the server a replica that receives a primary's log.
    ///
    /// # Errors
    ///
    /// Fails with 55000 when the term is older than the server's, and when the
    /// server is the primary of that term.
    pub fn follow(&self, term: Term, primary: SocketAddr) -> Result<Status, SqlError> {
        let mut state = self.lock();
        let is_primary_of_term = term == state.term && state.role == Role::Primary;
        if term < state.term || is_primary_of_term {
            return Err(state.refusal("follow", term));
        }
        let role = Role::Replica(Some(primary));
        if term == state.term && state.role == role {
            return Ok(state.status());
        }
        if term > state.term {
            state.term = term;
            state.claim = "".into();
        }
        state.change_role(role);
        let status = state.status();
        drop(state);
        self.notify();
        Ok(status)
    }

    /// Begins to receive entries after the last one in common with the primary.
    ///
    /// Later entries are discarded; if some are applied already, the data is
    /// rebuilt. Returns false if the server's role has changed since `role_epoch`.
    pub fn begin_replication(&self, role_epoch: u64, common: LogPosition) -> bool {
        let mut state = self.lock();
        if state.role_epoch != role_epoch {
            return false;
        }
        state.log.truncate(common);
        state.is_prefix_of_primary = true;
        let rebuild = state.rebuild;
        if rebuild.map_or(state.applied, |rebuild| rebuild.applied) > common {
            let last = rebuild.map_or(self.generation(), |rebuild| rebuild.generation);
            let applied = LogPosition(0);
            state.rebuild = Some(Rebuild { generation: last + 1, applied, target: common });
        } else if let Some(rebuild) = &mut state.rebuild {
            rebuild.target = rebuild.target.min(common);
        }
        self.update_data_term(&mut state);
        drop(state);
        self.notify();
        true
    }

    /// Appends a received entry; an entry that the log already has is skipped.
    ///
    /// Returns false if the server's role has changed since `role_epoch`.
    pub fn append_received(&self, role_epoch: u64, entry: LogEntry) -> bool {
        let mut state = self.lock();
        if state.role_epoch != role_epoch {
            return false;
        }
        if entry.position == state.log.last().next() {
            state.log.append(entry, Instant::now());
            drop(state);
            self.notify();
        }
        true
    }

    /// Records that entries up to a position were committed to a database, and
    /// switches to a rebuilt database that has reached its target.
    ///
    /// The lock must have been held since before the commit.
    pub fn record_applied(&self, state: &mut State, generation: u64, position: LogPosition) {
        match &mut state.rebuild {
            Some(rebuild) if rebuild.generation == generation => rebuild.applied = position,
            _ => state.applied = position,
        }
        if let Some(rebuild) = state.rebuild.filter(|rebuild| rebuild.applied >= rebuild.target) {
            state.rebuild = None;
            state.applied = rebuild.applied;
            self.generation.store(rebuild.generation, Ordering::Release);
            self.update_data_term(state);
        }
        self.notify();
    }

    /// Sets the data term to the current term once the data is verified to be a
    /// prefix of the primary's.
    fn update_data_term(&self, state: &mut State) {
        if state.is_prefix_of_primary && state.rebuild.is_none() && !state.is_verified() {
            state.data_term = state.term;
            let State { term, claim, data_term, log, .. } = state;
            log.record_term(*term, claim, *data_term);
        }
    }
}
