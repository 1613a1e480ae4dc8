//! Rejects datagrams that were accepted before (replay protection).

use std::collections::BTreeMap;

use derive_more::Display;
use masticreel_base::ids::InstanceId;

/// Identifies a datagram among all that an instance has sent.
///
/// `life` is higher in each new process of an instance, so that `counter` can
/// restart at 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{life}/{counter}")]
pub struct Stamp {
    /// The incarnation with which the sending process started. Unlike the
    /// incarnation, it does not rise when the process refutes a suspicion.
    pub life: u64,
    /// The datagram's number within the process, from 1.
    pub counter: u64,
}

/// How far a counter may be behind the newest; older datagrams are refused.
const WINDOW: u64 = u128::BITS as u64;

/// Bounds the memory that a faulty peer can use.
const MAX_SENDERS: usize = 8_192;

/// Records which datagrams of each sender were accepted.
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
    /// Returns whether a stamp is accepted, and records it if so.
    ///
    /// A stamp is accepted at most once; stamps of older processes, stamps too
    /// far behind the newest and further senders beyond the limit are refused.
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
            return self.accept_new_process(stamp);
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

    fn accept_new_process(&mut self, stamp: Stamp) -> bool {
        if stamp.life < self.newest.life {
            return false;
        }
        *self = Self { newest: stamp, window: 1 };
        true
    }
}
