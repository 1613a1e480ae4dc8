//! The operators' document: sections, validation and what they mean.
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
