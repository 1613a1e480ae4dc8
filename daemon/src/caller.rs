//! Callers: their connections and sessions, and the threads that serve them.
//!
//! One poller watches the idle connections; a bounded pool of worker threads
//! serves those that are readable. See `docs/design/01-threads-and-links.md`.

mod closures;
mod connection;
mod idle_connections;
pub mod server;
mod session;
