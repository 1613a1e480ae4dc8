//! Compares ways to order one server's work on recorded arrivals.
//!
//! It runs the pure decisions of `masticreel-admission` against arrivals that
//! a seed determines, so that a run always gives the same figures. It knows
//! one server and neither network nor instances. See
//! `docs/design/07-admission.md`.

pub mod direct;
pub mod owner;
pub mod plot;
pub mod report;
pub mod run;
pub mod settings;
pub mod trace;
