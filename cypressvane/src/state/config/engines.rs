//! The section `[engines]`: initial estimates for model engines without observed answers, and placement costs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Error, check_range};

/// Initial estimates for a server that has not answered yet, and placement costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineDefaults {
    /// Prefill rate, in prompt tokens per second.
    pub prefill_rate: f64,
    /// Fixed part of the time to the first token, independent of the prompt's length.
    pub overhead: Duration,
    /// Additional time to the first token that is accepted to stay in the holder's own data centre.
    pub distance: Duration,
    /// Additional time to the first token that is accepted to use a server that recently processed the prompt's prefix.
    pub opening: Duration,
}

impl Default for EngineDefaults {
    fn default() -> Self {
        Self {
            prefill_rate: 4_000.0,
            overhead: Duration::from_millis(5),
            distance: Duration::ZERO,
            opening: Duration::ZERO,
        }
    }
}

/// The section `[engines]` of the settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Engines {
    /// Prefill rate, in prompt tokens per second.
    pub prefill_rate: u32,
    /// Fixed part of the time from sending a request to its first token, independent of the prompt's length, in
    /// milliseconds.
    pub overhead_ms: u64,
    /// Additional time to the first token that is accepted to stay in the holder's own data centre, in milliseconds;
    /// it accounts for the cost of traffic between data centres.
    pub distance_ms: u64,
    /// Additional time to the first token that is accepted to use a server that recently processed the prompt's
    /// prefix, in milliseconds.
    pub opening_ms: u64,
}

impl Default for Engines {
    fn default() -> Self {
        Self {
            prefill_rate: 4_000,
            overhead_ms: 5,
            distance_ms: 0,
            opening_ms: 0,
        }
    }
}

impl Engines {
    /// Returns the initial estimates as durations and rates.
    #[must_use]
    pub fn defaults(&self) -> EngineDefaults {
        EngineDefaults {
            prefill_rate: f64::from(self.prefill_rate),
            overhead: Duration::from_millis(self.overhead_ms),
            distance: Duration::from_millis(self.distance_ms),
            opening: Duration::from_millis(self.opening_ms),
        }
    }

    pub(super) fn check(&self) -> Result<(), Error> {
        check_range("engines.prefill_rate", self.prefill_rate, 50, 1_000_000)?;
        check_range("engines.overhead_ms", self.overhead_ms, 0, 10_000)?;
        check_range("engines.distance_ms", self.distance_ms, 0, 10_000)?;
        check_range("engines.opening_ms", self.opening_ms, 0, 10_000)
    }
}
