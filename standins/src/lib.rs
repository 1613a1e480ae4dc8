//! Small stand-ins for the systems that masticreel depends on: database servers
//! (`upstream`), the etcd of the platform that hosts masticreel (`store`) and the
//! platform's list of instances (`instances`); and a `relay` that injects network
//! faults.
//!
//! The store, the list and the relay can be changed while they run, through
//! methods or through a control endpoint.
//!
//! They exist for tests and for trying masticreel out on one machine, and are
//! not meant for production. Each can run in a process of its own or within a test.

mod http;
pub mod instances;
pub mod relay;
pub mod store;
pub mod upstream;
