//! The callers' side: connections, their sessions and the threads that serve them.
//!
//! Idle connections wait in one poller; a bounded pool of threads serves those
//! that have sent something. See `docs/design/01-threads-and-links.md`.

mod connection;
mod idle_connections;
pub mod server;
mod session;
