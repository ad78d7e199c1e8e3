//! The section `[limits]`: bounds on what this host takes.

use serde::{Deserialize, Serialize};

use super::{Error, within};

/// Bounds on what this host takes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Largest whole answer that is held before it is passed on, in bytes.
    pub answer_bytes: u64,
    /// Most connections open at once on each listener.
    pub connections: u64,
    /// Most requests waiting at once in a pool.
    pub waiting: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            answer_bytes: 16 << 20,
            connections: 16_384,
            waiting: 4_096,
        }
    }
}

impl Limits {
    pub(super) fn check(&self) -> Result<(), Error> {
        within("limits.body_bytes", self.body_bytes, 1, 256 << 20)?;
        within("limits.answer_bytes", self.answer_bytes, 1, 1 << 30)?;
        within("limits.connections", self.connections, 1, 1 << 20)?;
        within("limits.waiting", self.waiting, 1, 1 << 20)
    }
}
