//! The PostgreSQL protocol as the proxy needs it, towards callers and upstreams.
//!
//! Messages are passed on as bytes wherever possible; only what the proxy must
//! understand is decoded. See `docs/design/01-threads-and-links.md`.

pub mod control;
pub mod failure;
pub mod message;
pub mod request;
pub mod startup;
pub mod statement;
pub mod upstream;
