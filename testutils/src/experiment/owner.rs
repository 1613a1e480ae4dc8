//! The policy of masticreel: all entries send their requests to the server's
//! owner, which queues them.

use std::time::{Duration, Instant};

use masticreel_admission::expected_times::ExpectedTimes;
use masticreel_admission::order::QueueOrder;
use masticreel_admission::request::{
    AdmissionRequest, ConnectionNeed, ConnectionOutcome, QueueAction,
};
use masticreel_admission::server_queue::ServerQueue;
use masticreel_admission::server_queue::settings::QueueSettings;
use masticreel_admission::server_queue::slots::Reservation;
use masticreel_base::ids::RequestId;
use masticreel_document::class::Class;

use crate::experiment::run::ServerPolicy;
use crate::experiment::settings::ExperimentSettings;
use crate::experiment::trace::Arrival;

/// How the owner treats request classes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClassRules {
    /// All requests are treated as one class.
    Ignored,
    /// Urgent, normal and long requests are treated differently.
    Applied(Reservation),
}

/// An owner with its queue and its estimates of execution times.
#[derive(Debug)]
pub struct Owner<Order>
where
    Order: QueueOrder,
{
    queue: ServerQueue<Order>,
    expected_times: ExpectedTimes,
    rules: ClassRules,
}

/// The number of statements whose execution times are estimated.
const MAX_FINGERPRINTS: usize = 1024;
/// The expected execution time of a statement without estimate.
const DEFAULT_EXPECTED_TIME: Duration = Duration::from_millis(10);

impl<Order> Owner<Order>
where
    Order: QueueOrder + Clone,
{
    /// Creates an owner with all its connections open.
    pub fn new(settings: &ExperimentSettings, rules: ClassRules, order: Order) -> Self {
        let mut bounds = QueueSettings::new(settings.slots, settings.connections);
        bounds.slots.reservation = match rules {
            ClassRules::Ignored => Reservation::None,
            ClassRules::Applied(reservation) => reservation,
        };
        let mut queue = ServerQueue::new(bounds, order);
        let now = Instant::now();
        for _ in 0..settings.connections {
            queue.connection_opened(now);
        }
        Self {
            queue,
            expected_times: ExpectedTimes::new(MAX_FINGERPRINTS, DEFAULT_EXPECTED_TIME),
            rules,
        }
    }
}

impl<Order> ServerPolicy for Owner<Order>
where
    Order: QueueOrder + Clone,
{
    fn arrive(&mut self, id: RequestId, arrival: &Arrival, now: Instant) -> Vec<QueueAction> {
        let class = match self.rules {
            ClassRules::Ignored => Class::Normal,
            ClassRules::Applied(_) => arrival.class,
        };
        let request = AdmissionRequest {
            id,
            class,
            expected: self.expected_times.expected(arrival.fingerprint),
            deadline: now + arrival.timeout,
            caller_base: arrival.caller_base.clone(),
            entry_incarnation: arrival.entry,
            need: ConnectionNeed::Statement,
        };
        self.queue.submit(request, now)
    }

    fn finish(&mut self, id: RequestId, arrival: &Arrival, now: Instant) -> Vec<QueueAction> {
        self.expected_times.observe(arrival.fingerprint, arrival.execution);
        self.queue.finished(id, ConnectionOutcome::Idle, now)
    }

    fn expire(&mut self, now: Instant) -> Vec<QueueAction> {
        self.queue.expire(now)
    }

    fn next_expiry(&self) -> Option<Instant> {
        self.queue.next_expiry()
    }
}
