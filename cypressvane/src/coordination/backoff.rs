//! How long to rest after calls that failed: longer after each in a row.

use std::time::Duration;

/// Longest rest of a host that asks for all: it notices soon when the other side is back.
const MOST_FOR_ALL: Duration = Duration::from_millis(400);
/// Longest rest of a host that is told what others see: refused calls have their price, and of some hundred hosts
/// that all ask, nearly all ask in vain. In an outage of 8 s a host makes 8 calls rather than 23.
const MOST_OF_OTHERS: Duration = Duration::from_millis(3_200);

/// The rests after calls that failed in a row.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    next: Duration,
}

impl Backoff {
    /// Rests of which the first is so long; each is twice the one before.
    #[must_use]
    pub fn new(first: Duration) -> Self {
        Self { first, next: first }
    }

    /// The rest after one more call that failed; `for_all` says whether others wait for what this host sees.
    pub fn failed(&mut self, for_all: bool) -> Duration {
        let most = if for_all {
            MOST_FOR_ALL
        } else {
            MOST_OF_OTHERS
        };
        let rest = self.next.min(most);
        self.next = (rest * 2).min(most);
        rest
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        self.next = self.first;
    }
}

#[cfg(test)]
#[path = "backoff_tests.rs"]
mod tests;
