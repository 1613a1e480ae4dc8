//! Tests of the request queue of one upstream server.
//!
//! The last test applies random steps to a queue and checks it against a model
//! after each.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use masticreel_admission::order::{FirstCome, ShortestExpected};
use masticreel_admission::request::{
    AdmissionRequest, ConnectionNeed, ConnectionOutcome, QueueAction,
};
use masticreel_admission::server_queue::ServerQueue;
use masticreel_admission::server_queue::settings::QueueSettings;
use masticreel_admission::server_queue::slots::Reservation;
use masticreel_base::failure::{FailureKind, Verdict};
use masticreel_base::ids::{Incarnation, RequestId};
use masticreel_document::class::Class;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 5;

fn request(id: u64, class: Class, expected_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        id: RequestId(id),
        class,
        expected: Duration::from_millis(expected_ms),
        deadline: start() + Duration::from_secs(3600),
        caller_base: "technicians".into(),
        entry_incarnation: Incarnation(1),
        need: ConnectionNeed::Statement,
    }
}

fn of_caller_base(mut request: AdmissionRequest, caller_base: &str) -> AdmissionRequest {
    request.caller_base = caller_base.into();
    request
}

fn start() -> Instant {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    *START.get_or_init(Instant::now)
}

fn queue(slots: u32, connections: u32) -> ServerQueue<ShortestExpected> {
    let mut queue =
        ServerQueue::new(QueueSettings::new(slots, connections), ShortestExpected::default());
    for _ in 0..connections {
        queue.connection_opened(start());
    }
    queue
}

fn started(actions: &[QueueAction]) -> Vec<u64> {
    let ids = actions.iter().filter_map(|action| match action {
        QueueAction::Start(id) => Some(id.0),
        QueueAction::Refuse(..) => None,
    });
    ids.collect()
}

fn refused(actions: &[QueueAction]) -> Vec<u64> {
    let ids = actions.iter().filter_map(|action| match action {
        QueueAction::Refuse(id, failure) => {
            assert_eq!(failure.verdict, Verdict::NotRun);
            Some(id.0)
        }
        QueueAction::Start(_) => None,
    });
    ids.collect()
}

#[test]
fn test_long_work_leaves_a_slot_to_urgent_work() {
    let mut queue = queue(2, 8);
    assert_eq!(started(&queue.submit(request(1, Class::Long, 5000), start())), [1]);
    assert!(started(&queue.submit(request(2, Class::Long, 5000), start())).is_empty());
    assert_eq!(started(&queue.submit(request(3, Class::Urgent, 3), start())), [3]);
}

#[test]
fn test_short_work_passes_long_work_through_the_reserved_slot() {
    let mut queue = queue(2, 8);
    queue.submit(request(1, Class::Long, 5000), start());
    assert_eq!(started(&queue.submit(request(2, Class::Normal, 5), start())), [2]);
}

#[test]
fn test_work_that_is_not_short_does_not_get_the_reserved_slot() {
    let mut queue = queue(2, 8);
    queue.submit(request(1, Class::Normal, 300), start());
    assert!(started(&queue.submit(request(2, Class::Normal, 300), start())).is_empty());
    assert_eq!(started(&queue.submit(request(3, Class::Urgent, 3), start())), [3]);
}

#[test]
fn test_reserved_slot_stays_idle_when_it_is_for_urgent_work_only() {
    let mut settings = QueueSettings::new(2, 8);
    settings.slots.reservation = Reservation::UrgentOnly;
    let mut queue = ServerQueue::new(settings, FirstCome);
    for _ in 0..4 {
        queue.connection_opened(start());
    }
    queue.submit(request(1, Class::Normal, 5), start());
    assert!(started(&queue.submit(request(2, Class::Normal, 5), start())).is_empty());
}

#[test]
fn test_single_slot_serves_long_work_when_nothing_else_waits() {
    let mut queue = queue(1, 4);
    queue.submit(request(1, Class::Normal, 5), start());
    queue.submit(request(2, Class::Long, 5000), start());
    queue.submit(request(3, Class::Normal, 5), start());
    queue.submit(request(4, Class::Urgent, 5), start());
    let mut order = Vec::new();
    for id in [1, 4, 3] {
        order.extend(started(&queue.finished(RequestId(id), ConnectionOutcome::Idle, start())));
    }
    assert_eq!(order, [4, 3, 2]);
}

