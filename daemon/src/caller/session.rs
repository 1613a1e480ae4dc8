//! One caller's session: its prepared statements, transaction and session parameters
//! ("settings", as `SET` statements).
//!
//! A session has no connection of its own to a server outside a transaction, so
//! its settings are kept here and sent along with its requests.

use std::sync::Arc;

use bytes::BytesMut;
use masticreel_admission::retry_budget::RetryBudget;
use masticreel_base::failure::{Failure, FailureKind, Verdict};
use masticreel_burn::recorder::RequestResult;
use masticreel_document::class::Class;
use masticreel_postgres::failure::{Severity, put_failure};
use masticreel_postgres::message::{RawMessage, put_message, tag};
use masticreel_postgres::request::{
    CallerRequest, PreparedStatements, RequestAssembler, RequestError, RequestPlan,
};
use masticreel_postgres::startup::{StartupParameters, put_parameter, put_ready};
use masticreel_postgres::statement::StatementKind;
use masticreel_session::token::TOKEN_PARAMETER;
use masticreel_wire::message::{SessionKey, TransactionState, UpstreamAnswer};
use pgwire::messages::data::NoData;
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, TransactionStatus,
};

use crate::directory::OwnerDirectory;
use crate::entry::identity::SessionIdentity;
use crate::entry::router::{RoutedSession, Router};
use crate::owner::guard::ServerGuard;

/// SQLSTATE of statements in a transaction that has failed
/// (`in_failed_sql_transaction`).
const SQLSTATE_FAILED_TRANSACTION: &str = "25P02";
/// Prefixes of start-up parameters that are not sent to servers.
const NOT_SENT_TO_SERVERS: [&str; 2] = ["replication", "masticreel"];

/// One caller's session.
pub(super) struct Session {
    /// Assembles requests from the caller's bytes.
    pub(super) assembler: RequestAssembler,
    /// The state of the session by which its requests are routed.
    pub(super) routed: RoutedSession,
    prepared: PreparedStatements,
    transaction: Transaction,
    uncommitted_settings: Vec<Arc<str>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Transaction {
    None,
    Open,
    Failed,
    /// The transaction was rolled back before the caller sent COMMIT, for example since
    /// its connection was lost or it was idle for too long. Nothing was committed.
    Lost,
}

impl Session {
    /// Creates the session of a caller from its start-up parameters.
    ///
    /// # Errors
    ///
    /// Fails if the session token among the parameters is malformed.
    pub(super) fn new(
        key: SessionKey,
        parameters: &StartupParameters,
        max_request_bytes: usize,
    ) -> Result<Self, Failure> {
        let settings = parameters
            .settings
            .iter()
            .filter(|(name, _)| !NOT_SENT_TO_SERVERS.iter().any(|prefix| name.starts_with(prefix)))
            .map(|(name, value)| startup_setting(name, value))
            .collect();
        let routed = RoutedSession {
            key,
            user: parameters.user.as_str().into(),
            database: parameters.database.as_str().into(),
            settings,
            pinned: None,
            identity: SessionIdentity::from_startup(parameters)?,
            class: Class::default(),
            retry_budget: RetryBudget::for_caller(),
            running_owner: Arc::default(),
        };
        Ok(Self {
            assembler: RequestAssembler::with_limit(max_request_bytes),
            routed,
            prepared: PreparedStatements::default(),
            transaction: Transaction::None,
            uncommitted_settings: Vec::new(),
        })
    }

    /// Returns whether the session is in a transaction, also in one that has failed or was
    /// lost.
    pub(super) fn has_transaction(&self) -> bool {
        self.transaction != Transaction::None
    }

    /// Returns the memory that the session's state holds, in bytes.
    pub(super) fn state_bytes(&self) -> usize {
        let settings = self.routed.settings.iter().chain(&self.uncommitted_settings);
        self.prepared.held_bytes() + settings.map(|setting| setting.len()).sum::<usize>()
    }

    /// Runs a request and appends the answer for the caller to `output`.
    ///
    /// Returns the outcome of the request, for the metrics.
    ///
    /// # Errors
    ///
    /// Fails if the request is malformed; the connection must then be closed.
    pub(super) fn serve<Guard, Directory>(
        &mut self,
        request: &CallerRequest,
        router: &Router<Guard, Directory>,
        output: &mut BytesMut,
    ) -> Result<RequestOutcome, RequestError>
    where
        Guard: ServerGuard,
        Directory: OwnerDirectory,
    {
        let plan = RequestPlan::new(request, &self.prepared)?;
        if self.transaction == Transaction::Lost {
            self.answer_lost_transaction(request, &plan, output);
            return Ok(RequestOutcome::Refused);
        }
        if needs_no_server(request, &plan) {
            self.answer_locally(request, &plan, output);
            return Ok(RequestOutcome::Answered);
        }
        let outcome = match self.unsupported(&plan) {
            Some(failure) => Err(failure),
            None => router.run(&mut self.routed, &plan),
        };
        Ok(match outcome {
            Ok(answer) => self.answer(&plan, &answer, output),
            Err(failure) => self.answer_failure(&plan, &failure, output),
        })
    }

