//! Which probes an instance sends, and what follows from silence.

use std::time::Instant;

use masticreel_base::ids::InstanceId;
use rand::Rng;

use super::probes::{Progress, RING_TARGETS, Target};
use super::{Cargo, Membership};
use crate::member::MemberState;
use crate::message::{Body, Send, Sequence};

const PING_REQUEST_HELPERS: usize = 2;

impl Membership {
    pub(super) fn advance_probes<R>(&mut self, now: Instant, random: &mut R) -> Vec<Send>
    where
        R: Rng + ?Sized,
    {
        let mut sends = Vec::new();
        for progress in self.prober.advance(now) {
            match progress {
                Progress::Repeat { sequence, target } => {
                    sends.extend(self.ping(&target, Body::Ping(sequence), Cargo::Bare));
                }
                Progress::AskHelpers { sequence, target } => {
                    sends.extend(self.ping(&target, Body::Ping(sequence), Cargo::Bare));
                    sends.extend(self.ask_helpers(sequence, &target, random));
                }
                Progress::Silent { target } => self.judge(&target, MemberState::Suspect, now),
            }
        }
        sends
    }

    fn ask_helpers<R>(&mut self, sequence: Sequence, target: &Target, random: &mut R) -> Vec<Send>
    where
        R: Rng + ?Sized,
    {
        let Target::Member(id) = target else {
            return Vec::new();
        };
        let Some(address) = self.roster.get(id).map(|member| member.address) else {
            return Vec::new();
        };
        let helpers = self.sample(PING_REQUEST_HELPERS + 1, random);
        let body = Body::PingRequest { sequence, target: address };
        helpers
            .iter()
            .filter(|helper| helper.id != *id)
            .take(PING_REQUEST_HELPERS)
            .map(|helper| self.message_to(helper, body.clone(), Cargo::Bare))
            .collect()
    }

    pub(super) fn start_probes<R>(&mut self, now: Instant, random: &mut R) -> Vec<Send>
    where
        R: Rng + ?Sized,
    {
        let mut sends = Vec::new();
        if self.prober.is_random_due(now) {
            self.roster.forget_gone(now);
            for member in self.sample(1, random) {
                sends.extend(self.probe(&member.id, now, Cargo::Known));
            }
        }
        if self.prober.is_ring_due(now) {
            for id in self.ring_targets() {
                sends.extend(self.probe(&id, now, Cargo::Bare));
            }
        }
        sends
    }

    fn ring_targets(&self) -> Vec<InstanceId> {
        self.roster.successors(&self.own.id, RING_TARGETS, |member| {
            member.state == MemberState::Alive && !self.prober.is_overdue(&member.id)
        })
    }

    pub(super) fn doubt(&mut self, id: &InstanceId, now: Instant) -> Option<Send> {
        if self.roster.get(id)?.state != MemberState::Alive {
            return None;
        }
        self.probe(id, now, Cargo::Bare)
    }

    fn probe(&mut self, id: &InstanceId, now: Instant, cargo: Cargo) -> Option<Send> {
        let target = Target::Member(id.clone());
        let sequence = self.prober.start(target.clone(), now)?;
        self.ping(&target, Body::Ping(sequence), cargo)
    }

    fn ping(&mut self, target: &Target, body: Body, cargo: Cargo) -> Option<Send> {
        match target {
            Target::Member(id) => {
                let to = self.roster.get(id)?.clone();
                Some(self.message_to(&to, body, cargo))
            }
            Target::Address(address) => Some(self.message_at(*address, body, cargo)),
        }
    }
}
