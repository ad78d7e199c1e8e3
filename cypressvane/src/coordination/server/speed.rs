//! How long a backend server takes to a first token: a part that is fixed, and a part for each prompt
//! token that is read before it. Both are learnt.

use std::time::Duration;

use crate::state::units::real;

/// What is left of the weight of earlier observations after each new one: about twenty are
/// remembered, so that a server that turns slow is known within a second or two.
const KEPT: f64 = 0.95;
/// Weight of each of the two imagined observations by which a belief is held before any is made.
const BELIEF_WEIGHT: f64 = 1.0;
/// Prompt tokens of the longer imagined observation.
const BELIEF_TOKENS: f64 = 4_000.0;
/// Slowest and fastest reading believed of any server, in prompt tokens a second.
const RATE_RANGE: (f64, f64) = (50.0, 1_000_000.0);
/// How many times its forecast an observation counts at most, so that one answer that was stuck does
/// not outweigh all others.
const OUTLIER: f64 = 4.0;
/// Shortest time that an outlier counts, in seconds: below it, nothing is an outlier.
const OUTLIER_MIN: f64 = 0.1;

/// The learnt line of time over prompt tokens, by least squares over weighted observations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed {
    weight: f64,
    tokens: f64,
    seconds: f64,
    tokens_squared: f64,
    tokens_seconds: f64,
    /// Seconds that a first token takes however short the prompt is.
    fixed: f64,
    /// Prompt tokens read a second.
    rate: f64,
}

impl Speed {
    /// What is believed before anything was seen.
    pub(crate) fn believing(rate: f64, fixed: Duration) -> Self {
        let fixed = fixed.as_secs_f64();
        let mut speed = Self {
            weight: 0.0,
            tokens: 0.0,
            seconds: 0.0,
            tokens_squared: 0.0,
            tokens_seconds: 0.0,
            fixed,
            rate,
        };
        speed.add(0.0, fixed, BELIEF_WEIGHT);
        speed.add(BELIEF_TOKENS, fixed + BELIEF_TOKENS / rate, BELIEF_WEIGHT);
        speed
    }

    /// Learns that a first token took so long behind so many prompt tokens, its own included.
    pub(crate) fn learn(&mut self, tokens: u64, took: Duration) {
        let tokens = real(tokens);
        let most = (self.seconds_for(tokens) * OUTLIER).max(OUTLIER_MIN);
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.seconds,
            &mut self.tokens_squared,
            &mut self.tokens_seconds,
        ] {
            *sum *= KEPT;
        }
        self.add(tokens, took.as_secs_f64().min(most), 1.0);
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
        let spread = self.tokens_squared / self.weight - mean_tokens * mean_tokens;
        let together = self.tokens_seconds / self.weight - mean_tokens * mean_seconds;
        // Prompts of one length tell nothing of the slope: the last one is kept.
        if spread > 1.0 {
            let slope = together / spread;
            self.rate = slope.max(1.0 / RATE_RANGE.1).recip().max(RATE_RANGE.0);
        }
        self.fixed = (mean_seconds - mean_tokens / self.rate).max(0.0);
    }

    fn seconds_for(&self, tokens: f64) -> f64 {
        self.fixed + tokens / self.rate
    }

    /// Time to a first token behind so many prompt tokens, its own included.
    pub(crate) fn time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(self.seconds_for(real(tokens)))
    }

    /// Prompt tokens read a second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Time that a first token takes however short the prompt is.
    pub(crate) fn fixed(&self) -> Duration {
        Duration::from_secs_f64(self.fixed)
    }
}
