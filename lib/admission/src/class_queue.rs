//! The waiting requests of one class at one server.
//!
//! [`ClassQueue`] keeps statements of open transactions in the order of their
//! arrival. All other requests are divided into flows: a [`CallerBaseQueue`] for
//! each caller base holds a [`FlowQueue`] for each entry instance. [`FairShares`] choose
//! among caller bases and, within one, among entry instances; within these shares
//! the [`QueueOrder`] decides.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use masticreel_base::ids::{Incarnation, RequestId};

use crate::fair_shares::FairShares;
use crate::order::QueueOrder;
use crate::request::{AdmissionRequest, CallerBase, ConnectionNeed};

/// A request and the time since which it has been waiting.
#[derive(Debug, Clone)]
pub(crate) struct WaitingRequest {
    pub(crate) request: AdmissionRequest,
    pub(crate) since: Instant,
}

/// Where in the queue a waiting request is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum QueuePosition {
    /// In the queue for statements of open transactions, which already hold a
    /// server connection.
    Held(Arrival),
    /// In the flow of its caller base and entry instance.
    Flow(CallerBase, Incarnation, Arrival),
}

/// Numbers the requests of a class in the order of their arrival.
pub(crate) type Arrival = u64;

/// Orders the next requests of different flows; those that have waited for the
/// order's `max_wait_within_class` come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Precedence<Rank> {
    WaitedTooLong(Arrival),
    Ranked(Rank, Arrival),
}

impl<Rank> Precedence<Rank> {
    fn arrival(&self) -> Arrival {
        match self {
            Precedence::WaitedTooLong(arrival) | Precedence::Ranked(_, arrival) => *arrival,
        }
    }
}

/// Expected execution time that one key of [`FairShares`] may receive beyond the
/// waiting key that received least.
const SHARE_ALLOWANCE: Duration = Duration::from_millis(50);

#[derive(Debug)]
pub(crate) struct ClassQueue<Order>
where
    Order: QueueOrder,
{
    order: Order,
    next_arrival: Arrival,
    held: BTreeMap<Arrival, WaitingRequest>,
    by_caller_base: BTreeMap<CallerBase, CallerBaseQueue<Order>>,
    caller_base_shares: FairShares<CallerBase>,
    len: usize,
    /// Sum of the expected execution times of all waiting requests.
    expected_total: Duration,
}

/// The waiting requests of one caller base, by entry instance.
#[derive(Debug)]
struct CallerBaseQueue<Order>
where
    Order: QueueOrder,
{
    flows: BTreeMap<Incarnation, FlowQueue<Order>>,
    entry_shares: FairShares<Incarnation>,
    /// Sum of the expected execution times of the waiting requests.
    expected_total: Duration,
}

/// The waiting requests of one caller base that came from one entry instance.
#[derive(Debug)]
struct FlowQueue<Order>
where
    Order: QueueOrder,
{
    by_arrival: BTreeMap<Arrival, WaitingRequest>,
    by_rank: BTreeSet<(Order::Rank, Arrival)>,
}

