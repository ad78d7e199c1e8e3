//! The section `[engines]`: what is believed of model engines before they have answered.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Error, within};

/// What is believed of a backend server before it has answered; afterwards it is learnt.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Engines {
    /// Prompt tokens that it reads a second.
    pub prefill_rate: u32,
    /// Time from sending to the first token that a prompt takes however short it is, in
    /// milliseconds.
    pub overhead_ms: u64,
}

impl Default for Engines {
    fn default() -> Self {
        Self {
            prefill_rate: 4_000,
            overhead_ms: 5,
        }
    }
}

impl Engines {
    /// Time that a prompt takes however short it is.
    #[must_use]
    pub fn overhead(&self) -> Duration {
        Duration::from_millis(self.overhead_ms)
    }

    pub(super) fn check(&self) -> Result<(), Error> {
        within(
            "engines.prefill_rate",
            self.prefill_rate.into(),
            50,
            1_000_000,
        )?;
        within("engines.overhead_ms", self.overhead_ms, 0, 10_000)
    }
}
