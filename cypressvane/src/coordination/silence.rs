//! Decides when the silence of a server is worth a report to its pool's home.

use std::time::Duration;

/// Shortest silence that is reported: servers that stand still for less are no news.
const SILENCE_MIN: Duration = Duration::from_millis(300);
/// Multiple of the expected time from which a silence is reported.
const SUSPICIOUS_FACTOR: u32 = 4;

/// Silence before the first part of an answer from which it is reported; `forecast` is the expected time to that part.
pub(crate) fn suspicious_after(forecast: Duration) -> Duration {
    SILENCE_MIN.max(forecast * SUSPICIOUS_FACTOR)
}

/// Silence between two parts of an answer from which it is reported; `longest` is the longest pause so far, `allowed` the
/// longest one that is on time, zero if there is no bound.
pub(crate) fn suspicious_pause(longest: Duration, allowed: Duration) -> Duration {
    SILENCE_MIN.max(allowed).max(longest * SUSPICIOUS_FACTOR)
}
