//! Conversions between counts, durations and the numbers used for display and calculation.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::state::clock::Instant;

/// Converts a count to a float, saturating at `u32::MAX`; larger counts are treated as unbounded.
pub(crate) fn to_f64(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::from(u32::MAX), f64::from)
}

/// Truncates a float to a `u32`, clamping it to the range of the type.
pub(crate) fn to_u32(count: f64) -> u32 {
    let count = count.clamp(0.0, f64::from(u32::MAX));
    // The clamp above guarantees the range.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = count as u32;
    whole
}

/// Converts milliseconds, possibly fractional, to a duration; zero if the value is negative, too large or not a number.
pub(crate) fn duration_from_millis(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or_default()
}

/// Returns a duration in whole milliseconds, saturating at `u64::MAX`.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the whole milliseconds from `then` to `now`; 0 if `then` is later.
pub(crate) fn millis_since(then: Instant, now: Instant) -> u64 {
    millis(now.saturating_duration_since(then))
}

/// Returns the time since the Unix epoch; zero if the system clock is set before it.
pub(crate) fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
