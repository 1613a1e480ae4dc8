//! What an instance can tell operators about the fleet and the groups.

use masticreel_base::ids::Term;
use masticreel_document::groups::{GroupSpec, ServerSpec};
use masticreel_report::groups::{GroupReport, ServerReport};
use masticreel_report::instances::{MemberHealth, MemberReport};

use crate::documents::Documents;
use crate::groups::Groups;
use crate::settings::{InstanceSettings, PeerSettings, Settings};

/// Tells what this instance knows of the fleet and of the database groups.
pub trait FleetView: Clone + Send + Sync + 'static {
    /// Returns the members of the fleet, this instance included.
    fn members(&self) -> Vec<MemberReport>;

    /// Returns the database groups.
    fn groups(&self) -> Vec<GroupReport>;

    /// Returns this instance's place among the few that report to the store;
    /// none if it is not one of them.
    fn reporter_rank(&self) -> Option<usize>;
}

/// The fleet as the settings list it.
#[derive(Clone)]
pub struct SettingsView {
    own: InstanceSettings,
    peers: Vec<PeerSettings>,
    documents: Documents,
    groups: Groups,
}

impl SettingsView {
    /// Creates a view of the instance and its peers in the settings.
    pub fn new(settings: &Settings, documents: Documents, groups: Groups) -> Self {
        let own = settings.instance.clone();
        let peers = settings.peers.iter().filter(|peer| peer.name != own.name).cloned().collect();
        Self { own, peers, documents, groups }
    }

    fn group_report(&self, group: &GroupSpec) -> GroupReport {
        let primary = self.groups.primary(group).map(|server| server.name.clone());
        let servers = group.servers.iter().map(|server| server_report(group, server)).collect();
        GroupReport {
            name: group.name.clone(),
            database: group.database.clone(),
            term: Term::default(),
            primary,
            servers,
        }
    }

    fn own_report(&self) -> MemberReport {
        MemberReport {
            name: self.own.name.clone(),
            address: self.own.peer_address,
            operators: Some(self.own.operator_address),
            failure_domain: self.own.failure_domain.clone(),
            health: MemberHealth::Alive,
            revision: self.documents.current().revision(),
        }
    }
}

impl FleetView for SettingsView {
    fn members(&self) -> Vec<MemberReport> {
        vec![self.own_report()]
    }

    fn groups(&self) -> Vec<GroupReport> {
        let document = self.groups.document();
        document.groups().iter().map(|group| self.group_report(group)).collect()
    }

    fn reporter_rank(&self) -> Option<usize> {
        let is_first = self.peers.iter().all(|peer| self.own.name < peer.name);
        is_first.then_some(0)
    }
}

fn server_report(group: &GroupSpec, server: &ServerSpec) -> ServerReport {
    let is_first = group.servers.first().is_some_and(|first| first.name == server.name);
    ServerReport {
        name: server.name.clone(),
        address: server.address,
        failure_domain: server.failure_domain.clone(),
        role: if is_first { "primary".into() } else { "unknown".into() },
        leaving: server.leaving,
        owner: None,
        applied: None,
    }
}
