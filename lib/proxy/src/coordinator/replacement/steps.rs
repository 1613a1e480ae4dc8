//! The steps of a replacement, in [`Coordinator::advance_replacements`].
//!
//! A replacement queries the status of the group's servers, notifies members whose
//! work at the old primary may not have ended, makes the old primary step down, waits
//! until no instance can be using it, chooses a candidate, records it, requests its
//! promotion, and publishes the new primary once it answers as one. Each tick repeats
//! what is due.

use std::time::Duration;

use masticreel_base::ids::{GroupId, InstanceId, ServerId, Term};
use slog::info;

use super::candidates::has_sync_replicas;
use super::{Announcement, ReplacedPrimary, Replacement};
use crate::coordinator::{ControlRequest, Coordinator, CoordinatorAction, Purpose};
use crate::moment::Moment;
use crate::peers::PeerMessage;
use crate::primary_lease::PRIMARY_LEASE_MARGIN;
use crate::protocol::PromotionRequest;
use crate::records::{GroupRecord, MemberRecord, Phase, TermStart};
use crate::statement::{Command, Role};
use crate::store_era::{next_epoch, revision_of_store};
use crate::store_view::{StoreView, Versioned};

/// The time from a server's answer to the next status query to it, shortly after
/// the start of a replacement and while a candidate is chosen; otherwise it is
/// [`COMMAND_TIMEOUT`].
const STATUS_QUERY_INTERVAL: Duration = Duration::from_millis(80);
/// How long a command may be unanswered before the next one is sent.
///
/// Also how long the choice of a candidate waits for servers that don't answer, how
/// long after the start of a replacement status queries are frequent, and the
/// interval of the later ones.
pub(in crate::coordinator) const COMMAND_TIMEOUT: Duration = Duration::from_millis(450);
/// How long an instance that has just become the active coordinator waits before its
/// first promotion request, so that no request of its predecessor is still in flight:
/// `PROMOTION_WINDOW` and the timeout of the call.
pub(in crate::coordinator) const FIRST_PROMOTION_DELAY: Duration = Duration::from_millis(1400);
/// The time between two promotion requests for one replacement.
const PROMOTION_INTERVAL: Duration = Duration::from_millis(300);
/// The time until the next promotion request for one replacement after one that was
/// accepted: longer than promotions take (1 s at most on the users' sites).
const ACCEPTED_PROMOTION_INTERVAL: Duration = Duration::from_millis(1500);
/// How long members may finish their work before the old primary is sent a
/// step-down command.
const STEP_DOWN_DELAY: Duration = Duration::from_millis(200);
/// The time between two messages about one record to a member.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(80);
/// How long the record of a new primary is sent to members that confirmed the end of
/// their work by a direct message.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_secs(4);

impl Coordinator {
    /// Takes the next step of every replacement, and drops those whose record is no
    /// longer the group's newest.
    pub(in crate::coordinator) fn advance_replacements(&mut self, view: &StoreView, now: Moment) {
        let groups: Vec<GroupId> = self.replacements.keys().cloned().collect();
        for group in groups {
            let Some(mut replacement) = self.replacements.remove(&group) else {
                continue;
            };
            let is_current = view.group(&group).is_some_and(|record| {
                record.phase == Phase::Changing && record.epoch == replacement.epoch
            });
            if is_current {
                self.advance(view, now, &group, &mut replacement);
                self.replacements.insert(group, replacement);
            }
        }
    }

