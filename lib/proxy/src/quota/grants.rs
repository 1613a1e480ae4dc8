//! What an entry instance holds of organisations' quotas: granted units, the operations that
//! wait for units, and its requests to the allocators.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::bucket::Limit;
use super::messages::{GrantedUnits, QuotaWant};
use crate::moment::Moment;

/// How long granted units may be used, from the moment at which they were requested.
///
/// Together with [`MAX_WAIT`] it is a tenth of the window in which the platform counts (5 s).
/// The units of the operations that callers send in a window have left the bucket in a
/// period that is longer by that tenth, which the platform tolerates.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(350);
/// How long an operation waits for a unit.
pub const MAX_WAIT: Duration = Duration::from_millis(150);
/// After how long a request that was not answered is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(30);
/// How much of the demand an entry holds in advance; a round trip takes a few ms, and what is
/// not used within [`GRANT_VALIDITY`] is lost.
const DEMAND_AHEAD: Duration = Duration::from_millis(100);
/// The interval at which organisations without operations are forgotten.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How long an organisation without operations is remembered.
const RETENTION: Duration = Duration::from_secs(10);

/// A unit that an operation has taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unit {
    expires_at: Moment,
}

/// Why an operation got no unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The allocator has no units; there will be one after this time.
    Empty(Duration),
    /// The allocator has not answered within [`MAX_WAIT`].
    NoAnswer,
}

/// The end of an operation's wait for a unit.
pub type Outcome<Id> = (Id, Result<Unit, Shortage>);

/// What becomes of an operation that asks for a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    /// It has one.
    Taken(Unit),
    /// It waits for one.
    Waiting,
    /// It is refused.
    Refused(Shortage),
}

#[derive(Debug)]
struct Outstanding {
    request: u64,
    needed: u32,
    spare: u32,
    at: Moment,
}

#[derive(Debug)]
struct Organisation<Id> {
    limit: Limit,
    /// Units in the order of their expiry.
    units: VecDeque<Unit>,
    waiting: VecDeque<(Id, Moment)>,
    outstanding: Vec<Outstanding>,
    /// Until when the allocator has no units.
    empty_until: Moment,
    /// Operations per second, smoothed over about a second.
    demand: f64,
    asked_at: Moment,
}

impl<Id> Organisation<Id> {
    fn new(limit: Limit, now: Moment) -> Self {
        Self {
            limit,
            units: VecDeque::new(),
            waiting: VecDeque::new(),
            outstanding: Vec::new(),
            empty_until: Moment::default(),
            demand: 0.0,
            asked_at: now,
        }
    }

    fn note_demand(&mut self, now: Moment) {
        let quiet_s = now.since(self.asked_at).as_secs_f64();
        self.demand = self.demand * (-quiet_s).exp() + 1.0;
        self.asked_at = now;
    }

    fn drop_expired(&mut self, now: Moment) {
        while self.units.front().is_some_and(|unit| now >= unit.expires_at) {
            self.units.pop_front();
        }
        self.outstanding.retain(|outstanding| now.since(outstanding.at) < GRANT_VALIDITY);
    }

    /// Returns the units to ask for now: those that operations wait for and those in advance.
    fn due_units(&mut self, now: Moment) -> Option<(u32, u32)> {
        self.drop_expired(now);
        if now < self.empty_until {
            return None;
        }
        let pending = self.outstanding.iter().filter(|o| now.since(o.at) < REPEAT_INTERVAL);
        let (pending_needed, pending_spare) =
            pending.fold((0, 0), |(needed, spare), o| (needed + o.needed, spare + o.spare));
        let needed = count(self.waiting.len()).saturating_sub(pending_needed);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let target = (self.demand * DEMAND_AHEAD.as_secs_f64()) as u32;
        let held = count(self.units.len()) + pending_spare;
        // Asking for single units in advance would cost a message for each operation.
        let spare = if held <= target / 2 { target - held } else { 0 };
        (needed > 0 || spare > 0).then_some((needed, spare))
    }
}

/// The units that an entry holds, by organisation, and the operations that wait for units.
#[derive(Debug)]
pub struct Grants<Id> {
    organisations: HashMap<Arc<str>, Organisation<Id>>,
    /// Organisations for which units may have to be requested.
    changed: BTreeSet<Arc<str>>,
    /// Organisations whose operations may be waiting.
    waiting: BTreeSet<Arc<str>>,
    swept_at: Moment,
    last_request: u64,
}

impl<Id> Default for Grants<Id> {
    fn default() -> Self {
        Self {
            organisations: HashMap::new(),
            changed: BTreeSet::new(),
            waiting: BTreeSet::new(),
            swept_at: Moment::default(),
            last_request: 0,
        }
    }
}

