//! The health of a backend server, which its home infers from how requests ended there.

use std::time::Duration;

use crate::state::clock::Instant;

/// Consecutive failures after which a server is down.
pub(super) const FAILURES_MAX: u32 = 3;
/// How long a server is first down; each further time doubles it.
const DOWN_MIN: Duration = Duration::from_millis(500);
/// Longest time that a server is down, before jitter.
const DOWN_MAX: Duration = Duration::from_secs(30);
/// Longest time that a server is down while no other server of its pool takes work, before jitter: all servers become
/// reachable again at once when the hosts' network recovers.
const DOWN_ALONE_MAX: Duration = Duration::from_millis(500);
/// How long a server that had no room is down: a few batches of a model engine.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// Whether a server takes work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    /// The server takes work.
    Live,
    /// The server is leaving and gets no new work.
    Leaving,
    /// The server failed or had no room, and gets no work until a point in time.
    Down {
        /// When the server is tried again.
        until: Instant,
    },
    /// The server asked for rest, and gets no work until a point in time.
    Resting {
        /// When the server is tried again.
        until: Instant,
    },
    /// The server gets one request at a time.
    Trial,
}

impl State {
    /// Returns the name of the state in a dump.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Down { .. } => "down",
            Self::Resting { .. } => "resting",
            Self::Trial => "trial",
        }
    }

    /// Returns when a server that gets no work is tried again.
    pub(crate) fn ends_at(self) -> Option<Instant> {
        match self {
            Self::Down { until } | Self::Resting { until } => Some(until),
            Self::Live | Self::Leaving | Self::Trial => None,
        }
    }
}

/// How a request failed at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The answer broke off, never came, or was an error.
    Broken,
    /// The server accepts no connection.
    Unreachable,
    /// The server accepts no connection, and no other server of the pool takes work.
    UnreachableAlone,
    /// No host has heard the server for long, or on its trial.
    Silent,
    /// The same, and no other server of the pool takes work.
    SilentAlone,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    pub(crate) state: State,
    pub(crate) since: Instant,
    failures: u32,
    consecutive_downs: u32,
    /// Whether the server is down, or was last, only since it was silent.
    is_silent: bool,
}

impl Health {
    /// Returns the health of a server that takes work.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            state: State::Live,
            since: now,
            failures: 0,
            consecutive_downs: 0,
            is_silent: false,
        }
    }

    pub(crate) fn set(&mut self, state: State, now: Instant) {
        if self.state != state {
            self.state = state;
            self.since = now;
        }
    }

    /// Returns the time until the server takes work again; `None` if it is leaving.
    pub(crate) fn available_in(&self, now: Instant) -> Option<Duration> {
        match self.state {
            State::Live | State::Trial => Some(Duration::ZERO),
            State::Down { until } | State::Resting { until } => {
                Some(until.saturating_duration_since(now))
            }
            State::Leaving => None,
        }
    }

    /// Records a whole answer or a first token.
    pub(crate) fn recover(&mut self, now: Instant) {
        self.failures = 0;
        if self.state == State::Trial {
            self.consecutive_downs = 0;
            self.set(State::Live, now);
        }
    }

    /// Records a sign of life: a server that is down only since it was silent takes work again.
    pub(crate) fn hear(&mut self, now: Instant) {
        if self.is_silent && matches!(self.state, State::Down { .. } | State::Trial) {
            self.failures = 0;
            self.consecutive_downs = 0;
            self.is_silent = false;
            self.set(State::Live, now);
        }
    }

    /// Records a refused connection or a broken answer.
    ///
    /// An unreachable server is down at once. `jitter`, from 0 to 1, makes the backoff longer by up to a half, so that
    /// servers do not return together.
    pub(crate) fn fail(&mut self, failure: Failure, jitter: f64, now: Instant) {
        if matches!(self.state, State::Leaving | State::Resting { .. }) {
            return;
        }
        self.failures += 1;
        let on_trial = self.state == State::Trial;
        if failure != Failure::Broken || on_trial || self.failures >= FAILURES_MAX {
            let down_max = match failure {
                Failure::UnreachableAlone | Failure::SilentAlone => DOWN_ALONE_MAX,
                Failure::Broken | Failure::Unreachable | Failure::Silent => DOWN_MAX,
            };
            let backoff = DOWN_MIN
                .saturating_mul(1 << self.consecutive_downs.min(8))
                .min(down_max);
            self.consecutive_downs += 1;
            self.failures = 0;
            let until = now + backoff + backoff.mul_f64(jitter / 2.0);
            self.is_silent = matches!(failure, Failure::Silent | Failure::SilentAlone);
            self.set(State::Down { until }, now);
        }
    }

    /// Records a broken answer of a server when no other server takes work.
    ///
    /// Taking it down would refuse all requests, though single requests may fail without a fault of the server: some
    /// take longer than their route allows. So the server gets one request at a time until an answer or a first token
    /// comes.
    pub(crate) fn fail_alone(&mut self, now: Instant) {
        if self.state != State::Live {
            return;
        }
        self.failures += 1;
        if self.failures >= FAILURES_MAX {
            self.failures = 0;
            self.set(State::Trial, now);
        }
    }

    /// Lets the server rest. A shorter rest than the current one, or than the time for which the server is down, does
    /// not bring it back earlier.
    pub(crate) fn rest(&mut self, until: Instant, now: Instant) {
        if self.state == State::Leaving {
            return;
        }
        let until = self.state.ends_at().max(Some(until)).unwrap_or(until);
        self.set(State::Resting { until }, now);
    }

    /// Takes the server down for a moment because it had no room; `pause` is the time if it is not the usual one.
    pub(crate) fn pause_full(&mut self, pause: Option<Duration>, now: Instant) {
        if matches!(self.state, State::Live | State::Trial) {
            let until = now + pause.unwrap_or(FULL_PAUSE);
            self.is_silent = false;
            self.set(State::Down { until }, now);
        }
    }
}