    fn answer(
        &mut self,
        plan: &RequestPlan,
        answer: &UpstreamAnswer,
        output: &mut BytesMut,
    ) -> RequestOutcome {
        output.extend_from_slice(&answer.payload);
        let was_open = self.transaction != Transaction::None;
        self.transaction = match answer.state {
            TransactionState::Idle => Transaction::None,
            TransactionState::Open => Transaction::Open,
            TransactionState::Failed => Transaction::Failed,
        };
        match answer.sqlstate {
            None => self.prepared.apply(plan),
            Some(_) => self.prepared.discard_prepared_by(plan),
        }
        self.record_settings(plan, answer, was_open);
        if let Some(token) = self.routed.identity.take_changed_token() {
            put_parameter(output, TOKEN_PARAMETER, &token);
        }
        put_ready(output, self.status());
        if answer.sqlstate.is_some() { RequestOutcome::Failed } else { RequestOutcome::Answered }
    }

    fn answer_failure(
        &mut self,
        plan: &RequestPlan,
        failure: &Failure,
        output: &mut BytesMut,
    ) -> RequestOutcome {
        put_failure(output, Severity::Error, failure);
        self.prepared.discard_prepared_by(plan);
        let ends_transaction =
            plan.statements.iter().any(|statement| statement.kind == StatementKind::Commit);
        // Statements that the caller has pipelined must not run outside the
        // transaction.
        if self.transaction != Transaction::None && self.routed.pinned.is_none() {
            self.transaction = if ends_transaction { Transaction::None } else { Transaction::Lost };
            self.uncommitted_settings.clear();
        }
        put_ready(output, self.status());
        match failure.verdict {
            Verdict::NotRun => RequestOutcome::Refused,
            Verdict::Ran | Verdict::MayHaveRun => RequestOutcome::InDoubt,
        }
    }

    fn status(&self) -> TransactionStatus {
        match self.transaction {
            Transaction::None => TransactionStatus::Idle,
            Transaction::Open => TransactionStatus::Transaction,
            Transaction::Failed | Transaction::Lost => TransactionStatus::Error,
        }
    }

    /// Returns the failure for a request that uses an unsupported feature.
    fn unsupported(&self, plan: &RequestPlan) -> Option<Failure> {
        let has = |kind| plan.statements.iter().any(|statement| statement.kind == kind);
        if has(StatementKind::Copy) {
            return Some(Failure::not_run(FailureKind::Unsupported, "COPY is not supported"));
        }
        let in_transaction = self.transaction != Transaction::None || has(StatementKind::Begin);
        if has(StatementKind::SessionState) && !in_transaction {
            let message = "temporary objects, PREPARE, LISTEN and session locks are supported \
                           only inside a transaction, because a session has no connection of \
                           its own";
            return Some(Failure::not_run(FailureKind::Unsupported, message));
        }
        None
    }

    fn record_settings(&mut self, plan: &RequestPlan, answer: &UpstreamAnswer, was_open: bool) {
        if answer.sqlstate.is_some() && answer.state == TransactionState::Idle {
            self.uncommitted_settings.clear();
            return;
        }
        for statement in &plan.statements {
            match statement.kind {
                StatementKind::Set => self.uncommitted_settings.push(statement.text.clone()),
                StatementKind::Rollback => self.uncommitted_settings.clear(),
                StatementKind::Discard if is_discard(&statement.text) => {
                    self.routed.settings.clear();
                }
                _ => {}
            }
        }
        let is_over = answer.state == TransactionState::Idle;
        if is_over || !was_open && self.transaction == Transaction::None {
            for setting in std::mem::take(&mut self.uncommitted_settings) {
                replace_setting(&mut self.routed.settings, setting);
            }
        }
    }

