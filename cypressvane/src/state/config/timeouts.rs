//! The section `[timeouts]`: how long this host waits.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Error, within};

/// Longest time-out that may be set, in milliseconds.
const LONGEST_MS: u64 = 3_600_000;

/// How long this host waits, each in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Timeouts {
    /// How long a request may wait on a host that starts until a configuration is in force and the host
    /// list was read: 10 to 35 ms while the platform answers.
    pub start_ms: u64,
    /// From the first byte of a request to the end of its head.
    pub head_ms: u64,
    /// From the head of a request to the end of its body.
    pub body_ms: u64,
    /// How long a kept-alive connection may stay idle.
    pub idle_ms: u64,
    /// How long a reader may take no byte of its answer.
    pub write_ms: u64,
    /// How long a backend server may take to accept a connection.
    pub connect_ms: u64,
    /// How long a backend server may send nothing after it was given a request.
    pub silence_ms: u64,
    /// How long after SIGTERM new connections are still taken, so that the balancer can notice.
    pub grace_ms: u64,
    /// How long after the grace waiting and running requests may take to finish.
    pub drain_ms: u64,
    /// Time between two heartbeats to another host.
    pub heartbeat_ms: u64,
    /// Silence after which a host is no longer given homes.
    pub suspect_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            start_ms: 100,
            head_ms: 10_000,
            body_ms: 30_000,
            idle_ms: 60_000,
            write_ms: 30_000,
            connect_ms: 1_000,
            silence_ms: 60_000,
            grace_ms: 2_000,
            drain_ms: 120_000,
            heartbeat_ms: 500,
            suspect_ms: 2_000,
        }
    }
}

impl Timeouts {
    /// A time-out of this section as a duration.
    #[must_use]
    pub fn of(millis: u64) -> Duration {
        Duration::from_millis(millis)
    }

    pub(super) fn check(&self) -> Result<(), Error> {
        within("timeouts.start_ms", self.start_ms, 0, LONGEST_MS)?;
        within("timeouts.head_ms", self.head_ms, 1, LONGEST_MS)?;
        within("timeouts.body_ms", self.body_ms, 1, LONGEST_MS)?;
        within("timeouts.idle_ms", self.idle_ms, 1, LONGEST_MS)?;
        within("timeouts.write_ms", self.write_ms, 1, LONGEST_MS)?;
        within("timeouts.connect_ms", self.connect_ms, 1, LONGEST_MS)?;
        within("timeouts.silence_ms", self.silence_ms, 1, LONGEST_MS)?;
        within("timeouts.grace_ms", self.grace_ms, 0, LONGEST_MS)?;
        within("timeouts.drain_ms", self.drain_ms, 0, LONGEST_MS)?;
        within("timeouts.heartbeat_ms", self.heartbeat_ms, 10, LONGEST_MS)?;
        within("timeouts.suspect_ms", self.suspect_ms, 20, LONGEST_MS)
    }
}
