//! Counts and durations as the numbers that are shown and calculated with.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::state::clock::Instant;

/// A count as a real number; counts beyond 32 bits are as good as infinite here.
pub(crate) fn real(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::from(u32::MAX), f64::from)
}

/// The whole part of a real number that is a small count.
pub(crate) fn whole(count: f64) -> u32 {
    let count = count.clamp(0.0, f64::from(u32::MAX));
    // Within the range of the type by the line above.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = count as u32;
    whole
}

/// A duration of so many milliseconds, which may have fractions; none where that is no duration.
pub(crate) fn of_millis(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or_default()
}

/// Whole milliseconds of a duration.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Whole milliseconds from one moment to a later one.
pub(crate) fn millis_since(then: Instant, now: Instant) -> u64 {
    millis(now.saturating_duration_since(then))
}

/// Time since the Unix epoch; zero on a clock before it.
pub(crate) fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
