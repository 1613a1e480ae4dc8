//! The owner's queue for one upstream server.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::RequestId;
use masticreel_document::class::Class;

use crate::class_queue::{ClassQueue, QueuePosition};
use crate::order::QueueOrder;
use crate::request::{Action, AdmissionRequest, ConnectionNeed, ConnectionOutcome};
use crate::server_queue::settings::QueueSettings;
use crate::server_queue::slots::{SlotKind, SlotLimits, SlotUse};

pub mod settings;
pub mod slots;

/// Decides which requests execute on one upstream server.
///
/// Each method applies one event and returns what follows from it. A request
/// that was submitted is started once or refused once, never both, so a
/// refusal is always true. See `docs/design/07-admission.md`.
#[derive(Debug)]
pub struct ServerQueue<Order>
where
    Order: QueueOrder,
{
    settings: QueueSettings,
    urgent: ClassQueue<Order>,
    normal: ClassQueue<Order>,
    long: ClassQueue<Order>,
    queued: BTreeMap<RequestId, Queued>,
    latest_starts: BTreeSet<(Instant, RequestId)>,
    running: BTreeMap<RequestId, Running>,
    slots: SlotUse,
    idle_connections: u32,
    transactions: u32,
    /// Whether long work got the last slot that was free for all.
    ///
    /// Then normal work goes first even if more long work is overdue.
    long_had_turn: bool,
    closed_at: Option<Instant>,
}

#[derive(Debug, Clone)]
struct Queued {
    class: Class,
    position: QueuePosition,
    latest_start: Instant,
}

#[derive(Debug)]
struct Running {
    slot: SlotKind,
    need: ConnectionNeed,
}

