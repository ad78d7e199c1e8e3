//! How long an observation of the platform stays valid.

use std::time::Duration;

use crate::state::clock::Instant;

/// A lease on an observation, which must be renewed by confirmations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    /// How long a confirmation is valid; `None` if it never expires.
    length: Option<Duration>,
    confirmed: Option<Instant>,
}

impl Lease {
    /// Creates a lease that has not been confirmed.
    pub(crate) fn new(length: Option<Duration>) -> Self {
        Self {
            length,
            confirmed: None,
        }
    }

    /// Records that the observation was still valid at `moment` or later; confirmations may arrive out of order.
    pub(crate) fn confirm(&mut self, moment: Instant) {
        self.confirmed = self.confirmed.max(Some(moment));
    }

    /// Time since the last confirmation; `None` if there was none.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.confirmed?;
        Some(now.saturating_duration_since(confirmed))
    }

    /// Whether the lease is valid at `now`.
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
