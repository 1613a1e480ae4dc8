//! Decides which request may use an upstream server, and when.
//!
//! The terms of this crate:
//!
//! - The *owner* of an upstream server is the instance that executes requests on
//!   it. During a handover the previous owner may still do so as well.
//! - An *entry instance* receives a request from its caller and sends it to the
//!   owner of a server, which may be another instance.
//! - A *slot* is a server's capacity to execute one statement at a time.
//! - A *caller base* is a set of callers that together get one fair share of a
//!   server's execution time, see [`request::CallerBase`].
//! - A *flow* consists of the waiting requests of one caller base that came
//!   through one entry instance.
//!
//! All types are pure state machines: the current time is passed in, and the
//! code that uses them carries out the actions they return. The owner of a server
//! holds a [`server_admission::ServerAdmission`] for it, which combines the
//! server's request queue and its connection pool. An entry instance holds a
//! [`concurrency_limit::ConcurrencyLimit`] and [`retry_budget::RetryBudget`]s. See
//! `docs/design/02-ownership.md` and `docs/design/07-admission.md`.

mod class_queue;
pub mod concurrency_limit;
pub mod connection_pool;
pub mod expected_times;
pub mod fair_shares;
pub mod memory_budget;
pub mod order;
pub mod request;
pub mod retry_budget;
pub mod server_admission;
pub mod server_queue;
