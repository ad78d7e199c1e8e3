//! Learns how long plain calls run on a backend server, in relation to the usual running time of their class.
//!
//! A plain call has no prompt whose length would explain its time, and the time does not grow with the number of calls
//! that run beside it. Classes of unlike length share what is learned of a server, since it is learned as a ratio.

use std::time::Duration;

use super::pace::{Forecasts, Pace};
use super::{Server, Work};
use crate::coordination::estimate::Estimate;
use crate::state::clock::Instant;

/// Weight of the newest observation once there are many: about five are remembered, so that a server is known to be slow
/// soon after the first slow answers.
const WEIGHT_MIN: f64 = 0.2;
/// Weight of an observation after a long time without any: the server may have changed meanwhile.
const WEIGHT_AFTER_PAUSE: f64 = 0.3;
/// Time without observations after which the next one has about two thirds of that weight.
const PAUSE_SPAN: Duration = Duration::from_secs(5);
/// Largest factor by which an observation counts as longer or shorter than the forecast, so that a few calls that are
/// long by themselves do not make a server look slow.
const OUTLIER_FACTOR: f64 = 4.0;
/// Mean deviation, as a difference of logarithms, that is assumed of a server without observations.
const PRIOR_DEVIATION: f64 = 0.05;
/// Mean deviations that a forecast lies above the mean, so that most calls take less time.
const MARGIN_DEVIATIONS: f64 = 2.0;
/// Largest factor by which a forecast lies above the mean.
const MARGIN_FACTOR_MAX: f64 = 1.5;
/// Share of the time in which a call is to be answered that the margin of a forecast does not exceed: calls whose times
/// differ much are still placed on a server on which most of them are on time.
const MARGIN_TARGET_SHARE: f64 = 0.8;
/// Factor by which an observation must be shorter than forecast to show that a slow server has become faster.
const RECOVERY_FACTOR: f64 = 1.3;
/// Shortest running time that is learned, in seconds, so that its logarithm is finite.
const SECONDS_MIN: f64 = 0.000_1;
/// Time without observations after which a server is assumed to be half as slow, for the choice of a trial request: one
/// that was very slow would get none otherwise, since no request could wait for so long.
const TRIAL_EASING: Duration = Duration::from_secs(10);

/// Mean and mean deviation of the logarithm of a ratio.
#[derive(Clone, Copy, Debug)]
struct Ratio {
    /// Number of observations, the prior being one.
    observations: u32,
    mean: f64,
    deviation: f64,
}

impl Default for Ratio {
    fn default() -> Self {
        Self {
            observations: 1,
            mean: 0.0,
            deviation: PRIOR_DEVIATION,
        }
    }
}

impl Ratio {
    /// Adds an observed ratio; `pause` is the time since the last one.
    fn learn(&mut self, ratio: f64, pause: Duration) {
        self.observations = self.observations.saturating_add(1);
        let paused = 1.0 - (-pause.as_secs_f64() / PAUSE_SPAN.as_secs_f64()).exp();
        let weight = WEIGHT_MIN
            .max(1.0 / f64::from(self.observations))
            .max(WEIGHT_AFTER_PAUSE * paused);
        let bound = OUTLIER_FACTOR.ln();
        let off = (ratio.ln() - self.mean).clamp(-bound, bound);
        self.mean += weight * off;
        self.deviation += weight * (off.abs() - self.deviation);
    }

    fn mean(&self) -> f64 {
        self.mean.exp()
    }

    /// The factor above the mean that most observations are below.
    fn margin(&self) -> f64 {
        let margin = MARGIN_DEVIATIONS * self.deviation;
        margin.exp().min(MARGIN_FACTOR_MAX)
    }
}

/// Running times of a server's plain calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Calls {
    /// Ratio of the observed times to the usual times.
    observed: Ratio,
    /// The same for the times at the usual pace, which result from the paces that the server has stated.
    at_usual_pace: Ratio,
    /// Running times in seconds, for the state dump.
    seconds: Estimate,
    learned_at: Option<Instant>,
    /// Whether the last observation was much shorter than expected.
    is_recovering: bool,
}

/// A plain call that has ended with a whole answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ran {
    pub(crate) work: Work,
    /// Running time in seconds.
    pub(crate) seconds: f64,
    /// The work that the call needed, in seconds at the usual pace, if the server states its pace.
    at_usual_pace: Option<f64>,
    /// What was forecast when the call was sent.
    forecasts: Option<Forecasts>,
    /// Whether a silence that was reported may have lengthened it.
    pub(crate) is_disturbed: bool,
}

/// What is kept of a running call to learn from its end.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Begun {
    progress: Option<f64>,
    forecasts: Option<Forecasts>,
}

