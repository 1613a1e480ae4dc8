//! The instance's part in what all instances agree on.
//!
//! Pure: the view, answers and the time go in, [`Step`]s come out. Every
//! instance keeps a lease and a membership; one of them, the holder of the
//! duty, also replaces primaries. See `docs/design/10-platform.md`.

mod change;
mod duty;
mod registration;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use masticreel_base::ids::{GroupId, InstanceId, ServerId};
use slog::Logger;

use crate::coordinator::change::Change;
pub use crate::coordinator::change::ControlFailure;
pub use crate::coordinator::registration::Lease;
use crate::moment::Moment;
use crate::peers::PeerMessage;
use crate::protocol::{PromoterAnswer, PromotionOrder};
use crate::records::{DoubtKind, DoubtRecord, GroupRecord, Placement, StoreAnswer, StoreCall};
use crate::statement::{Command, ServerStatus};
use crate::store_view::{StoreView, Versioned};

/// What a call of the store is for. One call of each kind is under way at most.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Purpose {
    /// To get a lease.
    Grant,
    /// To renew it.
    Renew,
    /// To write the membership.
    Register,
    /// To write a doubt about a group's primary.
    Doubt(GroupId),
    /// To take the duty.
    TakeDuty,
    /// To remove an instance that is gone.
    Dismiss(InstanceId),
    /// To write a group's first record.
    Introduce(GroupId),
    /// To stop the use of a group's primary.
    Block(GroupId),
    /// To write down which server takes over.
    Choose(GroupId),
    /// To let a group's new primary be used.
    Publish(GroupId),
}

/// What the event loop has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Call the store.
    Store(Purpose, StoreCall),
    /// Send one command to a server over a connection of its own.
    Control {
        /// The server.
        server: ServerId,
        /// Its address.
        address: SocketAddr,
        /// Its group.
        group: GroupId,
        /// The command.
        command: Command,
    },
    /// Order a promotion.
    Promote(PromotionOrder),
    /// Tell another instance.
    Tell(SocketAddr, PeerMessage),
}

/// The state of an instance's part.
#[derive(Debug)]
pub struct Coordinator {
    instance: InstanceId,
    incarnation: u64,
    log: Logger,
    lease: Lease,
    stopped: BTreeMap<GroupId, (u64, Moment)>,
    doubts: BTreeMap<GroupId, DoubtRecord>,
    probes: HashMap<GroupId, registration::Probe>,
    in_flight: BTreeSet<Purpose>,
    not_before: HashMap<Purpose, Moment>,
    held_since: Option<Moment>,
    vacant_since: Option<Moment>,
    absent: HashMap<ServerId, Moment>,
    silent_members: HashMap<InstanceId, Moment>,
    counted_at: Moment,
    failures: u32,
    settled_at: HashMap<GroupId, Moment>,
    changes: BTreeMap<GroupId, Change>,
    deposed: HashMap<ServerId, change::Deposed>,
    announcements: Vec<change::Announcement>,
    placement: Placement,
    is_leaving: bool,
    asked_to_stop: BTreeMap<GroupId, SocketAddr>,
    /// Records that the store has not answered for yet.
    offered: HashMap<Purpose, (GroupId, GroupRecord)>,
    written: Vec<(GroupId, Versioned<GroupRecord>)>,
    steps: Vec<Step>,
}

impl Coordinator {
    /// Creates the part of an instance that has just started.
    pub fn new(
        instance: InstanceId,
        incarnation: u64,
        placement: Placement,
        lease: Lease,
        log: Logger,
    ) -> Self {
        Self {
            instance,
            incarnation,
            log,
            lease,
            stopped: BTreeMap::new(),
            doubts: BTreeMap::new(),
            probes: HashMap::new(),
            in_flight: BTreeSet::new(),
            not_before: HashMap::new(),
            held_since: None,
            vacant_since: None,
            absent: HashMap::new(),
            silent_members: HashMap::new(),
            counted_at: Moment::default(),
            failures: 0,
            settled_at: HashMap::new(),
            changes: BTreeMap::new(),
            deposed: HashMap::new(),
            announcements: Vec::new(),
            placement,
            is_leaving: false,
            asked_to_stop: BTreeMap::new(),
            offered: HashMap::new(),
            written: Vec::new(),
            steps: Vec::new(),
        }
    }

    /// Returns what has to be done since the last call.
    pub fn take_steps(&mut self) -> Vec<Step> {
        std::mem::take(&mut self.steps)
    }

    /// Returns the records that the store has taken since the last call.
    ///
    /// Their writer need not wait for a watch to show them, which may take long
    /// where the store turns it away.
    pub fn take_written(&mut self) -> Vec<(GroupId, Versioned<GroupRecord>)> {
        std::mem::take(&mut self.written)
    }

    /// Returns whether something is under way that wants frequent ticks.
    pub fn is_busy(&self) -> bool {
        !self.changes.is_empty()
    }

