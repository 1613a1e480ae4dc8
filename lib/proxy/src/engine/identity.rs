//! Decides for which organisation a caller's operation runs, and ends sessions whose key was
//! removed.
//!
//! An operation is a statement outside a transaction, or a whole transaction, which keeps the
//! organisation under which it began. If the caller's key is removed or moved to another
//! organisation meanwhile, it may go on until the configuration that did so must be active
//! everywhere, and is rolled back then. See `docs/design/12-organisations.md`.

use std::sync::Arc;
use std::time::Duration;

use slog::info;

use super::{Action, Context, Engine, is_configuration_recent};
use crate::caller::{Caller, CallerId, Transaction};
use crate::moment::Moment;
use crate::organisations::{ApiKey, Organisations};
use crate::statement::{Failure, FailureKind};

impl Engine {
    /// Ends the idle sessions whose key was removed, once for each version of the
    /// configuration; those of busy ones end after their operation.
    ///
    /// Waits until the view is up to date: another instance may know a newer version, in
    /// which the key is back.
    pub(super) fn end_unauthenticated_sessions(&mut self, context: Context<'_>) {
        let version = context.view.document().map_or(0, |document| document.version);
        if version == self.keys_checked_in || !is_configuration_recent(context) {
            return;
        }
        self.keys_checked_in = version;
        let is_affected = |caller: &Caller| caller.is_idle() && is_unauthenticated(context, caller);
        let affected: Vec<CallerId> = self
            .callers
            .iter()
            .filter(|(_, caller)| is_affected(caller))
            .map(|(id, _)| *id)
            .collect();
        if affected.is_empty() {
            return;
        }
        info!(self.log, "idle sessions closed, as their keys were removed";
            "sessions" => affected.len(), "config" => version);
        for id in affected {
            self.metrics.unauthenticated("idle");
            self.actions.push(Action::EndSession(id));
        }
    }

    /// Determines the organisation for which the next operation of a caller runs. Inside a
    /// transaction, rolls it back if it may not go on.
    ///
    /// # Errors
    ///
    /// Fails as [`organisation_of`] does. If the key is unknown, the requests in the caller's
    /// backlog are dropped, and the session ends.
    pub(super) fn admit(&mut self, context: Context<'_>, id: CallerId) -> Result<(), Failure> {
        let Some(caller) = self.callers.get_mut(&id) else {
            return Ok(());
        };
        match &caller.transaction {
            Transaction::None => {}
            Transaction::Open(_) => {
                if check_holder(context, caller, self.settings.configuration_deadline) {
                    self.former_holders.insert(id);
                }
                if is_entitlement_over(caller, context.now) {
                    self.roll_back_as_former_holder(context, id);
                }
                return Ok(());
            }
            Transaction::Failed { .. } => return Ok(()),
        }
        match organisation_of(context, &caller.database, caller.key.as_ref()) {
            Ok(organisation) => {
                caller.organisation = organisation;
                Ok(())
            }
            Err(failure) => {
                if failure.kind == FailureKind::Unauthenticated {
                    caller.has_ended = true;
                    caller.backlog.clear();
                    self.metrics.unauthenticated("operation");
                }
                Err(failure)
            }
        }
    }

    /// Rolls back the transactions of organisations that no longer hold their callers' keys, once
    /// these may not go on. Statements that a server is running are waited for.
    pub(super) fn end_transactions_of_former_holders(&mut self, context: Context<'_>) {
        let version = context.view.document().map_or(0, |document| document.version);
        let deadline = self.settings.configuration_deadline;
        if version != self.transactions_checked_in {
            self.transactions_checked_in = version;
            for (id, caller) in &mut self.callers {
                if check_holder(context, caller, deadline) {
                    self.former_holders.insert(*id);
                }
            }
        }
        let callers = &self.callers;
        self.former_holders.retain(|id| {
            callers.get(id).is_some_and(|caller| {
                matches!(&caller.transaction, Transaction::Open(open) if open.entitled_until.is_some())
            })
        });
        let is_due = |id: &&CallerId| {
            self.callers.get(*id).is_some_and(|caller| {
                caller.pending.is_none() && is_entitlement_over(caller, context.now)
            })
        };
        let ended: Vec<CallerId> = self.former_holders.iter().filter(is_due).copied().collect();
        for id in ended {
            self.roll_back_as_former_holder(context, id);
        }
    }

