//! Sends probes and suspects instances whose probes time out.

use std::time::Instant;

use masticreel_base::ids::InstanceId;
use rand::Rng;

use super::probes::{Progress, RING_TARGETS, Target};
use super::{Attachments, Membership};
use crate::member::MemberState;
use crate::message::{Body, OutgoingMessage, Sequence};

const PING_REQUEST_HELPERS: usize = 2;

impl Membership {
    pub(super) fn advance_probes<R>(&mut self, now: Instant, random: &mut R) -> Vec<OutgoingMessage>
    where
        R: Rng + ?Sized,
    {
        let mut messages = Vec::new();
        for progress in self.prober.advance(now) {
            match progress {
                Progress::Retry { sequence, target } => {
                    messages.extend(self.ping(&target, Body::Ping(sequence), Attachments::Empty));
                }
                Progress::PingIndirectly { sequence, target } => {
                    messages.extend(self.ping(&target, Body::Ping(sequence), Attachments::Empty));
                    messages.extend(self.ping_indirectly(sequence, &target, random));
                }
                Progress::TimedOut { target } => self.raise(&target, MemberState::Suspect, now),
            }
        }
        messages
    }

    fn ping_indirectly<R>(
        &mut self,
        sequence: Sequence,
        target: &Target,
        random: &mut R,
    ) -> Vec<OutgoingMessage>
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
            .map(|helper| self.message_to(helper, body.clone(), Attachments::Empty))
            .collect()
    }

    pub(super) fn start_probes<R>(&mut self, now: Instant, random: &mut R) -> Vec<OutgoingMessage>
    where
        R: Rng + ?Sized,
    {
        let mut messages = Vec::new();
        if self.prober.is_random_due(now) {
            self.roster.remove_expired(now);
            for member in self.sample(1, random) {
                messages.extend(self.probe(&member.id, now, Attachments::Known));
            }
        }
        if self.prober.is_ring_due(now) {
            for id in self.ring_targets() {
                messages.extend(self.probe(&id, now, Attachments::Empty));
            }
        }
        messages
    }

    fn ring_targets(&self) -> Vec<InstanceId> {
        self.roster.successors(&self.own.id, RING_TARGETS, |member| {
            member.state == MemberState::Alive && !self.prober.has_unanswered_pings(&member.id)
        })
    }

    pub(super) fn probe_now(&mut self, id: &InstanceId, now: Instant) -> Option<OutgoingMessage> {
        if self.roster.get(id)?.state != MemberState::Alive {
            return None;
        }
        self.probe(id, now, Attachments::Empty)
    }

    fn probe(
        &mut self,
        id: &InstanceId,
        now: Instant,
        attachments: Attachments,
    ) -> Option<OutgoingMessage> {
        let target = Target::Member(id.clone());
        let sequence = self.prober.start(target.clone(), now)?;
        self.ping(&target, Body::Ping(sequence), attachments)
    }

    fn ping(
        &mut self,
        target: &Target,
        body: Body,
        attachments: Attachments,
    ) -> Option<OutgoingMessage> {
        match target {
            Target::Member(id) => {
                let to = self.roster.get(id)?.clone();
                Some(self.message_to(&to, body, attachments))
            }
            Target::Address(address) => Some(self.message_to_address(*address, body, attachments)),
        }
    }
}
