//! The request path of an instance as one single-threaded event loop.
//!
//! Decisions are made without I/O: [`engine::Engine`] routes statements,
//! [`relays::Relays`] runs the statements that other instances relay to this one,
//! [`primary_lease`] decides whether a primary may be used and
//! [`coordinator::Coordinator`] replaces primaries. [`event_loop`] carries out their
//! actions over sockets. What they know of the store is in
//! [`store_view::StoreView`]; [`store_cache::StoreCache`] serves the same items to
//! other instances, and [`peers`] defines the datagrams between instances.
//!
//! The protocols of callers, servers, the store, the promoter and HTTP clients are
//! implementations of the traits in [`protocol`]. See `docs/design/10-platform.md`.

pub mod balancing;
pub mod caller;
pub mod connections;
pub mod coordinator;
pub mod directory;
pub mod engine;
pub mod event_loop;
pub mod frames;
pub mod latency;
pub mod limits;
pub mod log;
pub mod metrics;
pub mod moment;
pub mod organisations;
pub mod peers;
pub mod primary_lease;
pub mod protocol;
pub mod queue;
pub mod quota;
pub mod records;
pub mod relays;
pub mod samples;
pub mod settings;
pub mod shutdown;
pub mod statement;
pub mod store_cache;
pub mod store_era;
pub mod store_route;
pub mod store_sync;
pub mod store_view;
