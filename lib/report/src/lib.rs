//! What the system reports back to its operators.
//!
//! Instances answer with these types as JSON on their operators' port, and a
//! few of them write a [`fleet::FleetReport`] into the platform's store, where
//! `masticreel document show` reads it. See `docs/operating.md`.

pub mod fleet;
pub mod groups;
pub mod instances;
pub mod operators;
