//! The view of a database group and the replacement of its primary.
//!
//! All types here are pure: they take events and the time, and return what is
//! known or what is to be done. See `docs/design/03-acknowledgement.md` and
//! `docs/design/04-failover.md`.

pub mod failover;
pub mod observer;
pub mod promotion;
pub mod server;
pub mod suspicion;
pub mod view;
