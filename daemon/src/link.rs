//! TCP links between instances.
//!
//! An instance opens links to the owners of servers to send them requests
//! ([`client`]) and serves the links that others open to it ([`server`]).
//!
//! See `docs/design/01-threads-and-links.md`.

pub mod client;
pub mod document;
pub mod sender;
pub mod server;

use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// How long a write to a link may block, in the handshake and later.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sets the options that all links share.
fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))
}
