//! The section `[limits]`: resource limits of this host.

use serde::{Deserialize, Serialize};

use super::{Error, check_range};

/// Resource limits of this host.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory that the process may take, in MiB.
    pub memory_mb: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum size of an answer that is buffered completely before it is forwarded, in bytes.
    pub answer_bytes: u64,
    /// Maximum number of open connections per listener.
    pub connections: u64,
    /// Maximum number of waiting requests per pool.
    pub waiting: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: 512,
            body_bytes: 4 << 20,
            answer_bytes: 16 << 20,
            connections: 16_384,
            waiting: 4_096,
        }
    }
}

impl Limits {
    pub(super) fn check(&self) -> Result<(), Error> {
        check_range("limits.memory_mb", self.memory_mb, 1, 1 << 20)?;
        check_range("limits.body_bytes", self.body_bytes, 1, 256 << 20)?;
        check_range("limits.answer_bytes", self.answer_bytes, 1, 1 << 30)?;
        check_range("limits.connections", self.connections, 1, 1 << 20)?;
        check_range("limits.waiting", self.waiting, 1, 1 << 20)
    }
}
