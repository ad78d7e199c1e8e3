//! A token bucket that may be overdrawn, and its parameters for a limit.

use std::time::Duration;

use crate::state::clock::Instant;

/// Capacity of a bucket without a tolerance or a burst, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;
/// Share of the tolerance that buckets give out. The remainder covers the request that overdraws a bucket, and what
/// hosts give out of their own share while an account's home is silent or moves.
const TOLERANCE_SHARE: f64 = 0.5;
/// Largest capacity of a bucket under a tolerance, in seconds of its rate: enough for uneven arrivals, and small,
/// because the tolerance that is not used for capacity raises the rate.
const BURST_SECONDS_IN_WINDOW: f64 = 0.5;

/// The time window over which limits are checked, and by how much they may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the window; every window of this length counts.
    pub window: Duration,
    /// Share of the limit by which it may be exceeded.
    pub overage: f64,
    /// Tokens or requests by which it may be exceeded in addition.
    pub slack: f64,
}

/// The parameters of a bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Parameters {
    /// Amount gained per second.
    rate: f64,
    /// Largest level.
    capacity: f64,
    /// Initial level.
    initial: f64,
}

impl Parameters {
    /// Returns the parameters for a limit of `rate` per second and `burst` at once.
    ///
    /// Over any window a bucket gives out at most its capacity plus what it gains. With a tolerance, both are chosen
    /// so that they add up to what the limit allows, and the bucket starts empty, because what was given out before
    /// is unknown.
    pub(crate) fn for_limit(rate: f64, burst: Option<f64>, tolerance: Option<&Tolerance>) -> Self {
        let burst = burst.unwrap_or(rate * BURST_SECONDS);
        let Some(tolerance) = tolerance else {
            return Self {
                rate,
                capacity: burst,
                initial: burst,
            };
        };
        let window = tolerance.window.as_secs_f64();
        let allowed = (rate * window + burst) * (1.0 + tolerance.overage * TOLERANCE_SHARE)
            + tolerance.slack * TOLERANCE_SHARE;
        let capacity = burst.min(rate * BURST_SECONDS_IN_WINDOW).max(1.0);
        Self {
            rate: (allowed - capacity) / window,
            capacity,
            initial: 0.0,
        }
    }
}

impl Parameters {
    /// Returns the parameters of a bucket that gains `rate` per second up to `capacity` and starts empty.
    pub(crate) fn starting_empty(rate: f64, capacity: f64) -> Self {
        Self {
            rate,
            capacity,
            initial: 0.0,
        }
    }

    /// Returns the amount gained per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the largest level.
    pub(crate) fn capacity(&self) -> f64 {
        self.capacity
    }
}

/// A token bucket that the request which empties it may overdraw.
///
/// Overdrawing lets a request that is larger than the bucket through once and makes the account wait for its cost
/// afterwards, so that the long-run rate holds whatever the size of the requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    parameters: Parameters,
    level: f64,
    filled_at: Instant,
}

impl Bucket {
    /// Creates a bucket that starts to fill at `since`.
    pub(crate) fn new(parameters: Parameters, since: Instant) -> Self {
        Self {
            parameters,
            level: parameters.initial,
            filled_at: since,
        }
    }

    /// Fills the bucket up to `now` at the rate of `parameters`, which apply from then on.
    pub(crate) fn fill(&mut self, parameters: Parameters, now: Instant) {
        self.parameters = parameters;
        let gained = now.saturating_duration_since(self.filled_at).as_secs_f64() * parameters.rate;
        self.level = (self.level + gained).min(parameters.capacity);
        self.filled_at = now;
    }

    /// Returns the level, which is negative while the bucket is overdrawn.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Lowers the level to `level`, if it is higher.
    pub(crate) fn lower_to(&mut self, level: f64) {
        self.level = self.level.min(level);
    }

    /// Returns how long until the level reaches `floor`; `None` if it has.
    pub(crate) fn wait(&self, floor: f64) -> Option<Duration> {
        (self.level < floor)
            .then(|| Duration::from_secs_f64((floor - self.level) / self.parameters.rate))
    }

    /// Puts back `amount` that was taken and not used.
    pub(crate) fn give_back(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.parameters.capacity);
    }

    /// Takes `amount`, even if the level is lower.
    pub(crate) fn take(&mut self, amount: f64) {
        self.level -= amount;
    }
}
