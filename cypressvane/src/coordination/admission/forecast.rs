//! When a waiting request is likely to have its turn.

use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::units::real;

/// Grants a second below which the pace tells nothing: one in the span's last few seconds.
const RATE_KNOWN: f64 = 0.1;

/// How fast a pool grants.
#[derive(Debug)]
pub(crate) struct Pace {
    /// Time over which grants are averaged.
    span: Duration,
    /// Grants a second, averaged.
    rate: f64,
    at: Option<Instant>,
}

impl Pace {
    /// A pace averaged over `span`: long against the time between grants, short against a rush.
    pub(crate) fn over(span: Duration) -> Self {
        Self {
            span,
            rate: 0.0,
            at: None,
        }
    }

    /// Counts a grant.
    pub(crate) fn grant(&mut self, now: Instant) {
        self.rate = self.rate(now) + 1.0 / self.span.as_secs_f64();
        self.at = Some(now);
    }

    /// Grants a second.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        let passed = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * (-passed.as_secs_f64() / self.span.as_secs_f64()).exp()
    }

    /// Time until the turn of a request with `ahead` others before it; `None` when nothing was
    /// granted lately.
    pub(crate) fn wait(&self, ahead: usize, now: Instant) -> Option<Duration> {
        let rate = self.rate(now);
        (rate >= RATE_KNOWN).then(|| Duration::from_secs_f64((real(ahead as u64) / rate).min(1e6)))
    }
}
