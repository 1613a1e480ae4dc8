//! The owners of upstream servers.
//!
//! See `docs/design/02-ownership.md`.

use std::net::SocketAddr;

use masticreel_document::groups::ServerSpec;

/// The address of a server's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OwnerLocation {
    /// This instance owns the server.
    Local,
    /// Another instance owns the server and accepts links at this address.
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

/// Returns the owners of each server.
pub trait OwnerDirectory: Clone + Send + Sync + 'static {
    /// Returns the possible owners of a server, the preferred one first.
    fn owners(&self, server: &ServerSpec) -> Vec<OwnerLocation>;
}
