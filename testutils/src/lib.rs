//! What tests and experiments use: a client, the scenario language and a load
//! tool.

pub mod pg_client;
pub mod processes;
