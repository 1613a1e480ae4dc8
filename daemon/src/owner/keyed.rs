//! Running work under a request key, so that a repeat finds the first result.
//!
//! See `docs/design/06-verdicts.md`.

use masticreel_base::failure::{Failure, FailureKind};
use masticreel_postgres::upstream::{
    Answer, Needed, Preparation, TransactionState, UpstreamConnection, UpstreamError, text_rows,
};
use masticreel_session::request_key::{CREATE_TABLE, KeyedRequest, Replay, Reservation};
use masticreel_wire::message::UpstreamRequest;

/// Largest answer that is stored with its key, in bytes.
const MAX_STORED_BYTES: usize = 256 * 1024;
/// How often a key is tried whose first attempt just went away.
const MAX_ROUNDS: u32 = 3;
/// SQLSTATE of a write on a server that is not the primary.
const SQLSTATE_READ_ONLY: &str = "25006";

/// A request on its connection.
pub(super) struct KeyedRun<'run> {
    /// The connection, idle.
    pub(super) upstream: &'run mut UpstreamConnection,
    /// The request.
    pub(super) request: &'run UpstreamRequest,
    /// Its key and what it stands for.
    pub(super) key: KeyedRequest,
    /// Statements that the request uses.
    pub(super) needed: &'run [Needed<'run>],
}

/// What one round came to.
enum Round {
    Done(Answer),
    Again,
}

impl KeyedRun<'_> {
    /// Runs the work, or returns the answer of its first run.
    ///
    /// # Errors
    ///
    /// Fails with "not run" as long as no commit was sent. After any failure
    /// the connection must be closed.
    pub(super) fn run(mut self) -> Result<Answer, Failure> {
        for _ in 0..MAX_ROUNDS {
            if let Round::Done(answer) = self.round()? {
                return Ok(answer);
            }
        }
        Err(Failure::not_run(FailureKind::Unavailable, "the request key is being used elsewhere"))
    }

    fn round(&mut self) -> Result<Round, Failure> {
        self.begin()?;
        let reserved = self.query(&self.key.reserve_sql())?;
        match self.key.reservation(reserved.sqlstate.as_deref()) {
            Reservation::First => self.work().map(Round::Done),
            Reservation::Replay => {
                self.roll_back()?;
                self.replay()
            }
            Reservation::NoTable => {
                self.roll_back()?;
                self.query(CREATE_TABLE)?;
                Ok(Round::Again)
            }
            Reservation::Failed => self.refused(reserved).map(Round::Done),
        }
    }

    /// Opens the transaction.
    fn begin(&mut self) -> Result<(), Failure> {
        let begun = self.query("BEGIN")?;
        match begun.sqlstate {
            None => Ok(()),
            Some(code) => {
                let message = format!("the server refused a transaction with {code}");
                Err(Failure::not_run(FailureKind::Unavailable, message))
            }
        }
    }

    fn work(&mut self) -> Result<Answer, Failure> {
        let prepares = &self.request.prepares;
        let preparation = Preparation { needed: self.needed, prepares };
        let answer = self.upstream.run(preparation, &self.request.payload);
        let answer = answer.map_err(|error| not_run(&error))?;
        if answer.sqlstate.is_some() {
            return self.refused(answer);
        }
        if answer.payload.len() > MAX_STORED_BYTES {
            self.roll_back()?;
            let message = "the answer is too large to be kept under a request key";
            return Err(Failure::not_run(FailureKind::Unsupported, message));
        }
        let stored = self.query(&self.key.store_sql(&answer.payload))?;
        if stored.sqlstate.is_some() {
            return self.refused(stored);
        }
        self.commit(answer)
    }

    fn replay(&mut self) -> Result<Round, Failure> {
        self.begin()?;
        let [touch, read] = self.key.replay_sql();
        let touched = self.query(&touch)?;
        if touched.sqlstate.is_some() {
            return self.refused(touched).map(Round::Done);
        }
        let row = self.query(&read)?;
        if row.sqlstate.is_some() {
            return self.refused(row).map(Round::Done);
        }
        match self.key.replay(text_rows(&row.payload).first().map(Vec::as_slice)) {
            Replay::Result(payload) => {
                let answer = Answer { payload: payload.as_slice().into(), ..row };
                self.commit(answer).map(Round::Done)
            }
            Replay::KeyReused => {
                self.roll_back()?;
                let message = "the request key was used for other work";
                Err(Failure::not_run(FailureKind::Unsupported, message))
            }
            Replay::Missing => {
                self.roll_back()?;
                Ok(Round::Again)
            }
        }
    }

    /// Commits and returns the answer, or what the server said instead.
    fn commit(&mut self, answer: Answer) -> Result<Answer, Failure> {
        let committed = self
            .upstream
            .query("COMMIT")
            .map_err(|error| Failure::may_have_run(FailureKind::Lost, error.to_string()))?;
        if committed.sqlstate.is_some() {
            return refusal(committed);
        }
        Ok(Answer { state: TransactionState::Idle, ..answer })
    }

    /// Ends the transaction and passes the server's error on.
    fn refused(&mut self, answer: Answer) -> Result<Answer, Failure> {
        self.roll_back()?;
        refusal(answer)
    }

    fn roll_back(&mut self) -> Result<(), Failure> {
        self.query("ROLLBACK").map(drop)
    }

    /// Runs a statement that has no effect before the commit.
    fn query(&mut self, sql: &str) -> Result<Answer, Failure> {
        self.upstream.query(sql).map_err(|error| not_run(&error))
    }
}

fn refusal(answer: Answer) -> Result<Answer, Failure> {
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
