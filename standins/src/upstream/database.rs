//! The SQLite files that hold a server's data.
//!
//! Each file is one generation of the data: a server whose data diverged from the
//! primary's rebuilds it in the next one.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rusqlite::Connection;
use rusqlite::functions::FunctionFlags;
use rusqlite::types::Value;

use crate::upstream::interrupt::SessionHandle;

/// SQLite's own lock timeout, rarely reached since writers take the server's
/// write lock first.
const BUSY_TIMEOUT: Duration = Duration::from_secs(5);
const STATEMENT_CACHE_CAPACITY: usize = 128;

const DIRECTORY_PREFIX: &str = "masticreel-standin";

/// Number of the next directory; it keeps servers in one process apart.
static NEXT_DIRECTORY: AtomicU64 = AtomicU64::new(0);

/// A directory with one SQLite file for each generation of the data.
#[derive(Debug)]
pub struct DatabaseFiles {
    directory: PathBuf,
}

impl DatabaseFiles {
    /// Creates an empty directory below the system's directory for temporary
    /// files, and removes the directories left by killed processes.
    ///
    /// # Errors
    ///
    /// Fails when the directory can't be created.
    pub fn create(name: &str) -> io::Result<Self> {
        remove_abandoned();
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let leaf = format!("{DIRECTORY_PREFIX}-{}-{number}-{name}", std::process::id());
        let directory = std::env::temp_dir().join(leaf);
        std::fs::create_dir_all(&directory)?;
        Ok(Self { directory })
    }

    /// Opens a connection to a generation of the data.
    ///
    /// # Errors
    ///
    /// Fails when SQLite can't use the file.
    pub fn open(
        &self,
        generation: u64,
        session_handle: &Arc<SessionHandle>,
    ) -> rusqlite::Result<Connection> {
        let connection = Connection::open(self.path(generation))?;
        connection.busy_timeout(BUSY_TIMEOUT)?;
        connection.set_prepared_statement_cache_capacity(STATEMENT_CACHE_CAPACITY);
        connection.pragma_update_and_check(None, "journal_mode", "wal", |_| Ok(()))?;
        connection.pragma_update(None, "synchronous", "off")?;
        connection.pragma_update(None, "foreign_keys", "on")?;
        add_functions(&connection, session_handle)?;
        Ok(connection)
    }

    /// Deletes the files of a generation that is no longer used.
    pub fn remove(&self, generation: u64) {
        for suffix in ["", "-wal", "-shm"] {
            let mut path = self.path(generation).into_os_string();
            path.push(suffix);
            // Fails if the file does not exist.
            let _ = std::fs::remove_file(path);
        }
    }

    fn path(&self, generation: u64) -> PathBuf {
        Path::new(&self.directory).join(format!("data-{generation}.sqlite"))
    }
}

impl Drop for DatabaseFiles {
    fn drop(&mut self) {
        // On failure the directory stays among the temporary files, which does no
        // harm.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Removes the directories whose process no longer runs.
fn remove_abandoned() {
    let Ok(entries) = std::fs::read_dir(std::env::temp_dir()) else {
        return;
    };
    for entry in entries.flatten() {
        let name = entry.file_name().to_string_lossy().into_owned();
        let rest = name.strip_prefix(DIRECTORY_PREFIX).and_then(|rest| rest.strip_prefix('-'));
        let pid = rest.and_then(|rest| rest.split('-').next());
        let is_abandoned = pid.is_some_and(|pid| {
            pid.parse::<u32>().is_ok() && !Path::new("/proc").join(pid).exists()
        });
        if is_abandoned {
            // Another server may be removing it at the same time.
            let _ = std::fs::remove_dir_all(entry.path());
        }
    }
}

/// Adds the functions of PostgreSQL that SQLite lacks.
fn add_functions(
    connection: &Connection,
    session_handle: &Arc<SessionHandle>,
) -> rusqlite::Result<()> {
    let flags = FunctionFlags::SQLITE_UTF8;
    let sleep_handle = Arc::clone(session_handle);
    connection.create_scalar_function("pg_sleep", 1, flags, move |context| {
        let seconds = context.get::<f64>(0).or_else(|_| context.get::<i64>(0).map(|s| s as f64))?;
        let duration = Duration::try_from_secs_f64(seconds).unwrap_or_default();
        if sleep_handle.sleep(duration) {
            let error = "canceling statement due to user request";
            return Err(rusqlite::Error::UserFunctionError(error.into()));
        }
        Ok(String::new())
    })?;
    connection.create_scalar_function("version", 0, flags, |_| {
        Ok("PostgreSQL 16.0 (masticreel stand-in)".to_owned())
    })?;
    let parameter_handle = Arc::clone(session_handle);
    connection.create_scalar_function("current_setting", -1, flags, move |context| {
        let name = context.get::<String>(0)?.to_ascii_lowercase();
        Ok(parameter_handle.parameter(&name).map_or(Value::Null, Value::Text))
    })?;
    let deterministic = flags | FunctionFlags::SQLITE_DETERMINISTIC;
    connection.create_scalar_function("repeat", 2, deterministic, |context| {
        let count = usize::try_from(context.get::<i64>(1)?).unwrap_or(0);
        Ok(context.get::<String>(0)?.repeat(count))
    })
}
