//! The state of the fleet and the database groups, for operators.

use std::net::SocketAddr;
use std::sync::Arc;

use masticreel_document::groups::{GroupSpec, ServerSpec};
use masticreel_fleet::member::{Member, MemberState};
use masticreel_fleet::ownership::owners;
use masticreel_group::view::{GroupView, ServerView};
use masticreel_report::groups::{GroupReport, ServerReport};
use masticreel_report::instances::{MemberHealth, MemberReport};

use crate::documents::Documents;
use crate::fleet::FleetHandle;
use crate::fleet::directory::FleetDirectory;
use crate::fleet::snapshot::FleetSnapshot;
use crate::groups::Groups;
use crate::views::Views;

/// A source of reports on the fleet and the database groups, as this instance observes
/// them.
pub trait ReportSource: Clone + Send + Sync + 'static {
    /// Returns reports on the members of the fleet, this instance included.
    fn members(&self) -> Vec<MemberReport>;

    /// Returns reports on the database groups.
    fn groups(&self) -> Vec<GroupReport>;

    /// Returns this instance's position among the few that watch the store and report to
    /// it, or `None` if it is not one of them.
    fn reporter_rank(&self) -> Option<usize>;
}

/// Reports from the snapshots of the fleet and the group views of this instance.
#[derive(Clone)]
pub struct SnapshotReports {
    fleet: FleetHandle,
    operator_address: SocketAddr,
    documents: Documents,
    groups: Groups,
    views: Arc<Views<FleetDirectory>>,
}

impl SnapshotReports {
    /// Creates a source that always reports the current state.
    pub fn new(
        fleet: FleetHandle,
        operator_address: SocketAddr,
        documents: Documents,
        groups: Groups,
        views: Arc<Views<FleetDirectory>>,
    ) -> Self {
        Self { fleet, operator_address, documents, groups, views }
    }

    fn group_report(&self, group: &GroupSpec) -> GroupReport {
        let view = self.views.view(&group.name);
        let snapshot = self.fleet.snapshot();
        let servers =
            group.servers.iter().map(|server| server_report(&snapshot, &view, server)).collect();
        GroupReport {
            name: group.name.clone(),
            database: group.database.clone(),
            term: view.term,
            primary: view.primary,
            servers,
        }
    }

    fn own_report(&self, own: &Member) -> MemberReport {
        MemberReport {
            operators: Some(self.operator_address),
            revision: self.documents.current().revision(),
            ..member_report(own)
        }
    }
}

impl ReportSource for SnapshotReports {
    fn members(&self) -> Vec<MemberReport> {
        let snapshot = self.fleet.snapshot();
        let mut members = vec![self.own_report(&snapshot.own)];
        members.extend(snapshot.others.iter().map(member_report));
        members.sort_by(|first, second| first.name.cmp(&second.name));
        members
    }

    fn groups(&self) -> Vec<GroupReport> {
        let document = self.groups.document();
        document.groups().iter().map(|group| self.group_report(group)).collect()
    }

    fn reporter_rank(&self) -> Option<usize> {
        let snapshot = self.fleet.snapshot();
        snapshot.store_watchers.iter().position(|watcher| *watcher == snapshot.own.id)
    }
}

fn member_report(member: &Member) -> MemberReport {
    MemberReport {
        name: member.id.clone(),
        address: member.address,
        operators: None,
        failure_domain: member.failure_domain.clone(),
        health: health(member),
        revision: member.revision,
    }
}

fn health(member: &Member) -> MemberHealth {
    match member.state {
        MemberState::Alive if member.leaving => MemberHealth::Leaving,
        MemberState::Alive => MemberHealth::Alive,
        MemberState::Suspect => MemberHealth::Suspect,
        MemberState::Dead | MemberState::Left => MemberHealth::Dead,
    }
}

fn server_report(snapshot: &FleetSnapshot, view: &GroupView, server: &ServerSpec) -> ServerReport {
    let owners = owners(&server.name, &server.failure_domain, snapshot.routable());
    let observed = view.server(&server.name);
    let readable = observed.and_then(|observed| observed.readable);
    ServerReport {
        name: server.name.clone(),
        address: server.address,
        failure_domain: server.failure_domain.clone(),
        role: role(view, server, observed).into(),
        leaving: server.leaving,
        owner: owners.into_iter().next(),
        applied: readable.map(|position| position.to_string().into()),
    }
}

fn role(view: &GroupView, server: &ServerSpec, observed: Option<&ServerView>) -> &'static str {
    match observed {
        _ if view.primary.as_ref() == Some(&server.name) => "primary",
        None => "unknown",
        Some(observed) if !observed.reachable => "silent",
        // Its log may have diverged: no position is known that reads could use.
        Some(observed) if observed.readable.is_none() => "diverged",
        Some(_) => "replica",
    }
}
