//! Which instance owns which upstream server.
//!
//! See `docs/design/02-ownership.md`.

use std::net::SocketAddr;

use masticreel_document::groups::ServerSpec;

/// Where the owner of a server is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OwnerLocation {
    /// This instance owns the server.
    Local,
    /// Another instance owns the server and accepts links here.
    Remote(SocketAddr),
}

impl OwnerLocation {
    /// Returns the address of an owner elsewhere.
    pub fn peer(self) -> Option<SocketAddr> {
        match self {
            Self::Local => None,
            Self::Remote(peer) => Some(peer),
        }
    }
}

/// Tells the owner of each server.
pub trait OwnerDirectory: Clone + Send + Sync + 'static {
    /// Returns the owners of a server, the one to ask first in front.
    fn owners(&self, server: &ServerSpec) -> Vec<OwnerLocation>;
}
