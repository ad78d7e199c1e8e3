//! The section `[quarantine]`: requests under which backend servers end.

use serde::{Deserialize, Serialize};

use super::{Error, within};

/// When a request is kept from the backend servers, and for how long.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Quarantine {
    /// Servers that end under a request, one after the other and without a whole answer between, before it is
    /// kept from all of them; 0 for never.
    pub ends: u64,
    /// How long it is kept from them, and how long an end counts, in milliseconds.
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
                allowed: "0, or 2 to 60: one end says nothing of what ran there".to_owned(),
            });
        }
        within("quarantine.ends", self.ends, 0, 60)?;
        within("quarantine.kept_ms", self.kept_ms, 1_000, 86_400_000)
    }
}
