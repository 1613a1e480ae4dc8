//! Instances that ask others about the store, and those that answer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use masticreel_base::ids::InstanceId;
use mio::Token;
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::{info, warn};

use super::{Entry, EventLoop, StoreUse, Use};
use crate::event_loop::socket::Socket;
use crate::mirror::watchers;
use crate::moment::{Moment, SteadyClock};
use crate::protocol::{Platform, ProtocolError};
use crate::records::StoreCall;

/// The longest message between two instances; a full list of a large fleet.
const MESSAGE_LIMIT_BYTES: usize = 8 << 20;
/// Bytes that state the length of a message.
const LENGTH_BYTES: usize = 4;
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
    fn followers_address(&self, instance: &InstanceId) -> Option<SocketAddr> {
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
        let Some(Entry { socket, used_for: Use::Follower { call }, .. }) =
            self.entries.get_mut(&token)
        else {
            return;
        };
        match decode::<StoreCall>(&mut socket.input) {
            Ok(None) => {}
            Ok(Some(
                asked @ (StoreCall::Commit { .. }
                | StoreCall::Grant { .. }
                | StoreCall::Renew { .. }),
            )) => self.start_call(StoreUse::Forwarded(token), asked, None),
            Ok(Some(asked)) => {
                let wait = match &asked {
                    StoreCall::Watch { wait, .. } => *wait,
                    _ => Duration::ZERO,
                };
                *call = Some(HeldCall { asked, since: self.now, until: self.now + wait });
            }
            Err(error) => {
                warn!(self.log, "follower's message can't be read"; "reason" => error.reason);
                self.close(token);
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
                encode(&answer, &mut entry.socket.output);
                *call = None;
                self.dirty.insert(*token);
            }
        }
    }
}

/// Appends a message.
pub(super) fn encode<T>(message: &T, output: &mut Vec<u8>)
where
    T: Serialize,
{
    let body = postcard::to_stdvec(message).expect("a message is made of plain values");
    let length = u32::try_from(body.len()).expect("a message is shorter than 4 GiB");
    output.extend_from_slice(&length.to_be_bytes());
    output.extend_from_slice(&body);
}

/// Takes a message off the front of the input, if it is whole.
pub(super) fn decode<T>(input: &mut Vec<u8>) -> Result<Option<T>, ProtocolError>
where
    T: DeserializeOwned,
{
    let Some(length) = input.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_be_bytes(*length)).unwrap_or(usize::MAX);
    if length > MESSAGE_LIMIT_BYTES {
        return Err(ProtocolError::too_large("the message is too long"));
    }
    let end = LENGTH_BYTES + length;
    if input.len() < end {
        return Ok(None);
    }
    let message = postcard::from_bytes(&input[LENGTH_BYTES..end])
        .map_err(|_| ProtocolError::malformed("the message can't be read"))?;
    input.drain(..end);
    Ok(Some(message))
}
