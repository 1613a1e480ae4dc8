//! Choosing the server for a request and trying again where that is safe.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use masticreel_admission::retry_budget::RetryBudget;
use masticreel_base::failure::{Failure, FailureKind, Verdict};
use masticreel_base::ids::{GroupId, RequestId};
use masticreel_document::class::Class;
use masticreel_document::groups::{GroupSpec, ServerSpec};
use masticreel_postgres::request::{NeededStatement, RequestPlan};
use masticreel_postgres::statement::StatementKind;
use masticreel_wire::message::{
    Pinning, PreparedStatement, SessionKey, Target, TransactionState, UpstreamAnswer,
    UpstreamRequest, WireClass,
};

use crate::directory::{OwnerDirectory, OwnerLocation};
use crate::entry::dispatch::Dispatcher;
use crate::entry::gate::{Gate, Treatment};
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
    /// How the session's latest request competed with others.
    pub class: Class,
    /// What the session may try again.
    pub retry_budget: RetryBudget,
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
    /// Whether a statement of the transaction was urgent, so that its commit is.
    pub is_urgent: bool,
}

/// Where one attempt goes.
#[derive(Debug, Clone, Copy)]
struct Destination<'spec> {
    group: &'spec GroupSpec,
    server: &'spec ServerSpec,
    pinning: Pinning,
}

