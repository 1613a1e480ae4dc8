//! Small stand-ins for the systems that masticreel depends on: database servers,
//! the platform's key-value service and its list of instances.
//!
//! They exist for tests and for trying masticreel out on one machine, and are
//! not meant for production. Each can run in a process of its own or within a test.

mod http;
pub mod instances;
pub mod relay;
pub mod store;
pub mod upstream;
