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

/// Tells the owner of each server.
pub trait OwnerDirectory: Send + Sync + 'static {
    /// Returns the owners of a server, the one to ask first in front.
    fn owners(&self, server: &ServerSpec) -> Vec<OwnerLocation>;
}
