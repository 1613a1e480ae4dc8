//! Views and findings on the wire.

use std::time::{Duration, Instant};

use masticreel_base::ids::GroupId;
use masticreel_group::observer::Assessment;
use masticreel_group::suspicion::Finding;
use masticreel_group::view::{ConfirmedPosition, GroupView, ServerView};
use masticreel_wire::group::{
    WireAssessment, WireConfirmedPosition, WireFinding, WireGroupView, WireServerView,
};

/// Returns a finding as it is sent.
pub(super) fn finding_to_wire(group: &GroupId, finding: &Finding) -> WireFinding {
    WireFinding {
        group: group.clone(),
        observer: finding.observer.clone(),
        failure_domain: finding.failure_domain.clone(),
        term: finding.term,
        assessment: assessment_to_wire(finding.assessment),
    }
}

/// Returns a finding that was received, and its group.
pub(super) fn finding_from_wire(wire: WireFinding) -> (GroupId, Finding) {
    let finding = Finding {
        observer: wire.observer,
        failure_domain: wire.failure_domain,
        term: wire.term,
        assessment: assessment_from_wire(wire.assessment),
    };
    (wire.group, finding)
}

fn assessment_to_wire(assessment: Assessment) -> WireAssessment {
    match assessment {
        Assessment::Healthy => WireAssessment::Healthy,
        Assessment::PrimaryUnseen => WireAssessment::PrimaryUnseen,
        Assessment::Unclear => WireAssessment::Unclear,
    }
}

fn assessment_from_wire(assessment: WireAssessment) -> Assessment {
    match assessment {
        WireAssessment::Healthy => Assessment::Healthy,
        WireAssessment::PrimaryUnseen => Assessment::PrimaryUnseen,
        WireAssessment::Unclear => Assessment::Unclear,
    }
}

/// Returns a view with ages in place of moments.
pub(super) fn view_to_wire(group: &GroupId, view: &GroupView, now: Instant) -> WireGroupView {
    let confirmed = view.confirmed.map(|confirmed| WireConfirmedPosition {
        position: confirmed.position,
        age_us: age_us(confirmed.as_of, now),
    });
    let servers = view.servers.iter().map(|server| WireServerView {
        server: server.server.clone(),
        reachable: server.reachable,
        readable: server.readable,
        fresh_age_us: server.fresh_as_of.map(|as_of| age_us(as_of, now)),
    });
    WireGroupView {
        group: group.clone(),
        term: view.term,
        primary: view.primary.clone(),
        confirmed,
        servers: servers.collect(),
    }
}

/// Returns a view that was received in answer to a question.
///
/// Counting ages from when the question was sent makes moments too early by
/// the time the question took, never too late.
pub(super) fn view_from_wire(wire: WireGroupView, sent_at: Instant) -> GroupView {
    let confirmed = wire.confirmed.and_then(|confirmed| {
        let as_of = moment(confirmed.age_us, sent_at)?;
        Some(ConfirmedPosition { position: confirmed.position, as_of })
    });
    let servers = wire.servers.into_iter().map(|server| ServerView {
        server: server.server,
        reachable: server.reachable,
        readable: server.readable,
        fresh_as_of: server.fresh_age_us.and_then(|age_us| moment(age_us, sent_at)),
    });
    GroupView { term: wire.term, primary: wire.primary, confirmed, servers: servers.collect() }
}

fn age_us(moment: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(moment);
    // A started microsecond counts as a whole one.
    u64::try_from(age.as_micros()).map_or(u64::MAX, |micros| micros.saturating_add(1))
}

fn moment(age_us: u64, sent_at: Instant) -> Option<Instant> {
    sent_at.checked_sub(Duration::from_micros(age_us))
}
