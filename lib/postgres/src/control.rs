//! Commands to a database server of a group, sent as calls of SQL functions.
//!
//! A [`PostgresControl`] keeps one connection to the server, as the database
//! user [`CONTROL_USER`], and maps the errors of that connection to a
//! [`Failure`] with the verdict whether the command may have run. The commands are
//! described in [`masticreel_group::server`].

use std::net::SocketAddr;
use std::time::Duration;

use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::{LogPosition, Term};
use masticreel_group::server::{ClaimId, ServerControl, ServerStatus};

use crate::upstream::{UpstreamAddress, UpstreamConnection, UpstreamError, error_field, text_rows};

/// The database user for whose commands each server reserves connections.
pub const CONTROL_USER: &str = "masticreel_control";

/// A control connection to one server, opened at the first command and again
/// after each failure.
#[derive(Debug)]
pub struct PostgresControl {
    address: UpstreamAddress,
    timeout: Duration,
    connection: Option<UpstreamConnection>,
}

impl PostgresControl {
    /// Creates a control without connecting; the first command connects.
    ///
    /// The timeout bounds the connection attempt and each read and write.
    pub fn new(address: SocketAddr, database: &str, timeout: Duration) -> Self {
        let address =
            UpstreamAddress { address, user: CONTROL_USER.into(), database: database.into() };
        Self { address, timeout, connection: None }
    }

    fn call(&mut self, sql: &str) -> Result<ServerStatus, Failure> {
        let result = self.connect().and_then(|connection| connection.query(sql));
        let answer = match result {
            Ok(answer) => answer,
            Err(error) => {
                self.connection = None;
                return Err(control_failure(&error));
            }
        };
        // A server refuses commands by an error, for example those of an older term.
        if answer.sqlstate.is_some() {
            let message = error_field(&answer.payload, b'M').unwrap_or_default();
            return Err(Failure::not_run(FailureKind::NotPrimary, message));
        }
        // An answer with another content counts as not run, although the server reported
        // no error.
        let rows = text_rows(&answer.payload);
        rows.first()
            .and_then(|row| parse_status(row))
            .ok_or_else(|| Failure::not_run(FailureKind::Protocol, "the status is not understood"))
    }

    fn connect(&mut self) -> Result<&mut UpstreamConnection, UpstreamError> {
        let connection = match self.connection.take() {
            Some(connection) => connection,
            None => UpstreamConnection::connect(&self.address, self.timeout)?,
        };
        Ok(self.connection.insert(connection))
    }
}

impl ServerControl for PostgresControl {
    fn status(&mut self) -> Result<ServerStatus, Failure> {
        self.call("SELECT * FROM group_status()")
    }

    fn fence(&mut self, term: Term, claim: &ClaimId) -> Result<ServerStatus, Failure> {
        self.call(&format!("SELECT * FROM group_fence({term}, {})", quote(&claim.0)))
    }

    fn promote(&mut self, term: Term, claim: &ClaimId) -> Result<ServerStatus, Failure> {
        self.call(&format!("SELECT * FROM group_promote({term}, {})", quote(&claim.0)))
    }

    fn follow(&mut self, term: Term, primary: SocketAddr) -> Result<ServerStatus, Failure> {
        self.call(&format!("SELECT * FROM group_follow({term}, '{primary}')"))
    }
}

/// Returns text as an SQL string literal, in quotes.
pub fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

fn control_failure(error: &UpstreamError) -> Failure {
    let message = error.to_string();
    match error {
        UpstreamError::AfterSend(_)
        | UpstreamError::Protocol(_)
        | UpstreamError::AnswerTooLarge(_) => Failure::may_have_run(FailureKind::Lost, message),
        UpstreamError::Connect(_)
        | UpstreamError::BeforeSend(_)
        | UpstreamError::Refused { .. } => Failure::not_run(FailureKind::Unavailable, message),
    }
}

fn parse_status(row: &[Option<String>]) -> Option<ServerStatus> {
    let column = |index: usize| row.get(index)?.as_deref();
    Some(ServerStatus {
        term: Term(column(0)?.parse().ok()?),
        role: column(1)?.parse().ok()?,
        log_term: Term(column(2)?.parse().ok()?),
        durable: LogPosition(column(3)?.parse().ok()?),
        applied: LogPosition(column(4)?.parse().ok()?),
    })
}
