//! The settings file of one instance.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use masticreel_base::ids::{FailureDomain, InstanceId};
use serde::Deserialize;

/// The settings with which an instance starts.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance's own name and addresses.
    pub instance: InstanceSettings,
    /// The platform's store.
    pub platform: PlatformSettings,
    /// Instances to contact when joining the fleet.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// Timeouts and limits on numbers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
}

/// The instance's own name and addresses.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// The instance's name, unique in the fleet.
    pub name: InstanceId,
    /// The failure domain that the instance runs in.
    pub failure_domain: FailureDomain,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for other instances, for TCP and UDP.
    pub peer_address: SocketAddr,
    /// The address for operators and metrics collectors, for HTTP.
    pub operator_address: SocketAddr,
    /// The secret that all instances of the fleet share.
    pub shared_key: Arc<str>,
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The store's etcd v3 JSON gateway, such as `http://127.0.0.1:2379`.
    pub store_endpoint: Arc<str>,
    /// How long a call to the store may take, in milliseconds.
    #[serde(default = "default_store_timeout_ms")]
    pub store_timeout_ms: u64,
    /// Interval between reads by an instance that watches the store for the
    /// others, in milliseconds.
    #[serde(default = "default_document_poll_ms")]
    pub document_poll_ms: u64,
    /// The platform's list of instances, such as `http://127.0.0.1:8500/instances`.
    #[serde(default)]
    pub instance_list_url: Option<Arc<str>>,
}

/// An instance to contact when joining the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The instance's name.
    pub name: InstanceId,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// The address at which it accepts other instances.
    pub peer_address: SocketAddr,
}

/// Timeouts and limits on numbers.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Most connections of callers that are open at a time.
    pub max_callers: usize,
    /// Descriptors that are kept free for servers, other instances, the store and
    /// operators; `max_callers` is lowered to what the process's limit leaves, but to no
    /// less than half of that limit.
    pub reserved_descriptors: usize,
    /// Most connections of callers that have not opened a session; more close the oldest.
    pub max_starting_callers: usize,
    /// Longest time a caller may take to open a session, in milliseconds.
    pub start_timeout_ms: u64,
    /// Longest time a caller may take to send one message, in milliseconds.
    pub message_timeout_ms: u64,
    /// Longest time a caller may take nothing of an answer, in milliseconds.
    pub unread_answer_timeout_ms: u64,
    /// Most that all callers' connections hold in memory, in MiB; without it, a quarter of
    /// the memory of the machine or control group.
    pub memory_budget_mb: Option<usize>,
    /// Largest request, in bytes.
    pub max_request_bytes: usize,
    /// Largest answer that is accepted from a server, in bytes.
    pub max_answer_bytes: usize,
    /// Most requests that the instance serves for its callers at a time.
    pub max_concurrent_requests: usize,
    /// Longest time a request may take, in milliseconds.
    pub request_timeout_ms: u64,
    /// Longest time a transaction may wait for its next statement, in milliseconds.
    pub transaction_idle_timeout_ms: u64,
    /// Longest time an upstream may take to accept a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Longest time that shutting down may take, in milliseconds.
    pub shutdown_timeout_ms: u64,
    /// How long a new owner of a server leaves connections to the previous one, which is
    /// then assumed to have released the server, in milliseconds.
    pub handover_timeout_ms: u64,
}

/// What is logged.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The least severe level that is logged.
    pub level: LogLevel,
}

/// Severity of a log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Something failed that needs attention.
    Error,
    /// Something failed that the fleet recovers from by itself.
    Warning,
    /// A change of state.
    Info,
    /// Details for developers.
    Debug,
}

const DEFAULT_STORE_TIMEOUT_MS: u64 = 1_000;
const DEFAULT_DOCUMENT_POLL_MS: u64 = 500;

fn default_store_timeout_ms() -> u64 {
    DEFAULT_STORE_TIMEOUT_MS
}

fn default_document_poll_ms() -> u64 {
    DEFAULT_DOCUMENT_POLL_MS
}

