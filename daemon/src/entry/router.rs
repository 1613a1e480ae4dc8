//! Chooses the server for a request, and retries the request where that is safe.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use masticreel_admission::retry_budget::RetryBudget;
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::{FailureDomain, GroupId, RequestId};
use masticreel_document::class::Class;
use masticreel_document::groups::{GroupSpec, ServerSpec};
use masticreel_postgres::request::{NeededStatement, RequestPlan};
use masticreel_postgres::statement::StatementKind;
use masticreel_session::retry::RetryDecision;
use masticreel_wire::message::{
    Pinning, PreparedStatement, SessionKey, Target, TransactionState, UpstreamAnswer,
    UpstreamRequest, WireClass,
};

use crate::directory::{OwnerDirectory, OwnerLocation};
use crate::entry::attempts::{
    Attempts, needs_retry_budget, refusal_as_failure, transaction_failure,
};
use crate::entry::dispatch::Dispatcher;
use crate::entry::identity::SessionIdentity;
use crate::entry::request_attributes::RequestAttributes;
use crate::entry::request_limits::{RequestLimits, RequestProfile};
use crate::groups::Groups;
use crate::metrics::Metrics;
use crate::owner::guard::ServerGuard;
use crate::owner::job::Outcome;
use crate::settings::LimitSettings;
use crate::shutdown::ShutdownDeadline;
use crate::views::Views;
use crate::views::positions::PositionQueries;

/// The state of a caller's session by which its requests are routed.
#[derive(Debug)]
pub struct RoutedSession {
    /// The key by which owners identify the session.
    pub key: SessionKey,
    /// The database user.
    pub user: Arc<str>,
    /// The database name.
    pub database: Arc<str>,
    /// `SET` statements, as SQL, that set the session's parameters.
    pub settings: Vec<Arc<str>>,
    /// The owner and server that hold the session's open transaction.
    pub pinned: Option<PinnedServer>,
    /// The session's name and the minimum positions that it must see.
    pub identity: SessionIdentity,
    /// The class of the session's latest request.
    pub class: Class,
    /// The session's budget for retries.
    pub retry_budget: RetryBudget,
    /// The owner that is running a request of the session, for cancel requests.
    pub running_owner: RunningOwner,
}

/// The owner that is running a session's request, if any.
pub type RunningOwner = Arc<Mutex<Option<OwnerLocation>>>;

/// The server that holds a session's open transaction.
#[derive(Debug, Clone)]
pub struct PinnedServer {
    /// The server's owner when the transaction began.
    pub owner: OwnerLocation,
    /// The server.
    pub server: ServerSpec,
    /// The group.
    pub group: GroupSpec,
    /// Whether a statement of the transaction was urgent; then its later statements
    /// and its commit are urgent too.
    pub is_urgent: bool,
}

/// The server to which an attempt is sent, and the requirements that the server must
/// meet.
pub(super) struct Destination {
    pub(super) server: ServerSpec,
    pub(super) target: Target,
}

/// Runs callers' requests on the servers of their database group.
pub struct Router<Guard, Directory> {
    dispatcher: Dispatcher<Guard, Directory>,
    groups: Groups,
    pub(super) views: Arc<Views<Directory>>,
    pub(super) positions: PositionQueries,
    pub(super) failure_domain: FailureDomain,
    limits: LimitSettings,
    metrics: Metrics,
    request_limits: RequestLimits,
    shutdown: ShutdownDeadline,
}

