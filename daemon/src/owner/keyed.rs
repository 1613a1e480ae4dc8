//! Runs requests that carry a request key, which makes them idempotent.
//!
//! The key is stored in the transaction that does the work, together with the
//! answer. A retry with the same key returns that answer instead of running again.
//! See `docs/design/06-verdicts.md`.

use masticreel_base::failure::{Failure, FailureKind};
use masticreel_postgres::upstream::{
    Answer, Needed, Preparation, TransactionState, UpstreamConnection, UpstreamError, text_rows,
};
use masticreel_session::request_key::{CREATE_TABLE, KeyReservation, KeyedRequest, Replay};
use masticreel_wire::message::UpstreamRequest;

/// Largest answer that is stored with its key.
const MAX_STORED_ANSWER_BYTES: usize = 256 * 1024;
/// Maximum number of attempts. Another one is needed after the table of keys was
/// created, and if the stored key was removed between the two transactions.
const MAX_ATTEMPTS: u32 = 3;
/// SQLSTATE of a write on a server that is not the primary.
const SQLSTATE_READ_ONLY: &str = "25006";

/// A request with a key, and the connection on which it runs.
pub(super) struct KeyedRun<'run> {
    /// The connection, which has no open transaction.
    pub(super) upstream: &'run mut UpstreamConnection,
    /// The request.
    pub(super) request: &'run UpstreamRequest,
    /// Its key and the hash of its work.
    pub(super) key: KeyedRequest,
    /// Prepared statements that the request uses.
    pub(super) needed: &'run [Needed<'run>],
}

/// The result of one attempt.
enum Attempt {
    Done(Answer),
    Retry,
}

impl KeyedRun<'_> {
    /// Runs the request, or returns the answer of its first run.
    ///
    /// # Errors
    ///
    /// Fails with the verdict (whether the request may have run) "not run" unless a
    /// commit was sent. After any failure the connection must be closed.
    pub(super) fn run(mut self) -> Result<Answer, Failure> {
        for _ in 0..MAX_ATTEMPTS {
            if let Attempt::Done(answer) = self.attempt()? {
                return Ok(answer);
            }
        }
        Err(Failure::not_run(FailureKind::Unavailable, "the request key is being used elsewhere"))
    }

    fn attempt(&mut self) -> Result<Attempt, Failure> {
        self.begin()?;
        let reserved = self.query(&self.key.reserve_sql())?;
        match self.key.reservation(reserved.sqlstate.as_deref()) {
            KeyReservation::First => self.run_first().map(Attempt::Done),
            KeyReservation::Replay => {
                self.roll_back()?;
                self.replay()
            }
            KeyReservation::NoTable => {
                self.roll_back()?;
                self.query(CREATE_TABLE)?;
                Ok(Attempt::Retry)
            }
            KeyReservation::Failed => self.roll_back_with_error(reserved).map(Attempt::Done),
        }
    }

    fn begin(&mut self) -> Result<(), Failure> {
        let answer = self.query("BEGIN")?;
        match answer.sqlstate {
            None => Ok(()),
            Some(code) => {
                let message = format!("the server refused a transaction with {code}");
                Err(Failure::not_run(FailureKind::Unavailable, message))
            }
        }
    }

    fn run_first(&mut self) -> Result<Answer, Failure> {
        let prepares = &self.request.prepares;
        let preparation = Preparation { needed: self.needed, prepares };
        let answer = self.upstream.run(preparation, &self.request.payload);
        let answer = answer.map_err(|error| not_run(&error))?;
        if answer.sqlstate.is_some() {
            return self.roll_back_with_error(answer);
        }
        if answer.payload.len() > MAX_STORED_ANSWER_BYTES {
            self.roll_back()?;
            let message = "the answer is too large to be kept under a request key";
            return Err(Failure::not_run(FailureKind::Unsupported, message));
        }
        let stored = self.query(&self.key.store_sql(&answer.payload))?;
        if stored.sqlstate.is_some() {
            return self.roll_back_with_error(stored);
        }
        self.commit(answer)
    }

    fn replay(&mut self) -> Result<Attempt, Failure> {
        self.begin()?;
        let [update, select] = self.key.replay_sql();
        let updated = self.query(&update)?;
        if updated.sqlstate.is_some() {
            return self.roll_back_with_error(updated).map(Attempt::Done);
        }
        let row = self.query(&select)?;
        if row.sqlstate.is_some() {
            return self.roll_back_with_error(row).map(Attempt::Done);
        }
        match self.key.replay(text_rows(&row.payload).first().map(Vec::as_slice)) {
            Replay::Result(payload) => {
                let answer = Answer { payload: payload.as_slice().into(), ..row };
                self.commit(answer).map(Attempt::Done)
            }
            Replay::KeyReused => {
                self.roll_back()?;
                let message = "the request key was used for other work";
                Err(Failure::not_run(FailureKind::Unsupported, message))
            }
            Replay::Missing => {
                self.roll_back()?;
                Ok(Attempt::Retry)
            }
        }
    }

    /// Commits and returns the answer, or the server's error if the commit failed.
    fn commit(&mut self, answer: Answer) -> Result<Answer, Failure> {
        let committed = self
            .upstream
            .query("COMMIT")
            .map_err(|error| Failure::may_have_run(FailureKind::Lost, error.to_string()))?;
        if committed.sqlstate.is_some() {
            return error_answer(committed);
        }
        Ok(Answer { state: TransactionState::Idle, ..answer })
    }

    /// Rolls the transaction back and returns the server's error as the answer, or a
    /// failure if the server is not the primary.
    fn roll_back_with_error(&mut self, answer: Answer) -> Result<Answer, Failure> {
        self.roll_back()?;
        error_answer(answer)
    }

    fn roll_back(&mut self) -> Result<(), Failure> {
        self.query("ROLLBACK").map(drop)
    }

    /// Runs a statement whose failure leaves the request not run.
    fn query(&mut self, sql: &str) -> Result<Answer, Failure> {
        self.upstream.query(sql).map_err(|error| not_run(&error))
    }
}

/// Returns the server's error as the answer, or a failure if the server is not the
/// primary.
fn error_answer(answer: Answer) -> Result<Answer, Failure> {
    if answer.sqlstate.as_deref() == Some(SQLSTATE_READ_ONLY) {
        let message = "the server is not the primary";
        return Err(Failure::not_run(FailureKind::NotPrimary, message));
    }
    Ok(Answer { state: TransactionState::Idle, ..answer })
}

fn not_run(error: &UpstreamError) -> Failure {
    let message = format!("the connection was lost before the commit: {error}");
    Failure::not_run(FailureKind::Lost, message)
}
