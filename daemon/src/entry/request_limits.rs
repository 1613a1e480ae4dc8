//! Classifies requests at the entry, and limits how many of them are processed at a
//! time and how often they are retried.
//!
//! The class in a [`RequestProfile`] selects the limit in [`RequestLimits`].

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use masticreel_admission::concurrency_limit::ConcurrencyLimit;
use masticreel_admission::expected_times::Fingerprint;
use masticreel_admission::retry_budget::{self, RetryBudget};
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::GroupId;
use masticreel_document::class::Class;
use masticreel_document::document::Document;
use masticreel_postgres::request::{RequestPlan, RequestStatement};
use masticreel_postgres::statement::StatementKind;
use masticreel_session::tags::parse_tags;

/// Retries for which the budget of a group can hold credit.
const GROUP_BURST_RETRIES: u32 = 20;

/// The properties by which a request is queued at its server.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RequestProfile {
    /// The request's class.
    pub class: Class,
    /// A hash of the statements without their literals. Requests with the same hash are
    /// expected to take about the same time. The fingerprint of a request key differs:
    /// it includes literals and parameters.
    pub fingerprint: u64,
    /// Whether the request begins a transaction and leaves it open.
    pub begins_transaction: bool,
}

impl RequestProfile {
    /// Determines the profile from the statements' tags and the document's rules.
    ///
    /// A request with several statements is long if one of them is long, and urgent
    /// only if all of them are urgent. Statements that begin or end a transaction don't
    /// count.
    ///
    /// # Errors
    ///
    /// Fails if a tag has an invalid value; the request has not run.
    pub fn of(document: &Document, plan: &RequestPlan) -> Result<Self, Failure> {
        let mut class = None;
        for statement in plan.statements.iter().filter(|statement| does_work(statement)) {
            let other = statement_class(document, statement)?;
            class = Some(class.map_or(other, |class| combine_classes(class, other)));
        }
        let begin = plan.statements.iter().rposition(|s| s.kind == StatementKind::Begin);
        let end = plan.statements.iter().rposition(|s| ends_transaction(s.kind));
        Ok(Self {
            class: class.unwrap_or_default(),
            fingerprint: statements_fingerprint(&plan.statements),
            begins_transaction: begin.is_some() && begin > end,
        })
    }
}

fn does_work(statement: &RequestStatement) -> bool {
    statement.kind != StatementKind::Begin && !ends_transaction(statement.kind)
}

fn ends_transaction(kind: StatementKind) -> bool {
    matches!(kind, StatementKind::Commit | StatementKind::Rollback)
}

fn statement_class(document: &Document, statement: &RequestStatement) -> Result<Class, Failure> {
    let tags = parse_tags(&statement.text)
        .map_err(|error| Failure::not_run(FailureKind::Protocol, error.to_string()))?;
    Ok(document.policy().classify(&statement.text, &tags.statement).class)
}

fn combine_classes(first: Class, second: Class) -> Class {
    match (first, second) {
        (Class::Long, _) | (_, Class::Long) => Class::Long,
        (Class::Urgent, Class::Urgent) => Class::Urgent,
        _ => Class::Normal,
    }
}

fn statements_fingerprint(statements: &[RequestStatement]) -> u64 {
    match statements {
        [statement] => Fingerprint::of(&statement.text).into(),
        _ => {
            let texts: Vec<&str> = statements.iter().map(|statement| &*statement.text).collect();
            Fingerprint::of(&texts.join(";")).into()
        }
    }
}

/// Limits the requests that the entry processes at a time, and their retries.
#[derive(Debug, Clone)]
pub struct RequestLimits {
    concurrency_limit: Arc<Mutex<ConcurrencyLimit>>,
    budgets: Arc<Mutex<HashMap<GroupId, RetryBudget>>>,
}

/// A request's permit under the concurrency limit, which is released when dropped.
#[derive(Debug)]
pub struct RequestPermit {
    request_limits: RequestLimits,
    class: Class,
}

impl RequestLimits {
    /// Creates limits for at most `max_concurrent_requests` requests at a time.
    pub fn new(max_concurrent_requests: usize) -> Self {
        let total = u32::try_from(max_concurrent_requests).unwrap_or(u32::MAX);
        Self {
            concurrency_limit: Arc::new(Mutex::new(ConcurrencyLimit::new(total))),
            budgets: Arc::new(Mutex::new(HashMap::new())),
        }
    }

    /// Acquires a permit under the concurrency limit.
    ///
    /// # Errors
    ///
    /// Fails if the limit for the request's class is reached; the request has not run.
    pub fn acquire(&self, class: Class) -> Result<RequestPermit, Failure> {
        self.concurrency_limit().acquire(class)?;
        Ok(RequestPermit { request_limits: self.clone(), class })
    }

    /// Records a request's first attempt, which earns credit for later retries.
    pub fn record_first_attempt(&self, caller: &mut RetryBudget, group: &GroupId) {
        caller.record_attempt();
        self.with_budget(group, RetryBudget::record_attempt);
    }

    /// Takes a retry that adds load to a server from the budgets of caller and group.
    ///
    /// Returns whether both budgets allow the retry now.
    pub fn take_retry(&self, caller: &mut RetryBudget, group: &GroupId, now: Instant) -> bool {
        self.with_budget(group, |budget| retry_budget::spend(caller, budget, now))
    }

    /// Returns the credit that [`Self::take_retry`] took for a retry that succeeded.
    pub fn refund_retry(&self, caller: &mut RetryBudget, group: &GroupId) {
        self.with_budget(group, |budget| retry_budget::refund(caller, budget));
    }

    fn with_budget<Change, Answer>(&self, group: &GroupId, change: Change) -> Answer
    where
        Change: FnOnce(&mut RetryBudget) -> Answer,
    {
        let mut budgets =
            self.budgets.lock().expect("no thread panics while it holds the budgets lock");
        if let Some(budget) = budgets.get_mut(group) {
            return change(budget);
        }
        let budget = budgets.entry(group.clone());
        change(budget.or_insert_with(|| RetryBudget::new(GROUP_BURST_RETRIES)))
    }

    fn concurrency_limit(&self) -> MutexGuard<'_, ConcurrencyLimit> {
        self.concurrency_limit
            .lock()
            .expect("no thread panics while it holds the concurrency limit lock")
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        self.request_limits.concurrency_limit().release(self.class);
    }
}
