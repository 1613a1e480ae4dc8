//! The operators' document: sections, validation and what they mean.
//!
//! See `docs/design/08-document.md`.

pub mod class;
pub mod groups;
pub mod rules;
