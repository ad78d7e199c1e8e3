//! A bucket that fills at a rate, and the limits that it keeps.

use std::time::Duration;

use crate::state::clock::Instant;

/// How much a bucket holds, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;
/// Part of the tolerance that is given out; the rest covers the request that overdraws a bucket, and
/// what hosts give out of their own part while an account's home is silent or moves.
const TOLERANCE_PART: f64 = 0.5;
/// How much a bucket under a tolerance holds, in seconds of its rate: enough for uneven arrivals,
/// and little, since what it does not hold goes into the rate.
const BURST_SECONDS_IN_WINDOW: f64 = 0.5;

/// The span over which limits are looked at, and by how much they may be missed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Any span of this length counts.
    pub window: Duration,
    /// Part of the limit by which it may be missed.
    pub overage: f64,
    /// Tokens or requests by which it may be missed besides.
    pub slack: f64,
}

/// A limit as a bucket keeps it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// What it gains a second.
    rate: f64,
    /// What it holds at the most.
    most: f64,
    /// What it holds when it begins.
    first: f64,
}

impl Bounds {
    /// The bounds of a limit of `rate` a second and `burst` at once.
    ///
    /// Over any window a bucket gives out its rate and what it holds, so both are chosen to add up
    /// to what the limit allows. It begins empty: what was given out before is not known.
    pub(crate) fn of(rate: f64, burst: Option<f64>, tolerance: Option<&Tolerance>) -> Self {
        let burst = burst.unwrap_or(rate * BURST_SECONDS);
        let Some(tolerance) = tolerance else {
            return Self {
                rate,
                most: burst,
                first: burst,
            };
        };
        let window = tolerance.window.as_secs_f64();
        let allowed = (rate * window + burst) * (1.0 + tolerance.overage * TOLERANCE_PART)
            + tolerance.slack * TOLERANCE_PART;
        let most = burst.min(rate * BURST_SECONDS_IN_WINDOW).max(1.0);
        Self {
            rate: (allowed - most) / window,
            most,
            first: 0.0,
        }
    }
}

impl Bounds {
    /// The bounds of a bucket that fills at `rate` a second up to `most`, and begins empty.
    pub(crate) fn steady(rate: f64, most: f64) -> Self {
        Self {
            rate,
            most,
            first: 0.0,
        }
    }

    /// What the bucket gains a second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// What it holds at the most.
    pub(crate) fn most(&self) -> f64 {
        self.most
    }
}

/// A bucket that fills at a rate and may be overdrawn by the request that empties it.
///
/// Overdrawing lets a request larger than the bucket through once, and makes the account wait for
/// its cost afterwards, so that the long-run rate holds whatever the lengths are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    bounds: Bounds,
    level: f64,
    at: Instant,
}

impl Bucket {
    /// A bucket that begins to fill at `since`.
    pub(crate) fn new(bounds: Bounds, since: Instant) -> Self {
        Self {
            bounds,
            level: bounds.first,
            at: since,
        }
    }

    /// Fills the bucket up to `now`; from now on it keeps to `bounds`.
    pub(crate) fn fill(&mut self, bounds: Bounds, now: Instant) {
        self.bounds = bounds;
        let gained = now.saturating_duration_since(self.at).as_secs_f64() * bounds.rate;
        self.level = (self.level + gained).min(bounds.most);
        self.at = now;
    }

    /// What it holds.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Empties it to `level`, if it holds more.
    pub(crate) fn lower(&mut self, level: f64) {
        self.level = self.level.min(level);
    }

    /// How long until the bucket is above `floor`; `None` when it is.
    pub(crate) fn wait(&self, floor: f64) -> Option<Duration> {
        (self.level < floor)
            .then(|| Duration::from_secs_f64((floor - self.level) / self.bounds.rate))
    }

    /// Puts `amount` back that was taken out and not used.
    pub(crate) fn give_back(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.bounds.most);
    }

    /// Takes `amount` out, whether it is there or not.
    pub(crate) fn take(&mut self, amount: f64) {
        self.level -= amount;
    }
}
