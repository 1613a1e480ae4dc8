//! Finds out whether a replica has received what a server had that leaves or has left.
//!
//! This matters where acknowledged commits must not be lost. A primary that is leaving
//! serves on until a replica that stays has caught up with it: replaced sooner, it would
//! only be made the primary again. A server that has left may have been the only replica
//! with some of the commits until another one has caught up with the primary.

use std::collections::{BTreeMap, BTreeSet};

use masticreel_base::ids::{GroupId, ServerId};
use masticreel_base::position::TermPosition;

use super::candidates::has_sync_replicas;
use super::steps::COMMAND_TIMEOUT;
use crate::coordinator::{ControlFailure, ControlRequest, Coordinator, CoordinatorAction};
use crate::moment::Moment;
use crate::records::{GroupRecord, Phase};
use crate::statement::{Command, ServerStatus};
use crate::store_view::StoreView;

/// What the servers of a group have answered since its primary began to leave, or since a
/// server has left.
#[derive(Debug)]
pub(in crate::coordinator) struct Succession {
    primary: ServerId,
    /// The servers that have left, and whose commits are to be found at others.
    departed: BTreeSet<ServerId>,
    started_at: Moment,
    /// When the servers were last queried.
    queried_at: Moment,
    /// The first position that the primary answered to a query since the start. What was
    /// acknowledged before the start is not above it.
    wanted: Option<TermPosition>,
    /// The highest positions that the other servers have answered.
    received: BTreeMap<ServerId, TermPosition>,
}

impl Coordinator {
    /// Begins, continues and ends the successions of groups whose primary is leaving or of
    /// which a server has left.
    pub(in crate::coordinator) fn track_successions(&mut self, view: &StoreView, now: Moment) {
        // The groups with their primaries and the servers that have left.
        let mut wanted: Vec<(GroupId, ServerId, BTreeSet<ServerId>)> = Vec::new();
        for group in self.groups_with_departures(view) {
            let Some(record) = view.group(&group) else {
                continue;
            };
            if record.phase != Phase::Serving || !has_sync_replicas(view, &group) {
                continue;
            }
            let departed: BTreeSet<ServerId> = view
                .missing_servers_of(&group)
                .filter(|server| server.is_leaving && !self.handed_over.contains(&server.id))
                .map(|server| server.id.clone())
                .collect();
            let is_leaving = view.server(&record.primary).is_some_and(|server| server.is_leaving);
            if is_leaving || !departed.is_empty() {
                wanted.push((group, record.primary.clone(), departed));
            }
        }
        self.handed_over.retain(|id| view.is_missing(id));
        self.successions.retain(|group, succession| {
            wanted.iter().any(|(wanted, primary, departed)| {
                wanted == group
                    && *primary == succession.primary
                    && *departed == succession.departed
            })
        });
        for (group, primary, departed) in wanted {
            self.continue_succession(view, now, group, primary, departed);
        }
    }

    /// Returns the groups whose recorded primary is leaving or of which a server has left.
    fn groups_with_departures(&self, view: &StoreView) -> BTreeSet<GroupId> {
        let leaving = view
            .groups()
            .filter(|(_, record)| {
                view.server(&record.value.primary).is_some_and(|server| server.is_leaving)
            })
            .map(|(group, _)| group.clone());
        let left = view
            .missing_servers()
            .filter(|server| server.is_leaving && !self.handed_over.contains(&server.id))
            .map(|server| server.group.clone());
        leaving.chain(left).collect()
    }

    fn continue_succession(
        &mut self,
        view: &StoreView,
        now: Moment,
        group: GroupId,
        primary: ServerId,
        departed: BTreeSet<ServerId>,
    ) {
        let succession = self.successions.entry(group.clone()).or_insert_with(|| Succession {
            primary,
            departed,
            started_at: now,
            queried_at: Moment::default(),
            wanted: None,
            received: BTreeMap::new(),
        });
        if succession.has_successor(view, &group) {
            self.handed_over.extend(succession.departed.iter().cloned());
            return;
        }
        if now.since(succession.queried_at) < COMMAND_TIMEOUT {
            return;
        }
        succession.queried_at = now;
        for server in view.servers_of(&group) {
            self.actions.push(CoordinatorAction::Control(ControlRequest {
                server: server.id.clone(),
                address: server.address,
                group: group.clone(),
                command: Command::Status,
                sent_at: now,
            }));
        }
    }

    /// Returns whether a primary that is leaving may be replaced: a replica that stays has
    /// caught up with it, or its group's acknowledged commits are not kept by replicas.
    pub(super) fn may_replace_leaving_primary(
        &self,
        view: &StoreView,
        group: &GroupId,
        record: &GroupRecord,
    ) -> bool {
        !has_sync_replicas(view, group)
            || self.successions.get(group).is_some_and(|succession| {
                succession.primary == record.primary && succession.has_successor(view, group)
            })
    }

    pub(in crate::coordinator) fn handle_succession_answer(
        &mut self,
        request: &ControlRequest,
        result: &Result<ServerStatus, ControlFailure>,
    ) {
        let Some(succession) = self.successions.get_mut(&request.group) else {
            return;
        };
        let Ok(status) = result else {
            return;
        };
        if request.server != succession.primary {
            let received = succession.received.entry(request.server.clone()).or_default();
            *received = status.received.max(*received);
        } else if request.sent_at >= succession.started_at {
            succession.wanted.get_or_insert(status.received);
        }
    }
}

impl Succession {
    fn has_successor(&self, view: &StoreView, group: &GroupId) -> bool {
        let has_caught_up =
            |id: &ServerId| self.wanted.is_some() && self.received.get(id).copied() >= self.wanted;
        view.servers_of(group).any(|server| !server.is_leaving && has_caught_up(&server.id))
    }
}
