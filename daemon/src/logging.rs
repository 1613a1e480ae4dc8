//! One line of key=value pairs on standard error for each event.

use slog::{Drain, Level, Logger, o};
use slog_async::OverflowStrategy;

use crate::settings::LogLevel;

/// Events kept while standard error is slow; later ones are counted and dropped.
const QUEUED_EVENTS: usize = 4096;

/// Creates the logger of a process.
pub fn logger(level: LogLevel, instance: &str) -> Logger {
    let format = slog_logfmt::Logfmt::new(std::io::stderr())
        .no_prefix()
        .print_level(true)
        .print_msg(true)
        .build();
    let drain = slog_async::Async::new(format.fuse())
        .chan_size(QUEUED_EVENTS)
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
