//! The platform's list of live and leaving instances.
//!
//! The list is only a hint: it may be out of date, wrong or unreachable, and
//! the fleet then continues with what its members know about each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use masticreel_base::ids::{FailureDomain, InstanceId};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::http::http_client;

/// Whether the platform keeps an instance running or is about to remove it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The instance keeps running.
    Live,
    /// The instance is about to be removed.
    Leaving,
}

/// An instance as the platform lists it.
///
/// Unknown fields are ignored, since the platform defines the list's format.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListedInstance {
    /// The instance's name.
    pub name: InstanceId,
    /// The address at which other instances reach it.
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    pub failure_domain: FailureDomain,
    /// Whether the platform keeps it running.
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
    /// Returns the platform's list, which may be out of date.
    ///
    /// # Errors
    ///
    /// Fails when the list is unreachable, does not arrive within the timeout
    /// or is not a JSON list; invalid entries are left out.
    fn read(&self) -> Result<Vec<ListedInstance>, ListError>;
}

/// A client of a list that is served as JSON over HTTP.
#[derive(Debug, Clone)]
pub struct HttpInstanceList {
    client: ureq::Agent,
    url: Arc<str>,
}

impl HttpInstanceList {
    /// Creates a client of the list at a URL such as `http://127.0.0.1:8500/instances`.
    pub fn new(url: &str, timeout: Duration) -> Self {
        Self { client: http_client(timeout), url: url.into() }
    }
}

impl InstanceList for HttpInstanceList {
    fn read(&self) -> Result<Vec<ListedInstance>, ListError> {
        let unavailable = |error: ureq::Error| ListError::Unavailable(error.to_string());
        let mut response = self.client.get(&*self.url).call().map_err(unavailable)?;
        let body = response.body_mut().read_to_vec().map_err(unavailable)?;
        // Entries are parsed one by one, since an error in one, such as a number that is
        // too large or deep nesting, would otherwise make the list as a whole invalid.
        let body = String::from_utf8_lossy(&body);
        let entries: Vec<&RawValue> = serde_json::from_str(&body)
            .map_err(|error| ListError::Unavailable(error.to_string()))?;
        Ok(entries.into_iter().filter_map(|entry| serde_json::from_str(entry.get()).ok()).collect())
    }
}