#[test]
fn test_long_work_that_waited_for_its_bound_gets_the_next_slot() {
    let mut queue = queue(2, 8);
    queue.submit(request(1, Class::Normal, 5), start());
    queue.submit(request(2, Class::Normal, 5), start());
    queue.submit(request(3, Class::Long, 5000), start());
    queue.submit(request(4, Class::Normal, 5), start());
    let later = start() + Duration::from_secs(3);
    assert_eq!(started(&queue.finished(RequestId(1), ConnectionOutcome::Idle, later)), [3]);
}

#[test]
fn test_normal_work_that_is_not_short_has_its_turn_between_overdue_long_work() {
    for slots in [1, 2] {
        let mut queue = queue(slots, 8);
        for id in 1..5 {
            queue.submit(request(id, Class::Long, 5000), start());
        }
        queue.submit(request(10, Class::Normal, 300), start());
        let later = start() + Duration::from_secs(3);
        let next = queue.finished(RequestId(1), ConnectionOutcome::Idle, later);
        assert_eq!(started(&next), [10], "{slots} slots");
        let next = queue.finished(RequestId(10), ConnectionOutcome::Idle, later);
        assert_eq!(started(&next), [2], "{slots} slots");
    }
}

#[test]
fn test_shortest_goes_first_until_another_has_waited_too_long() {
    let mut queue = queue(1, 4);
    queue.submit(request(1, Class::Normal, 5), start());
    queue.submit(request(2, Class::Normal, 90), start());
    queue.submit(request(3, Class::Normal, 10), start());
    let soon = start() + Duration::from_millis(100);
    assert_eq!(started(&queue.finished(RequestId(1), ConnectionOutcome::Idle, soon)), [3]);
    queue.submit(request(4, Class::Normal, 10), soon);
    let late = start() + Duration::from_millis(600);
    assert_eq!(started(&queue.finished(RequestId(3), ConnectionOutcome::Idle, late)), [2]);
}

#[test]
fn test_deadline_that_cannot_be_met_is_refused_at_the_door() {
    let mut queue = queue(2, 8);
    for id in 0..40 {
        queue.submit(request(id, Class::Normal, 10), start());
    }
    let mut short_deadline = request(100, Class::Normal, 10);
    short_deadline.deadline = start() + Duration::from_millis(100);
    let actions = queue.submit(short_deadline, start());
    assert_eq!(refused(&actions), [100]);
}

#[test]
fn test_request_that_cannot_meet_its_deadline_any_more_is_refused() {
    let mut queue = queue(1, 4);
    queue.submit(request(1, Class::Normal, 10), start());
    let mut short_deadline = request(2, Class::Normal, 10);
    short_deadline.deadline = start() + Duration::from_millis(100);
    queue.submit(short_deadline, start());
    assert_eq!(queue.next_expiry(), Some(start() + Duration::from_millis(90)));
    assert!(queue.expire(start() + Duration::from_millis(89)).is_empty());
    let late = start() + Duration::from_millis(90);
    assert_eq!(refused(&queue.finished(RequestId(1), ConnectionOutcome::Idle, late)), [2]);
}

#[test]
fn test_statement_that_once_took_long_is_still_tried() {
    let mut queue = queue(2, 8);
    let mut slow = request(1, Class::Normal, 60_000);
    slow.deadline = start() + Duration::from_secs(5);
    assert_eq!(started(&queue.submit(slow, start())), [1]);
}

#[test]
fn test_full_queue_gives_a_small_base_the_place_of_a_large_one() {
    let mut queue = queue(1, 4);
    for id in 0..513 {
        queue.submit(of_caller_base(request(id, Class::Normal, 5), "crowd"), start());
    }
    let crowd = of_caller_base(request(600, Class::Normal, 5), "crowd");
    assert_eq!(refused(&queue.submit(crowd, start())), [600]);
    let few = of_caller_base(request(601, Class::Normal, 5), "few");
    assert_eq!(refused(&queue.submit(few, start())), [512]);
    assert_eq!(queue.waiting(Class::Normal), 512);
}

