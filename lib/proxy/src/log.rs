//! Logging that never blocks the request path.
//!
//! Lines are buffered in memory and written to standard output without blocking.
//! Lines about served requests are limited per second and to a part of the buffer;
//! other lines are dropped only when the buffer is full because the reader of
//! standard output is too slow or has stopped. Dropped lines are counted, and those
//! that are not about served requests are also reported in the log. See
//! `docs/OPERATIONS.md`.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use slog::{Drain, FnValue, Level, Logger, Never, OwnedKVList, Record, o};
use slog_logfmt::Logfmt;

use crate::moment::Moment;

/// The tag of log records about served requests.
pub const SERVED_TAG: &str = "served";

/// The most bytes that are buffered; four times the size of a pipe.
const BUFFER_LIMIT_BYTES: usize = 256 * 1024;
/// The part of the buffer that lines about served requests must leave free.
const BUFFER_RESERVE_BYTES: usize = 192 * 1024;
/// How many lines about served requests are logged per second.
const SERVED_LINES_PER_SECOND: u32 = 50;
/// How long lines are buffered at most if the reader takes them.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// The number of buffered bytes from which they are written without further delay.
const FLUSH_BYTES: usize = 8 * 1024;

/// The log lines that have not been written yet.
#[derive(Debug, Clone, Default)]
pub struct LogBuffer {
    state: Arc<Mutex<BufferState>>,
}

#[derive(Debug, Default)]
struct BufferState {
    bytes: Vec<u8>,
    /// The second of Unix time to which `served_in_second` belongs.
    counted_second: u64,
    /// How many lines about served requests were logged or dropped in that second.
    served_in_second: u32,
    /// How many lines about served requests were dropped.
    dropped_served: u64,
    /// How many other lines were dropped since the log last reported their number.
    dropped_unreported: u64,
    flushed_at: Moment,
}

impl LogBuffer {
    fn lock(&self) -> MutexGuard<'_, BufferState> {
        // A panic while a line was added leaves at worst a part of that line.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many lines were dropped: those about served requests since the
    /// start, and the others that the log has not reported yet.
    pub fn dropped(&self) -> u64 {
        let state = self.lock();
        state.dropped_unreported + state.dropped_served
    }

    /// Writes buffered lines if they are due, as far as standard output accepts them
    /// without blocking.
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
            // Standard output is closed, so the error can't be reported anywhere.
            Err(_) => state.bytes.clear(),
        }
    }

    /// Writes the remaining lines at the end of the process, as far as standard
    /// output accepts them without blocking.
    pub fn finish(&self) {
        // A last flush long ago makes this one due.
        self.lock().flushed_at = Moment::default();
        self.flush(Moment::default() + FLUSH_INTERVAL);
    }
}

/// Makes writes to standard output return at once instead of blocking when its
/// reader is slow.
///
/// # Errors
///
/// Fails if the flags of standard output can't be changed.
pub fn set_stdout_nonblocking() -> io::Result<()> {
    let stdout = rustix::stdio::stdout();
    let flags = fcntl_getfl(stdout)?;
    fcntl_setfl(stdout, flags | OFlags::NONBLOCK)?;
    Ok(())
}

/// Creates a logger that writes lines into a buffer.
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
        let is_served = record.tag() == SERVED_TAG;
        if !is_formatted || !state.reserve_line(is_served) {
            if is_served {
                state.dropped_served += 1;
            } else {
                state.dropped_unreported += 1;
            }
            return Ok(());
        }
        state.bytes.extend_from_slice(&line);
        Ok(())
    }
}

impl BufferState {
    /// Returns whether a line may be added. Counts a line about a served request
    /// towards the limit per second; before any other line, adds one that reports how
    /// many were dropped.
    fn reserve_line(&mut self, is_served: bool) -> bool {
        if is_served {
            let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            if since.as_secs() != self.counted_second {
                self.counted_second = since.as_secs();
                self.served_in_second = 0;
            }
            self.served_in_second += 1;
            return self.served_in_second <= SERVED_LINES_PER_SECOND
                && self.bytes.len() < BUFFER_LIMIT_BYTES - BUFFER_RESERVE_BYTES;
        }
        if self.bytes.len() >= BUFFER_LIMIT_BYTES {
            return false;
        }
        let dropped = std::mem::take(&mut self.dropped_unreported);
        if dropped > 0 {
            // Writing to memory can't fail.
            let _ = writeln!(self.bytes, "level=warn msg=\"log lines dropped\" lines={dropped}");
        }
        true
    }
}
