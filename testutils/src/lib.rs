//! What tests and experiments use: a client, the scenario language, a load
//! tool and the comparison of admission policies.

pub mod experiment;
pub mod fleet_cost;
pub mod load;
pub mod pg_client;
pub mod processes;
pub mod replay;
pub mod scenario;
