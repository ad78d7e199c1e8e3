//! The section `[cold_starts]`: by how much a backend server's rate may exceed what it can take while it is cold.

use serde::{Deserialize, Serialize};

use super::{Error, check_range};
use crate::state::units::to_u32;

/// Tolerances for the rate of requests to a cold backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct ColdStarts {
    /// Factor of the rate that a service states for its cold servers.
    pub overage: f64,
    /// Requests in any second in addition.
    pub slack: f64,
}

impl Default for ColdStarts {
    fn default() -> Self {
        Self {
            overage: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdStarts {
    /// Returns the most requests that a server may get in any second, where a cold one can take `per_second`.
    #[must_use]
    pub fn most(&self, per_second: u32) -> u32 {
        to_u32(f64::from(per_second) * self.overage + self.slack).max(1)
    }

    pub(super) fn check(&self) -> Result<(), Error> {
        check_range("cold_starts.overage", self.overage, 1.0, 100.0)?;
        check_range("cold_starts.slack", self.slack, 0.0, 1_048_576.0)
    }
}
