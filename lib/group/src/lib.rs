//! The view of a database group and the replacement of its primary.
//!
//! The crate does no I/O: its types take events and the current time, and return
//! the observed state or the commands to send. [`observer`] derives a [`view`]
//! of the group from polls of its servers, [`suspicion`] decides whether the
//! primary has failed, and [`failover`] replaces it by a [`promotion`]. See
//! `docs/design/03-acknowledgement.md` and `docs/design/04-failover.md`.

pub mod failover;
pub mod observer;
pub mod promotion;
pub mod server;
pub mod suspicion;
pub mod view;
