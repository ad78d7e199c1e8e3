//! How far a host is behind schedule, measured by the delay of a periodic task.

use std::time::Duration;

use crate::state::clock::Instant;

/// Length of a measuring span: some tens of runs of the task, and short compared with a load peak.
const SPAN: Duration = Duration::from_millis(500);

/// Longest recent delay of a periodic task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lag {
    period: Duration,
    /// Time of the last run.
    last: Option<Instant>,
    /// Start of the current span.
    span_start: Option<Instant>,
    /// Longest delay of the current span.
    longest: Duration,
    /// Longest delay of the previous span.
    previous_longest: Duration,
}

impl Lag {
    /// Creates the measurement for a task that is due every `period`.
    pub(crate) fn new(period: Duration) -> Self {
        Self {
            period,
            last: None,
            span_start: None,
            longest: Duration::ZERO,
            previous_longest: Duration::ZERO,
        }
    }

    /// Records a run of the task.
    pub(crate) fn record_run(&mut self, now: Instant) {
        let passed = self
            .last
            .replace(now)
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let span_start = *self.span_start.get_or_insert(now);
        if now.saturating_duration_since(span_start) >= SPAN {
            self.previous_longest = std::mem::take(&mut self.longest);
            self.span_start = Some(now);
        }
        self.longest = self.longest.max(passed.saturating_sub(self.period));
    }

    /// Longest delay in the current and the previous span, including the delay of a run that is overdue.
    pub(crate) fn longest(&self, now: Instant) -> Duration {
        let overdue = self
            .last
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let overdue = overdue.saturating_sub(self.period);
        self.longest.max(self.previous_longest).max(overdue)
    }
}

#[cfg(test)]
#[path = "lag_tests.rs"]
mod tests;
