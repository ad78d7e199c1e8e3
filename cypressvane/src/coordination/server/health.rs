//! Whether a backend server takes work, as its home believes from how requests ended there.

use std::time::Duration;

use crate::state::clock::Instant;

/// Failures in a row after which a server is taken down.
const FAILURES_MAX: u32 = 3;
/// First time that a failing server is left alone.
const DOWN_FIRST: Duration = Duration::from_millis(500);
/// Longest time that a failing server is left alone.
const DOWN_MAX: Duration = Duration::from_secs(30);
/// Time for which a server that had no room is left alone: a few batches of a model engine.
const PAUSE: Duration = Duration::from_millis(100);

/// Whether a server takes work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    /// It takes work.
    Live,
    /// It is leaving: no new work.
    Leaving,
    /// It failed and is left alone until then.
    Down {
        /// When it is tried again.
        until: Instant,
    },
    /// It is tried with one request at a time.
    Trial,
}

impl State {
    /// The word for it in a dump.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Down { .. } => "down",
            Self::Trial => "trial",
        }
    }
}

/// The health of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    pub(crate) state: State,
    pub(crate) since: Instant,
    failures: u32,
    downs: u32,
}

impl Health {
    /// A server that takes work.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            state: State::Live,
            since: now,
            failures: 0,
            downs: 0,
        }
    }

    pub(crate) fn set(&mut self, state: State, now: Instant) {
        if self.state != state {
            self.state = state;
            self.since = now;
        }
    }

    /// Time until it takes work again; `None` when it is leaving.
    pub(crate) fn returns_in(&self, now: Instant) -> Option<Duration> {
        match self.state {
            State::Live | State::Trial => Some(Duration::ZERO),
            State::Down { until } => Some(until.saturating_duration_since(now)),
            State::Leaving => None,
        }
    }

    /// A whole answer, or a first token: the server is well.
    pub(crate) fn recover(&mut self, now: Instant) {
        self.failures = 0;
        if self.state == State::Trial {
            self.downs = 0;
            self.set(State::Live, now);
        }
    }

    /// A refused connection or a broken answer.
    ///
    /// `hard` takes the server down at once: nothing listens there. `share`, from 0 to 1, makes the
    /// rest longer by up to a half, so that servers do not return together.
    pub(crate) fn fail(&mut self, hard: bool, share: f64, now: Instant) {
        if self.state == State::Leaving {
            return;
        }
        self.failures += 1;
        let on_trial = self.state == State::Trial;
        if hard || on_trial || self.failures >= FAILURES_MAX {
            let rest = DOWN_FIRST
                .saturating_mul(1 << self.downs.min(8))
                .min(DOWN_MAX);
            self.downs += 1;
            self.failures = 0;
            let until = now + rest + rest.mul_f64(share / 2.0);
            self.set(State::Down { until }, now);
        }
    }

    /// A broken answer of a server beside which no other takes work.
    ///
    /// Leaving it alone would refuse everybody, though single requests may have failed by themselves: some take
    /// longer than their route allows. So it is tried with one request at a time until a whole answer comes.
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

    /// The server had no room: it is left alone for a moment.
    pub(crate) fn pause(&mut self, now: Instant) {
        if matches!(self.state, State::Live | State::Trial) {
            let until = now + PAUSE;
            self.set(State::Down { until }, now);
        }
    }
}
