//! Conversion of times for storage and output.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

const MINUTE_S: u64 = 60;
const HOUR_S: u64 = 60 * MINUTE_S;
const DAY_S: u64 = 24 * HOUR_S;

/// Returns a wall-clock time in milliseconds since the Unix epoch.
pub fn unix_ms(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Formats the time since a moment, rounded down to the largest unit that fits,
/// for example `2 h ago`.
pub fn ago(then_ms: u64, now_ms: u64) -> String {
    let seconds = Duration::from_millis(now_ms.saturating_sub(then_ms)).as_secs();
    match seconds {
        0..MINUTE_S => format!("{seconds} s ago"),
        MINUTE_S..HOUR_S => format!("{} min ago", seconds / MINUTE_S),
        HOUR_S..DAY_S => format!("{} h ago", seconds / HOUR_S),
        _ => format!("{} d ago", seconds / DAY_S),
    }
}
