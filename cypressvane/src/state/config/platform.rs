//! The section `[platform]`: where the platform's services are.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Error, within};

/// Where the platform's services are and how often they are read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Platform {
    /// The table service.
    pub table: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
    /// Time between two reads of the configuration's head row, in milliseconds.
    #[serde(default = "Platform::default_poll_ms")]
    pub poll_ms: u64,
}

impl Platform {
    fn default_poll_ms() -> u64 {
        1_000
    }

    /// Time between two reads of the configuration's head row.
    #[must_use]
    pub fn poll(&self) -> Duration {
        Duration::from_millis(self.poll_ms)
    }

    pub(super) fn check(&self) -> Result<(), Error> {
        within("platform.poll_ms", self.poll_ms, 50, 5_000)
    }
}
