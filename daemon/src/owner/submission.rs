//! Converts a job to a submission to the admission of its server.

use masticreel_admission::expected_times::Fingerprint;
use masticreel_admission::request::{CallerBase, ConnectionNeed};
use masticreel_admission::server_admission::{ServerAdmission, Submission};
use masticreel_document::class::Class;
use masticreel_document::groups::ServerSpec;
use masticreel_postgres::upstream::UpstreamAddress;
use masticreel_wire::message::{Pinning, SessionKey, UpstreamRequest, WireClass};

use crate::owner::job::Job;

/// The queue and the connection pool of an owned server.
pub(super) type OwnedAdmission = ServerAdmission<SessionKey, UpstreamAddress>;

/// Returns a job as a submission to the admission of its server.
pub(super) fn submission(spec: &ServerSpec, job: &Job) -> Submission<SessionKey, UpstreamAddress> {
    let request = &job.request;
    Submission {
        session: request.session,
        connection_target: address(spec, request),
        class: class(request.class),
        fingerprint: Fingerprint::from(request.fingerprint),
        deadline: job.deadline,
        // Callers with the same user and database use one fair share of the server.
        caller_base: CallerBase::from(format!("{}@{}", request.user, request.database)),
        // An entry instance is identified by its incarnation.
        entry_incarnation: request.session.entry,
        need: connection_need(request),
    }
}

/// Returns the address, user and database of the connection that a request needs.
pub(super) fn address(spec: &ServerSpec, request: &UpstreamRequest) -> UpstreamAddress {
    UpstreamAddress {
        address: spec.address,
        user: request.user.clone(),
        database: request.database.clone(),
    }
}

/// Converts a class from its wire form.
pub(super) fn class(class: WireClass) -> Class {
    match class {
        WireClass::Urgent => Class::Urgent,
        WireClass::Normal => Class::Normal,
        WireClass::Long => Class::Long,
    }
}

fn connection_need(request: &UpstreamRequest) -> ConnectionNeed {
    match request.pinning {
        Pinning::Pinned => ConnectionNeed::Held,
        Pinning::Begins => ConnectionNeed::Transaction,
        Pinning::Free => ConnectionNeed::Statement,
    }
}
