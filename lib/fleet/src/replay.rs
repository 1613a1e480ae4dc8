//! Refuses datagrams that were accepted before.

use std::collections::BTreeMap;

use derive_more::Display;
use masticreel_base::ids::InstanceId;

/// The number of a datagram among all that a process has sent.
///
/// `life` grows from one process of an instance to the next, so that a counter
/// may start anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{life}/{counter}")]
pub struct Stamp {
    /// When the process started, in milliseconds of calendar time.
    pub life: u64,
    /// The datagram's number, from 1.
    pub counter: u64,
}

/// Datagrams that may arrive out of order; older ones are refused.
const WINDOW: u64 = u128::BITS as u64;

/// Most senders kept, so that a faulty peer can't exhaust the memory.
const MAX_SENDERS: usize = 8_192;

/// Remembers which datagrams of each sender were accepted.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: BTreeMap<InstanceId, Accepted>,
}

#[derive(Debug)]
struct Accepted {
    newest: Stamp,
    /// Bit n is set if the counter `newest - n` was accepted.
    window: u128,
}

impl ReplayGuard {
    /// Accepts a stamp once; returns whether this is the first time.
    pub fn accept(&mut self, sender: &InstanceId, stamp: Stamp) -> bool {
        if let Some(accepted) = self.senders.get_mut(sender) {
            return accepted.accept(stamp);
        }
        if self.senders.len() >= MAX_SENDERS {
            return false;
        }
        self.senders.insert(sender.clone(), Accepted { newest: stamp, window: 1 });
        true
    }
}

impl Accepted {
    fn accept(&mut self, stamp: Stamp) -> bool {
        if stamp.life != self.newest.life {
            return self.accept_life(stamp);
        }
        if stamp.counter > self.newest.counter {
            let ahead = stamp.counter - self.newest.counter;
            let shifted = if ahead < WINDOW { self.window << ahead } else { 0 };
            *self = Self { newest: stamp, window: shifted | 1 };
            return true;
        }
        let behind = self.newest.counter - stamp.counter;
        if behind >= WINDOW || self.window & (1 << behind) != 0 {
            return false;
        }
        self.window |= 1 << behind;
        true
    }

    fn accept_life(&mut self, stamp: Stamp) -> bool {
        if stamp.life < self.newest.life {
            return false;
        }
        *self = Self { newest: stamp, window: 1 };
        true
    }
}
