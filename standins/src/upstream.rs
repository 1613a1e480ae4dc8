//! A stand-in for one database server of a group.
//!
//! It implements the PostgreSQL protocol, version 3, keeps its data in SQLite
//! and sends the statements of committed transactions to its replicas. The SQL
//! dialect is SQLite's. Writing transactions run one after the other, and
//! statements that are not deterministic have different effects on each server.
//!
//! `server` accepts connections, and `session` runs the protocol of each with an
//! `executor` for its statements. `group` holds the server's role and its `log`,
//! which `replication` copies to replicas and applies there.

mod control;
mod database;
mod error;
mod executor;
mod frame;
mod group;
mod interrupt;
mod log;
mod replication;
mod result;
mod server;
mod session;
mod settings;
mod slots;
mod sql;
mod startup;
mod value;
mod writer;

pub use server::Upstream;
pub use settings::{InitialRole, UpstreamSettings};
