//! Learns how long a backend server takes to a first token: an overhead, and a time for each prompt token that is
//! read before it.

use std::time::Duration;

use crate::state::units::to_f64;

/// Factor by which the weight of earlier observations decays with each new one: about twenty are remembered, so that
/// a server that becomes slow is detected within a second or two.
const DECAY: f64 = 0.95;
/// Weight of each of the two prior observations that stand for the configured defaults.
const PRIOR_WEIGHT: f64 = 1.0;
/// Prompt tokens of the longer prior observation.
const PRIOR_TOKENS: f64 = 4_000.0;
/// Slowest and fastest rate that is assumed for any server, in prompt tokens per second.
const RATE_RANGE: (f64, f64) = (50.0, 1_000_000.0);
/// Largest multiple of its forecast that an observation counts as, so that one answer that was stuck does not
/// outweigh all others.
const OUTLIER_FACTOR: f64 = 4.0;
/// Shortest cap on an observation, in seconds: nothing below it is an outlier.
const OUTLIER_SECONDS_MIN: f64 = 0.1;

/// A line of time over prompt tokens, fitted by least squares over weighted observations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed {
    weight: f64,
    tokens: f64,
    seconds: f64,
    tokens_squared: f64,
    tokens_seconds: f64,
    /// Seconds that a first token takes however short the prompt is.
    overhead: f64,
    /// Prompt tokens that are read per second.
    rate: f64,
}

impl Speed {
    /// Returns the speed that is assumed before any observation.
    pub(crate) fn with_prior(rate: f64, overhead: Duration) -> Self {
        let overhead = overhead.as_secs_f64();
        let mut speed = Self {
            weight: 0.0,
            tokens: 0.0,
            seconds: 0.0,
            tokens_squared: 0.0,
            tokens_seconds: 0.0,
            overhead,
            rate,
        };
        speed.add(0.0, overhead, PRIOR_WEIGHT);
        speed.add(PRIOR_TOKENS, overhead + PRIOR_TOKENS / rate, PRIOR_WEIGHT);
        speed
    }

    /// Records that a first token took `took` behind `tokens` prompt tokens, its own included.
    pub(crate) fn learn(&mut self, tokens: u64, took: Duration) {
        let tokens = to_f64(tokens);
        let max_seconds = (self.seconds_for(tokens) * OUTLIER_FACTOR).max(OUTLIER_SECONDS_MIN);
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.seconds,
            &mut self.tokens_squared,
            &mut self.tokens_seconds,
        ] {
            *sum *= DECAY;
        }
        self.add(tokens, took.as_secs_f64().min(max_seconds), 1.0);
        self.fit();
    }

    fn add(&mut self, tokens: f64, seconds: f64, weight: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.seconds += weight * seconds;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_seconds += weight * tokens * seconds;
    }

    fn fit(&mut self) {
        let (mean_tokens, mean_seconds) = (self.tokens / self.weight, self.seconds / self.weight);
        let variance = self.tokens_squared / self.weight - mean_tokens * mean_tokens;
        let covariance = self.tokens_seconds / self.weight - mean_tokens * mean_seconds;
        // Prompts of one length give no slope, so the last slope is kept.
        if variance > 1.0 {
            let slope = covariance / variance;
            self.rate = slope.max(1.0 / RATE_RANGE.1).recip().max(RATE_RANGE.0);
        }
        self.overhead = (mean_seconds - mean_tokens / self.rate).max(0.0);
    }

    fn seconds_for(&self, tokens: f64) -> f64 {
        self.overhead + tokens / self.rate
    }

    /// Returns the time to a first token behind `tokens` prompt tokens, its own included.
    pub(crate) fn time_to_first_token(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(self.seconds_for(to_f64(tokens)))
    }

    /// Returns the prompt tokens that are read per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the time that a first token takes however short the prompt is.
    pub(crate) fn overhead(&self) -> Duration {
        Duration::from_secs_f64(self.overhead)
    }
}
