//! The section `[rollouts]`: how far a new version of a service is tried before it is known to be good.

use serde::{Deserialize, Serialize};

use super::{Error, within};

/// The bound on the requests that a bad version may get.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Rollouts {
    /// Part of all requests of the service while its roll-out lasts.
    pub share: f64,
    /// Requests besides, over all hosts.
    pub slack: f64,
}

impl Default for Rollouts {
    fn default() -> Self {
        Self {
            share: 0.1,
            slack: 50.0,
        }
    }
}

impl Rollouts {
    pub(super) fn check(&self) -> Result<(), Error> {
        within("rollouts.share", self.share, 0.001, 0.5)?;
        within("rollouts.slack", self.slack, 0.0, 1_048_576.0)
    }
}
