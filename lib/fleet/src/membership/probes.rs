//! The steps of a probe, from the first ping to the suspicion.
//!
//! A probe pings its target and pings it again at each step that passes without
//! an ack, from the second step on also through other instances. At the last
//! step it times out.
//!
//! The prober also holds the pings that it relays for other instances, and the
//! times of the next random probe and of the next probes of the ring's successors.

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
/// Up to this step, pings go only to the target itself.
const DIRECT_STEPS: u32 = 1;
/// At this step the probe times out.
const LAST_STEP: u32 = 6;
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);

/// The target of a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Target {
    /// A known instance, suspected when the probe times out.
    Member(InstanceId),
    /// An address at which no live instance is known; a timeout of its probe has no
    /// consequence.
    Address(SocketAddr),
}

/// The next action that a probe requires.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Ping again, as the first ping may have been lost.
    Retry { sequence: Sequence, target: Target },
    /// Ping again, and request pings from other instances.
    PingIndirectly { sequence: Sequence, target: Target },
    /// No further ping: the target has not responded in time.
    TimedOut { target: InstanceId },
}

/// The instance that requested a relayed ping and awaits its ack.
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

    /// Ends a probe that was acknowledged and returns its target.
    pub(super) fn finish(&mut self, sequence: Sequence) -> Option<Target> {
        self.probes.remove(&sequence).map(|probe| probe.target)
    }

    /// Cancels the probes of an instance that is known otherwise to respond.
    pub(super) fn cancel_probes_of(&mut self, id: &InstanceId) {
        self.probes
            .retain(|_, probe| !matches!(&probe.target, Target::Member(target) if target == id));
    }

    /// Returns whether an instance has left more than one ping unanswered.
    pub(super) fn has_unanswered_pings(&self, id: &InstanceId) -> bool {
        self.probes.values().any(|probe| {
            probe.step > DIRECT_STEPS
                && matches!(&probe.target, Target::Member(target) if target == id)
        })
    }

    /// Cancels all probes without a result.
    pub(super) fn clear(&mut self) {
        self.probes.clear();
    }

    /// Registers a relayed ping and returns its sequence number.
    pub(super) fn register_relay(
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

    /// Returns and removes the origin of a relayed ping that was acknowledged.
    pub(super) fn take_relay(&mut self, sequence: Sequence) -> Option<RelayOrigin> {
        self.relays.remove(&sequence)
    }

    /// Advances the probes whose next step is due.
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

    /// Returns whether a random probe is due and, if so, schedules the next.
    pub(super) fn is_random_due(&mut self, now: Instant) -> bool {
        is_due(&mut self.next_random, RANDOM_INTERVAL, now)
    }

    /// Returns whether ring probes are due and, if so, schedules the next.
    pub(super) fn is_ring_due(&mut self, now: Instant) -> bool {
        is_due(&mut self.next_ring, RING_INTERVAL, now)
    }

    /// Makes the ring probes due at once.
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
            return Some(Progress::PingIndirectly { sequence, target });
        }
        Some(Progress::Retry { sequence, target })
    }
}

/// Returns whether a periodic action is due and, if so, schedules the next.
pub(super) fn is_due(next: &mut Option<Instant>, interval: Duration, now: Instant) -> bool {
    if next.is_some_and(|next| now < next) {
        return false;
    }
    *next = Some(now + interval);
    true
}
