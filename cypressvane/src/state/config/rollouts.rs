//! The section `[rollouts]`: limits on the traffic of a new version before it is known to be good.

use serde::{Deserialize, Serialize};

use super::{Error, check_range};

/// Upper bound on the requests that a faulty version may receive.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Rollouts {
    /// Fraction of the service's requests during the roll-out.
    pub share: f64,
    /// Additional requests, summed over all hosts.
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
        check_range("rollouts.share", self.share, 0.001, 0.5)?;
        check_range("rollouts.slack", self.slack, 0.0, 1_048_576.0)
    }
}
