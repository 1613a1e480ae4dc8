//! The parts of `masticreeld`: the threads and sockets that run the state machines
//! in `lib/`.
//!
//! `docs/design/01-threads-and-links.md` describes the path of a request through
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
pub mod memory;
pub mod metrics;
pub mod operator;
pub mod owner;
pub mod reporter;
pub mod settings;
pub mod shutdown;
pub mod views;
pub mod watch;
