//! How much work an account was granted recently.

use std::time::Duration;

use crate::state::clock::Instant;

/// Time constant of the average: long compared with one request, short compared with a load peak.
pub(super) const SPAN: Duration = Duration::from_secs(2);

/// Exponential moving average of work per second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkRate {
    /// Work per second at `changed`.
    rate: f64,
    changed: Option<Instant>,
}

impl WorkRate {
    /// Adds work, or takes back some that was not done.
    pub(super) fn add(&mut self, work: f64, now: Instant) {
        self.rate = (self.at(now) + work / SPAN.as_secs_f64()).max(0.0);
        self.changed = Some(now);
    }

    /// Work per second at `now`.
    pub(super) fn at(&self, now: Instant) -> f64 {
        let passed = self
            .changed
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * (-passed.as_secs_f64() / SPAN.as_secs_f64()).exp()
    }
}
