//! The messages on the links between instances, and how they are framed and
//! authenticated.
//!
//! The messages have their own types, so that the types of the decisions in
//! other crates can change without changing the wire format. See
//! `docs/design/01-threads-and-links.md`.

pub mod frame;
pub mod group;
pub mod message;
pub mod signature;
