//! The request queue of one upstream server, kept by the server's owner.
//!
//! [`ServerQueue`] decides which request starts next. A request needs a slot (see
//! [`slots`]) and, unless its transaction holds one, an idle connection. Waiting
//! requests are kept in one `ClassQueue` for each class, which orders them by fair
//! shares and by [`QueueOrder`].
//!
//! Free slots are given in this order: to urgent requests; to a long request that
//! has waited for `long_class_max_wait`, unless the most recently assigned
//! unreserved slot went to a long request as well; to normal requests; to other
//! long requests.
//!
//! Two bounds limit how long a request can be passed over. `long_class_max_wait`
//! of [`QueueSettings`] lets class long precede class normal;
//! [`QueueOrder::max_wait_within_class`] lets a request precede others of its own
//! class.
//!
//! A full or closed queue still accepts statements of open transactions, since
//! their transactions hold connections and may hold locks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::RequestId;
use masticreel_document::class::Class;

use crate::class_queue::{ClassQueue, QueuePosition};
use crate::order::QueueOrder;
use crate::request::{AdmissionRequest, ConnectionNeed, ConnectionOutcome, QueueAction};
use crate::server_queue::settings::QueueSettings;
use crate::server_queue::slots::{SlotKind, SlotLimits, SlotUse};

pub mod settings;
pub mod slots;

