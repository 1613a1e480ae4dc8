//! What the fleet knows about one instance.

use std::cmp::Ordering;
use std::net::SocketAddr;

use derive_more::Display;
use masticreel_base::ids::{FailureDomain, Incarnation, InstanceId, Revision};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Whether an instance is believed to answer.
///
/// The order is the order of precedence among accounts of one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display(rename_all = "lowercase")]
pub enum MemberState {
    /// The instance answers.
    Alive,
    /// The instance did not answer someone's probes; it may still refute.
    Suspect,
    /// The instance did not refute the suspicion in time.
    Dead,
    /// The instance said that it stops.
    Left,
}

/// An account of an instance, as instances pass it on.
///
/// Accounts form a join semilattice under [`Member::merge`], so that their
/// order and repetition don't matter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The instance's name.
    pub id: InstanceId,
    /// Where it receives datagrams and, at the same port number, TCP links.
    pub address: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Raised by the instance itself, at its start and to refute a suspicion.
    pub incarnation: Incarnation,
    /// Whether it is believed to answer.
    pub state: MemberState,
    /// Raised by the instance itself when the fields below change.
    pub version: u64,
    /// Whether it hands over its work and takes no new ownership.
    pub leaving: bool,
    /// The document revision in force there.
    pub revision: Revision,
}

/// What a merge changed in an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// Nothing new was learned.
    Nothing,
    /// Only the applied revision is newer; routing is not affected.
    Revision,
    /// The account affects where requests are sent.
    Routing,
}

impl Member {
    /// Returns whether requests may be sent there.
    pub fn is_routable(&self) -> bool {
        self.state == MemberState::Alive && !self.leaving
    }

    /// Returns whether it may still answer, so that it is worth probing.
    pub fn is_live(&self) -> bool {
        self.state <= MemberState::Suspect
    }

    /// Returns a number that stands for what routing must know, 0 if it is gone.
    pub fn digest(&self) -> u64 {
        if !self.is_live() {
            return 0;
        }
        let flags = u64::from(self.leaving) * 2 + u64::from(self.state == MemberState::Suspect);
        let seed = self.incarnation.0.wrapping_mul(4).wrapping_add(flags);
        xxh3_64_with_seed(self.id.as_str().as_bytes(), seed)
    }

    /// Takes over what another account of the same instance knows better.
    pub fn merge(&mut self, other: &Member) -> Change {
        match other.incarnation.cmp(&self.incarnation) {
            Ordering::Less => Change::Nothing,
            Ordering::Greater => self.replace(other),
            Ordering::Equal => self.join(other),
        }
    }

    fn replace(&mut self, other: &Member) -> Change {
        *self = other.clone();
        Change::Routing
    }

    fn join(&mut self, other: &Member) -> Change {
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
