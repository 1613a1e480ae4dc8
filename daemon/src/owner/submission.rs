//! A request as the admission of its server sees it.

use masticreel_admission::expected_times::Fingerprint;
use masticreel_admission::request::{CallerBase, ConnectionNeed};
use masticreel_admission::server_admission::{ServerAdmission, Submission};
use masticreel_document::class::Class;
use masticreel_document::groups::ServerSpec;
use masticreel_postgres::upstream::UpstreamAddress;
use masticreel_wire::message::{Pinning, SessionKey, UpstreamRequest, WireClass};

use crate::owner::job::Job;

/// The admission of an owned server.
pub(super) type OwnedAdmission = ServerAdmission<SessionKey, UpstreamAddress>;

/// Describes a job to the admission of a server.
pub(super) fn submission(spec: &ServerSpec, job: &Job) -> Submission<SessionKey, UpstreamAddress> {
    let request = &job.request;
    Submission {
        session: request.session,
        identity: address(spec, request),
        class: class(request.class),
        fingerprint: Fingerprint::from(request.fingerprint),
        deadline: job.deadline,
        caller_base: CallerBase::from(format!("{}@{}", request.user, request.database)),
        entry: request.session.entry,
        need: connection_need(request),
    }
}

/// Returns where a request's connection has to lead and for whom.
pub(super) fn address(spec: &ServerSpec, request: &UpstreamRequest) -> UpstreamAddress {
    UpstreamAddress {
        address: spec.address,
        user: request.user.clone(),
        database: request.database.clone(),
    }
}

/// Returns the class that a request's wire form names.
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
