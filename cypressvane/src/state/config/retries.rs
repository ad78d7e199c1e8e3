//! The section `[retries]`: how often requests may be sent once more.

use serde::{Deserialize, Serialize};

use super::{Error, within};

/// The fleet's budget for sending a service's requests to another server.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Retries {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed in a window besides, over all hosts.
    pub spare: f64,
    /// The window, in milliseconds.
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
        within("retries.ratio", self.ratio, 0.0, 10.0)?;
        within("retries.spare", self.spare, 0.0, 1_048_576.0)?;
        within("retries.window_ms", self.window_ms, 100.0, 3_600_000.0)
    }
}