/// Sends requests to the right servers.
pub struct Router<Guard, Directory> {
    dispatcher: Dispatcher<Guard, Directory>,
    groups: Groups,
    limits: LimitSettings,
    gate: Gate,
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
        let gate = Gate::new(limits.max_concurrent_requests);
        Self { dispatcher, groups, limits, gate }
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
        let treatment = Treatment::of(&self.groups.document(), plan)?;
        session.class = treatment.class;
        let Some(pinned) = session.pinned.clone() else {
            let _pass = self.gate.enter(treatment.class)?;
            return self.run_free(session, plan, treatment, deadline);
        };
        // The server's connections bound the open transactions, so they pass
        // the door freely; a refusal would only keep their locks longer.
        self.run_pinned(session, plan, treatment, pinned, deadline)
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
        treatment: Treatment,
        mut pinned: PinnedServer,
        deadline: Instant,
    ) -> Outcome {
        pinned.is_urgent |= treatment.class == Class::Urgent;
        let class = if pinned.is_urgent { Class::Urgent } else { treatment.class };
        let treatment = Treatment { class, ..treatment };
        let destination =
            Destination { group: &pinned.group, server: &pinned.server, pinning: Pinning::Pinned };
        let request = self.request(session, plan, treatment, destination, deadline);
        session.pinned = None;
        match self.run_at(pinned.owner, session, request, deadline) {
            Ok(answer) => {
                let is_open = answer.state != TransactionState::Idle;
                session.pinned = is_open.then_some(pinned);
                Ok(answer)
            }
            Err(failure) => {
                // The owner rolls back whatever it may still hold.
                self.dispatcher.release(pinned.owner, session.key);
                Err(transaction_failure(plan, failure))
            }
        }
    }

    fn run_free(
        &self,
        session: &mut SessionRoute,
        plan: &RequestPlan,
        treatment: Treatment,
        deadline: Instant,
    ) -> Outcome {
        let group = self.group(session)?;
        self.gate.attempted(&mut session.retry_budget, &group.name);
        let mut delay = FIRST_RETRY_DELAY;
        let mut has_paid = false;
        loop {
            let outcome = self.attempt(session, plan, treatment, deadline);
            let outcome = refusal_as_failure(plan, outcome);
            if has_paid && outcome.is_ok() {
                self.gate.retry_succeeded(&mut session.retry_budget, &group.name);
            }
            let Err(failure) = outcome else { return outcome };
            if !is_worth_retrying(&failure) {
                return Err(failure);
            }
            has_paid = loads_server(&failure);
            if !self.wait_to_retry(session, &group.name, has_paid, &mut delay, deadline) {
                return Err(failure);
            }
        }
    }

    /// Waits until another attempt may be made; returns whether there is time.
    fn wait_to_retry(
        &self,
        session: &mut SessionRoute,
        group: &GroupId,
        must_pay: bool,
        delay: &mut Duration,
        deadline: Instant,
    ) -> bool {
        loop {
            if Instant::now() + *delay >= deadline {
                return false;
            }
            std::thread::sleep(*delay);
            *delay = MAX_RETRY_DELAY.min(*delay * 2);
            let now = Instant::now();
            if !must_pay || self.gate.may_retry(&mut session.retry_budget, group, now) {
                return true;
            }
        }
    }

    fn group(&self, session: &SessionRoute) -> Result<GroupSpec, Failure> {
        self.groups.by_database(&session.database).ok_or_else(|| {
            let message = format!("database \"{}\" does not exist", session.database);
            Failure::not_run(FailureKind::UnknownDatabase, message)
        })
    }

    fn attempt(
        &self,
        session: &mut SessionRoute,
        plan: &RequestPlan,
        treatment: Treatment,
        deadline: Instant,
    ) -> Outcome {
        let group = self.group(session)?;
        let server = self
            .groups
            .primary(&group)
            .ok_or_else(|| Failure::not_run(FailureKind::Unavailable, "the group has no server"))?;
        let owner = self.dispatcher.owners(server).first().copied().ok_or_else(|| {
            Failure::not_run(FailureKind::Unavailable, "no instance owns the server")
        })?;
        let pinning = if treatment.begins { Pinning::Begins } else { Pinning::Free };
        let destination = Destination { group: &group, server, pinning };
        let request = self.request(session, plan, treatment, destination, deadline);
        let answer = self.run_at(owner, session, request, deadline)?;
        if answer.state != TransactionState::Idle {
            session.pinned = Some(PinnedServer {
                owner,
                server: server.clone(),
                group: group.clone(),
                is_urgent: treatment.class == Class::Urgent,
            });
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
        treatment: Treatment,
        destination: Destination<'_>,
        deadline: Instant,
    ) -> UpstreamRequest {
        let remaining = deadline.saturating_duration_since(Instant::now());
        UpstreamRequest {
            id: RequestId::default(),
            session: session.key,
            group: destination.group.name.clone(),
            server: destination.server.name.clone(),
            target: Target::Primary,
            pinning: destination.pinning,
            class: wire_class(treatment.class),
            user: session.user.clone(),
            database: session.database.clone(),
            settings: session.settings.clone(),
            deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            fingerprint: treatment.fingerprint,
            leaves_state: plan.statements.iter().any(|statement| leaves_state(statement.kind)),
            payload: plan.payload.clone(),
            prepared: plan.needed.iter().map(prepared_statement).collect(),
            prepares: plan.prepares.clone(),
        }
    }
}

/// Says what is known of a statement that failed with its transaction.
///
/// Whatever ran before is rolled back, so only a request that commits may have
/// an effect.
fn transaction_failure(plan: &RequestPlan, failure: Failure) -> Failure {
    let commits = plan.statements.iter().any(|statement| statement.kind == StatementKind::Commit);
    if commits || failure.verdict != Verdict::MayHaveRun {
        return failure;
    }
    Failure::not_run(FailureKind::TransactionLost, failure.message)
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

/// Returns whether the failed attempt reached a server, so that trying again
/// adds load.
fn loads_server(failure: &Failure) -> bool {
    failure.kind == FailureKind::NotPrimary
}

fn wire_class(class: Class) -> WireClass {
    match class {
        Class::Urgent => WireClass::Urgent,
        Class::Normal => WireClass::Normal,
        Class::Long => WireClass::Long,
    }
}

fn prepared_statement(needed: &NeededStatement) -> PreparedStatement {
    PreparedStatement { name: needed.name.clone(), message: needed.message.to_vec() }
}

fn leaves_state(kind: StatementKind) -> bool {
    matches!(kind, StatementKind::SessionState | StatementKind::Set | StatementKind::Discard)
}
