//! A simulated network of instances in memory, with seeded loss and delay.
//!
//! [`Network`] delivers ticks, datagrams and documents to the [`Fleet`] of each
//! [`SimulatedInstance`] in simulated time and performs the actions that it returns.
#![allow(dead_code, reason = "each test file uses a part")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticreel_base::ids::{Incarnation, InstanceId, Revision};
use masticreel_fleet::codec::{SharedKey, encode};
use masticreel_fleet::dissemination;
use masticreel_fleet::fleet::{Action, Event, Fleet};
use masticreel_fleet::member::{Member, MemberState};
use masticreel_fleet::membership::{self, TICK_INTERVAL};
use masticreel_fleet::message::Message;
use masticreel_fleet::replay::Stamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DOMAINS: usize = 4;
const FETCH_DURATION: Duration = Duration::from_millis(20);
const STORE_READ_DURATION: Duration = Duration::from_millis(5);
const POLL_INTERVAL: Duration = Duration::from_millis(500);
const IP_UDP_HEADER_BYTES: usize = 28;

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7000))
}

pub fn id(index: usize) -> InstanceId {
    InstanceId::from(format!("instance-{index}"))
}

pub fn member(index: usize) -> Member {
    Member {
        id: id(index),
        address: address(index),
        failure_domain: format!("region-{}", index % DOMAINS).into(),
        incarnation: Incarnation(1_000),
        state: MemberState::Alive,
        version: 0,
        leaving: false,
        revision: Revision(0),
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Delivery {
    at: Instant,
    arrival_id: u64,
    to: usize,
}

enum Arrival {
    Tick,
    Datagram(Box<Message>),
    Document(Revision),
    FetchFailed,
}

pub struct SimulatedInstance {
    pub fleet: Fleet,
    pub is_running: bool,
    pub is_frozen: bool,
    deferred_arrivals: Vec<u64>,
    pub sent_bytes: usize,
    pub largest_datagram: usize,
}

pub struct Network {
    pub instances: Vec<SimulatedInstance>,
    pub now: Instant,
    pub loss: f64,
    /// The document's revision in the store, 0 if it holds none; `None` while the
    /// store is down.
    pub store: Option<Revision>,
    pub store_reads: usize,
    pub is_partitioned: fn(usize, usize) -> bool,
    by_address: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<Delivery>>,
    arrivals: BTreeMap<u64, Arrival>,
    last_arrival_id: u64,
    random: ChaCha8Rng,
    key: SharedKey,
}

impl Network {
    /// Starts instances whose candidates are the first three instances only.
    pub fn new(size: usize, loss: f64, seed: u64) -> Self {
        let mut network = Self {
            instances: Vec::new(),
            now: Instant::now(),
            loss,
            store: Some(Revision(0)),
            store_reads: 0,
            is_partitioned: |_, _| false,
            by_address: (0..size).map(|index| (address(index), index)).collect(),
            queue: BinaryHeap::new(),
            arrivals: BTreeMap::new(),
            last_arrival_id: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            key: SharedKey::new("a secret of the tests"),
        };
        for index in 0..size {
            network.instances.push(start(member(index)));
            let offset = network.random.random_range(0..TICK_INTERVAL.as_millis() as u64);
            network.schedule(index, Duration::from_millis(offset), Arrival::Tick);
        }
        network
    }

    /// Replaces a stopped instance by a new process with the same name and the next
    /// incarnation.
    pub fn restart(&mut self, index: usize) {
        let mut own = member(index);
        own.incarnation =
            Incarnation(self.instances[index].fleet.membership().own().incarnation.0 + 1);
        self.instances[index] = start(own);
        self.schedule(index, Duration::ZERO, Arrival::Tick);
    }

    pub fn thaw(&mut self, index: usize) {
        self.instances[index].is_frozen = false;
        for arrival_id in std::mem::take(&mut self.instances[index].deferred_arrivals) {
            self.queue.push(Reverse(Delivery { at: self.now, arrival_id, to: index }));
        }
    }

    pub fn run(&mut self, duration: Duration) {
        self.run_until(duration, |_| false);
    }

    /// Runs until the condition holds, checked every 10 ms of simulated time, and
    /// returns the time that passed, or `None` at the limit.
    pub fn run_until<Condition>(
        &mut self,
        limit: Duration,
        mut condition: Condition,
    ) -> Option<Duration>
    where
        Condition: FnMut(&Self) -> bool,
    {
        let start = self.now;
        while self.now < start + limit {
            if condition(self) {
                return Some(self.now - start);
            }
            self.now += Duration::from_millis(10);
            while self.queue.peek().is_some_and(|Reverse(delivery)| delivery.at <= self.now) {
                let Reverse(delivery) = self.queue.pop().expect("queue is not empty");
                self.deliver(delivery);
            }
        }
        condition(self).then_some(limit)
    }

    pub fn event(&mut self, index: usize, event: Event) {
        let now = self.now;
        let actions = self.instances[index].fleet.handle(event, now, &mut self.random);
        for action in actions {
            self.perform(index, action);
        }
    }

    pub fn membership_event(&mut self, index: usize, event: membership::Event) {
        self.event(index, Event::Membership(event));
    }

    fn schedule(&mut self, to: usize, after: Duration, arrival: Arrival) {
        self.last_arrival_id += 1;
        self.arrivals.insert(self.last_arrival_id, arrival);
        self.queue.push(Reverse(Delivery {
            at: self.now + after,
            arrival_id: self.last_arrival_id,
            to,
        }));
    }

    fn deliver(&mut self, delivery: Delivery) {
        if self.instances[delivery.to].is_frozen {
            self.instances[delivery.to].deferred_arrivals.push(delivery.arrival_id);
            return;
        }
        let arrival =
            self.arrivals.remove(&delivery.arrival_id).expect("each delivery has one arrival");
        if !self.instances[delivery.to].is_running {
            return;
        }
        match arrival {
            Arrival::Tick => {
                self.membership_event(delivery.to, membership::Event::Tick);
                self.schedule(delivery.to, TICK_INTERVAL, Arrival::Tick);
            }
            Arrival::Datagram(message) => {
                self.membership_event(delivery.to, membership::Event::Received(*message));
            }
            Arrival::Document(revision) => self.event(delivery.to, Event::DocumentActive(revision)),
            Arrival::FetchFailed => self.event(delivery.to, Event::FetchFailed),
        }
    }

    fn perform(&mut self, from: usize, action: Action) {
        match action {
            Action::Send(outgoing) => self.send(from, outgoing.to, outgoing.message),
            Action::Document(dissemination::Action::ReadStore) => self.read_store(from),
            Action::Document(dissemination::Action::Fetch { address, .. }) => {
                self.fetch(from, address);
            }
            Action::PrimaryChanged(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let stamp = Stamp { life: 1_000_000_000_000, counter: self.last_arrival_id };
        let bytes =
            encode(&message, stamp, to, &self.key).expect("message fits into a datagram").len();
        self.instances[from].sent_bytes += bytes + IP_UDP_HEADER_BYTES;
        self.instances[from].largest_datagram = self.instances[from].largest_datagram.max(bytes);
        let Some(to) = self.by_address.get(&to).copied() else {
            return;
        };
        if self.random.random_bool(self.loss) || (self.is_partitioned)(from, to) {
            return;
        }
        let delay = Duration::from_micros(self.random.random_range(500..3_000));
        self.schedule(to, delay, Arrival::Datagram(Box::new(message)));
    }

    fn read_store(&mut self, from: usize) {
        self.store_reads += 1;
        if let Some(revision) = self.store.filter(|revision| *revision > Revision(0)) {
            self.schedule(from, STORE_READ_DURATION, Arrival::Document(revision));
        }
    }

    fn fetch(&mut self, from: usize, peer: SocketAddr) {
        let peer = self.by_address[&peer];
        let is_answering = self.instances[peer].is_running && !self.instances[peer].is_frozen;
        if (self.is_partitioned)(from, peer) || !is_answering {
            self.schedule(from, Duration::from_secs(1), Arrival::FetchFailed);
            return;
        }
        let revision = self.instances[peer].fleet.dissemination().applied();
        self.schedule(from, FETCH_DURATION, Arrival::Document(revision));
    }
}

fn start(own: Member) -> SimulatedInstance {
    let mut fleet = Fleet::new(own, POLL_INTERVAL);
    let candidates = membership::Event::Candidates((0..3).map(address).collect());
    let mut random = ChaCha8Rng::seed_from_u64(0);
    fleet.handle(Event::Membership(candidates), Instant::now(), &mut random);
    SimulatedInstance {
        fleet,
        is_running: true,
        is_frozen: false,
        deferred_arrivals: Vec::new(),
        sent_bytes: 0,
        largest_datagram: 0,
    }
}

impl Network {
    /// Returns whether each of these instances routes to exactly these instances.
    pub fn agree_on_routable(&self, routable: &[usize]) -> bool {
        let mut expected: Vec<InstanceId> = routable.iter().map(|index| id(*index)).collect();
        expected.sort();
        routable.iter().all(|index| {
            let membership = self.instances[*index].fleet.membership();
            let mut seen: Vec<InstanceId> =
                membership.routable().map(|member| member.id.clone()).collect();
            seen.sort();
            seen == expected
        })
    }

    /// Returns whether none of the given instances routes to this one.
    pub fn is_routed_around(&self, victim: usize, by: &[usize]) -> bool {
        let victim = id(victim);
        by.iter().all(|index| {
            let membership = self.instances[*index].fleet.membership();
            membership.roster().get(&victim).is_none_or(|member| !member.is_routable())
        })
    }

    /// Returns on how many instances a revision or a newer one is active.
    pub fn applied(&self, revision: Revision) -> usize {
        self.instances
            .iter()
            .filter(|instance| instance.fleet.dissemination().applied() >= revision)
            .count()
    }
}
