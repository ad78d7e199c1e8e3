//! The settings of one host: one module per section, with defaults in code.

mod accounts;
mod admission;
mod cold_starts;
mod engines;
mod host;
mod limits;
mod listeners;
mod logs;
mod peers;
mod platform;
mod quarantine;
mod retries;
mod rollouts;
mod servers;
mod sharing;
mod timeouts;

use std::fmt::Display;

use serde::{Deserialize, Serialize};

pub use accounts::Accounts;
pub use admission::Admission;
pub use cold_starts::ColdStarts;
pub use engines::{EngineDefaults, Engines};
pub use host::Host;
pub use limits::Limits;
pub use listeners::Listeners;
pub use logs::{Level, Logs};
pub use peers::Peers;
pub use platform::{Platform, Protocol};
pub use quarantine::Quarantine;
pub use retries::Retries;
pub use rollouts::Rollouts;
pub use servers::Servers;
pub use sharing::Sharing;
pub use timeouts::Timeouts;

/// Everything a host reads from its settings file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Config {
    /// Identity and location of this host.
    pub host: Host,
    /// Listen addresses.
    #[serde(default)]
    pub listeners: Listeners,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Resource limits.
    #[serde(default)]
    pub limits: Limits,
    /// Timeouts.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// Links to the other hosts.
    #[serde(default)]
    pub peers: Peers,
    /// Initial estimates for model engines, and placement costs.
    #[serde(default)]
    pub engines: Engines,
    /// Tolerances for enforcing accounts' limits.
    #[serde(default)]
    pub accounts: Accounts,
    /// What refused callers may rely on.
    #[serde(default)]
    pub admission: Admission,
    /// Tolerances for the rate of requests to cold backend servers.
    #[serde(default)]
    pub cold_starts: ColdStarts,
    /// Retry budget.
    #[serde(default)]
    pub retries: Retries,
    /// Quarantine of requests that end backend servers.
    #[serde(default)]
    pub quarantine: Quarantine,
    /// What is believed of the statements of backend servers.
    #[serde(default)]
    pub servers: Servers,
    /// Limits on the traffic of new versions under trial.
    #[serde(default)]
    pub rollouts: Rollouts,
    /// Sharing of the pools' capacity.
    #[serde(default)]
    pub sharing: Sharing,
    /// Log settings.
    #[serde(default)]
    pub logs: Logs,
}

/// A setting is outside its range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {found} found, {allowed} allowed")]
pub struct Error {
    /// Key with its section, such as `limits.body_bytes`.
    pub key: &'static str,
    /// Value found.
    pub found: String,
    /// Values allowed.
    pub allowed: String,
}

impl Config {
    /// Validates the settings beyond what their types enforce.
    ///
    /// # Errors
    /// Reports the first key outside its range, with the value found and the values allowed.
    pub fn check(&self) -> Result<(), Error> {
        self.host.check()?;
        self.platform.check()?;
        self.limits.check()?;
        self.timeouts.check()?;
        self.peers.check()?;
        self.retries.check()?;
        self.quarantine.check()?;
        self.rollouts.check()?;
        self.accounts.check()?;
        self.engines.check()?;
        self.cold_starts.check()?;
        self.logs.check()
    }
}

/// Fails unless `found` lies between `least` and `most`, both inclusive; NaN is outside every range.
fn check_range<T: Copy + PartialOrd + Display>(
    key: &'static str,
    found: T,
    least: T,
    most: T,
) -> Result<(), Error> {
    if (least..=most).contains(&found) {
        return Ok(());
    }
    Err(Error {
        key,
        found: found.to_string(),
        allowed: format!("{least} to {most}"),
    })
}
