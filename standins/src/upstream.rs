//! A stand-in for one database server of a group.
//!
//! It implements the PostgreSQL protocol, version 3, keeps its data in SQLite
//! and sends the statements of committed transactions to its replicas. The SQL
//! dialect is SQLite's. Writing transactions run one after the other, and
//! statements that are not deterministic have different effects on each server.
//!
//! `server` accepts connections. `startup` reads their first messages, and
//! `session` runs the protocol of each with an `executor` for its statements, of
//! which `slots` limits how many run at once. `writer` has the write lock, which a
//! fence revokes to end the writing transaction, `interrupt` cancels statements.
//!
//! `group` holds the server's role, its term (the number of a primary's tenure)
//! and its `log`, which `replication` sends to replicas and applies there.
//! `control` has the SQL functions that read and change the role. Sessions send
//! the position that reads can have seen, as `term/entry`, in the parameter
//! `group_position`.

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