    fn advance(
        &mut self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        replacement: &mut Replacement,
    ) {
        let Some(versioned) = view.versioned_group(group).cloned() else {
            return;
        };
        let record = versioned.value.clone();
        self.query_statuses(view, now, group, &record, replacement);
        self.notify_members(view, now, group, &record, replacement);
        if let Some(new_primary) = self.find_new_primary(view, now, group, &record, replacement) {
            self.publish(view, now, group, &versioned, replacement, new_primary);
            return;
        }
        replacement.has_stepped_down = replacement.is_replica_now(&record.primary, now);
        if now.since(replacement.blocked_at) >= STEP_DOWN_DELAY {
            self.send_step_down(view, now, group, &record, replacement);
        }
        let Some(reason) = self.why_old_primary_is_unused(view, now, group, replacement) else {
            return;
        };
        if replacement.selecting_since.is_none() {
            info!(self.log, "no instance can use the old primary any more"; "group" => %group,
                "primary" => %record.primary, "epoch" => replacement.epoch, "reason" => reason,
                "members" => view.members().count(), "view_revision" => revision_of_store(view.revision()),
                "blocked_revision" => revision_of_store(replacement.blocked_revision),
                "blocked_ms_ago" => now.since(replacement.blocked_at).as_millis());
        }
        let selecting_since = *replacement.selecting_since.get_or_insert(now);
        self.send_step_down(view, now, group, &record, replacement);
        let Some(candidate) =
            self.choose_candidate(view, now, group, &record, replacement, selecting_since)
        else {
            return;
        };
        let interval = if replacement.is_promotion_accepted {
            ACCEPTED_PROMOTION_INTERVAL
        } else {
            PROMOTION_INTERVAL
        };
        let is_backing_off = replacement
            .promotion_requested_at
            .is_some_and(|requested_at| now.since(requested_at) < interval);
        let active_for = self.active_since.map_or(Duration::ZERO, |since| now.since(since));
        if is_backing_off || active_for < FIRST_PROMOTION_DELAY {
            return;
        }
        let Some((condition, fencing_token)) = self.role_condition(view) else {
            return;
        };
        let is_candidate_written = record.candidate.as_ref() == Some(&candidate);
        let is_role_confirmed =
            replacement.promotion_allowed_until.is_some_and(|until| now < until);
        if is_candidate_written && is_role_confirmed {
            replacement.promotion_requested_at = Some(now);
            replacement.promotion_targets.insert(candidate.clone());
            replacement.promotion_allowed_until = None;
            info!(self.log, "promotion requested"; "group" => %group, "server" => %candidate,
                "token" => fencing_token, "epoch" => replacement.epoch,
                "blocked_ms_ago" => now.since(replacement.blocked_at).as_millis());
            self.actions.push(CoordinatorAction::Promote(PromotionRequest {
                group: group.clone(),
                server: candidate,
                coordinator: self.instance.as_str().into(),
                fencing_token,
            }));
            return;
        }
        let chosen = GroupRecord { candidate: Some(candidate), ..record };
        let purpose = Purpose::Choose(group.clone());
        self.write_record(now, purpose, group, &chosen, versioned.revision, condition);
    }

    /// Queries the status of the group's servers, each at most once per interval.
    fn query_statuses(
        &mut self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        record: &GroupRecord,
        replacement: &mut Replacement,
    ) {
        let old =
            view.last_known_server(&record.primary).filter(|old| view.server(&old.id).is_none());
        // Missing replicas matter only where acknowledged commits must not be lost.
        let missing = view
            .missing_servers_of(group)
            .filter(|server| server.id != record.primary && has_sync_replicas(view, group));
        for server in view.servers_of(group).chain(old).chain(missing) {
            let command_end = replacement.command_end.get(&server.id).copied();
            let is_early = now.since(replacement.blocked_at) < COMMAND_TIMEOUT
                || replacement.selecting_since.is_some();
            let interval = if is_early { STATUS_QUERY_INTERVAL } else { COMMAND_TIMEOUT };
            let is_due = command_end.is_none_or(|command_end| now.since(command_end) >= interval);
            let is_old_primary = server.id == record.primary;
            // Until it steps down, the answers to step-down commands show its status. None
            // are sent once its promotion was requested.
            let is_commanded = is_old_primary
                && replacement.selecting_since.is_some()
                && !replacement.has_stepped_down
                && !replacement.promotion_targets.contains(&server.id);
            if !is_due || is_commanded {
                continue;
            }
            replacement.command_end.insert(server.id.clone(), now + COMMAND_TIMEOUT);
            self.actions.push(CoordinatorAction::Control(ControlRequest {
                server: server.id.clone(),
                address: server.address,
                group: group.clone(),
                command: Command::Status,
                sent_at: now,
            }));
        }
    }

