//! The section `[quarantine]`: handling of requests that end backend servers.

use serde::{Deserialize, Serialize};

use super::{Error, check_range};

/// When a request is quarantined, that is no longer sent to backend servers, and for how long.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Quarantine {
    /// Number of servers that must end while running the request, one after the other and without a complete
    /// answer in between, before the request is quarantined; 0 disables the quarantine.
    pub ends: u64,
    /// Duration of the quarantine, and how long a server's end is counted, in milliseconds.
    pub kept_ms: u64,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            ends: 3,
            kept_ms: 600_000,
        }
    }
}

impl Quarantine {
    pub(super) fn check(&self) -> Result<(), Error> {
        if self.ends == 1 {
            return Err(Error {
                key: "quarantine.ends",
                found: "1".to_owned(),
                allowed: "0, or 2 to 60: a single end does not implicate the request".to_owned(),
            });
        }
        check_range("quarantine.ends", self.ends, 0, 60)?;
        check_range("quarantine.kept_ms", self.kept_ms, 1_000, 86_400_000)
    }
}
