//! Which backend servers this host reaches directly.
//!
//! A failed connection attempt alone does not tell whether the server or the path to it has failed. If another host
//! reaches the server, the path has failed: this host then sends requests to the server through other hosts, and tries
//! the path again from time to time, without a request. A host whose paths to several servers fail, and that reaches none
//! in between, is severed: it does not try its paths to the others one by one.
//!
//! A connection that was made does not show that a server is reached, since it may be reset at once. An answer does, on a
//! connection that was made after paths had failed: older connections may live on while new ones fail.
//!
//! A path also fails by silence: connections are accepted, and nothing comes back while others hear the server. Only an
//! answer shows that such a path is well again, so it is tried with requests that may run twice.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::state::clock::Instant;

/// Number of servers whose paths fail in a row, without one that is reached in between, by which a host is severed.
const SEVERED_MIN: usize = 3;
/// Interval between two trials of failed paths.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Time until a path that has failed by silence is first tried; it doubles with each trial.
const SILENT_TRIAL_MIN: Duration = Duration::from_secs(1);
/// Longest time between two such trials.
const SILENT_TRIAL_MAX: Duration = Duration::from_secs(16);
/// How long a failed path is remembered after its trial was due: its server gets no requests, or is gone.
const UNUSED_TIME: Duration = Duration::from_secs(60);
/// Most failed paths that are remembered: one for each server of the largest site.
const FAILED_MAX: usize = 4_096;
/// Most servers whose last answers are remembered.
const REACHED_MAX: usize = FAILED_MAX;

/// How to connect to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// Directly, and through another host if that fails.
    Direct,
    /// Through another host, since the path has failed.
    Detour,
    /// Through another host, while the path is tried again.
    DetourAndTrial,
    /// Directly, with this request as the trial of a path that has failed by silence.
    Trial,
}

/// How a path has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Connections fail.
    Connection,
    /// Nothing comes back on connections.
    Silence {
        /// Time until the trial after the next one.
        interval: Duration,
    },
}

/// A path that has failed, while another host reached the server.
#[derive(Clone, Copy, Debug)]
struct FailedPath {
    cause: Cause,
    /// When it is tried again.
    trial_at: Instant,
    /// When a request last needed it.
    used_at: Instant,
}

/// A host that reaches no server directly.
#[derive(Clone, Copy, Debug)]
struct Severed {
    since: Instant,
    /// Whether only an answer shows that a path is well again.
    is_silent: bool,
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
    /// When a server last answered over a direct connection.
    reached: HashMap<SocketAddr, Instant>,
}

impl Paths {
    /// Chooses how to connect to a server; `may_repeat` tells whether the request may run twice.
    pub(crate) fn choose(&mut self, server: SocketAddr, may_repeat: bool, now: Instant) -> Way {
        let failed = self.failed.get_mut(&server);
        if let Some(path) = failed
            && let Cause::Silence { interval } = &mut path.cause
        {
            path.used_at = now;
            if now < path.trial_at || !may_repeat {
                return Way::Detour;
            }
            path.trial_at = now + *interval;
            *interval = (*interval * 2).min(SILENT_TRIAL_MAX);
            return Way::Trial;
        }
        let (trial_at, is_silent) = match (&mut self.severed, self.failed.get_mut(&server)) {
            (Some(severed), _) => (&mut severed.trial_at, severed.is_silent),
            (None, Some(failed)) => (&mut failed.trial_at, false),
            (None, None) => return Way::Direct,
        };
        if now < *trial_at || is_silent && !may_repeat {
            return Way::Detour;
        }
        if is_silent {
            *trial_at = now + SILENT_TRIAL_MAX;
            return Way::Trial;
        }
        *trial_at = now + TRIAL_INTERVAL;
        Way::DetourAndTrial
    }

    /// Whether the path to a server has failed by silence, so that a request sent over it may be lost.
    pub(crate) fn is_silent(&self, server: SocketAddr) -> bool {
        match self.failed.get(&server) {
            Some(path) => matches!(path.cause, Cause::Silence { .. }),
            None => self.severed.is_some_and(|severed| severed.is_silent),
        }
    }

    /// Records that a server was reached over a direct connection that was made at `connected_at`.
    pub(crate) fn note_reached(&mut self, server: SocketAddr, connected_at: Instant, now: Instant) {
        if self.last_failed_at.is_some_and(|at| connected_at <= at) {
            return;
        }
        self.failed.remove(&server);
        if self.reached.len() >= REACHED_MAX {
            self.reached.clear();
        }
        self.reached.insert(server, now);
        self.failed_in_a_row.clear();
        if self.severed.take().is_some() {
            let broken = self.failed.values_mut();
            for path in broken.filter(|path| path.cause == Cause::Connection) {
                path.trial_at = now;
            }
        }
    }

    /// Records that another host reaches a server to which the direct path has failed.
    pub(crate) fn note_failed(&mut self, server: SocketAddr, now: Instant) {
        self.fail(server, Cause::Connection, now + TRIAL_INTERVAL, now);
    }

    /// Records that a request has heard nothing from a server over a direct connection since `since`, while others heard the
    /// server. Returns whether the path has failed: not if this host has heard the server over it, since only that request
    /// hangs then.
    pub(crate) fn note_silent(&mut self, server: SocketAddr, since: Instant, now: Instant) -> bool {
        if self.reached.get(&server).is_some_and(|at| *at > since) {
            return false;
        }
        if !self.failed.contains_key(&server) || !self.is_silent(server) {
            let interval = SILENT_TRIAL_MIN * 2;
            let cause = Cause::Silence { interval };
            self.fail(server, cause, now + SILENT_TRIAL_MIN, now);
        }
        true
    }

    fn fail(&mut self, server: SocketAddr, cause: Cause, trial_at: Instant, now: Instant) {
        if self.failed.len() >= FAILED_MAX {
            // Entries of servers that are gone are never tried again.
            self.failed.clear();
        }
        let path = FailedPath {
            cause,
            trial_at,
            used_at: now,
        };
        self.failed.insert(server, path);
        self.failed_in_a_row.insert(server);
        self.last_failed_at = Some(now);
        if self.failed_in_a_row.len() >= SEVERED_MIN {
            self.severed.get_or_insert(Severed {
                since: now,
                is_silent: cause != Cause::Connection,
                trial_at,
            });
        }
    }

    /// Forgets the failed paths that no request has needed for a while.
    pub(crate) fn forget_unused(&mut self, now: Instant) {
        let is_used = |path: &FailedPath| {
            let last = path.trial_at.max(path.used_at);
            now.saturating_duration_since(last) < UNUSED_TIME
        };
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
