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
    pub spare: u64,
    /// The window, in milliseconds.
    pub window_ms: u64,
}

impl Default for Retries {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            spare: 50,
            window_ms: 10_000,
        }
    }
}

impl Retries {
    pub(super) fn check(&self) -> Result<(), Error> {
        if !(0.0..=10.0).contains(&self.ratio) {
            return Err(Error {
                key: "retries.ratio",
                found: self.ratio.to_string(),
                allowed: "0 to 10".to_owned(),
            });
        }
        within("retries.spare", self.spare, 0, 1 << 20)?;
        within("retries.window_ms", self.window_ms, 100, 3_600_000)
    }
}
