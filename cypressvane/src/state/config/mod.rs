//! The settings of one host: one file a section, defaults in code.

mod accounts;
mod engines;
mod host;
mod limits;
mod listeners;
mod logs;
mod platform;
mod quarantine;
mod retries;
mod rollouts;
mod timeouts;

use std::fmt::Display;

use serde::{Deserialize, Serialize};

pub use accounts::Accounts;
pub use engines::{Belief, Engines};
pub use host::Host;
pub use limits::Limits;
pub use listeners::Listeners;
pub use logs::{Level, Logs};
pub use platform::{Platform, Protocol};
pub use quarantine::Quarantine;
pub use retries::Retries;
pub use rollouts::Rollouts;
pub use timeouts::Timeouts;

/// Everything a host reads from its settings file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Config {
    /// Who and where this host is.
    pub host: Host,
    /// Where it listens.
    #[serde(default)]
    pub listeners: Listeners,
    /// Where the platform's services are.
    pub platform: Platform,
    /// Bounds on what it takes.
    #[serde(default)]
    pub limits: Limits,
    /// How long it waits.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// What is believed of model engines at first.
    #[serde(default)]
    pub engines: Engines,
    /// How exactly accounts' limits are kept.
    #[serde(default)]
    pub accounts: Accounts,
    /// How often requests may be sent once more.
    #[serde(default)]
    pub retries: Retries,
    /// Requests under which backend servers end.
    #[serde(default)]
    pub quarantine: Quarantine,
    /// How far new versions of services are tried.
    #[serde(default)]
    pub rollouts: Rollouts,
    /// What it logs.
    #[serde(default)]
    pub logs: Logs,
}

/// A setting outside its range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {found} found, {allowed} allowed")]
pub struct Error {
    /// The key with its section, such as `limits.body_bytes`.
    pub key: &'static str,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl Config {
    /// Checks what the types alone cannot.
    ///
    /// # Errors
    /// Names the first key outside its range, what was found and what is allowed.
    pub fn check(&self) -> Result<(), Error> {
        self.host.check()?;
        self.platform.check()?;
        self.limits.check()?;
        self.timeouts.check()?;
        self.retries.check()?;
        self.quarantine.check()?;
        self.rollouts.check()?;
        self.accounts.check()?;
        self.engines.check()?;
        self.logs.check()
    }
}

/// Fails unless `found` lies between `least` and `most`, both included; what is no number lies in no range.
fn within<T: Copy + PartialOrd + Display>(
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
