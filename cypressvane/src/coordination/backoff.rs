//! Exponential backoff after failed calls.

use std::time::Duration;

/// Maximum delay of a host that polls on behalf of all, so that it soon notices when the other side is available again.
const DELAY_MAX_POLLER: Duration = Duration::from_millis(400);
/// Maximum delay of a host that learns from the polling hosts what they see. Refused calls have a cost, and when some
/// hundred hosts all poll, nearly all of their calls are useless. In an outage of 8 s such a host makes 8 calls rather
/// than 23.
const DELAY_MAX_OTHERS: Duration = Duration::from_millis(3_200);

/// Delays between consecutive failed calls.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff that starts at `first` and doubles with each failure.
    #[must_use]
    pub fn new(first: Duration) -> Self {
        Self { first, next: first }
    }

    /// Records a failed call and returns the delay before the next one.
    ///
    /// `is_poller` tells whether other hosts rely on what this host reads; it selects the maximum delay.
    pub fn next_delay(&mut self, is_poller: bool) -> Duration {
        let max = if is_poller {
            DELAY_MAX_POLLER
        } else {
            DELAY_MAX_OTHERS
        };
        let delay = self.next.min(max);
        self.next = (delay * 2).min(max);
        delay
    }

    /// Resets the delay after a successful call.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}

#[cfg(test)]
#[path = "backoff_tests.rs"]
mod tests;