impl<Guard, Directory> Router<Guard, Directory>
where
    Guard: ServerGuard,
    Directory: OwnerDirectory,
{
    pub fn new(
        dispatcher: Dispatcher<Guard, Directory>,
        groups: Groups,
        views: Arc<Views<Directory>>,
        failure_domain: FailureDomain,
        limits: LimitSettings,
        metrics: Metrics,
        shutdown: ShutdownDeadline,
    ) -> Self {
        let request_limits = RequestLimits::new(limits.max_concurrent_requests);
        let positions = PositionQueries::default();
        Self {
            dispatcher,
            groups,
            views,
            positions,
            failure_domain,
            limits,
            metrics,
            request_limits,
            shutdown,
        }
    }

    /// Returns whether a database is in the document.
    pub fn has_database(&self, database: &str) -> bool {
        self.groups.by_database(database).is_some()
    }

    /// Runs a request for a session.
    ///
    /// # Errors
    ///
    /// Fails with a verdict that says whether the request may have run.
    pub fn run(&self, session: &mut RoutedSession, plan: &RequestPlan) -> Outcome {
        let now = Instant::now();
        if self.shutdown.is_over(now) {
            let message = "the instance is shutting down";
            return Err(Failure::not_run(FailureKind::ShuttingDown, message));
        }
        let deadline = self.shutdown.cap(now + self.limits.request_timeout());
        let document = self.groups.document();
        let profile = RequestProfile::of(&document, plan)?;
        let attributes = RequestAttributes::new(plan, document.policy())?;
        if let Some(token) = &attributes.tags.token {
            session.identity.merge_token(token)?;
        }
        session.class = profile.class;
        let Some(pinned) = session.pinned.clone() else {
            let _permit = self.request_limits.acquire(profile.class)?;
            let is_write = !attributes.is_read || attributes.request_key.is_some();
            let primary_only = false;
            let attempts = Attempts {
                plan,
                profile,
                attributes,
                deadline,
                backoffs: 0,
                primary_only,
                is_write,
            };
            return self.run_unpinned(session, attempts);
        };
        if attributes.request_key.is_some() {
            let message = "a request key can't be used in an open transaction";
            return Err(Failure::not_run(FailureKind::Unsupported, message));
        }
        // No permit is needed: the server's connections already bound the number of open
        // transactions, and refusing a statement would keep its transaction's locks
        // longer.
        self.run_pinned(session, plan, profile, pinned, deadline)
    }

    /// Cancels the running request of a session.
    pub fn cancel(&self, owner: OwnerLocation, key: SessionKey) {
        self.dispatcher.cancel(owner, key);
    }

    /// Requests a rollback of a session's open transaction, if any.
    pub fn roll_back_session(&self, session: &mut RoutedSession) {
        if let Some(pinned) = session.pinned.take() {
            self.dispatcher.roll_back_session(pinned.owner, session.key);
        }
    }

    fn run_pinned(
        &self,
        session: &mut RoutedSession,
        plan: &RequestPlan,
        profile: RequestProfile,
        mut pinned: PinnedServer,
        deadline: Instant,
    ) -> Outcome {
        pinned.is_urgent |= profile.class == Class::Urgent;
        let class = if pinned.is_urgent { Class::Urgent } else { profile.class };
        let profile = RequestProfile { class, ..profile };
        let mut request =
            self.request(session, plan, profile, &pinned.group, &pinned.server, deadline);
        request.pinning = Pinning::Pinned;
        session.pinned = None;
        match self.run_at(pinned.owner, session, request, deadline) {
            Ok(answer) => {
                record_answer(&mut session.identity, &pinned.group.name, &answer, true);
                let is_open = answer.state != TransactionState::Idle;
                session.pinned = is_open.then_some(pinned);
                Ok(answer)
            }
            Err(failure) => {
                // The transaction may still be open at the owner, which rolls it back.
                self.dispatcher.roll_back_session(pinned.owner, session.key);
                Err(transaction_failure(plan, failure))
            }
        }
    }

    fn run_unpinned(&self, session: &mut RoutedSession, mut attempts: Attempts<'_>) -> Outcome {
        let group = self.group(session)?;
        self.request_limits.record_first_attempt(&mut session.retry_budget, &group.name);
        let mut used_budget = false;
        loop {
            let outcome = self.attempt(session, &group, &attempts);
            let outcome = refusal_as_failure(attempts.plan, outcome);
            if used_budget && outcome.is_ok() {
                self.request_limits.refund_retry(&mut session.retry_budget, &group.name);
            }
            let Err(failure) = outcome else { return outcome };
            used_budget = needs_retry_budget(&failure);
            if !self.wait_to_retry(session, &group.name, &mut attempts, &failure) {
                return Err(failure);
            }
        }
    }

    /// Waits until another attempt may be made, and returns whether one may.
    ///
    /// The backoff is repeated while the retry budgets allow no retry.
    fn wait_to_retry(
        &self,
        session: &mut RoutedSession,
        group: &GroupId,
        attempts: &mut Attempts<'_>,
        failure: &Failure,
    ) -> bool {
        loop {
            attempts.deadline = self.shutdown.cap(attempts.deadline);
            let RetryDecision::RetryAfter(delay) = attempts.decide(failure) else {
                return false;
            };
            std::thread::sleep(delay);
            attempts.record_backoff(failure);
            let needs_budget = needs_retry_budget(failure);
            let now = Instant::now();
            if !needs_budget
                || self.request_limits.take_retry(&mut session.retry_budget, group, now)
            {
                return true;
            }
        }
    }

    fn group(&self, session: &RoutedSession) -> Result<GroupSpec, Failure> {
        self.groups.by_database(&session.database).ok_or_else(|| {
            let message = format!("database \"{}\" does not exist", session.database);
            Failure::not_run(FailureKind::UnknownDatabase, message)
        })
    }

    fn attempt(
        &self,
        session: &mut RoutedSession,
        group: &GroupSpec,
        attempts: &Attempts<'_>,
    ) -> Outcome {
        let Attempts { plan, profile, deadline, is_write, .. } = *attempts;
        let destination = if is_write {
            self.primary(group)?
        } else {
            self.read_destination(session, group, attempts)?
        };
        let server = destination.server;
        let owner =
            self.dispatcher.owners_by_preference(&server).first().copied().ok_or_else(|| {
                Failure::not_run(FailureKind::Unavailable, "no instance owns the server")
            })?;
        let mut request = self.request(session, plan, profile, group, &server, deadline);
        request.target = destination.target;
        request.request_key = attempts.attributes.request_key.clone();
        let answer = self.run_at(owner, session, request, deadline)?;
        record_answer(&mut session.identity, &group.name, &answer, is_write);
        if !is_write {
            self.count_read(group, &server);
        }
        if answer.state != TransactionState::Idle {
            let is_urgent = profile.class == Class::Urgent;
            let group = group.clone();
            session.pinned = Some(PinnedServer { owner, server, group, is_urgent });
        }
        Ok(answer)
    }

    fn count_read(&self, group: &GroupSpec, server: &ServerSpec) {
        let is_primary = self.views.view(&group.name).primary.as_ref() == Some(&server.name);
        let served_by = if is_primary { "primary" } else { "replica" };
        self.metrics.reads.with_label_values(&[served_by]).inc();
    }

    pub(super) fn primary(&self, group: &GroupSpec) -> Result<Destination, Failure> {
        let view = self.views.view(&group.name);
        let is_primary = |server: &&ServerSpec| view.primary.as_ref() == Some(&server.name);
        let server = group.servers.iter().find(is_primary).cloned().ok_or_else(|| {
            let message = format!("group {} has no primary at the moment", group.name);
            Failure::not_run(FailureKind::Unavailable, message)
        })?;
        Ok(Destination { server, target: Target::Primary })
    }

    fn run_at(
        &self,
        owner: OwnerLocation,
        session: &RoutedSession,
        request: UpstreamRequest,
        deadline: Instant,
    ) -> Outcome {
        let set_running_owner = |location| {
            *session
                .running_owner
                .lock()
                .expect("no thread panics while it holds the running owner lock") = location;
        };
        set_running_owner(Some(owner));
        let outcome = self.dispatcher.run(owner, request, deadline);
        set_running_owner(None);
        outcome
    }

    fn request(
        &self,
        session: &RoutedSession,
        plan: &RequestPlan,
        profile: RequestProfile,
        group: &GroupSpec,
        server: &ServerSpec,
        deadline: Instant,
    ) -> UpstreamRequest {
        let remaining = deadline.saturating_duration_since(Instant::now());
        UpstreamRequest {
            id: RequestId::default(),
            session: session.key,
            group: group.name.clone(),
            server: server.name.clone(),
            target: Target::Primary,
            pinning: if profile.begins_transaction { Pinning::Begins } else { Pinning::Free },
            class: wire_class(profile.class),
            user: session.user.clone(),
            database: session.database.clone(),
            settings: session.settings.clone(),
            deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            fingerprint: profile.fingerprint,
            leaves_state: plan.statements.iter().any(|statement| leaves_state(statement.kind)),
            payload: plan.payload.clone(),
            prepared: plan.needed.iter().map(prepared_statement).collect(),
            prepares: plan.prepares.clone(),
            request_key: None,
        }
    }
}

/// Raises the session's floor to the position that it has written or read.
fn record_answer(
    identity: &mut SessionIdentity,
    group: &GroupId,
    answer: &UpstreamAnswer,
    may_write: bool,
) {
    let Some(position) = answer.position else {
        return;
    };
    if may_write && answer.state == TransactionState::Idle {
        identity.record_write(group, position);
    } else {
        identity.record_read(group, position);
    }
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
