//! How the active coordinator settles groups' records in a new era of the store.
//!
//! A store that comes back from an older copy may have lost a record that named another
//! primary, and promotions of the lost seconds may still take effect. So instances don't
//! extend their primary leases by a record of an earlier era. The active coordinator waits,
//! from when it learned of the era, until no such promotion can be under way and the
//! instances have written lost records again, and queries the servers' statuses. If the
//! recorded primary leads and no server has a newer term, it writes the same record with an
//! epoch of the new era. Otherwise it replaces the primary.

use std::collections::HashMap;
use std::time::Duration;

use masticreel_base::ids::{GroupId, ServerId};
use slog::info;

use crate::coordinator::replacement::{COMMAND_TIMEOUT, FIRST_PROMOTION_DELAY};
use crate::coordinator::{ControlFailure, ControlRequest, Coordinator, CoordinatorAction, Purpose};
use crate::moment::Moment;
use crate::records::{GroupRecord, Phase};
use crate::statement::{Command, Role, ServerStatus};
use crate::store_era::next_epoch;
use crate::store_view::StoreView;

/// How long a promotion may take from its request until the server answers as the primary.
const PROMOTION_TIME: Duration = Duration::from_millis(1000);
/// The time between two rounds of status queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(150);
/// For how long a record is not settled if the primary or another server does not answer.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The settlement of a group's record, in progress.
#[derive(Debug)]
pub(super) struct Settlement {
    epoch: u64,
    started_at: Moment,
    queried_at: Moment,
    /// The answers to the last status query of each server; `None` if it was not answered.
    statuses: HashMap<ServerId, Option<ServerStatus>>,
}

/// What the servers' statuses say about a recorded primary.
enum Finding {
    Leads,
    Replaced,
    Unknown,
}

impl Settlement {
    /// Returns whether the recorded primary leads. Servers that do not answer are awaited
    /// until `is_over`.
    fn finding(
        &self,
        view: &StoreView,
        group: &GroupId,
        primary: &ServerId,
        is_over: bool,
    ) -> Finding {
        let status = |server: &ServerId| self.statuses.get(server).copied().flatten();
        let mut others = view.servers_of(group).filter(|server| server.id != *primary);
        let Some(own) = status(primary) else {
            let leads = |server: &ServerId| status(server).is_some_and(|s| s.role == Role::Primary);
            let is_replaced = is_over || others.any(|server| leads(&server.id));
            return if is_replaced { Finding::Replaced } else { Finding::Unknown };
        };
        let is_newer =
            |server: &ServerId| status(server).is_some_and(|other| other.term > own.term);
        if own.role != Role::Primary || others.any(|server| is_newer(&server.id)) {
            return Finding::Replaced;
        }
        let all_answered = view.servers_of(group).all(|server| status(&server.id).is_some());
        if all_answered || is_over { Finding::Leads } else { Finding::Unknown }
    }
}

impl Coordinator {
    /// Settles the records that were written in earlier eras of the store.
    pub(super) fn settle_records(&mut self, view: &StoreView, now: Moment) {
        self.settlements.retain(|group, settlement| {
            !view.is_settled(group)
                && view.group(group).is_some_and(|record| record.epoch == settlement.epoch)
        });
        let era_known_for =
            self.era_known_since.map_or(Duration::ZERO, |(_, since)| now.since(since));
        if !view.shows_present_era() || era_known_for < FIRST_PROMOTION_DELAY + PROMOTION_TIME {
            return;
        }
        let unsettled: Vec<(GroupId, GroupRecord, u64)> = view
            .groups()
            .filter(|(group, record)| {
                record.value.phase == Phase::Serving && !view.is_settled(group)
            })
            .map(|(group, record)| (group.clone(), record.value.clone(), record.revision))
            .collect();
        for (group, record, revision) in unsettled {
            self.settle(view, now, &group, record, revision);
        }
    }

    fn settle(
        &mut self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        record: GroupRecord,
        revision: u64,
    ) {
        let settlement = self.settlements.entry(group.clone()).or_insert_with(|| Settlement {
            epoch: record.epoch,
            started_at: now,
            queried_at: Moment::default(),
            statuses: HashMap::new(),
        });
        let is_over = now.since(settlement.started_at) >= SILENCE_TIMEOUT;
        let finding = settlement.finding(view, group, &record.primary, is_over);
        let Some((condition, _)) = self.role_condition(view) else {
            return;
        };
        let epoch = next_epoch(record.epoch, view.era());
        let can_be_replaced =
            view.servers_of(group).any(|server| server.id != record.primary && !server.is_leaving);
        match finding {
            Finding::Leads => {
                let settled = GroupRecord { epoch, ..record };
                let purpose = Purpose::Settle(group.clone());
                if self.write_record(now, purpose, group, &settled, revision, condition) {
                    info!(self.log, "group's record is settled in the store's new era";
                        "group" => %group, "primary" => %settled.primary, "epoch" => epoch);
                }
            }
            Finding::Replaced if can_be_replaced => {
                let blocked =
                    GroupRecord { epoch, phase: Phase::Changing, candidate: None, ..record };
                let purpose = Purpose::Block(group.clone());
                if self.write_record(now, purpose, group, &blocked, revision, condition) {
                    info!(self.log, "primary is to be replaced"; "group" => %group,
                        "primary" => %blocked.primary, "term" => %blocked.term,
                        "epoch" => epoch, "reason" => "not_leading_after_restore");
                }
            }
            Finding::Replaced | Finding::Unknown => self.query_for_settlement(view, now, group),
        }
    }

    fn query_for_settlement(&mut self, view: &StoreView, now: Moment, group: &GroupId) {
        let Some(settlement) = self.settlements.get_mut(group) else {
            return;
        };
        let is_awaiting = settlement.statuses.len() < view.servers_of(group).count();
        let interval = if is_awaiting { COMMAND_TIMEOUT } else { QUERY_INTERVAL };
        if now.since(settlement.queried_at) < interval {
            return;
        }
        settlement.queried_at = now;
        settlement.statuses.clear();
        for server in view.servers_of(group) {
            self.actions.push(CoordinatorAction::Control(ControlRequest {
                server: server.id.clone(),
                address: server.address,
                group: group.clone(),
                command: Command::Status,
                sent_at: now,
            }));
        }
    }

    pub(super) fn handle_settlement_answer(
        &mut self,
        group: &GroupId,
        server: &ServerId,
        result: &Result<ServerStatus, ControlFailure>,
    ) {
        if let Some(settlement) = self.settlements.get_mut(group) {
            settlement.statuses.insert(server.clone(), result.as_ref().ok().copied());
        }
    }
}
