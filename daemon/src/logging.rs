//! Logging to standard error: one line of key=value pairs for each event.

use slog::{Drain, Level, Logger, o};
use slog_async::OverflowStrategy;

use crate::settings::LogLevel;

/// Capacity of the queue of events for standard error; events beyond it are
/// dropped, and their number is logged.
const EVENT_QUEUE_CAPACITY: usize = 4096;

/// Creates the logger of a process; each line names the instance.
pub fn logger(level: LogLevel, instance: &str) -> Logger {
    let format = slog_logfmt::Logfmt::new(std::io::stderr())
        .no_prefix()
        .print_level(true)
        .print_msg(true)
        .build();
    let drain = slog_async::Async::new(format.fuse())
        .chan_size(EVENT_QUEUE_CAPACITY)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build();
    let drain = drain.filter_level(Level::from(level)).fuse();
    Logger::root(drain, o!("instance" => instance.to_owned()))
}

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warning => Self::Warning,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
        }
    }
}
