//! Instances that ask others about the store, and those that answer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use masticreel_base::ids::InstanceId;
use mio::Token;
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use super::{Entry, EventLoop, StoreUse, Use};
use crate::event_loop::socket::Socket;
use crate::frames;
use crate::mirror::watchers;
use crate::moment::{Moment, SteadyClock};
use crate::protocol::Platform;
use crate::records::StoreCall;
use crate::relays::RelayCall;

/// How long a follower asks the store itself after another instance failed it.
const FAILURE_REST: Duration = Duration::from_secs(3);

/// The instance that this one asks about the store.
#[derive(Debug, Default)]
pub(super) struct Followed {
    instance: Option<InstanceId>,
    rests_until: Moment,
    failures: usize,
}

/// Failures in a row after which the store is not called directly for a while.
const DIRECT_FAILURES: u32 = 2;
/// How long the store is then called through others only.
const DIRECT_REST: Duration = Duration::from_secs(2);

/// Whether the store answers this instance.
#[derive(Debug, Default)]
pub(super) struct DirectHealth {
    failures: u32,
    rests_until: Moment,
}

impl DirectHealth {
    /// Notes how a call of the store itself ended.
    pub(super) fn note(&mut self, is_answered: bool, now: Moment) {
        self.failures = if is_answered { 0 } else { self.failures + 1 };
        if self.failures >= DIRECT_FAILURES {
            self.rests_until = now + DIRECT_REST;
        }
    }

    fn is_resting(&self, now: Moment) -> bool {
        now < self.rests_until
    }
}

/// What another instance asks of this one.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum InstanceCall {
    /// A call of the store, or about it.
    Store(StoreCall),
    /// Work for a server whose connections this instance owns.
    Relay(RelayCall),
}

/// A follower's call that waits for news.
#[derive(Debug)]
pub(super) struct HeldCall {
    asked: StoreCall,
    since: Moment,
    until: Moment,
}

impl Followed {
    /// Notes that the instance did not answer.
    pub(super) fn failed(&mut self, now: Moment) {
        self.rests_until = now + FAILURE_REST;
        self.failures += 1;
    }
}

impl<Spoken, Clock> EventLoop<'_, Spoken, Clock>
where
    Spoken: Platform,
    Clock: SteadyClock,
{
    /// Returns where to ask about the store, none for the store itself.
    pub(super) fn followed_address(&mut self) -> Option<SocketAddr> {
        if self.link.is_complete() && self.direct.is_resting(self.now) {
            return self.forwarding_address();
        }
        if !self.link.is_complete()
            || self.now < self.followed.rests_until
            || self.link.is_stale(&self.view, self.now)
        {
            return None;
        }
        let watchers = watchers(&self.view, &self.settings.domain);
        if watchers.is_empty() || watchers.contains(&self.settings.instance) {
            return None;
        }
        let chosen = watchers[self.followed.failures % watchers.len()].clone();
        let address = self.followers_address(&chosen)?;
        if self.followed.instance.as_ref() != Some(&chosen) {
            info!(self.log, "follows another instance"; "instance_followed" => %chosen);
            self.followed.instance = Some(chosen);
        }
        Some(address)
    }

    /// Returns another instance that calls the store for this one, while the
    /// store turns this one away.
    pub(super) fn forwarding_address(&self) -> Option<SocketAddr> {
        if !self.direct.is_resting(self.now) {
            return None;
        }
        let others: Vec<&InstanceId> =
            self.view.live().filter(|other| **other != self.settings.instance).collect();
        if others.is_empty() {
            return None;
        }
        let chosen =
            others[(self.followed.failures + self.settings.instance.as_str().len()) % others.len()];
        self.followers_address(chosen)
    }

    /// Returns where an instance is asked about the store.
    pub(super) fn followers_address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let address = self.view.address_of(instance)?;
        // The port of an instance's followers is the one after its datagrams'.
        let offset = self.settings.followers.port().wrapping_sub(self.settings.peers.port());
        Some(SocketAddr::new(address.ip(), address.port().wrapping_add(offset)))
    }

    pub(super) fn accept_followers(&mut self) {
        loop {
            match self.followers_listener.accept() {
                Ok((stream, _)) => {
                    let token = self.new_token();
                    match Socket::accepted(stream, self.poll.registry(), token) {
                        Ok(socket) => {
                            let used_for = Use::Follower { call: None };
                            let entry = Entry { socket, used_for, deadline: None };
                            self.entries.insert(token, entry);
                        }
                        Err(error) => warn!(self.log, "follower not accepted"; "error" => %error),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    warn!(self.log, "follower not accepted"; "error" => %error);
                    return;
                }
            }
        }
    }

    pub(super) fn read_follower(&mut self, token: Token) {
        while let Some(entry) = self.entries.get_mut(&token) {
            match frames::decode::<InstanceCall>(&mut entry.socket.input) {
                Ok(None) => return,
                Ok(Some(InstanceCall::Store(call))) => self.follower_called(token, call),
                Ok(Some(InstanceCall::Relay(call))) => self.relay_called(token, call),
                Err(error) => {
                    warn!(self.log, "another instance's call can't be read";
                        "reason" => error.reason);
                    self.ended(token, false);
                    return;
                }
            }
        }
    }

    fn follower_called(&mut self, token: Token, asked: StoreCall) {
        let Some(Entry { used_for: Use::Follower { call }, .. }) = self.entries.get_mut(&token)
        else {
            return;
        };
        match asked {
            asked @ (StoreCall::Commit { .. }
            | StoreCall::Grant { .. }
            | StoreCall::Renew { .. }) => {
                self.start_call(StoreUse::Forwarded(token), asked, None);
            }
            asked => {
                let wait = match &asked {
                    StoreCall::Watch { wait, .. } => *wait,
                    _ => Duration::ZERO,
                };
                *call = Some(HeldCall { asked, since: self.now, until: self.now + wait });
            }
        }
    }

    /// Answers the followers for which there is news, or whose time is over.
    pub(super) fn answer_followers(&mut self) {
        for (token, entry) in &mut self.entries {
            let Use::Follower { call } = &mut entry.used_for else {
                continue;
            };
            let Some(HeldCall { asked, since, until }) = call else {
                continue;
            };
            let may_wait = self.now < *until;
            let held = self.now.since(*since);
            let answer = self.mirror.answer(asked, &self.view, self.now, held, may_wait);
            if let Some(answer) = answer {
                frames::encode(&answer, &mut entry.socket.output);
                *call = None;
                self.dirty.insert(*token);
            }
        }
    }
}
