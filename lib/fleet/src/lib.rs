//! Decisions that the instances of a fleet take together, without I/O.
//!
//! [`fleet::Fleet`] combines who is alive ([`membership`]), which revision of
//! the document and which primaries are the newest ([`dissemination`],
//! [`views`]) and which messages tell others about it. [`ownership`] says
//! which instance opens connections to an upstream server.
//! See `docs/design/08-membership.md`, `docs/design/08-dissemination.md` and
//! `docs/design/09-leaving.md`.

pub mod codec;
pub mod dissemination;
pub mod fleet;
pub mod member;
pub mod membership;
pub mod message;
pub mod ownership;
pub mod replay;
pub mod roster;
pub mod views;
