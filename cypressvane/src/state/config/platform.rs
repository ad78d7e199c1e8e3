//! The section `[platform]`: addresses of the platform's services and how they are read.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Error, check_range};
use crate::state::name::Name;

/// Addresses of the platform's services, and how they are read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Platform {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the host list.
    pub hosts: SocketAddr,
    /// Interval between reads of the table service for a newer configuration, in milliseconds.
    #[serde(default = "Platform::default_poll_ms")]
    pub poll_ms: u64,
    /// Protocol of the platform.
    #[serde(default)]
    pub protocol: Protocol,
    /// Lease of accounts' keys in milliseconds: how long they stay valid without a confirmation by the platform that
    /// the configuration is still the newest; 0 for no limit.
    #[serde(default)]
    pub key_lease_ms: u64,
    /// Maximum number of hosts that watch the host list closely and forward changes to the others; 0 for all hosts.
    #[serde(default)]
    pub list_followers: usize,
    /// Region of each data centre, used for backend servers that name only their data centre.
    #[serde(default)]
    pub regions: BTreeMap<Name, Name>,
}

/// Protocol of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Protocol {
    /// The project's own protocol, for small sites and tests.
    #[default]
    Plain,
    /// The users' platform protocol, through the adapter.
    Adapter,
}

/// Safety margin subtracted from the key lease, in milliseconds; it covers answers in flight and coarse clocks.
const KEY_LEASE_MARGIN_MS: u64 = 100;

impl Platform {
    /// Creates the settings of a platform that serves the project's own protocol at one address.
    #[must_use]
    pub fn at(address: SocketAddr) -> Self {
        Self {
            table: address,
            hosts: address,
            poll_ms: Self::default_poll_ms(),
            protocol: Protocol::Plain,
            key_lease_ms: 0,
            list_followers: 0,
            regions: BTreeMap::new(),
        }
    }

    fn default_poll_ms() -> u64 {
        1_000
    }

    /// Returns the interval between reads of the table service for a newer configuration.
    #[must_use]
    pub fn poll(&self) -> Duration {
        Duration::from_millis(self.poll_ms)
    }

    /// Returns how long a key stays valid without confirmation, less the safety margin; `None` for no limit.
    #[must_use]
    pub fn key_lease(&self) -> Option<Duration> {
        let millis = self.key_lease_ms.saturating_sub(KEY_LEASE_MARGIN_MS);
        (self.key_lease_ms > 0).then(|| Duration::from_millis(millis))
    }

    pub(super) fn check(&self) -> Result<(), Error> {
        check_range("platform.poll_ms", self.poll_ms, 50, 5_000)
    }
}
