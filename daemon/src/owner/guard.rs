//! Decides before a request whether its server may serve it, and after it whether
//! the result is safe.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::Term;
use masticreel_base::position::TermPosition;
use masticreel_wire::message::{Target, UpstreamRequest};

/// The term in which a server met a request's requirements, to check a read again
/// afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckedTerm {
    pub term: Term,
}

impl CheckedTerm {
    /// Checks after a read that the server still met the read's requirements.
    ///
    /// A server that has changed to another term may have discarded log entries. An
    /// answer without a position passes.
    ///
    /// # Errors
    ///
    /// Fails if the answer may lack data that the session must see. A read has no
    /// effect, so it counts as not run.
    pub fn verify(
        &self,
        request: &UpstreamRequest,
        position: Option<TermPosition>,
    ) -> Result<(), Failure> {
        let Target::Read { .. } = request.target else {
            return Ok(());
        };
        if position.is_none_or(|position| position.term <= self.term) {
            return Ok(());
        }
        let message = format!("server {} changed its primary during the read", request.server);
        Err(Failure::not_run(FailureKind::BehindFloor, message))
    }
}

/// Counts the requests whose commits may still have to be confirmed.
#[derive(Debug, Clone, Default)]
pub struct ConfirmationCounter {
    holds: Arc<AtomicUsize>,
}

impl ConfirmationCounter {
    /// Counts a request until the returned value is dropped.
    pub fn hold(&self) -> ConfirmationHold {
        self.holds.fetch_add(1, Ordering::AcqRel);
        ConfirmationHold { counter: Some(self.clone()) }
    }

    /// Returns whether any request is counted.
    pub fn is_held(&self) -> bool {
        self.holds.load(Ordering::Acquire) > 0
    }
}

/// Keeps what confirms a request's commit while the request may run or waits for the
/// confirmation, also if the instance stops watching the group meanwhile.
#[derive(Debug, Default)]
pub struct ConfirmationHold {
    counter: Option<ConfirmationCounter>,
}

impl Clone for ConfirmationHold {
    fn clone(&self) -> Self {
        self.counter.as_ref().map(ConfirmationCounter::hold).unwrap_or_default()
    }
}

impl Drop for ConfirmationHold {
    fn drop(&mut self) {
        if let Some(counter) = &self.counter {
            counter.holds.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

/// Decides whether a server may serve a request, and when a commit is safe. (It is no
/// lock guard.)
///
/// The checks don't wait: they return `None` while the result is not yet known.
pub trait ServerGuard: Clone + Send + Sync + 'static {
    /// Checks whether the server meets a request's requirements.
    ///
    /// # Errors
    ///
    /// Fails if the server can't serve the request; the request has not run.
    fn check_request(&self, request: &UpstreamRequest) -> Option<Result<CheckedTerm, Failure>>;

    /// Keeps what [`Self::check_commit`] needs for a request that is about to run.
    fn hold_confirmation(&self, request: &UpstreamRequest) -> ConfirmationHold;

    /// Checks whether a commit is safe, that is, can't be lost by a promotion.
    ///
    /// The caller has held the confirmation since before the request ran.
    ///
    /// # Errors
    ///
    /// Fails if this can no longer be determined; the request may have run.
    fn check_commit(
        &self,
        request: &UpstreamRequest,
        position: TermPosition,
    ) -> Option<Result<(), Failure>>;

    /// Waits until a check may have another result, at most for `timeout`.
    fn wait_for_change(&self, request: &UpstreamRequest, timeout: Duration);
}

/// Admits every request and confirms every commit, for a single instance without
/// failover.
#[derive(Debug, Clone, Copy, Default)]
pub struct Unguarded;

impl ServerGuard for Unguarded {
    fn check_request(&self, _request: &UpstreamRequest) -> Option<Result<CheckedTerm, Failure>> {
        Some(Ok(CheckedTerm { term: Term(u64::MAX) }))
    }

    fn hold_confirmation(&self, _request: &UpstreamRequest) -> ConfirmationHold {
        ConfirmationHold::default()
    }

    fn check_commit(
        &self,
        _request: &UpstreamRequest,
        _position: TermPosition,
    ) -> Option<Result<(), Failure>> {
        Some(Ok(()))
    }

    fn wait_for_change(&self, _request: &UpstreamRequest, _timeout: Duration) {}
}
