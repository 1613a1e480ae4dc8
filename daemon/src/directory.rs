//! The owners of upstream servers.
//!
//! See `docs/design/02-ownership.md`.

use std::net::SocketAddr;

use masticreel_document::groups::ServerSpec;

/// A possible owner of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OwnerLocation {
    /// This instance.
    Local,
    /// Another instance, which accepts links at this address.
    Remote(SocketAddr),
}

impl OwnerLocation {
    /// Returns the address of the owner if it is another instance.
    pub fn peer(self) -> Option<SocketAddr> {
        match self {
            Self::Local => None,
            Self::Remote(peer) => Some(peer),
        }
    }
}

/// Determines the owners of servers. The preferred one owns the server; the others are
/// used if it can't be reached or refuses.
pub trait OwnerDirectory: Clone + Send + Sync + 'static {
    /// Returns the possible owners of a server, the preferred one first.
    fn owners(&self, server: &ServerSpec) -> Vec<OwnerLocation>;
}
