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

    /// Raises the average to `rate` if it is lower.
    pub(crate) fn raise(&mut self, rate: f64, now: Instant) {
        self.rate = self.rate(now).max(rate);
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
    /// tell. `capacity` is the highest rate that is possible, if it is known.
    pub(crate) fn wait(
        &self,
        ahead: usize,
        capacity: Option<f64>,
        now: Instant,
    ) -> Option<Duration> {
        let rate = self.rate(now);
        let rate = capacity.map_or(rate, |capacity| rate.min(capacity));
        (rate >= GRANT_RATE_MIN)
            .then(|| Duration::from_secs_f64((to_f64(ahead as u64) / rate).min(1e6)))
    }
}

/// Decayed mean of the time for which a request occupies a slot.
#[derive(Debug, Default)]
pub(crate) struct SlotTime {
    weight: f64,
    seconds: f64,
}

impl SlotTime {
    /// Factor by which the weight of earlier requests decays with each new one: about a hundred are remembered, so that
    /// a mix of short and long requests gives a steady mean.
    const DECAY: f64 = 0.99;
    /// Fewest requests from which a mean is derived, since a single one may have been stuck.
    const WEIGHT_MIN: f64 = 4.0;
    /// Shortest mean for which a capacity is derived, in seconds.
    const SECONDS_MIN: f64 = 0.000_1;

    /// Records the time from the grant of a request to its end.
    pub(crate) fn observe(&mut self, time: Duration) {
        self.weight = self.weight * Self::DECAY + 1.0;
        self.seconds = self.seconds * Self::DECAY + time.as_secs_f64();
    }

    /// Mean time in a slot, in seconds; `None` if too little was observed.
    pub(crate) fn mean(&self) -> Option<f64> {
        (self.weight >= Self::WEIGHT_MIN).then(|| self.seconds / self.weight)
    }

    /// Requests per second that so many slots can serve; `None` if too little was observed.
    pub(crate) fn capacity(&self, slots: usize) -> Option<f64> {
        self.mean()
            .map(|mean| to_f64(slots as u64) / mean.max(Self::SECONDS_MIN))
    }
}
