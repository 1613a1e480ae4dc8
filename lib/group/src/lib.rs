//! The view of a database group and the replacement of its primary.
//!
//! See `docs/design/03-acknowledgement.md` and `docs/design/04-failover.md`.

pub mod server;