impl Begun {
    /// Returns the call after its end.
    pub(super) fn end(self, work: Work, took: Duration, pace: &Pace, now: Instant) -> Ran {
        let progress = self.progress.zip(pace.progress(now));
        let at_usual_pace = progress.map(|(begin, end)| (end - begin).max(SECONDS_MIN));
        Ran {
            work,
            seconds: took.as_secs_f64().max(SECONDS_MIN),
            at_usual_pace,
            forecasts: self.forecasts,
            is_disturbed: false,
        }
    }
}

impl Calls {
    /// Records a call of a class that usually takes `usual` seconds.
    fn learn(&mut self, ran: &Ran, usual: f64, now: Instant) {
        let pause = self
            .learned_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.learned_at = Some(now);
        self.seconds.observe(ran.seconds);
        let ratio = ran.seconds / usual;
        self.is_recovering = ratio * RECOVERY_FACTOR < self.observed.mean();
        self.observed.learn(ratio, pause);
        if let Some(seconds) = ran.at_usual_pace {
            self.at_usual_pace.learn(seconds / usual, pause);
        }
    }

    /// Returns forecasts of a running time that is usually `usual`, in seconds; `factor` is the stated pace.
    fn forecasts(&self, usual: f64, factor: f64) -> Forecasts {
        Forecasts {
            without: usual * self.observed.mean(),
            with: usual * self.at_usual_pace.mean() * factor,
        }
    }
}

impl Server {
    /// Returns what is kept of a call that is sent now.
    pub(super) fn begin_call(&self, work: &Work, now: Instant) -> Begun {
        Begun {
            progress: self.pace.progress(now),
            forecasts: self.call_forecasts(work, now),
        }
    }

    /// Returns the forecasts of a call's running time without and with the stated pace; `None` if either is unknown.
    fn call_forecasts(&self, work: &Work, now: Instant) -> Option<Forecasts> {
        let factor = self.pace.factor(now)?;
        Some(self.calls.forecasts(work.usual_seconds?, factor))
    }

    /// Returns the running time that most plain calls of this class stay below; `None` if the work is no plain call or
    /// none of its class has been observed in the pool.
    pub(crate) fn call_time(&self, work: &Work, now: Instant) -> Option<Duration> {
        if !work.is_plain() {
            return None;
        }
        let calls = &self.calls;
        let without = work.usual_seconds? * calls.observed.mean();
        let weight = self.stated_pace_weight(now);
        let mean = self.call_forecasts(work, now).map_or(without, |forecasts| {
            without * (forecasts.with / without).powf(weight)
        });
        let margin =
            calls.observed.margin().powf(1.0 - weight) * calls.at_usual_pace.margin().powf(weight);
        let capped = work.first_token_target.as_secs_f64() * MARGIN_TARGET_SHARE;
        Duration::try_from_secs_f64((mean * margin).min(capped).max(mean)).ok()
    }

    /// Returns the weight of the stated pace in forecasts, from 0 to 1.
    pub(super) fn stated_pace_weight(&self, now: Instant) -> f64 {
        if self.uses_stated_pace {
            self.pace.weight(now)
        } else {
            0.0
        }
    }

    /// Takes the plain call that has just ended.
    pub(crate) fn take_ran(&mut self) -> Option<Ran> {
        self.ran.take()
    }

    /// Learns from a plain call of a class that usually takes `usual` seconds.
    pub(crate) fn learn_call(&mut self, ran: &Ran, usual: f64, now: Instant) {
        self.calls.learn(ran, usual, now);
        if let Some(forecasts) = ran.forecasts {
            self.pace.learn(forecasts, ran.seconds);
        }
    }

    /// Returns the learned ratio of the running times of plain calls to the usual ones.
    pub(crate) fn call_ratio(&self) -> f64 {
        self.calls.observed.mean()
    }

    /// Returns the mean running time of plain calls; `None` without observations.
    pub(super) fn mean_call_time(&self) -> Option<Duration> {
        let seconds = self.calls.seconds.mean()?;
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Returns how long ago a plain call was last observed; `None` if none was.
    pub(crate) fn unobserved_for(&self, now: Instant) -> Option<Duration> {
        let at = self.calls.learned_at?;
        Some(now.saturating_duration_since(at))
    }

    /// Whether the last plain call was much faster than expected.
    pub(crate) fn is_recovering(&self) -> bool {
        self.calls.is_recovering
    }

    /// Returns the running time that a trial call must be able to wait for.
    pub(crate) fn trial_time(&self, work: &Work, now: Instant) -> Option<Duration> {
        let unobserved = self.unobserved_for(now)?.as_secs_f64();
        let easing = 0.5_f64.powf(unobserved / TRIAL_EASING.as_secs_f64());
        Some(self.call_time(work, now)?.mul_f64(easing))
    }
}