impl<Order> ServerQueue<Order>
where
    Order: QueueOrder + Clone,
{
    /// Creates an empty queue without connections.
    pub fn new(settings: QueueSettings, order: Order) -> Self {
        Self {
            settings,
            urgent: ClassQueue::new(order.clone()),
            normal: ClassQueue::new(order.clone()),
            long: ClassQueue::new(order),
            queued: BTreeMap::new(),
            latest_starts: BTreeSet::new(),
            running: BTreeMap::new(),
            slots: SlotUse::default(),
            idle_connections: 0,
            transactions: 0,
            long_had_turn: false,
            closed_at: None,
        }
    }

    /// Takes a request in; it waits unless an action about it comes back.
    ///
    /// The caller sees to it that the id is new.
    pub fn submit(&mut self, request: AdmissionRequest, now: Instant) -> Vec<Action> {
        let mut actions = self.expire(now);
        if let Err(failure) = self.check_door(&request, now, &mut actions) {
            actions.push(Action::Refuse(request.id, failure));
            return actions;
        }
        let (id, class) = (request.id, request.class);
        let latest_start = request.latest_start(now);
        let position = self.class_mut(class).push(request, now);
        self.queued.insert(id, Queued { class, position, latest_start });
        self.latest_starts.insert((latest_start, id));
        self.dispatch(now, &mut actions);
        actions
    }

    /// Notes that a started request has ended and what became of its connection.
    pub fn finished(
        &mut self,
        id: RequestId,
        connection: ConnectionOutcome,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = self.expire(now);
        let Some(running) = self.running.remove(&id) else {
            return actions;
        };
        self.slots.release(running.slot);
        if running.need != ConnectionNeed::Statement {
            self.transactions = self.transactions.saturating_sub(1);
        }
        self.settle_connection(connection);
        self.dispatch(now, &mut actions);
        actions
    }

    /// Notes that a transaction ended between two statements, for example
    /// because its caller is gone.
    pub fn transaction_ended(
        &mut self,
        connection: ConnectionOutcome,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = self.expire(now);
        self.transactions = self.transactions.saturating_sub(1);
        self.settle_connection(connection);
        self.dispatch(now, &mut actions);
        actions
    }

    /// Notes that a connection has been opened and is idle.
    pub fn connection_opened(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.expire(now);
        self.idle_connections += 1;
        self.dispatch(now, &mut actions);
        actions
    }

    /// Notes that an idle connection is gone.
    pub fn connection_lost(&mut self) {
        self.idle_connections = self.idle_connections.saturating_sub(1);
    }

    /// Refuses the requests that can't meet their deadline any more.
    pub fn expire(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((latest_start, id)) = self.latest_starts.first().copied() {
            if latest_start > now {
                break;
            }
            let failure = Failure::not_run(
                FailureKind::Overloaded,
                "the request waited too long to be finished by its deadline",
            );
            self.refuse_waiting(id, failure, &mut actions);
        }
        if self.is_closed(now) {
            actions.extend(self.refuse_new_work(&closed_failure()));
        }
        actions
    }

    /// Refuses all that waits, but for statements of open transactions.
    pub fn refuse_new_work(&mut self, failure: &Failure) -> Vec<Action> {
        let new_work = self
            .queued
            .iter()
            .filter(|(_, queued)| !matches!(queued.position, QueuePosition::Held(_)));
        let ids: Vec<RequestId> = new_work.map(|(id, _)| *id).collect();
        let mut actions = Vec::new();
        for id in ids {
            self.refuse_waiting(id, failure.clone(), &mut actions);
        }
        actions
    }

    /// Removes a waiting request that its caller no longer wants.
    ///
    /// Nothing comes back if the request has been started.
    pub fn cancel(&mut self, id: RequestId) -> Vec<Action> {
        let mut actions = Vec::new();
        let failure = Failure::not_run(FailureKind::Cancelled, "the request was cancelled");
        self.refuse_waiting(id, failure, &mut actions);
        actions
    }

    /// Stops taking new work at the given moment; open transactions go on.
    pub fn close_at(&mut self, moment: Instant) {
        self.closed_at = Some(moment);
    }

    /// Takes new work again.
    pub fn reopen(&mut self) {
        self.closed_at = None;
    }

    /// Changes how much of the server this owner may use.
    pub fn set_limits(&mut self, slots: SlotLimits, connections: u32) {
        self.settings.slots = slots;
        self.settings.connections = connections;
    }

    /// Returns when [`Self::expire`] has something to do at the latest.
    pub fn next_deadline(&self) -> Option<Instant> {
        let latest_start = self.latest_starts.first().map(|(latest_start, _)| *latest_start);
        latest_start.into_iter().chain(self.closed_at).min()
    }

    /// Returns how many requests of a class wait.
    pub fn waiting(&self, class: Class) -> usize {
        self.class(class).len()
    }

    /// Returns how many requests execute.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how many transactions hold a connection.
    pub fn transactions(&self) -> u32 {
        self.transactions
    }

    /// Returns how many connections are known to be idle.
    pub fn idle_connections(&self) -> u32 {
        self.idle_connections
    }

    /// Returns how many connections are wanted now: one for each transaction,
    /// two for each slot, since one answers while the next executes, and a
    /// spare one.
    pub fn wanted_connections(&self) -> u32 {
        let wanted = self.transactions + 2 * self.settings.slots.total + SPARE_CONNECTIONS;
        wanted.min(self.settings.connections)
    }

    fn check_door(
        &mut self,
        request: &AdmissionRequest,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Result<(), Failure> {
        if request.need != ConnectionNeed::Held && self.is_closed(now) {
            return Err(closed_failure());
        }
        if now + self.estimated_wait(request) >= request.latest_start(now) {
            return Err(Failure::not_run(
                FailureKind::Overloaded,
                "the server can't finish the request by its deadline",
            ));
        }
        let queue = self.class(request.class);
        if queue.len() < self.settings.queue_length || request.need == ConnectionNeed::Held {
            return Ok(());
        }
        let full = || Failure::not_run(FailureKind::Overloaded, "the server's queue is full");
        let Some(evicted) = queue.eviction_candidate(&request.caller_base) else {
            return Err(full());
        };
        self.refuse_waiting(evicted, full(), actions);
        Ok(())
    }

    /// Estimates the wait from below, so that the door refuses only what is
    /// hopeless: what executes already and work that may overtake don't count.
    fn estimated_wait(&self, request: &AdmissionRequest) -> Duration {
        if request.need == ConnectionNeed::Held {
            return Duration::ZERO;
        }
        let own = self.class(request.class).work_before(&request.caller_base);
        let ahead = match request.class {
            Class::Urgent => own,
            Class::Normal | Class::Long => own + self.urgent.work(),
        };
        ahead / self.settings.slots.usable_by(request.class)
    }

    fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some((class, position, slot)) = self.next_start(now) {
            let Some(waiting) = self.class_mut(class).take_to_start(&position) else {
                return;
            };
            let id = waiting.request.id;
            self.forget(id);
            self.start(&waiting.request, slot);
            actions.push(Action::Start(id));
        }
    }

    fn start(&mut self, request: &AdmissionRequest, slot: SlotKind) {
        self.slots.occupy(slot);
        match slot {
            SlotKind::Long => self.long_had_turn = true,
            SlotKind::Normal => self.long_had_turn = false,
            SlotKind::Urgent | SlotKind::ReservedShort => {}
        }
        if request.need != ConnectionNeed::Held {
            self.idle_connections -= 1;
        }
        if request.need == ConnectionNeed::Transaction {
            self.transactions += 1;
        }
        self.running.insert(request.id, Running { slot, need: request.need });
    }

    fn next_start(&self, now: Instant) -> Option<(Class, QueuePosition, SlotKind)> {
        if self.slots.total() >= self.settings.slots.total {
            return None;
        }
        if let Some(start) = self.next_of(Class::Urgent, now) {
            return Some(start);
        }
        let is_long_overdue = self.long.longest_wait(now) >= self.settings.long_waiting_bound;
        if is_long_overdue
            && !self.long_had_turn
            && let Some(start) = self.next_of(Class::Long, now)
        {
            return Some(start);
        }
        self.next_of(Class::Normal, now).or_else(|| self.next_of(Class::Long, now))
    }

    fn next_of(&self, class: Class, now: Instant) -> Option<(Class, QueuePosition, SlotKind)> {
        self.slots.available_slot(&self.settings.slots, class, Duration::ZERO)?;
        let is_admissible = |request: &AdmissionRequest| {
            self.has_connection(request)
                && self
                    .slots
                    .available_slot(&self.settings.slots, class, request.expected)
                    .is_some()
        };
        let position = self.class(class).next(now, is_admissible)?;
        let expected = self.class(class).expected(&position)?;
        let slot = self.slots.available_slot(&self.settings.slots, class, expected)?;
        Some((class, position, slot))
    }

    fn has_connection(&self, request: &AdmissionRequest) -> bool {
        match request.need {
            ConnectionNeed::Held => true,
            ConnectionNeed::Statement => self.idle_connections > 0,
            ConnectionNeed::Transaction => {
                self.idle_connections > 0 && self.transactions < self.transaction_limit(request)
            }
        }
    }

    /// Transactions leave connections for single statements and urgent ones.
    fn transaction_limit(&self, request: &AdmissionRequest) -> u32 {
        let kept = match request.class {
            Class::Urgent => 1,
            Class::Normal | Class::Long => 1 + self.settings.slots.total,
        };
        self.settings.connections.saturating_sub(kept).max(1)
    }

    fn settle_connection(&mut self, connection: ConnectionOutcome) {
        match connection {
            ConnectionOutcome::Idle => self.idle_connections += 1,
            ConnectionOutcome::Pinned => self.transactions += 1,
            ConnectionOutcome::Closed => {}
        }
    }

    fn refuse_waiting(&mut self, id: RequestId, failure: Failure, actions: &mut Vec<Action>) {
        let Some(queued) = self.forget(id) else {
            return;
        };
        self.class_mut(queued.class).discard(&queued.position);
        actions.push(Action::Refuse(id, failure));
    }

    fn forget(&mut self, id: RequestId) -> Option<Queued> {
        let queued = self.queued.remove(&id)?;
        self.latest_starts.remove(&(queued.latest_start, id));
        Some(queued)
    }

    fn is_closed(&self, now: Instant) -> bool {
        self.closed_at.is_some_and(|moment| now >= moment)
    }

    fn class(&self, class: Class) -> &ClassQueue<Order> {
        match class {
            Class::Urgent => &self.urgent,
            Class::Normal => &self.normal,
            Class::Long => &self.long,
        }
    }

    fn class_mut(&mut self, class: Class) -> &mut ClassQueue<Order> {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Normal => &mut self.normal,
            Class::Long => &mut self.long,
        }
    }
}

/// Connections that are kept open beyond those in use.
const SPARE_CONNECTIONS: u32 = 1;

fn closed_failure() -> Failure {
    Failure::not_run(FailureKind::Unavailable, "the server is leaving and takes no new work")
}
