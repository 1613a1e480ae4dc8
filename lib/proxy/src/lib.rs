//! The request path of an instance as one readiness loop.
//!
//! Decisions are pure: [`engine::Engine`] routes statements, [`trust::Trust`]
//! says whether a primary may be used and [`coordinator::Coordinator`] replaces
//! one. [`event_loop`] carries their actions over sockets. What is spoken with
//! callers, servers and the store comes from the traits of [`protocol`]. See
//! `docs/design/10-platform.md`.

pub mod caller;
pub mod connections;
pub mod coordinator;
pub mod directory;
pub mod engine;
pub mod event_loop;
pub mod frames;
pub mod log;
pub mod metrics;
pub mod mirror;
pub mod moment;
pub mod pace;
pub mod peers;
pub mod protocol;
pub mod queue;
pub mod records;
pub mod relays;
pub mod samples;
pub mod settings;
pub mod statement;
pub mod store_view;
pub mod trust;
