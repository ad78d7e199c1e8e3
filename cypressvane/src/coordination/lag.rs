//! How far a host is behind with its work, told by how late a task of its own has its turn.

use std::time::Duration;

use crate::state::clock::Instant;

/// Time for which a delay counts: some tens of looks, and short against a rush.
const SPAN: Duration = Duration::from_millis(500);

/// The longest delay of late of a task that is due at a steady pace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lag {
    period: Duration,
    last: Option<Instant>,
    /// Since when `longest` is measured.
    since: Option<Instant>,
    longest: Duration,
    /// The longest of the span before.
    before: Duration,
}

impl Lag {
    /// No delay yet of a task that is due each `period`.
    pub(crate) fn of(period: Duration) -> Self {
        Self {
            period,
            last: None,
            since: None,
            longest: Duration::ZERO,
            before: Duration::ZERO,
        }
    }

    /// Notes that the task has its turn.
    pub(crate) fn turn(&mut self, now: Instant) {
        let passed = self
            .last
            .replace(now)
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let since = *self.since.get_or_insert(now);
        if now.saturating_duration_since(since) >= SPAN {
            self.before = std::mem::take(&mut self.longest);
            self.since = Some(now);
        }
        self.longest = self.longest.max(passed.saturating_sub(self.period));
    }

    /// The longest delay of the last one or two spans, or the one under way.
    pub(crate) fn recent(&self, now: Instant) -> Duration {
        let under_way = self
            .last
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let under_way = under_way.saturating_sub(self.period);
        self.longest.max(self.before).max(under_way)
    }
}

#[cfg(test)]
#[path = "lag_tests.rs"]
mod tests;
