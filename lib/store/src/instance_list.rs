//! The platform's lagging list of live and leaving instances.
//!
//! The list is a hint: it may be old, wrong or unreachable, and the fleet goes
//! on with what its members know of each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use masticreel_base::ids::{FailureDomain, InstanceId};
use serde::Deserialize;

use crate::http::agent;

/// What the platform intends for an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The instance stays.
    Live,
    /// The instance is about to be removed.
    Leaving,
}

/// An instance as the platform lists it.
///
/// Unknown fields are passed over, since the list is the platform's.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListedInstance {
    /// The instance's name.
    pub name: InstanceId,
    /// Where other instances reach it.
    pub address: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// What the platform intends for it.
    pub state: ListedState,
}

/// Why the list could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ListError {
    /// the list of instances is unreachable or slow: {0}
    Unavailable(String),
}

impl std::error::Error for ListError {}

/// Reads the platform's list of instances.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Returns the list as the platform last knew it.
    ///
    /// # Errors
    ///
    /// Fails when the list is unreachable, slow or not understood as a whole;
    /// entries that are not understood are left out.
    fn read(&self) -> Result<Vec<ListedInstance>, ListError>;
}

/// A client of a list that is served as JSON over HTTP.
#[derive(Debug, Clone)]
pub struct HttpInstanceList {
    agent: ureq::Agent,
    url: Arc<str>,
}

impl HttpInstanceList {
    /// Creates a client of the list at a URL such as `http://127.0.0.1:8500/instances`.
    pub fn new(url: &str, timeout: Duration) -> Self {
        Self { agent: agent(timeout), url: url.into() }
    }
}

impl InstanceList for HttpInstanceList {
    fn read(&self) -> Result<Vec<ListedInstance>, ListError> {
        let entries: Vec<serde_json::Value> = self
            .agent
            .get(&*self.url)
            .call()
            .and_then(|mut response| response.body_mut().read_json())
            .map_err(|error| ListError::Unavailable(error.to_string()))?;
        Ok(entries.into_iter().filter_map(|entry| serde_json::from_value(entry).ok()).collect())
    }
}
