//! The section `[peers]`: links to the other hosts of the region.

use serde::{Deserialize, Serialize};

use super::{Error, check_range};

/// Which links a host keeps.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Peers {
    /// Number of hosts of a region up to which each of them keeps a link to every other one. In a larger region a host
    /// keeps links to a few neighbours, and opens others while it has something to send.
    pub mesh_max: usize,
    /// Largest number of requests that this host carries at once for hosts that do not reach the backend servers.
    pub carried_max: usize,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            mesh_max: 320,
            carried_max: 1_024,
        }
    }
}

impl Peers {
    pub(super) fn check(&self) -> Result<(), Error> {
        check_range("peers.mesh_max", self.mesh_max, 1, 1_024)?;
        check_range("peers.carried_max", self.carried_max, 0, 65_536)
    }
}