impl PlatformSettings {
    /// Returns settings for a store, with defaults for everything else.
    pub fn new(store_endpoint: &str) -> Self {
        Self {
            store_endpoint: store_endpoint.into(),
            store_timeout_ms: DEFAULT_STORE_TIMEOUT_MS,
            document_poll_ms: DEFAULT_DOCUMENT_POLL_MS,
            instance_list_url: None,
        }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_callers: 10_000,
            reserved_descriptors: 1_000,
            max_starting_callers: 1_000,
            start_timeout_ms: 10_000,
            message_timeout_ms: 60_000,
            unread_answer_timeout_ms: 30_000,
            memory_budget_mb: None,
            max_request_bytes: 32 * 1024 * 1024,
            max_answer_bytes: 64 * 1024 * 1024,
            max_concurrent_requests: 256,
            request_timeout_ms: 30_000,
            transaction_idle_timeout_ms: 60_000,
            connect_timeout_ms: 1_000,
            shutdown_timeout_ms: 30_000,
            handover_timeout_ms: 5_000,
        }
    }
}

impl LimitSettings {
    pub fn request_timeout(&self) -> Duration {
        Duration::from_millis(self.request_timeout_ms)
    }

    pub fn transaction_idle_timeout(&self) -> Duration {
        Duration::from_millis(self.transaction_idle_timeout_ms)
    }

    pub fn start_timeout(&self) -> Duration {
        Duration::from_millis(self.start_timeout_ms)
    }

    pub fn message_timeout(&self) -> Duration {
        Duration::from_millis(self.message_timeout_ms)
    }

    pub fn unread_answer_timeout(&self) -> Duration {
        Duration::from_millis(self.unread_answer_timeout_ms)
    }

    /// Returns how many callers may be connected if the process may open this many files.
    pub fn callers_within(&self, descriptors: usize) -> usize {
        let left = descriptors.saturating_sub(self.reserved_descriptors);
        self.max_callers.min(left.max(descriptors / 2)).max(1)
    }

    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    pub fn handover_timeout(&self) -> Duration {
        Duration::from_millis(self.handover_timeout_ms)
    }

    pub fn shutdown_timeout(&self) -> Duration {
        Duration::from_millis(self.shutdown_timeout_ms)
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: LogLevel::Info }
    }
}

/// The error of a settings file that can't be used.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// {path}: can't be read: {error}
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        error: std::io::Error,
    },
    /// {path}: {error}
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong, with line and key.
        error: Box<toml::de::Error>,
    },
    /// {path}: key `{key}`: {problem}
    OutOfRange {
        /// The file.
        path: PathBuf,
        /// The key whose value can't be used.
        key: &'static str,
        /// What is wrong with the value.
        problem: &'static str,
    },
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, has an unknown key, lacks a required key
    /// or has a value that can't be used.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Unreadable { path: path.to_owned(), error })?;
        let settings: Self = toml::from_str(&text).map_err(|error| SettingsError::Invalid {
            path: path.to_owned(),
            error: Box::new(error),
        })?;
        settings.check(path)?;
        Ok(settings)
    }

    fn check(&self, path: &Path) -> Result<(), SettingsError> {
        let out_of_range =
            |key, problem| Err(SettingsError::OutOfRange { path: path.to_owned(), key, problem });
        if self.instance.name.as_str().is_empty() {
            return out_of_range("instance.name", "must not be empty");
        }
        if self.instance.shared_key.is_empty() {
            return out_of_range("instance.shared_key", "must not be empty");
        }
        if self.limits.max_concurrent_requests == 0 {
            return out_of_range("limits.max_concurrent_requests", "must be at least 1");
        }
        if self.limits.max_callers == 0 {
            return out_of_range("limits.max_callers", "must be at least 1");
        }
        if self.limits.max_starting_callers == 0 {
            return out_of_range("limits.max_starting_callers", "must be at least 1");
        }
        if self.limits.memory_budget_mb == Some(0) {
            return out_of_range("limits.memory_budget_mb", "must be at least 1");
        }
        Ok(())
    }
}
