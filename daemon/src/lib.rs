//! The parts of `masticreeld`: threads and sockets around the decisions in `lib/`.
//!
//! `docs/design/01-threads-and-links.md` shows how a request travels through
//! the modules.

pub mod burn;
pub mod caller;
pub mod directory;
pub mod documents;
pub mod embedded;
pub mod entry;
pub mod fleet;
pub mod groups;
pub mod instance;
pub mod link;
pub mod logging;
pub mod metrics;
pub mod operator;
pub mod owner;
pub mod reporter;
pub mod settings;
pub mod views;
pub mod watch;
