//! The client's settings, read from a TOML file.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use masticreel_document::toml_source::{KeyPath, TomlError, TomlSource};
use serde::Deserialize;

/// The environment variable that names the settings file if the command line
/// does not.
pub const SETTINGS_VARIABLE: &str = "MASTICREEL_SETTINGS";

/// The settings file if neither the command line nor the environment names one.
pub const DEFAULT_PATH: &str = "masticreel.toml";

/// The settings of the client.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The URL of the store, an etcd that the platform runs, such as `http://127.0.0.1:2379`.
    pub platform: Arc<str>,
    /// Addresses at which instances serve operators, tried in order until one
    /// answers.
    #[serde(default)]
    pub instances: Vec<SocketAddr>,
    /// The secret that all instances share; needed to send the
    /// document to an instance.
    #[serde(default)]
    pub shared_key: Option<Arc<str>>,
    /// The author of edits, unless the command line names another.
    #[serde(default)]
    pub author: Option<Arc<str>>,
    /// Timeout of one call to the store or an instance, in milliseconds.
    #[serde(default = "default_call_timeout_ms")]
    pub call_timeout_ms: u64,
    /// Timeout of an edit with all its calls, in milliseconds.
    #[serde(default = "default_edit_timeout_ms")]
    pub edit_timeout_ms: u64,
}

const DEFAULT_CALL_TIMEOUT_MS: u64 = 2_000;
const DEFAULT_EDIT_TIMEOUT_MS: u64 = 20_000;

fn default_call_timeout_ms() -> u64 {
    DEFAULT_CALL_TIMEOUT_MS
}

fn default_edit_timeout_ms() -> u64 {
    DEFAULT_EDIT_TIMEOUT_MS
}

/// Why the settings can't be used.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// can't read the settings {0:?}: {1}
    Unreadable(PathBuf, io::Error),
    /// {path:?}:{line}: key {key}: {message}
    Faulty {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The key.
        key: KeyPath,
        /// What is wrong.
        message: String,
    },
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read, and when a key is unknown, missing
    /// or has a wrong value; the error then names file, line and key.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Unreadable(path.to_owned(), error))?;
        Self::parse(&text).map_err(|error| SettingsError::Faulty {
            path: path.to_owned(),
            line: error.line,
            key: error.key,
            message: error.message,
        })
    }

    /// Reads settings from a text.
    ///
    /// # Errors
    ///
    /// Fails with the line and the key of the first error.
    pub fn parse(text: &str) -> Result<Self, TomlError> {
        TomlSource::parse(text).map(|(_, settings)| settings)
    }

    /// Returns the timeout of one call to the store or an instance.
    pub fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.call_timeout_ms)
    }

    /// Returns the timeout of an edit with all its calls.
    pub fn edit_timeout(&self) -> Duration {
        Duration::from_millis(self.edit_timeout_ms)
    }
}

/// Returns the path of the settings file: the given one, else that of the
/// environment variable, else the default.
pub fn settings_path(given: Option<&str>) -> PathBuf {
    match given {
        Some(path) => PathBuf::from(path),
        None => std::env::var_os(SETTINGS_VARIABLE)
            .map_or_else(|| PathBuf::from(DEFAULT_PATH), PathBuf::from),
    }
}