#[test]
fn test_flood_of_one_base_does_not_starve_another() {
    let mut queue = queue(1, 4);
    queue.submit(of_caller_base(request(0, Class::Normal, 5), "crowd"), start());
    for id in 1..400 {
        queue.submit(of_caller_base(request(id, Class::Normal, 5), "crowd"), start());
    }
    for id in 1000..1010 {
        queue.submit(of_caller_base(request(id, Class::Normal, 15), "few"), start());
    }
    let mut running = 0;
    let mut served_few = 0;
    for step in 1..=60 {
        let now = start() + Duration::from_millis(5 * step);
        let next = started(&queue.finished(RequestId(running), ConnectionOutcome::Idle, now));
        running = next[0];
        served_few += usize::from(running >= 1000);
    }
    assert_eq!(served_few, 10);
}

#[test]
fn test_flood_through_one_entry_does_not_starve_another() {
    let mut queue = queue(1, 4);
    for id in 0..400 {
        queue.submit(request(id, Class::Normal, 5), start());
    }
    let mut other = request(1000, Class::Normal, 19);
    other.entry_incarnation = Incarnation(2);
    queue.submit(other, start());
    let mut order = Vec::new();
    let mut running = 0;
    for step in 1..=20 {
        let now = start() + Duration::from_millis(5 * step);
        running = started(&queue.finished(RequestId(running), ConnectionOutcome::Idle, now))[0];
        order.push(running);
    }
    assert!(order.contains(&1000), "{order:?}");
}

#[test]
fn test_transactions_leave_connections_to_single_statements() {
    let mut queue = queue(2, 6);
    let mut open = 0;
    for id in 0..6 {
        let mut begin = request(id, Class::Normal, 1);
        begin.need = ConnectionNeed::Transaction;
        if started(&queue.submit(begin, start())).is_empty() {
            break;
        }
        queue.finished(RequestId(id), ConnectionOutcome::Pinned, start());
        open += 1;
    }
    assert_eq!(open, 3);
    assert_eq!(started(&queue.submit(request(50, Class::Normal, 1), start())), [50]);
    let mut held = request(51, Class::Normal, 1);
    held.need = ConnectionNeed::Held;
    assert_eq!(started(&queue.submit(held, start())), [51]);
    let next = queue.finished(RequestId(51), ConnectionOutcome::Idle, start());
    assert_eq!(started(&next), [3], "the transaction that waited takes the connection");
    assert_eq!(queue.transactions(), 3);
}

#[test]
fn test_closed_queue_takes_only_statements_of_open_transactions() {
    let mut queue = queue(1, 4);
    queue.submit(request(1, Class::Normal, 1), start());
    queue.submit(request(2, Class::Normal, 1), start());
    let closing = start() + Duration::from_secs(3);
    queue.stop_new_requests_at(closing);
    assert!(refused(&queue.expire(start())).is_empty());
    let mut held = request(3, Class::Normal, 1);
    held.need = ConnectionNeed::Held;
    let actions = queue.submit(held, closing);
    assert_eq!(refused(&actions), [2]);
    let actions = queue.submit(request(4, Class::Urgent, 1), closing);
    assert_eq!(refused(&actions), [4]);
    assert_eq!(started(&queue.finished(RequestId(1), ConnectionOutcome::Idle, closing)), [3]);
}

#[test]
fn test_cancelled_request_never_starts() {
    let mut queue = queue(1, 4);
    queue.submit(request(1, Class::Normal, 1), start());
    queue.submit(request(2, Class::Normal, 1), start());
    let actions = queue.cancel(RequestId(2));
    assert!(
        matches!(&actions[..], [QueueAction::Refuse(_, failure)] if failure.kind == FailureKind::Cancelled)
    );
    assert!(queue.cancel(RequestId(1)).is_empty());
    assert!(queue.finished(RequestId(1), ConnectionOutcome::Idle, start()).is_empty());
}

