//! The view of a database group and the replacement of its primary.
//!
//! An *observer* of a group is an instance that polls its servers; the *fleet* is
//! all instances together. A *confirmed position* is an end of the primary's log
//! that covers every write acknowledged before a moment, since a majority of the
//! servers were still in the primary's term at or after that moment. The entries up
//! to it may be on the primary alone. To *fence* a server is to make it stop its
//! writes and its copying, and refuse commands of older terms.
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
