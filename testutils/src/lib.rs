//! What tests and experiments use: a client, the scenario language and a load
//! tool.

pub mod load;
pub mod pg_client;
