//! The steps of a probe, from the first ping to the verdict.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticreel_base::ids::InstanceId;

use crate::message::Sequence;

const RANDOM_INTERVAL: Duration = Duration::from_secs(1);
const RING_INTERVAL: Duration = Duration::from_millis(500);

/// How many successors on the ring an instance probes.
pub(super) const RING_TARGETS: usize = 3;

const STEP_INTERVAL: Duration = Duration::from_millis(100);
const DIRECT_STEPS: u32 = 1;
const LAST_STEP: u32 = 6;
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);

/// Whom a probe is addressed to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Target {
    /// A known instance, which is suspected when it stays silent.
    Member(InstanceId),
    /// An address from a list, from whose silence nothing follows.
    Address(SocketAddr),
}

/// What a probe needs next.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Another ping, as the first may be lost.
    Repeat { sequence: Sequence, target: Target },
    /// Another ping, and pings by others.
    AskHelpers { sequence: Sequence, target: Target },
    /// Nothing more: the instance is silent.
    TimedOut { target: InstanceId },
}

/// Where the answer to a relayed ping goes.
#[derive(Debug)]
pub(super) struct RelayOrigin {
    pub(super) address: SocketAddr,
    pub(super) sequence: Sequence,
    expires: Instant,
}

#[derive(Debug)]
struct Probe {
    target: Target,
    started: Instant,
    step: u32,
}

/// Probes under way and the times of the next ones.
#[derive(Debug, Default)]
pub(super) struct Prober {
    last_sequence: u64,
    probes: BTreeMap<Sequence, Probe>,
    relays: BTreeMap<Sequence, RelayOrigin>,
    next_random: Option<Instant>,
    next_ring: Option<Instant>,
}

impl Prober {
    /// Starts a probe unless one of the same target is under way.
    pub(super) fn start(&mut self, target: Target, now: Instant) -> Option<Sequence> {
        if self.probes.values().any(|probe| probe.target == target) {
            return None;
        }
        let sequence = self.next_sequence();
        self.probes.insert(sequence, Probe { target, started: now, step: 0 });
        Some(sequence)
    }

    /// Ends a probe that was answered.
    pub(super) fn finish(&mut self, sequence: Sequence) -> Option<Target> {
        self.probes.remove(&sequence).map(|probe| probe.target)
    }

    /// Ends the probes of an instance that was heard otherwise.
    pub(super) fn cancel_probes_of(&mut self, id: &InstanceId) {
        self.probes
            .retain(|_, probe| !matches!(&probe.target, Target::Member(target) if target == id));
    }

    /// Returns whether an instance has missed more than one ping.
    pub(super) fn is_overdue(&self, id: &InstanceId) -> bool {
        self.probes.values().any(|probe| {
            probe.step > DIRECT_STEPS
                && matches!(&probe.target, Target::Member(target) if target == id)
        })
    }

    /// Ends all probes without a verdict.
    pub(super) fn clear(&mut self) {
        self.probes.clear();
    }

    /// Notes whom to tell when the relayed ping is answered.
    pub(super) fn relay(
        &mut self,
        address: SocketAddr,
        sequence: Sequence,
        now: Instant,
    ) -> Sequence {
        self.relays.retain(|_, origin| origin.expires > now);
        let relayed = self.next_sequence();
        self.relays
            .insert(relayed, RelayOrigin { address, sequence, expires: now + RELAY_TIMEOUT });
        relayed
    }

    /// Returns whom to tell about an answer to a relayed ping.
    pub(super) fn take_relay(&mut self, sequence: Sequence) -> Option<RelayOrigin> {
        self.relays.remove(&sequence)
    }

    /// Takes the steps that are due.
    pub(super) fn advance(&mut self, now: Instant) -> Vec<Progress> {
        let mut progress = Vec::new();
        for (sequence, probe) in &mut self.probes {
            if now.saturating_duration_since(probe.started) >= STEP_INTERVAL * (probe.step + 1) {
                probe.step += 1;
                progress.extend(probe.next(*sequence));
            }
        }
        self.probes.retain(|_, probe| probe.step < LAST_STEP);
        progress
    }

    /// Returns whether a random probe is due and plans the next.
    pub(super) fn is_random_due(&mut self, now: Instant) -> bool {
        is_due(&mut self.next_random, RANDOM_INTERVAL, now)
    }

    /// Returns whether probes along the ring are due and plans the next.
    pub(super) fn is_ring_due(&mut self, now: Instant) -> bool {
        is_due(&mut self.next_ring, RING_INTERVAL, now)
    }

    /// Makes the probes along the ring due now.
    pub(super) fn schedule_ring_now(&mut self) {
        self.next_ring = None;
    }

    fn next_sequence(&mut self) -> Sequence {
        self.last_sequence += 1;
        Sequence(self.last_sequence)
    }
}

impl Probe {
    fn next(&self, sequence: Sequence) -> Option<Progress> {
        let target = self.target.clone();
        if self.step >= LAST_STEP {
            return match target {
                Target::Member(target) => Some(Progress::TimedOut { target }),
                Target::Address(_) => None,
            };
        }
        if self.step > DIRECT_STEPS {
            return Some(Progress::AskHelpers { sequence, target });
        }
        Some(Progress::Repeat { sequence, target })
    }
}

/// Returns whether a periodic action is due and plans the next.
pub(super) fn is_due(next: &mut Option<Instant>, interval: Duration, now: Instant) -> bool {
    if next.is_some_and(|next| now < next) {
        return false;
    }
    *next = Some(now + interval);
    true
}