    /// Returns the server that already answers as the group's new primary.
    ///
    /// Before any promotion was requested, that is a primary that restarted under
    /// another id. Afterwards it can only be a server whose promotion was
    /// requested, since that promotion may still take effect.
    fn find_new_primary(
        &self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        record: &GroupRecord,
        replacement: &Replacement,
    ) -> Option<(ServerId, Term)> {
        let primaries = view.servers_of(group).filter_map(|server| {
            let status = replacement.status(&server.id, now)?;
            let is_promoted = replacement.promotion_targets.contains(&server.id);
            let is_new_primary =
                status.role == Role::Primary && (server.id != record.primary || is_promoted);
            is_new_primary.then(|| (server.id.clone(), status.term))
        });
        let newest_term = replacement.newest_term(record);
        if replacement.promotion_targets.is_empty() && record.candidate.is_none() {
            return primaries
                .max_by_key(|(_, term)| *term)
                .filter(|(_, term)| *term >= newest_term);
        }
        primaries
            .filter(|(server, _)| {
                replacement.promotion_targets.contains(server)
                    || record.candidate.as_ref() == Some(server)
            })
            .max_by_key(|(_, term)| *term)
            .filter(|(_, term)| *term >= newest_term)
    }

    /// Returns why no instance can be using the old primary any more, for the log;
    /// `None` while an instance may.
    fn why_old_primary_is_unused(
        &self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        replacement: &Replacement,
    ) -> Option<&'static str> {
        if now.since(replacement.blocked_at)
            >= replacement.max_use_of_old_primary() + PRIMARY_LEASE_MARGIN
        {
            return Some("leases_expired");
        }
        // An instance that registered before the primary was blocked may use it until it learns
        // of that, however old this view is.
        let shows_all_members = replacement.is_blocked_in(view);
        let have_members_ended = || {
            view.members().all(|(id, member)| {
                self.has_ended_work(view, id, &member.value, group, replacement, now)
            })
        };
        let have_lost_members_ended =
            || view.lost_members().all(|(id, _)| self.has_lost_member_ended(id, replacement, now));
        if shows_all_members && have_members_ended() && have_lost_members_ended() {
            return Some("members_ended_work");
        }
        None
    }

    /// Returns whether a member can't be using the old primary any more: it has
    /// confirmed that its work there has ended, or its primary lease has expired.
    fn has_ended_work(
        &self,
        view: &StoreView,
        instance: &InstanceId,
        member: &MemberRecord,
        group: &GroupId,
        replacement: &Replacement,
        now: Moment,
    ) -> bool {
        let has_ended_own_work = *instance == self.instance
            && self.stopped_epochs.get(group).is_some_and(|(epoch, _)| *epoch >= replacement.epoch);
        has_ended_own_work
            || member.stopped.iter().any(|(id, epoch)| id == group && *epoch >= replacement.epoch)
            || replacement.directly_confirmed.contains(instance)
            || self.has_been_without_lease_for(
                view,
                instance,
                replacement.max_use_of_old_primary(),
                now,
            )
    }

    /// Returns whether a member whose membership the store has lost can't be using the old
    /// primary any more. If it has not noticed that the store began a new era, its primary
    /// lease is of the era before.
    fn has_lost_member_ended(
        &self,
        instance: &InstanceId,
        replacement: &Replacement,
        now: Moment,
    ) -> bool {
        let max_use = replacement.max_use_of_old_primary() + PRIMARY_LEASE_MARGIN;
        *instance == self.instance
            || replacement.directly_confirmed.contains(instance)
            || self.era_known_since.is_some_and(|(_, since)| now.since(since) >= max_use)
    }

    /// Sends the record that blocked the old primary to members that have not confirmed
    /// that their work there has ended.
    fn notify_members(
        &mut self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        record: &GroupRecord,
        replacement: &mut Replacement,
    ) {
        if now.since(replacement.notified_at) < NOTIFY_INTERVAL {
            return;
        }
        replacement.notified_at = now;
        let members = view.members().filter(|(instance, member)| {
            !self.has_ended_work(view, instance, &member.value, group, replacement, now)
        });
        let lost = view
            .lost_members()
            .filter(|(instance, _)| !self.has_lost_member_ended(instance, replacement, now));
        let addresses = members.map(|(_, member)| member.value.address);
        let addresses = addresses.chain(lost.map(|(_, member)| member.address)).flatten();
        let message = PeerMessage::Record { group: group.clone(), record: record.clone() };
        let notices: Vec<_> = addresses
            .map(|address| CoordinatorAction::SendToPeer(address, message.clone()))
            .collect();
        self.actions.extend(notices);
    }

    /// Sends the records of new primaries to members that confirmed the end of their
    /// work by a direct message, since the store may reject their calls.
    ///
    /// A record is sent only once the store holds it. If its write was lost, another
    /// coordinator may commit a different record of the same epoch, and members that
    /// had received this one would never accept that.
    pub(in crate::coordinator) fn announce_new_primaries(&mut self, view: &StoreView, now: Moment) {
        for announcement in &mut self.announcements {
            let is_stored = view.versioned_group(&announcement.group).is_some_and(|known| {
                known.revision > 0 && known.value.epoch == announcement.record.epoch
            });
            if is_stored && announcement.stored_since.is_none() {
                announcement.stored_since = Some(now);
            }
        }
        self.announcements.retain(|announcement| {
            let known = view.group(&announcement.group);
            known.is_none_or(|known| match announcement.stored_since {
                Some(since) => {
                    *known == announcement.record && now.since(since) < ANNOUNCEMENT_PERIOD
                }
                None => known.epoch < announcement.record.epoch,
            })
        });
        for announcement in &mut self.announcements {
            let is_due = now.since(announcement.notified_at) >= NOTIFY_INTERVAL;
            if announcement.stored_since.is_none() || !is_due {
                continue;
            }
            announcement.notified_at = now;
            for address in &announcement.to {
                let message = PeerMessage::Record {
                    group: announcement.group.clone(),
                    record: announcement.record.clone(),
                };
                self.actions.push(CoordinatorAction::SendToPeer(*address, message));
            }
        }
    }

    /// Sends the old primary a step-down command with a term above all known
    /// ones, unless it has stepped down, a command to it is in flight or the last
    /// step-down command was sent less than [`STATUS_QUERY_INTERVAL`] ago.
    fn send_step_down(
        &mut self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        record: &GroupRecord,
        replacement: &mut Replacement,
    ) {
        let Some(server) = view.last_known_server(&record.primary) else {
            return;
        };
        let command_end = replacement.command_end.get(&server.id).copied().unwrap_or_default();
        let is_recent = now.since(replacement.step_down_sent_at) < STATUS_QUERY_INTERVAL;
        // Once its promotion was requested, it may lead again.
        let may_lead = replacement.promotion_targets.contains(&record.primary);
        if now < command_end || is_recent || may_lead || replacement.has_stepped_down {
            return;
        }
        replacement.step_down_sent_at = now;
        replacement.command_end.insert(server.id.clone(), now + COMMAND_TIMEOUT);
        let term = Term(replacement.newest_term(record).0 + 1);
        self.actions.push(CoordinatorAction::Control(ControlRequest {
            server: server.id.clone(),
            address: server.address,
            group: group.clone(),
            command: Command::StepDown { term },
            sent_at: now,
        }));
    }

    /// Sends the store the record that allows the use of the new primary, and starts
    /// the demotion of the old one.
    fn publish(
        &mut self,
        view: &StoreView,
        now: Moment,
        group: &GroupId,
        versioned: &Versioned<GroupRecord>,
        replacement: &Replacement,
        (new_primary, term): (ServerId, Term),
    ) {
        let record = &versioned.value;
        let Some((condition, _)) = self.role_condition(view) else {
            return;
        };
        let mut published = GroupRecord {
            epoch: next_epoch(record.epoch, view.era()),
            phase: Phase::Serving,
            primary: new_primary.clone(),
            term,
            candidate: None,
            term_starts: record.term_starts.clone(),
        };
        // Nobody has used the new primary yet, so its log still ends where the term began.
        if let Some(status) = replacement.status(&new_primary, now)
            && status.received.term < term
        {
            published.add_term_start(TermStart { term, log_end: status.received });
        }
        if new_primary == record.primary {
            // If others still can't reach it, another server takes over the next time.
            self.unfit_primaries.insert(new_primary.clone(), now);
        } else {
            let replaced = ReplacedPrimary {
                group: group.clone(),
                term,
                since: now,
                commanded_at: Moment::default(),
            };
            self.replaced_primaries.insert(record.primary.clone(), replaced);
        }
        let purpose = Purpose::Publish(group.clone());
        if self.write_record(now, purpose, group, &published, versioned.revision, condition) {
            info!(self.log, "new primary is being published"; "group" => %group, "old" => %record.primary,
                "primary" => %new_primary, "term" => %term, "epoch" => published.epoch);
            self.announcements.retain(|announcement| announcement.group != *group);
            self.announcements.push(Announcement {
                group: group.clone(),
                record: published,
                to: view
                    .members()
                    .filter(|(instance, _)| replacement.directly_confirmed.contains(*instance))
                    .filter_map(|(_, member)| member.value.address)
                    .collect(),
                stored_since: None,
                notified_at: Moment::default(),
            });
        }
    }
}
