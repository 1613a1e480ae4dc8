//! Failures of requests, with the verdict whether the request may have run.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The effect of a failed request, as far as it is known.
///
/// Only `NotRun` allows a retry of a request that is not idempotent. See
/// `docs/design/06-verdicts.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum Verdict {
    /// The request had no effect and never will.
    #[display("not run")]
    NotRun,
    /// The request ran and its outcome is known.
    #[display("ran")]
    Ran,
    /// The request may have taken effect.
    #[display("may have run")]
    MayHaveRun,
}

/// The reason why a request failed, displayed as callers and metrics see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum FailureKind {
    /// The database that the caller named is in no section of the document.
    #[display("unknown_database")]
    UnknownDatabase,
    /// A queue is full or can't meet the deadline.
    #[display("overloaded")]
    Overloaded,
    /// No server accepts the request now, for example because none is reachable or
    /// the server is leaving.
    #[display("unavailable")]
    Unavailable,
    /// The server or its owner stopped answering after the request was sent.
    #[display("lost")]
    Lost,
    /// The majority did not confirm a commit in time.
    #[display("unconfirmed")]
    Unconfirmed,
    /// The server that got the request is not, or is no longer, the primary.
    #[display("not_primary")]
    NotPrimary,
    /// The server has not applied the minimum position of the session's reads.
    #[display("behind_floor")]
    BehindFloor,
    /// This instance does not own the server that the request is for.
    #[display("not_owner")]
    NotOwner,
    /// The instance is shutting down.
    #[display("shutting_down")]
    ShuttingDown,
    /// The caller cancelled the request.
    #[display("cancelled")]
    Cancelled,
    /// The transaction that the request belongs to no longer exists.
    #[display("transaction_lost")]
    TransactionLost,
    /// The request uses a feature that is not supported.
    #[display("unsupported")]
    Unsupported,
    /// The peer violated the protocol.
    #[display("protocol")]
    Protocol,
}

/// A failed request: why it failed and whether it may have run.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{kind}, {verdict}: {message}")]
pub struct Failure {
    /// What is known about the request's effect.
    pub verdict: Verdict,
    /// Why the request failed.
    pub kind: FailureKind,
    /// A description of what happened, for people to read.
    pub message: Arc<str>,
}

impl std::error::Error for Failure {}

impl Failure {
    /// Describes a request that had no effect.
    pub fn not_run(kind: FailureKind, message: impl Into<Arc<str>>) -> Self {
        Self { verdict: Verdict::NotRun, kind, message: message.into() }
    }

    /// Describes a request that may have taken effect.
    pub fn may_have_run(kind: FailureKind, message: impl Into<Arc<str>>) -> Self {
        Self { verdict: Verdict::MayHaveRun, kind, message: message.into() }
    }

    /// Returns whether a retry can't apply the request's effect twice, even if the
    /// request is not idempotent.
    pub fn did_not_run(&self) -> bool {
        self.verdict == Verdict::NotRun
    }
}
