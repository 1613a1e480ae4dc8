//! The operators' document: its sections, their validation and its edits.
//!
//! Teams write sections in TOML ([`section`]). [`document`] parses, validates and
//! merges all sections, and [`policy`] classifies statements by the rules.
//! [`edit`] is the state machine of an edit; [`records`] and [`layout`] define
//! what the platform's store holds, and [`wire`] what instances send to each
//! other.
//!
//! See `docs/design/08-document.md`, and `docs/document.md` for the format.

pub mod class;
pub mod diff;
pub mod document;
pub mod edit;
pub mod edit_id;
pub mod error;
pub mod groups;
pub mod instances;
pub mod layout;
pub mod levels;
pub mod policy;
pub mod records;
pub mod rules;
pub mod section;
pub mod toml_source;
pub mod validation;
pub mod wire;
