//! Choosing the server for a request and trying again where that is safe.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use masticreel_base::failure::{Failure, FailureKind, Verdict};
use masticreel_base::ids::RequestId;
use masticreel_document::groups::{GroupSpec, ServerSpec};
use masticreel_postgres::request::{NeededStatement, RequestPlan};
use masticreel_postgres::statement::StatementKind;
use masticreel_wire::message::{
    Pinning, PreparedStatement, SessionKey, Target, TransactionState, UpstreamAnswer,
    UpstreamRequest, WireClass,
};

use crate::directory::{OwnerDirectory, OwnerLocation};
use crate::entry::dispatch::Dispatcher;
use crate::groups::Groups;
use crate::owner::guard::ServerGuard;
use crate::owner::job::Outcome;
use crate::settings::LimitSettings;

/// Wait before the first repeated attempt.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Longest wait between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);
/// SQLSTATE of a write that a server refused because it is not the primary.
const SQLSTATE_READ_ONLY: &str = "25006";

/// What routing must know about a caller's session.
#[derive(Debug)]
pub struct SessionRoute {
    /// The session's key at owners.
    pub key: SessionKey,
    /// The database user.
    pub user: Arc<str>,
    /// The database name.
    pub database: Arc<str>,
    /// Statements that set the session's parameters.
    pub settings: Vec<Arc<str>>,
    /// The owner and server that hold the session's open transaction.
    pub pinned: Option<PinnedServer>,
    /// The owner that is running a request of the session, for cancel requests.
    pub running_at: RunningAt,
}

/// The owner that is running a session's request, if any.
pub type RunningAt = Arc<Mutex<Option<OwnerLocation>>>;

/// Where a session's open transaction is.
#[derive(Debug, Clone)]
pub struct PinnedServer {
    /// The server's owner when the transaction began.
    pub owner: OwnerLocation,
    /// The server.
    pub server: ServerSpec,
    /// The group.
    pub group: GroupSpec,
}

/// Sends requests to the right servers.
pub struct Router<Guard, Directory> {
    dispatcher: Dispatcher<Guard, Directory>,
    groups: Groups,
    limits: LimitSettings,
}

