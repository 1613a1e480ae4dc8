//! Converts views and findings from and to their wire form.
//!
//! Instances have no common clock, so a view is sent with ages instead of times.

use std::time::{Duration, Instant};

use masticreel_base::ids::GroupId;
use masticreel_group::observer::Assessment;
use masticreel_group::suspicion::Finding;
use masticreel_group::view::{ConfirmedPosition, GroupView, ServerView};
use masticreel_wire::group::{
    WireAssessment, WireConfirmedPosition, WireFinding, WireGroupView, WireServerView,
};

/// Converts a finding to its wire form.
pub(super) fn finding_to_wire(group: &GroupId, finding: &Finding) -> WireFinding {
    WireFinding {
        group: group.clone(),
        observer: finding.observer.clone(),
        failure_domain: finding.failure_domain.clone(),
        term: finding.term,
        assessment: assessment_to_wire(finding.assessment),
    }
}

/// Converts a finding from its wire form and returns it with its group.
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

/// Converts a view to its wire form, with ages instead of times.
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

/// Converts a view that was received in a response from its wire form.
///
/// `sent_at` is when the request was sent. Ages are subtracted from it, so the
/// resulting times are too early by the time until the peer created the response,
/// but never too late.
pub(super) fn view_from_wire(wire: WireGroupView, sent_at: Instant) -> GroupView {
    let confirmed = wire.confirmed.and_then(|confirmed| {
        let as_of = subtract_age(confirmed.age_us, sent_at)?;
        Some(ConfirmedPosition { position: confirmed.position, as_of })
    });
    let servers = wire.servers.into_iter().map(|server| ServerView {
        server: server.server,
        reachable: server.reachable,
        readable: server.readable,
        fresh_as_of: server.fresh_age_us.and_then(|age_us| subtract_age(age_us, sent_at)),
    });
    GroupView { term: wire.term, primary: wire.primary, confirmed, servers: servers.collect() }
}

fn age_us(as_of: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(as_of);
    // Adds one, since `as_micros` rounds down and no age may be understated.
    u64::try_from(age.as_micros()).map_or(u64::MAX, |micros| micros.saturating_add(1))
}

fn subtract_age(age_us: u64, sent_at: Instant) -> Option<Instant> {
    sent_at.checked_sub(Duration::from_micros(age_us))
}
