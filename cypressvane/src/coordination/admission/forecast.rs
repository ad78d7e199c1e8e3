//! Forecasts when a waiting offer will be granted.

use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::units::to_f64;

/// Grants per second below which no forecast is made: about one grant in the last few seconds.
const GRANT_RATE_MIN: f64 = 0.1;

/// Exponential moving average of a pool's grants per second.
#[derive(Debug)]
pub(crate) struct GrantRate {
    /// Time constant of the average.
    span: Duration,
    /// Grants per second at `at`.
    rate: f64,
    /// Time of the last grant.
    at: Option<Instant>,
}

impl GrantRate {
    /// Creates an average over `span`, which must be long compared with the time between grants and short compared
    /// with a load peak.
    pub(crate) fn new(span: Duration) -> Self {
        Self {
            span,
            rate: 0.0,
            at: None,
        }
    }

    /// Records a grant.
    pub(crate) fn note_grant(&mut self, now: Instant) {
        self.rate = self.rate(now) + 1.0 / self.span.as_secs_f64();
        self.at = Some(now);
    }

    /// Grants per second at `now`.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        let passed = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * (-passed.as_secs_f64() / self.span.as_secs_f64()).exp()
    }

    /// Time until an offer with `ahead` others before it is granted; `None` if there were too few recent grants to
    /// tell.
    pub(crate) fn wait(&self, ahead: usize, now: Instant) -> Option<Duration> {
        let rate = self.rate(now);
        (rate >= GRANT_RATE_MIN)
            .then(|| Duration::from_secs_f64((to_f64(ahead as u64) / rate).min(1e6)))
    }
}