/// One step of a random test run.
#[derive(Debug, Clone)]
enum Step {
    Submit { class: Class, expected_ms: u64, timeout_ms: u64, base: u8, entry: u8, begins: bool },
    Continue { expected_ms: u64 },
    Finish { index: usize, outcome: u8 },
    Cancel { index: usize },
    Wait { ms: u64 },
    Connect,
}

fn any_step() -> impl Strategy<Value = Step> {
    let class = prop_oneof![Just(Class::Urgent), Just(Class::Normal), Just(Class::Long)];
    prop_oneof![
        4 => (class, 1..400u64, 1..3000u64, 0..4u8, 0..6u8, any::<bool>()).prop_map(
            |(class, expected_ms, timeout_ms, base, entry, begins)| Step::Submit {
                class, expected_ms, timeout_ms, base, entry, begins,
            }
        ),
        1 => (1..50u64).prop_map(|expected_ms| Step::Continue { expected_ms }),
        4 => (0..8usize, 0..4u8).prop_map(|(index, outcome)| Step::Finish { index, outcome }),
        1 => (0..64usize).prop_map(|index| Step::Cancel { index }),
        2 => (1..300u64).prop_map(|ms| Step::Wait { ms }),
        1 => Just(Step::Connect),
    ]
}

/// A queue, and a model of its state that follows the steps and the returned
/// actions.
struct Run {
    queue: ServerQueue<ShortestExpected>,
    slots: usize,
    connections: u32,
    open_connections: u32,
    idle_transactions: u32,
    now: Instant,
    submitted: BTreeMap<u64, AdmissionRequest>,
    waiting: BTreeSet<u64>,
    running: BTreeSet<u64>,
    ended: BTreeSet<u64>,
}

