//! The section `[engines]`: what is believed of model engines before they have answered.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Error, within};

/// What is believed of a server that has not answered yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Prompt tokens that it reads a second.
    pub prefill_rate: f64,
    /// Time to the first token that a prompt takes however short it is.
    pub overhead: Duration,
    /// Time that is given for a server in the holder's own data centre.
    pub distance: Duration,
    /// Time that is given for a server that has lately read what a prompt begins with.
    pub opening: Duration,
}

impl Default for Belief {
    fn default() -> Self {
        Self {
            prefill_rate: 4_000.0,
            overhead: Duration::from_millis(5),
            distance: Duration::ZERO,
            opening: Duration::ZERO,
        }
    }
}

/// The same as it stands in the settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Engines {
    /// Prompt tokens that it reads a second.
    pub prefill_rate: u32,
    /// Time from sending to the first token that a prompt takes however short it is, in
    /// milliseconds.
    pub overhead_ms: u64,
    /// Time to the first token that is given for a server in the holder's own data centre, in
    /// milliseconds: what crosses between data centres has its price.
    pub distance_ms: u64,
    /// Time to the first token that is given for a server that has lately read what a prompt begins
    /// with, in milliseconds.
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
    /// What is believed of a server at first.
    #[must_use]
    pub fn belief(&self) -> Belief {
        Belief {
            prefill_rate: f64::from(self.prefill_rate),
            overhead: Duration::from_millis(self.overhead_ms),
            distance: Duration::from_millis(self.distance_ms),
            opening: Duration::from_millis(self.opening_ms),
        }
    }

    pub(super) fn check(&self) -> Result<(), Error> {
        within("engines.prefill_rate", self.prefill_rate, 50, 1_000_000)?;
        within("engines.overhead_ms", self.overhead_ms, 0, 10_000)?;
        within("engines.distance_ms", self.distance_ms, 0, 10_000)?;
        within("engines.opening_ms", self.opening_ms, 0, 10_000)
    }
}