    fn roll_back_as_former_holder(&mut self, context: Context<'_>, id: CallerId) {
        let Some(Transaction::Open(open)) = self.callers.get(&id).map(|c| &c.transaction) else {
            return;
        };
        info!(self.log, "transaction rolled back: its organisation no longer holds the key";
            "caller" => %id, "organisation" => open.organisation.as_deref(),
            "config" => context.view.document().map_or(0, |document| document.version));
        let cause = Failure::new(
            FailureKind::Aborted,
            "the key was removed or belongs to another organisation now",
        );
        self.abort(context, id, cause);
    }
}

/// Updates until when a caller's open transaction may go on, by the active configuration.
/// Returns whether that is limited.
///
/// The deadline counts from the last moment at which the store is known not to have had that
/// configuration, so it is too early rather than too late.
fn check_holder(
    context: Context<'_>,
    caller: &mut Caller,
    configuration_deadline: Duration,
) -> bool {
    let Transaction::Open(open) = &mut caller.transaction else {
        return false;
    };
    // A change of the route itself applies from the next transaction on.
    let holder = organisation_on(context, open.route.is_public, caller.key.as_ref());
    // Nothing of the transaction has been sent anywhere.
    let is_unused = open.connection.is_none() && !open.has_run && caller.pending.is_none();
    match holder {
        Ok(holder) if is_unused || holder == open.organisation => {
            open.organisation = holder;
            open.entitled_until = None;
            return false;
        }
        Ok(_) | Err(_) => {}
    }
    let accepted_after = context.view.document_absent_at().unwrap_or(context.now);
    open.entitled_until.get_or_insert(accepted_after + configuration_deadline);
    true
}

fn is_entitlement_over(caller: &Caller, now: Moment) -> bool {
    matches!(&caller.transaction, Transaction::Open(open)
        if open.entitled_until.is_some_and(|until| now >= until))
}

/// Returns the name of the organisation for which an operation of a caller with this key runs
/// on a database. There is no name if the configuration has no organisations, or if the route
/// is public and the key unknown.
///
/// # Errors
///
/// Fails if the caller needs a key and its key belongs to no organisation. The key counts as
/// unknown only if the configuration is up to date; otherwise the caller may succeed at
/// another instance.
pub(super) fn organisation_of(
    context: Context<'_>,
    database: &str,
    key: Option<&ApiKey>,
) -> Result<Option<Arc<str>>, Failure> {
    let route = context.view.document().and_then(|document| document.routes.get(database));
    organisation_on(context, route.is_some_and(|route| route.is_public), key)
}

/// As [`organisation_of`], on a route that is public or not.
fn organisation_on(
    context: Context<'_>,
    is_public: bool,
    key: Option<&ApiKey>,
) -> Result<Option<Arc<str>>, Failure> {
    let Some(organisations) = organisations(context) else {
        return Ok(None);
    };
    if let Some(organisation) = key.and_then(|key| organisations.of_key(key)) {
        return Ok(Some(Arc::clone(&organisation.name)));
    }
    if is_public {
        return Ok(None);
    }
    Err(match key {
        None => Failure::new(FailureKind::Unauthenticated, "a key is required"),
        Some(_) if is_configuration_recent(context) => {
            Failure::new(FailureKind::Unauthenticated, "the key is unknown or was removed")
        }
        Some(_) => Failure::new(
            FailureKind::Busy,
            "not run: the configuration has no such key, but is old",
        ),
    })
}

/// Checks whether a caller may open a session on a database, and returns the name of its
/// organisation.
///
/// The key is checked before the database, so that callers without a key don't learn which
/// databases exist.
///
/// # Errors
///
/// Fails as [`organisation_of`] does, and also if keys are required and the caller's can
/// belong to no organisation, whatever the route.
pub(super) fn organisation_at_start(
    context: Context<'_>,
    database: &str,
    key: Option<&ApiKey>,
) -> Result<Option<Arc<str>>, Failure> {
    if organisations(context).is_some()
        && let Some(Err(reason)) = key.map(ApiKey::check)
    {
        return Err(Failure::new(FailureKind::Malformed, reason));
    }
    organisation_of(context, database, key)
}

/// Returns the organisations of the active configuration.
pub(super) fn organisations<'a>(context: Context<'a>) -> Option<&'a Organisations> {
    context.view.document().and_then(|document| document.organisations.as_ref())
}

/// Returns whether a caller needs a key and its key was removed.
pub(super) fn is_unauthenticated(context: Context<'_>, caller: &Caller) -> bool {
    organisation_of(context, &caller.database, caller.key.as_ref())
        .is_err_and(|failure| failure.kind == FailureKind::Unauthenticated)
}
