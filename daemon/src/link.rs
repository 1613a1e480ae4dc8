//! TCP links between instances.
//!
//! See `docs/design/01-threads-and-links.md`.

pub mod client;
pub mod document;
pub mod sender;
pub mod server;

use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// Longest wait for a peer to take bytes off a link, in the handshake and later.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sets the options that all links share.
fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))
}
