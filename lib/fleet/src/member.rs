//! Member records: the information about one instance that the fleet shares.

use std::cmp::Ordering;
use std::net::SocketAddr;

use derive_more::Display;
use masticreel_base::ids::{FailureDomain, Incarnation, InstanceId, Revision};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Whether an instance is considered alive.
///
/// Among records of one incarnation, the greater state takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display(rename_all = "lowercase")]
pub enum MemberState {
    /// The instance responds.
    Alive,
    /// The instance did not respond to another's probe; it can still refute this.
    Suspect,
    /// The instance did not refute the suspicion in time.
    Dead,
    /// The instance announced that it is stopping.
    Left,
}

/// The member record of an instance, as instances exchange it.
///
/// Records form a join semilattice under [`Member::merge`], so they may arrive
/// in any order and more than once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The instance's name.
    pub id: InstanceId,
    /// Address for datagrams and, at the same port number, TCP links.
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    pub failure_domain: FailureDomain,
    /// Increased only by the instance itself, when it starts and to refute a
    /// suspicion.
    pub incarnation: Incarnation,
    /// Whether it is considered alive.
    pub state: MemberState,
    /// Increased only by the instance itself, when the fields below change.
    pub version: u64,
    /// Whether it is handing over its work and takes no new ownership; independent
    /// of [`MemberState::Left`], and can be reset.
    pub leaving: bool,
    /// The document revision that is active there.
    pub revision: Revision,
}

/// What a merge changed in a member record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// The record is unchanged.
    Nothing,
    /// Only `version` is newer, and `revision` may have changed with it; routing
    /// depends on neither.
    Revision,
    /// The change may affect where requests are sent.
    Routing,
}

impl Member {
    /// Returns whether requests may be sent there.
    pub fn is_routable(&self) -> bool {
        self.state == MemberState::Alive && !self.leaving
    }

    /// Returns whether it may still respond, so that it is worth probing.
    pub fn is_live(&self) -> bool {
        self.state <= MemberState::Suspect
    }

    /// Returns a hash of what affects routing, or 0 if the instance is dead or
    /// has left.
    pub fn digest(&self) -> u64 {
        if !self.is_live() {
            return 0;
        }
        let flags = u64::from(self.leaving) * 2 + u64::from(self.state == MemberState::Suspect);
        let seed = self.incarnation.0.wrapping_mul(4).wrapping_add(flags);
        xxh3_64_with_seed(self.id.as_str().as_bytes(), seed)
    }

    /// Merges another record of the same instance; what is newer wins.
    pub fn merge(&mut self, other: &Member) -> Change {
        match other.incarnation.cmp(&self.incarnation) {
            Ordering::Less => Change::Nothing,
            Ordering::Greater => self.replace(other),
            Ordering::Equal => self.merge_same_incarnation(other),
        }
    }

    fn replace(&mut self, other: &Member) -> Change {
        *self = other.clone();
        Change::Routing
    }

    fn merge_same_incarnation(&mut self, other: &Member) -> Change {
        let mut change = Change::Nothing;
        if other.version > self.version {
            change = if other.leaving == self.leaving { Change::Revision } else { Change::Routing };
            self.version = other.version;
            self.leaving = other.leaving;
            self.revision = other.revision;
        }
        if other.state > self.state {
            self.state = other.state;
            change = Change::Routing;
        }
        change
    }
}