impl<Order> ClassQueue<Order>
where
    Order: QueueOrder,
{
    pub(crate) fn new(order: Order) -> Self {
        Self {
            order,
            next_arrival: 0,
            held: BTreeMap::new(),
            by_caller_base: BTreeMap::new(),
            caller_base_shares: FairShares::new(SHARE_ALLOWANCE),
            len: 0,
            expected_total: Duration::ZERO,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, request: AdmissionRequest, now: Instant) -> QueuePosition {
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        self.len += 1;
        self.expected_total += request.expected;
        let waiting = WaitingRequest { request, since: now };
        if waiting.request.need == ConnectionNeed::Held {
            self.held.insert(arrival, waiting);
            return QueuePosition::Held(arrival);
        }
        self.push_flow(waiting, arrival)
    }

    fn push_flow(&mut self, waiting: WaitingRequest, arrival: Arrival) -> QueuePosition {
        let caller_base = waiting.request.caller_base.clone();
        let entry = waiting.request.entry_incarnation;
        self.caller_base_shares.enqueued(&caller_base);
        let base =
            self.by_caller_base.entry(caller_base.clone()).or_insert_with(CallerBaseQueue::new);
        base.expected_total += waiting.request.expected;
        base.entry_shares.enqueued(&entry);
        let flow = base.flows.entry(entry).or_insert_with(FlowQueue::new);
        flow.by_rank.insert((self.order.rank(waiting.request.expected), arrival));
        flow.by_arrival.insert(arrival, waiting);
        QueuePosition::Flow(caller_base, entry, arrival)
    }

    /// Returns the position of the admissible request to serve next.
    ///
    /// Statements of open transactions are served first, because their
    /// transactions hold a connection and may hold locks that other requests wait
    /// for. Requests beyond their fair share are served only if no admissible
    /// request within its share waits.
    pub(crate) fn next<Admissible>(
        &self,
        now: Instant,
        admissible: Admissible,
    ) -> Option<QueuePosition>
    where
        Admissible: Fn(&AdmissionRequest) -> bool,
    {
        let held = self.held.iter().find(|(_, waiting)| admissible(&waiting.request));
        if let Some((arrival, _)) = held {
            return Some(QueuePosition::Held(*arrival));
        }
        self.next_in_flows(now, &admissible, true)
            .or_else(|| self.next_in_flows(now, &admissible, false))
    }

    fn next_in_flows<Admissible>(
        &self,
        now: Instant,
        admissible: &Admissible,
        within_shares: bool,
    ) -> Option<QueuePosition>
    where
        Admissible: Fn(&AdmissionRequest) -> bool,
    {
        let mut best: Option<(Precedence<Order::Rank>, &CallerBase, &Incarnation)> = None;
        for (caller_base, base) in &self.by_caller_base {
            if within_shares && !self.caller_base_shares.is_within_share(caller_base) {
                continue;
            }
            for (entry, flow) in &base.flows {
                if within_shares && !base.entry_shares.is_within_share(entry) {
                    continue;
                }
                let Some(precedence) =
                    flow.next(now, self.order.max_wait_within_class(), admissible)
                else {
                    continue;
                };
                if best.as_ref().is_none_or(|(first, ..)| precedence < *first) {
                    best = Some((precedence, caller_base, entry));
                }
            }
        }
        let (precedence, caller_base, entry) = best?;
        Some(QueuePosition::Flow(caller_base.clone(), *entry, precedence.arrival()))
    }

    /// Returns the expected execution time of the request at a position.
    pub(crate) fn expected(&self, position: &QueuePosition) -> Option<Duration> {
        let waiting = match position {
            QueuePosition::Held(arrival) => self.held.get(arrival)?,
            QueuePosition::Flow(caller_base, entry, arrival) => {
                self.by_caller_base.get(caller_base)?.flows.get(entry)?.by_arrival.get(arrival)?
            }
        };
        Some(waiting.request.expected)
    }

    /// Removes a request that starts, and charges its expected execution time to
    /// its caller base and entry instance.
    pub(crate) fn take_to_start(&mut self, position: &QueuePosition) -> Option<WaitingRequest> {
        self.remove(position, true)
    }

    /// Removes a request that is refused, without charging its share.
    pub(crate) fn discard(&mut self, position: &QueuePosition) {
        self.remove(position, false);
    }

    fn remove(&mut self, position: &QueuePosition, charged: bool) -> Option<WaitingRequest> {
        let waiting = match position {
            QueuePosition::Held(arrival) => self.held.remove(arrival)?,
            QueuePosition::Flow(caller_base, entry, arrival) => {
                self.remove_from_flow(caller_base, entry, *arrival, charged)?
            }
        };
        self.len -= 1;
        self.expected_total -= waiting.request.expected;
        Some(waiting)
    }

    fn remove_from_flow(
        &mut self,
        caller_base: &CallerBase,
        entry: &Incarnation,
        arrival: Arrival,
        charged: bool,
    ) -> Option<WaitingRequest> {
        let base = self.by_caller_base.get_mut(caller_base)?;
        let flow = base.flows.get_mut(entry)?;
        let waiting = flow.by_arrival.remove(&arrival)?;
        let expected = waiting.request.expected;
        flow.by_rank.remove(&(self.order.rank(expected), arrival));
        if flow.by_arrival.is_empty() {
            base.flows.remove(entry);
        }
        base.expected_total -= expected;
        if charged {
            base.entry_shares.started(entry, expected);
            self.caller_base_shares.started(caller_base, expected);
        } else {
            base.entry_shares.removed(entry);
            self.caller_base_shares.removed(caller_base);
        }
        if base.flows.is_empty() {
            self.by_caller_base.remove(caller_base);
        }
        Some(waiting)
    }

    /// Estimates the sum of the expected execution times of the requests that are
    /// served before a new request of this caller base.
    ///
    /// The estimate is the sum for the caller base's own waiting requests times the
    /// number of caller bases with waiting requests, since each of them gets a fair
    /// share, but at most the sum for all waiting requests.
    pub(crate) fn expected_before(&self, caller_base: &CallerBase) -> Duration {
        let own =
            self.by_caller_base.get(caller_base).map_or(Duration::ZERO, |base| base.expected_total);
        let waiting_bases =
            u32::try_from(self.caller_base_shares.backlogged()).unwrap_or(u32::MAX).max(1);
        own.saturating_mul(waiting_bases).min(self.expected_total)
    }

    /// Returns the sum of the expected execution times of all waiting requests.
    pub(crate) fn expected_total(&self) -> Duration {
        self.expected_total
    }

    /// Returns the most recent request of the caller base with the most waiting
    /// requests, if that has more of them than the given caller base would have
    /// with one more.
    pub(crate) fn eviction_candidate(&self, caller_base: &CallerBase) -> Option<RequestId> {
        let (largest, waiting) = self.caller_base_shares.most_waiting()?;
        if waiting <= self.caller_base_shares.waiting(caller_base) + 1 {
            return None;
        }
        let base = self.by_caller_base.get(largest)?;
        let (entry, _) = base.entry_shares.most_waiting()?;
        let (_, newest) = base.flows.get(entry)?.by_arrival.last_key_value()?;
        Some(newest.request.id)
    }

    /// Returns how long the request that arrived first has waited.
    pub(crate) fn longest_wait(&self, now: Instant) -> Duration {
        let flows = self.by_caller_base.values().flat_map(|base| base.flows.values());
        let oldest = flows.filter_map(|flow| flow.by_arrival.first_key_value());
        let held = self.held.first_key_value();
        let since = oldest.chain(held).map(|(_, waiting)| waiting.since).min();
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

impl<Order> CallerBaseQueue<Order>
where
    Order: QueueOrder,
{
    fn new() -> Self {
        Self {
            flows: BTreeMap::new(),
            entry_shares: FairShares::new(SHARE_ALLOWANCE),
            expected_total: Duration::ZERO,
        }
    }
}

impl<Order> FlowQueue<Order>
where
    Order: QueueOrder,
{
    fn new() -> Self {
        Self { by_arrival: BTreeMap::new(), by_rank: BTreeSet::new() }
    }

    fn next<Admissible>(
        &self,
        now: Instant,
        max_wait: Duration,
        admissible: &Admissible,
    ) -> Option<Precedence<Order::Rank>>
    where
        Admissible: Fn(&AdmissionRequest) -> bool,
    {
        let has_waited_too_long =
            |waiting: &WaitingRequest| now.saturating_duration_since(waiting.since) >= max_wait;
        let waited_too_long = self
            .by_arrival
            .iter()
            .take_while(|(_, waiting)| has_waited_too_long(waiting))
            .find(|(_, waiting)| admissible(&waiting.request));
        if let Some((arrival, _)) = waited_too_long {
            return Some(Precedence::WaitedTooLong(*arrival));
        }
        let (rank, arrival) = self
            .by_rank
            .iter()
            .find(|(_, arrival)| admissible(&self.by_arrival[arrival].request))?;
        Some(Precedence::Ranked(*rank, *arrival))
    }
}
