//! The event loop of the simulation: arrivals, ends of execution and deadlines in
//! the order of simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use masticreel_admission::request::QueueAction;
use masticreel_base::ids::RequestId;

use crate::experiment::trace::Arrival;

/// A policy that decides which request executes on the server, and when.
pub trait ServerPolicy {
    /// Receives a request, after refusing the expired ones as [`Self::expire`] does.
    fn arrive(&mut self, id: RequestId, arrival: &Arrival, now: Instant) -> Vec<QueueAction>;

    /// Records that a started request has finished, after refusing the expired ones.
    fn finish(&mut self, id: RequestId, arrival: &Arrival, now: Instant) -> Vec<QueueAction>;

    /// Refuses requests that have waited past their deadline.
    fn expire(&mut self, now: Instant) -> Vec<QueueAction>;

    /// Returns the earliest time at which a waiting request expires.
    ///
    /// The event loop calls [`Self::expire`] at this time only if no other event is
    /// left; otherwise the next arrival or finish expires the request.
    fn next_expiry(&self) -> Option<Instant>;
}

/// The outcome of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It has neither been started nor refused yet.
    Pending,
    /// It was started at this time after the start of the run.
    Started(Duration),
    /// It was refused and did not run.
    Refused,
}

/// Events at the same time are handled in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish(usize),
    Expire,
    Arrive(usize),
}

/// Simulates all arrivals until none is left waiting or running, and returns their
/// outcomes in the same order.
pub fn run<Policy>(arrivals: &[Arrival], mut policy: Policy) -> Vec<Outcome>
where
    Policy: ServerPolicy,
{
    let epoch = Instant::now();
    let mut outcomes = vec![Outcome::Pending; arrivals.len()];
    let mut events: BinaryHeap<Reverse<(Duration, Event)>> = arrivals
        .iter()
        .enumerate()
        .map(|(index, arrival)| Reverse((arrival.at, Event::Arrive(index))))
        .collect();
    while let Some(Reverse((at, event))) = events.pop() {
        let now = epoch + at;
        let actions = match event {
            Event::Arrive(index) => policy.arrive(id_of(index), &arrivals[index], now),
            Event::Finish(index) => policy.finish(id_of(index), &arrivals[index], now),
            Event::Expire => policy.expire(now),
        };
        for action in actions {
            match action {
                QueueAction::Start(id) => {
                    let index = index_of(id);
                    outcomes[index] = Outcome::Started(at);
                    let end = at + arrivals[index].execution;
                    events.push(Reverse((end, Event::Finish(index))));
                }
                QueueAction::Refuse(id, _) => outcomes[index_of(id)] = Outcome::Refused,
            }
        }
        let expiry = policy.next_expiry().map(|moment| moment.saturating_duration_since(epoch));
        let is_last = events.peek().is_none();
        if let Some(expiry) = expiry.filter(|_| is_last) {
            events.push(Reverse((expiry.max(at), Event::Expire)));
        }
    }
    outcomes
}

fn id_of(index: usize) -> RequestId {
    RequestId(index as u64)
}

fn index_of(id: RequestId) -> usize {
    usize::try_from(id.0).expect("ids are made from indices")
}