impl Run {
    fn new(slots: u32, connections: u32) -> Self {
        Self {
            queue: ServerQueue::new(
                QueueSettings::new(slots, connections),
                ShortestExpected::default(),
            ),
            slots: slots as usize,
            connections,
            open_connections: 0,
            idle_transactions: 0,
            now: start(),
            submitted: BTreeMap::new(),
            waiting: BTreeSet::new(),
            running: BTreeSet::new(),
            ended: BTreeSet::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        let actions = match step {
            Step::Submit { class, expected_ms, timeout_ms, base, entry, begins } => {
                let mut request = request(self.next_id(), class, expected_ms);
                request.deadline = self.now + Duration::from_millis(timeout_ms);
                request.caller_base = format!("base-{base}").into();
                request.entry_incarnation = Incarnation(u64::from(entry));
                if begins {
                    request.need = ConnectionNeed::Transaction;
                }
                self.submit(request)
            }
            Step::Continue { .. } if self.idle_transactions == 0 => return,
            Step::Continue { expected_ms } => {
                let mut request = request(self.next_id(), Class::Normal, expected_ms);
                request.need = ConnectionNeed::Held;
                self.idle_transactions -= 1;
                self.submit(request)
            }
            Step::Finish { index, outcome } => {
                let Some(id) = self.running.iter().nth(index).copied() else { return };
                self.finish(id, outcome)
            }
            Step::Cancel { index } => {
                let Some(id) = self.waiting.iter().nth(index).copied() else { return };
                self.queue.cancel(RequestId(id))
            }
            Step::Wait { ms } => {
                self.now += Duration::from_millis(ms);
                self.queue.expire(self.now)
            }
            Step::Connect if self.open_connections >= self.connections => return,
            Step::Connect => {
                self.open_connections += 1;
                self.queue.connection_opened(self.now)
            }
        };
        self.record(actions);
        self.check();
    }

    fn next_id(&self) -> u64 {
        self.submitted.len() as u64
    }

    fn submit(&mut self, request: AdmissionRequest) -> Vec<QueueAction> {
        let id = request.id.0;
        self.submitted.insert(id, request.clone());
        self.waiting.insert(id);
        self.queue.submit(request, self.now)
    }

    fn finish(&mut self, id: u64, outcome: u8) -> Vec<QueueAction> {
        self.running.remove(&id);
        self.ended.insert(id);
        let may_pin = self.submitted[&id].need != ConnectionNeed::Statement;
        let connection = match outcome {
            0 if may_pin => ConnectionOutcome::Pinned,
            1 => ConnectionOutcome::Closed,
            _ => ConnectionOutcome::Idle,
        };
        self.idle_transactions += u32::from(connection == ConnectionOutcome::Pinned);
        self.open_connections -= u32::from(connection == ConnectionOutcome::Closed);
        self.queue.finished(RequestId(id), connection, self.now)
    }

    fn record(&mut self, actions: Vec<QueueAction>) {
        for id in started(&actions) {
            assert!(self.waiting.remove(&id), "{id} started, but was not waiting");
            assert!(self.submitted[&id].deadline > self.now, "{id} started after its deadline");
            self.running.insert(id);
        }
        for id in refused(&actions) {
            assert!(self.waiting.remove(&id), "{id} refused, but was not waiting");
            self.ended.insert(id);
            let held = self.submitted[&id].need == ConnectionNeed::Held;
            self.idle_transactions += u32::from(held);
        }
    }

    fn running_of(&self, class: Class) -> usize {
        self.running.iter().filter(|id| self.submitted[id].class == class).count()
    }

    fn check(&self) {
        assert!(self.running.len() <= self.slots);
        assert_eq!(self.queue.running(), self.running.len());
        let waiting =
            [Class::Urgent, Class::Normal, Class::Long].map(|class| self.queue.waiting(class));
        assert_eq!(waiting.iter().sum::<usize>(), self.waiting.len());
        self.check_connections();
        if self.slots > 1 {
            assert!(self.running_of(Class::Long) < self.slots, "long requests hold all slots");
            self.check_reserved_slot();
        }
        self.check_urgent_first();
    }

    /// Checks that each open connection is idle, used by a statement or held by a
    /// transaction.
    fn check_connections(&self) {
        let single = self
            .running
            .iter()
            .filter(|id| self.submitted[id].need == ConnectionNeed::Statement)
            .count() as u32;
        let accounted = self.queue.idle_connections() + self.queue.transactions() + single;
        assert_eq!(accounted, self.open_connections);
    }

    /// Checks that at least one running statement is short if all slots are in use
    /// and no urgent statement runs.
    fn check_reserved_slot(&self) {
        if self.running.len() < self.slots || self.running_of(Class::Urgent) > 0 {
            return;
        }
        let short = Duration::from_millis(20);
        assert!(self.running.iter().any(|id| self.submitted[id].expected <= short));
    }

    /// Checks that no urgent statement waits while a slot and a connection are free.
    fn check_urgent_first(&self) {
        let free = self.running.len() < self.slots && self.queue.idle_connections() > 0;
        let waits = self.waiting.iter().any(|id| {
            let request = &self.submitted[id];
            request.class == Class::Urgent && request.need == ConnectionNeed::Statement
        });
        assert!(!(free && waits), "an urgent statement waits although a slot is free");
    }

    /// Opens all connections and ends all transactions and running requests until
    /// none is left.
    fn drain(&mut self) {
        while self.open_connections < self.connections {
            self.apply(Step::Connect);
        }
        for _ in 0..self.idle_transactions {
            let actions = self.queue.transaction_ended(ConnectionOutcome::Idle, self.now);
            self.record(actions);
        }
        self.idle_transactions = 0;
        while !self.running.is_empty() {
            self.apply(Step::Finish { index: 0, outcome: 2 });
        }
        assert!(self.waiting.is_empty(), "{:?} are still waiting", self.waiting);
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn test_every_request_is_concluded_once_within_all_bounds(
        slots in 1..4u32,
        connections in 4..10u32,
        steps in prop::collection::vec(any_step(), 1..200),
    ) {
        let mut run = Run::new(slots, connections);
        for step in steps {
            run.apply(step);
        }
        run.drain();
        prop_assert_eq!(run.ended.len(), run.submitted.len());
    }
}
