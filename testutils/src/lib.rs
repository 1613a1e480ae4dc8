//! Tools for tests and experiments: a PostgreSQL client, processes of a
//! deployment, the scenario language, a load generator and the simulation that
//! compares admission policies.

pub mod experiment;
pub mod fleet_cost;
pub mod load;
pub mod pg_client;
pub mod processes;
pub mod replay;
pub mod scenario;
