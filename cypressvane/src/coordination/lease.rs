//! How long what was seen of the platform may be believed.

use std::time::Duration;

use crate::state::clock::Instant;

/// A belief that has to be confirmed again and again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    /// How long a confirmation counts; `None` where it counts for ever.
    length: Option<Duration>,
    confirmed: Option<Instant>,
}

impl Lease {
    /// A lease on what nothing is known of yet.
    pub(crate) fn new(length: Option<Duration>) -> Self {
        Self {
            length,
            confirmed: None,
        }
    }

    /// Notes that the belief was right at `moment` or later.
    pub(crate) fn confirm(&mut self, moment: Instant) {
        self.confirmed = self.confirmed.max(Some(moment));
    }

    /// How long ago it was confirmed last; `None` if it never was.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.confirmed?;
        Some(now.saturating_duration_since(confirmed))
    }

    /// Whether it may be believed at `now`.
    pub(crate) fn holds(&self, now: Instant) -> bool {
        let Some(length) = self.length else {
            return true;
        };
        self.age(now).is_some_and(|age| age < length)
    }
}

#[cfg(test)]
#[path = "lease_tests.rs"]
mod tests;
