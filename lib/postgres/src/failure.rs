//! Failures encoded as error messages of the PostgreSQL protocol.

use bytes::BytesMut;
use masticreel_base::failure::{Failure, FailureKind, Verdict};
use pgwire::messages::response::ErrorResponse;

use crate::message::put_message;

/// Returns the SQLSTATE that callers receive for a failure.
///
/// See `docs/verdicts.md`.
pub fn sqlstate(failure: &Failure) -> &'static str {
    if failure.verdict == Verdict::MayHaveRun {
        return "08007";
    }
    match failure.kind {
        FailureKind::UnknownDatabase => "3D000",
        FailureKind::Overloaded => "53400",
        FailureKind::Unavailable | FailureKind::Lost | FailureKind::NotOwner => "57P03",
        FailureKind::Unconfirmed => "08007",
        FailureKind::NotPrimary => "25006",
        FailureKind::BehindFloor => "57P03",
        FailureKind::ShuttingDown => "57P01",
        FailureKind::Cancelled => "57014",
        FailureKind::TransactionLost => "40001",
        FailureKind::Unsupported => "0A000",
        FailureKind::Protocol => "08P01",
    }
}

/// Returns the word that represents a verdict in the detail field of an error.
pub fn verdict_word(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::NotRun => "not_run",
        Verdict::Ran => "ran",
        Verdict::MayHaveRun => "may_have_run",
    }
}

/// How an error affects the caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// The request failed and the connection stays open.
    Error,
    /// The connection is closed after the error.
    Fatal,
}

/// Appends the error message that reports a failure to the caller.
///
/// The detail field carries the verdict and the kind, for programs to read.
pub fn put_failure(buffer: &mut BytesMut, severity: Severity, failure: &Failure) {
    let severity = match severity {
        Severity::Error => "ERROR",
        Severity::Fatal => "FATAL",
    };
    let detail = format!("verdict={} kind={}", verdict_word(failure.verdict), failure.kind);
    let fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', sqlstate(failure).to_owned()),
        (b'M', failure.message.to_string()),
        (b'D', detail),
    ];
    put_message(buffer, &ErrorResponse::new(fields));
}