impl<Id> Grants<Id>
where
    Id: Copy + PartialEq,
{
    /// Takes a unit for an operation, or lets it wait until units are granted.
    pub fn take(&mut self, organisation: &Arc<str>, limit: Limit, id: Id, now: Moment) -> Take {
        if !self.organisations.contains_key(organisation) {
            self.organisations.insert(Arc::clone(organisation), Organisation::new(limit, now));
        }
        let held = self.organisations.get_mut(organisation).expect("the entry was inserted above");
        held.limit = limit;
        held.note_demand(now);
        held.drop_expired(now);
        self.changed.insert(Arc::clone(organisation));
        if held.waiting.is_empty()
            && let Some(unit) = held.units.pop_front()
        {
            return Take::Taken(unit);
        }
        if now < held.empty_until {
            return Take::Refused(Shortage::Empty(held.empty_until.since(now)));
        }
        held.waiting.push_back((id, now + MAX_WAIT));
        self.waiting.insert(Arc::clone(organisation));
        Take::Waiting
    }

    /// Removes an operation that waits, because its caller has left.
    pub fn cancel(&mut self, id: Id) {
        for organisation in &self.waiting {
            if let Some(held) = self.organisations.get_mut(organisation) {
                held.waiting.retain(|(waiting, _)| *waiting != id);
            }
        }
    }

    /// Returns the unit of an operation that was refused before it was sent to a server.
    pub fn give_back(&mut self, organisation: &str, unit: Unit, now: Moment) {
        if let Some(held) = self.organisations.get_mut(organisation)
            && now < unit.expires_at
        {
            let index = held.units.partition_point(|other| other.expires_at <= unit.expires_at);
            held.units.insert(index, unit);
        }
    }

    /// Returns the requests that are due, with their organisations' limits.
    pub fn take_requests(&mut self, now: Moment) -> Vec<QuotaWant> {
        let mut wants = Vec::new();
        for organisation in std::mem::take(&mut self.changed) {
            let Some(held) = self.organisations.get_mut(&organisation) else {
                continue;
            };
            let Some((needed, spare)) = held.due_units(now) else {
                continue;
            };
            self.last_request += 1;
            let request = self.last_request;
            held.outstanding.push(Outstanding { request, needed, spare, at: now });
            let Limit { operations_per_s, burst } = held.limit;
            wants.push(QuotaWant { organisation, request, needed, spare, operations_per_s, burst });
        }
        wants
    }

    /// Applies an allocator's answer. Returns the operations that have a unit now, and those
    /// that are refused because there are no units.
    pub fn apply(&mut self, granted: &GrantedUnits, now: Moment) -> Vec<Outcome<Id>> {
        let Some(held) = self.organisations.get_mut(&granted.organisation) else {
            return Vec::new();
        };
        held.drop_expired(now);
        let known = held.outstanding.iter().position(|o| o.request == granted.request);
        let Some(outstanding) = known.map(|index| held.outstanding.swap_remove(index)) else {
            return Vec::new();
        };
        let unit = Unit { expires_at: outstanding.at + GRANT_VALIDITY };
        // More than was asked for can only be an error of the sender.
        let units = granted.units.min(outstanding.needed.saturating_add(outstanding.spare));
        let index = held.units.partition_point(|other| other.expires_at <= unit.expires_at);
        for _ in 0..units {
            held.units.insert(index, unit);
        }
        let mut outcomes = Vec::new();
        while !held.waiting.is_empty() && !held.units.is_empty() {
            if let (Some((id, _)), Some(unit)) = (held.waiting.pop_front(), held.units.pop_front())
            {
                outcomes.push((id, Ok(unit)));
            }
        }
        let Some(retry_after_ms) = granted.retry_after_ms else {
            return outcomes;
        };
        let retry_after = Duration::from_millis(retry_after_ms);
        held.empty_until = now + retry_after;
        let refused = held.waiting.drain(..);
        outcomes.extend(refused.map(|(id, _)| (id, Err(Shortage::Empty(retry_after)))));
        outcomes
    }

    /// Forgets until when allocators have no units, because the limits have changed.
    pub fn limits_changed(&mut self) {
        for held in self.organisations.values_mut() {
            held.empty_until = Moment::default();
        }
    }

    /// Returns the operations that have waited too long, marks requests without an answer to
    /// be repeated, and forgets organisations without operations.
    pub fn tick(&mut self, now: Moment) -> Vec<(Id, Shortage)> {
        let mut refused = Vec::new();
        for organisation in std::mem::take(&mut self.waiting) {
            let Some(held) = self.organisations.get_mut(&organisation) else {
                continue;
            };
            while let Some((id, _)) = held.waiting.front().filter(|(_, until)| now >= *until) {
                refused.push((*id, Shortage::NoAnswer));
                held.waiting.pop_front();
            }
            if !held.waiting.is_empty() {
                self.changed.insert(Arc::clone(&organisation));
                self.waiting.insert(organisation);
            }
        }
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.organisations
                .retain(|_, held| !held.waiting.is_empty() || now.since(held.asked_at) < RETENTION);
        }
        refused
    }

    /// Returns how many organisations are remembered.
    pub fn len(&self) -> usize {
        self.organisations.len()
    }

    /// Returns whether no organisations are remembered.
    pub fn is_empty(&self) -> bool {
        self.organisations.is_empty()
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
