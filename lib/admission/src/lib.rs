//! Decides which request may use an upstream server, and when.
//!
//! Everything here is a pure state machine: the time is passed in, and the
//! caller carries out the actions that come back. The owner of an upstream
//! server holds a [`server_admission::ServerAdmission`] for it, which joins its
//! queue and its connections; an entry instance holds a
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
