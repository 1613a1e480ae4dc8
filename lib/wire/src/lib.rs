//! What instances say to each other, and how it is framed and authenticated.
//!
//! Messages have types of their own so that the decisions in other crates can
//! change without changing the wire. See `docs/design/01-threads-and-links.md`.

pub mod frame;
pub mod group;
pub mod message;
pub mod signature;