/// Decides which requests execute on one upstream server.
///
/// Each method applies one event and returns the resulting actions. A submitted
/// request is either started once or refused once, never both, so a refused
/// request has certainly not been executed. See `docs/design/07-admission.md`.
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
    /// Whether the most recently assigned unreserved slot went to a long request.
    ///
    /// Then normal requests take precedence for the next one, even if further
    /// long requests have waited for `long_class_max_wait`.
    last_unreserved_start_was_long: bool,
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
            last_unreserved_start_was_long: false,
            closed_at: None,
        }
    }

    /// Adds a request; it waits unless the returned actions start or refuse it.
    ///
    /// The request's id must not have been submitted before.
    pub fn submit(&mut self, request: AdmissionRequest, now: Instant) -> Vec<QueueAction> {
        let mut actions = self.expire(now);
        if let Err(failure) = self.admit(&request, now, &mut actions) {
            actions.push(QueueAction::Refuse(request.id, failure));
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

    /// Records that a started request has ended, and the state of its server
    /// connection.
    pub fn finished(
        &mut self,
        id: RequestId,
        connection: ConnectionOutcome,
        now: Instant,
    ) -> Vec<QueueAction> {
        let mut actions = self.expire(now);
        let Some(running) = self.running.remove(&id) else {
            return actions;
        };
        self.slots.release(running.slot);
        if running.need != ConnectionNeed::Statement {
            self.transactions = self.transactions.saturating_sub(1);
        }
        self.apply_connection_outcome(connection);
        self.dispatch(now, &mut actions);
        actions
    }

    /// Records that a transaction ended between two statements, for example
    /// because its caller disconnected.
    pub fn transaction_ended(
        &mut self,
        connection: ConnectionOutcome,
        now: Instant,
    ) -> Vec<QueueAction> {
        let mut actions = self.expire(now);
        self.transactions = self.transactions.saturating_sub(1);
        self.apply_connection_outcome(connection);
        self.dispatch(now, &mut actions);
        actions
    }

    /// Records that a connection has been opened and is idle.
    pub fn connection_opened(&mut self, now: Instant) -> Vec<QueueAction> {
        let mut actions = self.expire(now);
        self.idle_connections += 1;
        self.dispatch(now, &mut actions);
        actions
    }

    /// Records that the pool closes an idle connection.
    pub fn connection_lost(&mut self) {
        self.idle_connections = self.idle_connections.saturating_sub(1);
    }

    /// Refuses waiting requests that can no longer meet their deadline and, once
    /// the queue is closed, all waiting requests except statements of open
    /// transactions.
    pub fn expire(&mut self, now: Instant) -> Vec<QueueAction> {
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
            actions.extend(self.refuse_requests_outside_transactions(&closed_failure()));
        }
        actions
    }

    /// Refuses all waiting requests except statements of open transactions.
    pub fn refuse_requests_outside_transactions(&mut self, failure: &Failure) -> Vec<QueueAction> {
        let outside_transactions = self
            .queued
            .iter()
            .filter(|(_, queued)| !matches!(queued.position, QueuePosition::Held(_)));
        let ids: Vec<RequestId> = outside_transactions.map(|(id, _)| *id).collect();
        let mut actions = Vec::new();
        for id in ids {
            self.refuse_waiting(id, failure.clone(), &mut actions);
        }
        actions
    }

    /// Refuses a waiting request that was cancelled.
    ///
    /// Does nothing if the request has been started already.
    pub fn cancel(&mut self, id: RequestId) -> Vec<QueueAction> {
        let mut actions = Vec::new();
        let failure = Failure::not_run(FailureKind::Cancelled, "the request was cancelled");
        self.refuse_waiting(id, failure, &mut actions);
        actions
    }

    /// Closes the queue at the given time: from then on, only statements of open
    /// transactions are accepted.
    pub fn stop_new_requests_at(&mut self, time: Instant) {
        self.closed_at = Some(time);
    }

    /// Accepts all requests again after [`Self::stop_new_requests_at`].
    pub fn reopen(&mut self) {
        self.closed_at = None;
    }

    /// Changes the slots and the number of connections that this owner may use.
    pub fn set_limits(&mut self, slots: SlotLimits, connections: u32) {
        self.settings.slots = slots;
        self.settings.connections = connections;
    }

    /// Returns the earliest time at which a waiting request expires or the queue
    /// closes, or at which the queue was closed.
    pub fn next_expiry(&self) -> Option<Instant> {
        let latest_start = self.latest_starts.first().map(|(latest_start, _)| *latest_start);
        latest_start.into_iter().chain(self.closed_at).min()
    }

    /// Returns the number of waiting requests of a class.
    pub fn waiting(&self, class: Class) -> usize {
        self.class(class).len()
    }

    /// Returns the number of requests that execute.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of transactions that hold a connection.
    pub fn transactions(&self) -> u32 {
        self.transactions
    }

    /// Returns the number of idle connections.
    pub fn idle_connections(&self) -> u32 {
        self.idle_connections
    }

    /// Returns how many connections should be open: one for each transaction, two
    /// for each slot, since one still returns its result while the next executes,
    /// and a spare one.
    pub fn wanted_connections(&self) -> u32 {
        let wanted = self.transactions + 2 * self.settings.slots.total + SPARE_CONNECTIONS;
        wanted.min(self.settings.connections)
    }

    /// Decides whether a new request is queued.
    ///
    /// If the queue is full, makes room by refusing a request of a caller base with
    /// more waiting requests, if there is one.
    fn admit(
        &mut self,
        request: &AdmissionRequest,
        now: Instant,
        actions: &mut Vec<QueueAction>,
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

    /// Estimates the time that a new request waits.
    ///
    /// The estimate omits requests that already execute and those that may overtake
    /// the new one, because a request should be refused on submission only if it
    /// can't meet its deadline.
    fn estimated_wait(&self, request: &AdmissionRequest) -> Duration {
        if request.need == ConnectionNeed::Held {
            return Duration::ZERO;
        }
        let own = self.class(request.class).expected_before(&request.caller_base);
        let ahead = match request.class {
            Class::Urgent => own,
            Class::Normal | Class::Long => own + self.urgent.expected_total(),
        };
        ahead / self.settings.slots.usable_by(request.class)
    }

    fn dispatch(&mut self, now: Instant, actions: &mut Vec<QueueAction>) {
        while let Some((class, position, slot)) = self.next_start(now) {
            let Some(waiting) = self.class_mut(class).take_to_start(&position) else {
                return;
            };
            let id = waiting.request.id;
            self.remove_queued(id);
            self.start(&waiting.request, slot);
            actions.push(QueueAction::Start(id));
        }
    }

    fn start(&mut self, request: &AdmissionRequest, slot: SlotKind) {
        self.slots.occupy(slot);
        match slot {
            SlotKind::Long => self.last_unreserved_start_was_long = true,
            SlotKind::Normal => self.last_unreserved_start_was_long = false,
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
        if let Some(start) = self.next_in_class(Class::Urgent, now) {
            return Some(start);
        }
        let long_waited_too_long = self.long.longest_wait(now) >= self.settings.long_class_max_wait;
        if long_waited_too_long
            && !self.last_unreserved_start_was_long
            && let Some(start) = self.next_in_class(Class::Long, now)
        {
            return Some(start);
        }
        self.next_in_class(Class::Normal, now).or_else(|| self.next_in_class(Class::Long, now))
    }

    fn next_in_class(
        &self,
        class: Class,
        now: Instant,
    ) -> Option<(Class, QueuePosition, SlotKind)> {
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

    /// Returns how many transactions may hold a connection when one more starts.
    ///
    /// Some connections stay reserved for statements outside transactions and for
    /// urgent requests, so that open transactions can't block them.
    fn transaction_limit(&self, request: &AdmissionRequest) -> u32 {
        let kept = match request.class {
            Class::Urgent => 1,
            Class::Normal | Class::Long => 1 + self.settings.slots.total,
        };
        self.settings.connections.saturating_sub(kept).max(1)
    }

    fn apply_connection_outcome(&mut self, connection: ConnectionOutcome) {
        match connection {
            ConnectionOutcome::Idle => self.idle_connections += 1,
            ConnectionOutcome::Pinned => self.transactions += 1,
            ConnectionOutcome::Closed => {}
        }
    }

    fn refuse_waiting(&mut self, id: RequestId, failure: Failure, actions: &mut Vec<QueueAction>) {
        let Some(queued) = self.remove_queued(id) else {
            return;
        };
        self.class_mut(queued.class).discard(&queued.position);
        actions.push(QueueAction::Refuse(id, failure));
    }

    fn remove_queued(&mut self, id: RequestId) -> Option<Queued> {
        let queued = self.queued.remove(&id)?;
        self.latest_starts.remove(&(queued.latest_start, id));
        Some(queued)
    }

    fn is_closed(&self, now: Instant) -> bool {
        self.closed_at.is_some_and(|time| now >= time)
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

/// Connections that stay open beyond those for transactions and slots.
const SPARE_CONNECTIONS: u32 = 1;

fn closed_failure() -> Failure {
    Failure::not_run(FailureKind::Unavailable, "the server is leaving and takes no new work")
}