    /// Answers a request that concerns only the session and needs no server.
    fn answer_locally(
        &mut self,
        request: &CallerRequest,
        plan: &RequestPlan,
        output: &mut BytesMut,
    ) {
        for message in &request.messages {
            match message.tag {
                tag::CLOSE => put_message(output, &CloseComplete::new()),
                tag::QUERY => put_message(output, &EmptyQueryResponse::new()),
                _ => {}
            }
        }
        self.prepared.apply(plan);
        put_ready(output, self.status());
    }

    /// Answers a request in a lost transaction, as a server answers in a failed one.
    fn answer_lost_transaction(
        &mut self,
        request: &CallerRequest,
        plan: &RequestPlan,
        output: &mut BytesMut,
    ) {
        let ends = |kind| matches!(kind, StatementKind::Commit | StatementKind::Rollback);
        match plan.statements.as_slice() {
            [statement] if ends(statement.kind) => {
                self.transaction = Transaction::None;
                put_rollback(request, output);
            }
            _ => put_failed_transaction(output),
        }
        put_ready(output, self.status());
    }
}

/// The outcome of a request, for the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// The request succeeded.
    Answered,
    /// The server answered with an error.
    Failed,
    /// The request was refused and did not run.
    Refused,
    /// The request failed, and ran or may have run.
    InDoubt,
}

impl RequestOutcome {
    /// Returns how the service levels count the request; an error of the server
    /// counts as served.
    pub(super) fn service_level_result(self) -> RequestResult {
        match self {
            Self::Answered | Self::Failed => RequestResult::Served,
            Self::Refused | Self::InDoubt => RequestResult::Failed,
        }
    }

    /// Returns the value of the `outcome` label in the metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Refused => "not_run",
            Self::InDoubt => "may_have_run",
        }
    }
}

/// Returns whether a request can be answered without a server: it has no
/// statements and at most closes prepared ones.
fn needs_no_server(request: &CallerRequest, plan: &RequestPlan) -> bool {
    let is_local = |message: &RawMessage| match message.tag {
        tag::QUERY | tag::SYNC => true,
        tag::CLOSE => message.body().first() == Some(&b'S'),
        _ => false,
    };
    plan.statements.is_empty() && request.messages.iter().all(is_local)
}

fn put_rollback(request: &CallerRequest, output: &mut BytesMut) {
    for message in &request.messages {
        match message.tag {
            tag::PARSE => put_message(output, &ParseComplete::new()),
            tag::BIND => put_message(output, &BindComplete::new()),
            tag::DESCRIBE => put_message(output, &NoData::new()),
            tag::CLOSE => put_message(output, &CloseComplete::new()),
            tag::QUERY | tag::EXECUTE => {
                put_message(output, &CommandComplete::new("ROLLBACK".to_owned()));
            }
            _ => {}
        }
    }
}

fn put_failed_transaction(output: &mut BytesMut) {
    let message = "current transaction is aborted, commands ignored until end of transaction block";
    let fields = vec![
        (b'S', "ERROR".to_owned()),
        (b'V', "ERROR".to_owned()),
        (b'C', SQLSTATE_FAILED_TRANSACTION.to_owned()),
        (b'M', message.to_owned()),
        (b'D', "verdict=not_run kind=transaction_lost".to_owned()),
    ];
    put_message(output, &ErrorResponse::new(fields));
}

/// Returns the `SET` statement for a start-up parameter.
fn startup_setting(name: &str, value: &str) -> Arc<str> {
    let name = name.replace('"', "\"\"");
    let value = value.replace('\'', "''");
    if name.contains('.') {
        return format!("SET {name} TO '{value}'").into();
    }
    format!("SET \"{name}\" TO '{value}'").into()
}

/// Adds a `SET` or `RESET` statement to the session's settings, in place of an
/// earlier one for the same parameter.
fn replace_setting(settings: &mut Vec<Arc<str>>, setting: Arc<str>) {
    let parameter = setting_parameter(&setting);
    if parameter == "all" {
        settings.clear();
        return;
    }
    settings.retain(|earlier| setting_parameter(earlier) != parameter);
    settings.push(setting);
}

/// Returns the parameter that a `SET` or `RESET` statement sets.
fn setting_parameter(setting: &str) -> String {
    let is_separator = |c: char| c.is_whitespace() || c == '=';
    let mut words = setting.split(is_separator).filter(|word| !word.is_empty()).skip(1);
    let first = words.next().unwrap_or("");
    let name = if first.eq_ignore_ascii_case("session") { words.next() } else { Some(first) };
    name.unwrap_or("").trim_matches('"').to_ascii_lowercase()
}

fn is_discard(text: &str) -> bool {
    text.to_ascii_lowercase().starts_with("discard")
}
