//! Which backend servers this host reaches directly.
//!
//! A failed connection attempt alone does not tell whether the server or the path to it has failed. If another host
//! reaches the server, the path has failed: this host then sends requests to the server through other hosts, and tries
//! the path again from time to time, without a request. A host whose paths to several servers fail, and that reaches none
//! in between, is severed: it does not try its paths to the others one by one.
//!
//! A connection that was made does not show that a server is reached, since it may be reset at once. An answer does, on a
//! connection that was made after paths had failed: older connections may live on while new ones fail.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::state::clock::Instant;

/// Number of servers whose paths fail in a row, without one that is reached in between, by which a host is severed.
const SEVERED_MIN: usize = 3;
/// Interval between two trials of failed paths.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// How long a failed path is remembered after its trial was due: its server gets no requests, or is gone.
const UNUSED_TIME: Duration = Duration::from_secs(60);
/// Most failed paths that are remembered: one for each server of the largest site.
const FAILED_MAX: usize = 4_096;

/// How to connect to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// Directly, and through another host if that fails.
    Direct,
    /// Through another host, since the path has failed.
    Detour,
    /// Through another host, while the path is tried again.
    DetourAndTrial,
}

/// A path that has failed, while another host reached the server.
#[derive(Clone, Copy, Debug)]
struct FailedPath {
    /// When it is tried again.
    trial_at: Instant,
}

/// A host that reaches no server directly.
#[derive(Clone, Copy, Debug)]
struct Severed {
    since: Instant,
    /// When some path is tried again.
    trial_at: Instant,
}

/// The paths from this host to the backend servers.
#[derive(Debug, Default)]
pub(crate) struct Paths {
    failed: HashMap<SocketAddr, FailedPath>,
    /// Servers whose paths have failed since the last server was reached directly.
    failed_in_a_row: HashSet<SocketAddr>,
    last_failed_at: Option<Instant>,
    severed: Option<Severed>,
}

impl Paths {
    /// Chooses how to connect to a server.
    pub(crate) fn choose(&mut self, server: SocketAddr, now: Instant) -> Way {
        let trial_at = match (&mut self.severed, self.failed.get_mut(&server)) {
            (Some(severed), _) => &mut severed.trial_at,
            (None, Some(failed)) => &mut failed.trial_at,
            (None, None) => return Way::Direct,
        };
        if now < *trial_at {
            return Way::Detour;
        }
        *trial_at = now + TRIAL_INTERVAL;
        Way::DetourAndTrial
    }

    /// Records that a server was reached over a direct connection that was made at `connected_at`.
    pub(crate) fn note_reached(&mut self, server: SocketAddr, connected_at: Instant, now: Instant) {
        if self.last_failed_at.is_some_and(|at| connected_at <= at) {
            return;
        }
        self.failed.remove(&server);
        self.failed_in_a_row.clear();
        if self.severed.take().is_some() {
            for failed in self.failed.values_mut() {
                failed.trial_at = now;
            }
        }
    }

    /// Records that another host reaches a server to which the direct path has failed.
    pub(crate) fn note_failed(&mut self, server: SocketAddr, now: Instant) {
        let trial_at = now + TRIAL_INTERVAL;
        if self.failed.len() >= FAILED_MAX {
            // Entries of servers that are gone are never tried again.
            self.failed.clear();
        }
        self.failed.insert(server, FailedPath { trial_at });
        self.failed_in_a_row.insert(server);
        self.last_failed_at = Some(now);
        if self.failed_in_a_row.len() >= SEVERED_MIN {
            self.severed.get_or_insert(Severed {
                since: now,
                trial_at,
            });
        }
    }

    /// Forgets the failed paths that no request has needed for a while.
    pub(crate) fn forget_unused(&mut self, now: Instant) {
        let is_used =
            |path: &FailedPath| now.saturating_duration_since(path.trial_at) < UNUSED_TIME;
        self.failed.retain(|_, path| is_used(path));
    }

    /// Whether the direct path to a server has failed, as far as is known.
    pub(crate) fn is_failed(&self, server: SocketAddr) -> bool {
        self.severed.is_some() || self.failed.contains_key(&server)
    }

    /// Whether a path has failed since the last server was reached directly.
    pub(crate) fn is_in_doubt(&self) -> bool {
        !self.failed_in_a_row.is_empty()
    }

    /// Since when this host reaches no server directly; `None` if it reaches some.
    pub(crate) fn severed_since(&self) -> Option<Instant> {
        self.severed.map(|severed| severed.since)
    }

    /// Number of servers to which the direct path has failed.
    pub(crate) fn failed_count(&self) -> usize {
        self.failed.len()
    }
}

#[cfg(test)]
#[path = "paths_tests.rs"]
mod tests;
