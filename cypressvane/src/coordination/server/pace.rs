//! The pace that a backend server states: how long work takes there now, in relation to its usual time.
//!
//! The statement counts as far as earlier ones have predicted the server's times better than the times alone, and only
//! for a short while, so that a false or an old one loses its effect.

use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::pace::{PACE_RANGE, USUAL_PACE};

/// Time in which the weight of a statement falls to about a third.
const AGE_SPAN: Duration = Duration::from_secs(1);
/// Age after which a statement says nothing.
const AGE_MAX: Duration = Duration::from_secs(5);
/// Difference of the logarithms of two forecasts below which an observation says nothing of which is better.
const DISAGREEMENT_MIN: f64 = 0.1;
/// Error that is assumed of both forecasts at first, as the difference of logarithms.
const PRIOR_ERROR: f64 = 0.3;
/// Number of observations that this assumption counts as.
const PRIOR_OBSERVATIONS: f64 = 3.0;
/// Number of observations that count at most.
const OBSERVATIONS_MAX: f64 = 10.0;

/// A pace that a server has stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Stated {
    /// In percent of the usual time.
    pub(crate) pace: u32,
    pub(crate) at: Instant,
}

impl Stated {
    fn factor(self) -> f64 {
        f64::from(self.pace) / f64::from(USUAL_PACE)
    }
}

/// Forecasts of one running time, in seconds: by the observed times alone, and with the stated pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Forecasts {
    pub(crate) without: f64,
    pub(crate) with: f64,
}

/// What a server states of its pace, and how well that has predicted its times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    stated: Option<Stated>,
    /// Work done since the first statement by a request that ran all the time, in seconds at the usual pace.
    progress: f64,
    /// Mean errors of the forecasts, as differences of logarithms.
    errors: Forecasts,
    observations: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            stated: None,
            progress: 0.0,
            errors: Forecasts {
                without: PRIOR_ERROR,
                with: PRIOR_ERROR,
            },
            observations: PRIOR_OBSERVATIONS,
        }
    }
}

impl Pace {
    /// Records a statement; one that is out of range has no effect.
    pub(crate) fn note(&mut self, pace: u32, now: Instant) {
        if !PACE_RANGE.contains(&pace) {
            return;
        }
        let next = Stated { pace, at: now };
        if let Some(last) = self.stated {
            // The change came at an unknown time between the statements.
            let passed = now.saturating_duration_since(last.at).as_secs_f64();
            self.progress += passed * f64::midpoint(last.factor().recip(), next.factor().recip());
        }
        self.stated = Some(next);
    }

    /// Returns the newest statement.
    pub(crate) fn stated(&self) -> Option<Stated> {
        self.stated
    }

    /// Returns the work done until now by a request that ran all the time, in seconds at the usual pace; `None` without
    /// a statement that is new enough.
    pub(crate) fn progress(&self, now: Instant) -> Option<f64> {
        let stated = self.newest(now)?;
        let passed = now.saturating_duration_since(stated.at).as_secs_f64();
        Some(self.progress + passed / stated.factor())
    }

    /// Returns the factor by which work takes longer than usual, as last stated; `None` without a statement that is new
    /// enough.
    pub(crate) fn factor(&self, now: Instant) -> Option<f64> {
        self.newest(now).map(Stated::factor)
    }

    fn newest(&self, now: Instant) -> Option<Stated> {
        self.stated
            .filter(|stated| now.saturating_duration_since(stated.at) < AGE_MAX)
    }

    /// Records how long a request took whose running time was forecast. Only where the forecasts disagree does that
    /// tell which is better.
    pub(crate) fn learn(&mut self, forecasts: Forecasts, took: f64) {
        let disagreement = (forecasts.with / forecasts.without).ln().abs();
        if disagreement.is_nan() || disagreement < DISAGREEMENT_MIN {
            return;
        }
        self.observations = (self.observations + 1.0).min(OBSERVATIONS_MAX);
        let error = |forecast: f64| (took / forecast).ln().abs();
        self.errors.with += (error(forecasts.with) - self.errors.with) / self.observations;
        self.errors.without += (error(forecasts.without) - self.errors.without) / self.observations;
    }

    /// Returns the weight of the newest statement, from 0 to 1. It is 0 unless earlier ones have made the forecasts
    /// better, and 1 if they have at least halved the errors.
    pub(crate) fn weight(&self, now: Instant) -> f64 {
        let Some(stated) = self.newest(now) else {
            return 0.0;
        };
        let age = now.saturating_duration_since(stated.at).as_secs_f64();
        let trust = (2.0 * (1.0 - self.errors.with / self.errors.without)).clamp(0.0, 1.0);
        trust * (-age / AGE_SPAN.as_secs_f64()).exp()
    }
}

#[cfg(test)]
#[path = "pace_tests.rs"]
mod tests;
