//! The parts of the PostgreSQL protocol that the proxy uses with callers and
//! upstreams.
//!
//! Messages are forwarded as bytes wherever possible; only those that the proxy
//! must interpret are decoded. See `docs/design/01-threads-and-links.md`.
//!
//! On the side of callers, [`startup`] reads the first packet of a connection,
//! [`request`] collects the messages of a request, [`statement`] classifies its
//! statements, and [`failure`] encodes errors. On the side of upstreams,
//! [`upstream`] runs requests on a connection, and [`control`] sends commands
//! to the servers of a group. Both sides split their byte streams with
//! [`message`].

pub mod control;
pub mod failure;
pub mod message;
pub mod request;
pub mod startup;
pub mod statement;
pub mod upstream;
