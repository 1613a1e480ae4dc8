//! Compares admission policies for one server in a simulation.
//!
//! It runs the decision code of `masticreel-admission`, which does no I/O,
//! against arrivals that a seed determines, so that a run always gives the same
//! figures. It simulates one server, without a network and without instances.
//! See `docs/design/07-admission.md`.
//!
//! `settings` describes the load, `trace` draws its arrivals, `run` is the event
//! loop, `direct` and `owner` are the policies, and `report` and `plot` write the
//! results.

pub mod direct;
pub mod owner;
pub mod plot;
pub mod report;
pub mod run;
pub mod settings;
pub mod trace;
