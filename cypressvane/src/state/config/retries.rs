//! The section `[retries]`: the budget for sending requests again.

use serde::{Deserialize, Serialize};

use super::{Error, check_range};

/// Fleet-wide budget for retrying a service's requests on another server.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Retries {
    /// Retries allowed per request, on average over the window.
    pub ratio: f64,
    /// Additional retries allowed per window, summed over all hosts.
    pub spare: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: f64,
}

impl Default for Retries {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            spare: 50.0,
            window_ms: 10_000.0,
        }
    }
}

impl Retries {
    pub(super) fn check(&self) -> Result<(), Error> {
        check_range("retries.ratio", self.ratio, 0.0, 10.0)?;
        check_range("retries.spare", self.spare, 0.0, 1_048_576.0)?;
        check_range("retries.window_ms", self.window_ms, 100.0, 3_600_000.0)
    }
}
