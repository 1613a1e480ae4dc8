//! Tools for tests and measurements; nothing here is shipped.

pub mod experiment;
