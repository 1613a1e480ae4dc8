//! Basic types that all other crates of masticreel share.
//!
//! The crate has no I/O. See `docs/glossary.md` for the terms and
//! `docs/design/` for the reasons behind the types.

pub mod cancellation;
pub mod clock;
pub mod failure;
pub mod ids;
pub mod position;
