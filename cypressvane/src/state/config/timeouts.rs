//! The section `[timeouts]`: timeouts and heartbeat intervals of this host.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Error, check_range};

/// Maximum value of a timeout, in milliseconds.
const TIMEOUT_MS_MAX: u64 = 3_600_000;

/// Timeouts and intervals of this host, all in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Timeouts {
    /// How long a request may wait on a starting host until a configuration is in force and the host list and the
    /// quarantine rulings have been read; that takes 10 to 35 ms while the platform answers.
    pub start_ms: u64,
    /// Time from the first byte of a request to the end of its head.
    pub head_ms: u64,
    /// Time from the end of a request's head to the end of its body.
    pub body_ms: u64,
    /// How long a keep-alive connection may stay idle.
    pub idle_ms: u64,
    /// How long a client may accept no byte of an answer.
    pub write_ms: u64,
    /// How long a backend server may take to accept a connection.
    pub connect_ms: u64,
    /// How long a backend server may send no data while it runs a request.
    pub silence_ms: u64,
    /// How long new connections are still accepted after SIGTERM, so that the load balancer can detect the shutdown.
    pub grace_ms: u64,
    /// How long waiting and running requests may take to finish after the grace period.
    pub drain_ms: u64,
    /// Interval between heartbeats to another host.
    pub heartbeat_ms: u64,
    /// Time without heartbeats after which a host is suspected and no longer chosen as a home.
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
    /// Converts a timeout of this section to a duration.
    #[must_use]
    pub fn duration(millis: u64) -> Duration {
        Duration::from_millis(millis)
    }

    pub(super) fn check(&self) -> Result<(), Error> {
        check_range("timeouts.start_ms", self.start_ms, 0, TIMEOUT_MS_MAX)?;
        check_range("timeouts.head_ms", self.head_ms, 1, TIMEOUT_MS_MAX)?;
        check_range("timeouts.body_ms", self.body_ms, 1, TIMEOUT_MS_MAX)?;
        check_range("timeouts.idle_ms", self.idle_ms, 1, TIMEOUT_MS_MAX)?;
        check_range("timeouts.write_ms", self.write_ms, 1, TIMEOUT_MS_MAX)?;
        check_range("timeouts.connect_ms", self.connect_ms, 1, TIMEOUT_MS_MAX)?;
        check_range("timeouts.silence_ms", self.silence_ms, 1, TIMEOUT_MS_MAX)?;
        check_range("timeouts.grace_ms", self.grace_ms, 0, TIMEOUT_MS_MAX)?;
        check_range("timeouts.drain_ms", self.drain_ms, 0, TIMEOUT_MS_MAX)?;
        check_range(
            "timeouts.heartbeat_ms",
            self.heartbeat_ms,
            10,
            TIMEOUT_MS_MAX,
        )?;
        check_range("timeouts.suspect_ms", self.suspect_ms, 20, TIMEOUT_MS_MAX)
    }
}