impl<Guard, Directory> Router<Guard, Directory>
where
    Guard: ServerGuard,
    Directory: OwnerDirectory,
{
    /// Creates a router.
    pub fn new(
        dispatcher: Dispatcher<Guard, Directory>,
        groups: Groups,
        limits: LimitSettings,
    ) -> Self {
        Self { dispatcher, groups, limits }
    }

    /// Returns whether a database is in the document.
    pub fn knows_database(&self, database: &str) -> bool {
        self.groups.by_database(database).is_some()
    }

    /// Runs a request for a session.
    ///
    /// # Errors
    ///
    /// Fails with a verdict that says whether the request may have run.
    pub fn run(&self, session: &mut SessionRoute, plan: &RequestPlan) -> Outcome {
        let deadline = Instant::now() + self.limits.request_timeout();
        match session.pinned.clone() {
            Some(pinned) => self.run_pinned(session, plan, &pinned, deadline),
            None => self.run_free(session, plan, deadline),
        }
    }

    /// Cancels what a session is running.
    pub fn cancel(&self, owner: OwnerLocation, key: SessionKey) {
        self.dispatcher.cancel(owner, key);
    }

    /// Ends a session's open transaction, if any.
    pub fn release(&self, session: &mut SessionRoute) {
        if let Some(pinned) = session.pinned.take() {
            self.dispatcher.release(pinned.owner, session.key);
        }
    }

    fn run_pinned(
        &self,
        session: &mut SessionRoute,
        plan: &RequestPlan,
        pinned: &PinnedServer,
        deadline: Instant,
    ) -> Outcome {
        let request =
            self.request(session, plan, &pinned.group, &pinned.server, Pinning::Pinned, deadline);
        let outcome = self.run_at(pinned.owner, session, request, deadline);
        if !matches!(&outcome, Ok(answer) if answer.state != TransactionState::Idle) {
            session.pinned = None;
        }
        outcome
    }

    fn run_free(
        &self,
        session: &mut SessionRoute,
        plan: &RequestPlan,
        deadline: Instant,
    ) -> Outcome {
        let mut delay = FIRST_RETRY_DELAY;
        loop {
            let outcome = self.attempt(session, plan, deadline);
            let outcome = refusal_as_failure(plan, outcome);
            let Err(failure) = outcome else { return outcome };
            let out_of_time = Instant::now() + delay >= deadline;
            if out_of_time || !is_worth_retrying(&failure) {
                return Err(failure);
            }
            std::thread::sleep(delay);
            delay = MAX_RETRY_DELAY.min(delay * 2);
        }
    }

    fn attempt(
        &self,
        session: &mut SessionRoute,
        plan: &RequestPlan,
        deadline: Instant,
    ) -> Outcome {
        let group = self.groups.by_database(&session.database).ok_or_else(|| {
            let message = format!("database \"{}\" does not exist", session.database);
            Failure::not_run(FailureKind::UnknownDatabase, message)
        })?;
        let server = self
            .groups
            .primary(&group)
            .ok_or_else(|| Failure::not_run(FailureKind::Unavailable, "the group has no server"))?;
        let owner = self.dispatcher.owners(server).first().copied().ok_or_else(|| {
            Failure::not_run(FailureKind::Unavailable, "no instance owns the server")
        })?;
        let request = self.request(session, plan, &group, server, Pinning::Free, deadline);
        let answer = self.run_at(owner, session, request, deadline)?;
        if answer.state != TransactionState::Idle {
            let pinned = PinnedServer { owner, server: server.clone(), group: group.clone() };
            session.pinned = Some(pinned);
        }
        Ok(answer)
    }

    fn run_at(
        &self,
        owner: OwnerLocation,
        session: &SessionRoute,
        request: UpstreamRequest,
        deadline: Instant,
    ) -> Outcome {
        let note = |location| {
            *session.running_at.lock().expect("no holder of the location panics") = location;
        };
        note(Some(owner));
        let outcome = self.dispatcher.run(owner, request, deadline);
        note(None);
        outcome
    }

    fn request(
        &self,
        session: &SessionRoute,
        plan: &RequestPlan,
        group: &GroupSpec,
        server: &ServerSpec,
        pinning: Pinning,
        deadline: Instant,
    ) -> UpstreamRequest {
        let remaining = deadline.saturating_duration_since(Instant::now());
        UpstreamRequest {
            id: RequestId::default(),
            session: session.key,
            group: group.name.clone(),
            server: server.name.clone(),
            target: Target::Primary,
            pinning,
            class: WireClass::Normal,
            user: session.user.clone(),
            database: session.database.clone(),
            settings: session.settings.clone(),
            deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            fingerprint: 0,
            leaves_state: plan.statements.iter().any(|statement| leaves_state(statement.kind)),
            payload: plan.payload.clone(),
            prepared: plan.needed.iter().map(prepared_statement).collect(),
            prepares: plan.prepares.clone(),
        }
    }
}

/// Turns a server's refusal to write into a failure that can be retried.
fn refusal_as_failure(plan: &RequestPlan, outcome: Outcome) -> Outcome {
    let answer = outcome?;
    let is_alone = plan.statements.len() == 1 && answer.state == TransactionState::Idle;
    if is_alone && is_read_only_refusal(&answer) {
        let message = "the server is not the primary";
        return Err(Failure::not_run(FailureKind::NotPrimary, message));
    }
    Ok(answer)
}

fn is_read_only_refusal(answer: &UpstreamAnswer) -> bool {
    answer.sqlstate.as_deref() == Some(SQLSTATE_READ_ONLY)
}

fn is_worth_retrying(failure: &Failure) -> bool {
    if failure.verdict != Verdict::NotRun {
        return false;
    }
    matches!(
        failure.kind,
        FailureKind::Unavailable
            | FailureKind::NotPrimary
            | FailureKind::NotOwner
            | FailureKind::BehindFloor
    )
}

fn prepared_statement(needed: &NeededStatement) -> PreparedStatement {
    PreparedStatement { name: needed.name.clone(), message: needed.message.to_vec() }
}

fn leaves_state(kind: StatementKind) -> bool {
    matches!(kind, StatementKind::SessionState | StatementKind::Set | StatementKind::Discard)
}
