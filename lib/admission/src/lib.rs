//! Decides which request may use an upstream server, and when.
//!
//! All types are pure state machines: the current time is passed in, and the
//! code that uses them carries out the actions they return. The instance that
//! owns an upstream server holds a [`server_admission::ServerAdmission`] for it,
//! which combines the server's request queue and its connection pool. An entry
//! instance, which receives requests from callers, holds a
//! [`concurrency_limit::ConcurrencyLimit`] and [`retry_budget::RetryBudget`]s. See
//! `docs/design/02-ownership.md` and `docs/design/07-admission.md`.

mod class_queue;
pub mod concurrency_limit;
pub mod connection_pool;
pub mod expected_times;
pub mod fair_shares;
pub mod order;
pub mod request;
pub mod retry_budget;
pub mod server_admission;
pub mod server_queue;
