//! The request path of an instance as one readiness loop.
//!
//! Decisions are made without I/O: [`engine::Engine`] routes statements,
//! [`primary_lease`] decides whether a primary may be used and
//! [`coordinator::Coordinator`] replaces primaries. [`event_loop`] carries out their
//! actions over sockets. The protocols of callers, servers and the store are
//! implementations of the traits in [`protocol`]. See `docs/design/10-platform.md`.

pub mod caller;
pub mod connections;
pub mod coordinator;
pub mod directory;
pub mod engine;
pub mod event_loop;
pub mod frames;
pub mod latency;
pub mod log;
pub mod metrics;
pub mod moment;
pub mod peers;
pub mod primary_lease;
pub mod protocol;
pub mod queue;
pub mod records;
pub mod relays;
pub mod samples;
pub mod settings;
pub mod statement;
pub mod store_cache;
pub mod store_view;
