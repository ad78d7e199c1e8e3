//! Distinguishes what a host knows to be all there is from what it happens to have seen so far.
//!
//! A list shows what is there now. A host that has just started has not seen what was there before, one that was cut off
//! or stood still has missed what came meanwhile, and entries that expired in an outage of the platform come back one by
//! one. That something is missing proves nothing until the host has followed the list for long enough.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::state::clock::Instant;

/// For how long a host has followed a list without a gap.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Watch {
    /// Since when; `None` before the first read.
    since: Option<Instant>,
}

impl Watch {
    /// Notes that the list was read.
    pub(crate) fn note_read(&mut self, now: Instant) {
        self.since.get_or_insert(now);
    }

    /// Notes that the host may have missed changes until now: it was cut off, or stood still.
    pub(crate) fn note_gap(&mut self, now: Instant) {
        self.since = self.since.map(|_| now);
    }

    /// Returns for how long the host has known what is listed.
    pub(crate) fn span(&self, now: Instant) -> Duration {
        let since = self.since;
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Classifies what the host has seen within the last `period`.
    pub(crate) fn view<T>(&self, seen: T, period: Duration, now: Instant) -> View<T> {
        if self.since.is_some() && self.span(now) >= period {
            View::Whole(seen)
        } else {
            View::Partial(seen)
        }
    }
}

/// What a host has seen of something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum View<T> {
    /// There may be more, or may have been.
    Partial(T),
    /// There is no more.
    Whole(T),
}

impl<T> View<T> {
    /// Whether there is no more than what was seen.
    pub(crate) fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// What was seen.
    pub(crate) fn seen(&self) -> &T {
        match self {
            Self::Partial(seen) | Self::Whole(seen) => seen,
        }
    }
}

impl<T: Clone + Ord> View<BTreeSet<T>> {
    /// Returns the successor of a set that hosts share: a whole view replaces it, and a partial one is added to it.
    pub(crate) fn merged_into(&self, shared: &BTreeSet<T>) -> BTreeSet<T> {
        match self {
            Self::Partial(seen) => seen | shared,
            Self::Whole(seen) => seen.clone(),
        }
    }
}

#[cfg(test)]
#[path = "view_tests.rs"]
mod tests;
