//! Logs that never hold up the request path.
//!
//! Lines are collected in memory and written when the reader takes them. Lines
//! about requests that were served have a budget; everything else is dropped
//! only when the reader has stopped reading. What was dropped is counted and
//! said. See `docs/OPERATIONS.md`.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use slog::{Drain, FnValue, Level, Logger, Never, OwnedKVList, Record, o};
use slog_logfmt::Logfmt;

use crate::moment::Moment;

/// Marks lines about requests that were served.
pub const SERVED: &str = "served";

/// Bytes that wait for the reader at most; the size of a pipe, four times.
const BUFFER_LIMIT_BYTES: usize = 256 * 1024;
/// Part of the buffer that lines about served requests leave free.
const BUFFER_RESERVE_BYTES: usize = 192 * 1024;
/// Lines a second about requests that were served.
const SERVED_LINES_PER_SECOND: u32 = 50;
/// The longest that lines wait to be written together.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes that are written without waiting for more.
const FLUSH_BYTES: usize = 8 * 1024;

/// The lines that wait for the reader.
#[derive(Debug, Clone, Default)]
pub struct LogBuffer {
    state: Arc<Mutex<BufferState>>,
}

#[derive(Debug, Default)]
struct BufferState {
    bytes: Vec<u8>,
    second: u64,
    served_in_second: u32,
    dropped_served: u64,
    dropped: u64,
    flushed_at: Moment,
}

impl LogBuffer {
    fn lock(&self) -> MutexGuard<'_, BufferState> {
        // A panic while a line was added leaves at worst half a line.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many lines were dropped.
    pub fn dropped(&self) -> u64 {
        let state = self.lock();
        state.dropped + state.dropped_served
    }

    /// Writes what the reader takes now.
    pub fn flush(&self, now: Moment) {
        let mut state = self.lock();
        let is_due = state.bytes.len() >= FLUSH_BYTES
            || (!state.bytes.is_empty() && now.since(state.flushed_at) >= FLUSH_INTERVAL);
        if !is_due {
            return;
        }
        state.flushed_at = now;
        let stdout = rustix::stdio::stdout();
        match rustix::io::write(stdout, &state.bytes) {
            Ok(written) => {
                state.bytes.drain(..written);
            }
            Err(rustix::io::Errno::AGAIN | rustix::io::Errno::INTR) => {}
            // Nobody reads any more; there is nowhere left to say so.
            Err(_) => state.bytes.clear(),
        }
    }

    /// Writes everything at the end of the process, as far as the reader takes
    /// it at once.
    pub fn finish(&self) {
        self.lock().flushed_at = Moment::default();
        self.flush(Moment::default() + FLUSH_INTERVAL);
    }
}

/// Makes writes to standard output return at once when the reader is slow.
///
/// # Errors
///
/// Fails if the flags of standard output can't be changed.
pub fn never_block_output() -> io::Result<()> {
    let stdout = rustix::stdio::stdout();
    let flags = fcntl_getfl(stdout)?;
    fcntl_setfl(stdout, flags | OFlags::NONBLOCK)?;
    Ok(())
}

/// Creates a logger that fills a buffer.
pub fn logger(buffer: LogBuffer, instance: &str, level: Level) -> Logger {
    let drain = BufferDrain { buffer }.filter_level(level).fuse();
    let unix_ms = FnValue(|_| {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    });
    Logger::root(drain, o!("instance" => instance.to_owned(), "unix_ms" => unix_ms))
}

#[derive(Debug)]
struct BufferDrain {
    buffer: LogBuffer,
}

impl Drain for BufferDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut line = Vec::with_capacity(256);
        let is_formatted =
            Logfmt::new(&mut line).print_tag(false).build().log(record, values).is_ok();
        let mut state = self.buffer.lock();
        let is_served = record.tag() == SERVED;
        if !is_formatted || !state.admits(is_served) {
            if is_served {
                state.dropped_served += 1;
            } else {
                state.dropped += 1;
            }
            return Ok(());
        }
        state.bytes.extend_from_slice(&line);
        Ok(())
    }
}

impl BufferState {
    /// Returns whether a line is kept, and says what was dropped before it.
    fn admits(&mut self, is_served: bool) -> bool {
        if is_served {
            let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            if since.as_secs() != self.second {
                self.second = since.as_secs();
                self.served_in_second = 0;
            }
            self.served_in_second += 1;
            return self.served_in_second <= SERVED_LINES_PER_SECOND
                && self.bytes.len() < BUFFER_LIMIT_BYTES - BUFFER_RESERVE_BYTES;
        }
        if self.bytes.len() >= BUFFER_LIMIT_BYTES {
            return false;
        }
        let dropped = std::mem::take(&mut self.dropped);
        if dropped > 0 {
            // Writing to memory does not fail.
            let _ = writeln!(self.bytes, "level=warn msg=\"log lines dropped\" lines={dropped}");
        }
        true
    }
}
