//! Vocabulary that every other crate of masticreel shares.
//!
//! The crate has no I/O. See `docs/glossary.md` for the terms and
//! `docs/design/` for the reasons behind the types.

pub mod cancellation;
pub mod clock;
pub mod failure;
pub mod ids;
pub mod position;
