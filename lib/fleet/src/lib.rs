//! State machines that the instances of a fleet use to agree, without I/O.
//!
//! [`fleet::Fleet`] combines the membership protocol ([`membership`]), the
//! newest document revision ([`dissemination`]) and the newest primary of each
//! database group ([`group_primaries`]), and produces the messages that spread them.
//! [`codec`] encodes and authenticates these messages; [`replay`] rejects
//! datagrams that arrive twice. [`ownership`] computes which instance opens
//! connections to an upstream server.
//!
//! The *document* is the operators' configuration of the fleet; a *term* is the
//! tenure of one primary (see `masticreel_group`). See
//! `docs/design/08-membership.md`, `docs/design/08-dissemination.md` and
//! `docs/design/09-leaving.md`.

pub mod codec;
pub mod dissemination;
pub mod fleet;
pub mod group_primaries;
pub mod member;
pub mod membership;
pub mod message;
pub mod ownership;
pub mod replay;
pub mod roster;
