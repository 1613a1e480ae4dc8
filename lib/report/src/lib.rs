//! The types of the reports for operators.
//!
//! Instances serve them as JSON on their operators' port, at the paths in
//! [`operators`], and a few instances write a [`fleet::FleetReport`] to the
//! platform's store, where `masticreel document show` reads it. See
//! `docs/operating.md`.

pub mod fleet;
pub mod groups;
pub mod instances;
pub mod operators;