    /// Does what the view and the time demand.
    pub fn tick(&mut self, view: &StoreView, now: Moment) {
        self.note_silent_members(view, now);
        self.keep_registered(view, now);
        self.probe_doubted(view, now);
        self.keep_doubts(view, now);
        self.keep_duty(view, now);
        if self.holds_duty(view, now) {
            self.dismiss_members(view, now);
            self.introduce_groups(view, now);
            self.watch_primaries(view, now);
            self.drive_changes(view, now);
            self.depose(view, now);
            self.announce(now);
        } else {
            self.changes.clear();
            self.held_since = None;
        }
    }

    /// Tells the other instances that this one is about to stop.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Notes that all work at a retiring primary has ended.
    pub fn stopped(&mut self, now: Moment, group: &GroupId, epoch: u64) {
        let is_known = self.stopped.get(group).is_some_and(|(known, _)| *known >= epoch);
        if !is_known {
            self.stopped.insert(group.clone(), (epoch, now));
        }
        if let Some(holder) = self.asked_to_stop.remove(group) {
            let instance = self.instance.clone();
            let message = PeerMessage::Stopped { instance, group: group.clone(), epoch };
            self.steps.push(Step::Tell(holder, message));
        }
    }

    /// Notes who wants to know when all work at a retiring primary has ended.
    pub fn asked_to_stop(&mut self, group: &GroupId, holder: SocketAddr) {
        self.asked_to_stop.insert(group.clone(), holder);
    }

    /// Takes another instance's word that it has stopped.
    pub fn peer_stopped(&mut self, instance: &InstanceId, group: &GroupId, epoch: u64) {
        if let Some(change) = self.changes.get_mut(group) {
            change.peer_stopped(instance, epoch);
        }
    }

    /// Notes a doubt about a primary.
    pub fn doubt(
        &mut self,
        view: &StoreView,
        group: &GroupId,
        primary: &ServerId,
        kind: DoubtKind,
    ) {
        let Some(record) = view.group(group) else {
            return;
        };
        if record.primary != *primary {
            return;
        }
        let doubt = DoubtRecord { primary: primary.clone(), epoch: record.epoch, kind };
        self.doubts.insert(group.clone(), doubt);
    }

    /// Notes that a primary answers.
    pub fn trust(&mut self, group: &GroupId) {
        self.doubts.remove(group);
    }

    /// Takes the answer to a call of the store, none if it was lost.
    pub fn store_answered(
        &mut self,
        now: Moment,
        asked_at: Moment,
        purpose: &Purpose,
        answer: Option<&StoreAnswer>,
    ) {
        self.in_flight.remove(purpose);
        let offered = self.offered.remove(purpose);
        if let (Some(StoreAnswer::Committed { revision }), Some((group, value))) = (answer, offered)
        {
            self.written.push((group, Versioned { revision: *revision, value }));
        }
        match purpose {
            Purpose::Grant | Purpose::Renew => self.lease.answered(asked_at, now, answer),
            Purpose::Register if answer == Some(&StoreAnswer::LeaseGone) => self.lease.ended(),
            Purpose::Choose(group) => self.chosen(asked_at, group, answer),
            Purpose::Block(group) | Purpose::Publish(group) => {
                self.record_written(now, group, purpose, answer);
            }
            _ => {}
        }
        let pause = match answer {
            Some(StoreAnswer::Committed { .. } | StoreAnswer::Lease { .. }) => {
                self.failures = 0;
                registration::SETTLE_PAUSE
            }
            Some(StoreAnswer::Conflict | StoreAnswer::LeaseGone) => registration::SETTLE_PAUSE,
            _ => {
                self.failures += 1;
                registration::RETRY_PAUSE * self.failures.min(registration::LONGEST_RETRY_PAUSES)
            }
        };
        self.not_before.insert(purpose.clone(), now + pause);
    }

    /// Takes what a server answered to a command.
    pub fn control_answered(
        &mut self,
        now: Moment,
        group: &GroupId,
        server: &ServerId,
        command: &Command,
        result: Result<ServerStatus, ControlFailure>,
    ) {
        self.note_probe(group, server, &result);
        self.note_control(now, group, server, command, result);
    }

    /// Takes the answer to an order, none if it was lost.
    pub fn promoter_answered(
        &mut self,
        now: Moment,
        order: &PromotionOrder,
        answer: Option<PromoterAnswer>,
    ) {
        self.note_order(now, order, answer);
    }

    /// Calls the store unless a call for the same purpose is under way or was
    /// made a moment ago; returns whether it did.
    fn call(&mut self, now: Moment, purpose: Purpose, call: StoreCall) -> bool {
        let is_due = self.not_before.get(&purpose).is_none_or(|not_before| now >= *not_before);
        let is_made = is_due && self.in_flight.insert(purpose.clone());
        if is_made {
            self.steps.push(Step::Store(purpose, call));
        }
        is_made
    }
}
