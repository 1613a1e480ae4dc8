//! Tools for tests and experiments: a PostgreSQL client, processes of a
//! deployment, the scenario language, a load generator and the simulation that
//! compares admission policies.
//!
//! Words that these modules use:
//!
//! - The *document* is the configuration that all instances share. It is kept in
//!   the store and consists of named *sections*. An edit is *accepted* when the
//!   store has stored it (`EditOutcome::Landed`), and *applied* by an instance once
//!   the instance uses the new revision.
//! - The *platform* is the environment that hosts masticreel: here its store, an
//!   etcd or a stand-in for it.
//! - *Stand-ins* are small programs that replace the store, the database servers
//!   and network links in tests (crate `masticreel-standins`). The stand-in of a
//!   link is a *relay*: it can cut or delay the connections that pass through it.
//! - A *caller base* is the callers, such as those of one application, that
//!   together get one fair share of a server.
//! - *Handover* is the change of a server's owner, the instance that queues the
//!   server's requests, from one instance to another.
//! - The *verdict* in the detail of masticreel's errors (`verdict=`) tells whether
//!   the statement ran, did not run or may have run.
//! - A session *token* carries a session's minimum positions to another instance,
//!   so that the session reads its own writes there.
//! - The *burn rate* is how fast a service level spends its error budget; 1 spends
//!   exactly what its objective allows.
//!
//! [`processes::deployment::Deployment`] and `scenario::environment::Environment`
//! both start a store, servers and instances. A `Deployment` is built in one call
//! from settings, for tests and measurements in Rust. The directives of a scenario add
//! to an `Environment` step by step. Its servers and instances are behind relays from
//! the start, since a later directive may cut the links to servers, to the store or
//! from callers.

pub mod experiment;
pub mod fleet_cost;
pub mod load;
pub mod pg_client;
pub mod processes;
pub mod replay;
pub mod scenario;
