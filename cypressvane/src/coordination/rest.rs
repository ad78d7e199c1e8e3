//! When a host asks again that rests after a call to the platform that failed.
//!
//! How long it rests by itself is decided by what calls cost (`backoff`). What it learns meanwhile decides how long the
//! rest is of use to anybody: a change is to be in force within two seconds at each host that the platform answers.

use std::time::Duration;

use crate::state::clock::Instant;

/// Longest rest of a host that the platform turns away while it answers others: half of the time in which a change is
/// to be in force, so that the way may be back just after a call.
const TURNED_AWAY: Duration = Duration::from_secs(1);
/// For how long the platform counts as there after it answered another host: the hosts that look at it for all do so each
/// 2.2 s, and tell with the next heartbeat.
const LATELY: Duration = Duration::from_secs(3);

/// When the platform answered last, as far as this host knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Answered {
    /// This host, whatever it asked for.
    pub(crate) here: Option<Instant>,
    /// Another host.
    pub(crate) elsewhere: Option<Instant>,
}

/// A rest after a call that failed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rest {
    began: Instant,
    length: Duration,
    /// Whether the platform turned this host away alone when it began: others had answers lately.
    is_alone: bool,
}

impl Rest {
    /// Begins a rest that takes `length` unless something is learnt meanwhile.
    pub(crate) fn begin(length: Duration, answered: Answered, now: Instant) -> Self {
        let lately = |at: Instant| now.saturating_duration_since(at) <= LATELY;
        Self {
            began: now,
            length,
            is_alone: answered.elsewhere.is_some_and(lately),
        }
    }

    /// How much of it is left.
    pub(crate) fn left(&self, answered: Answered, now: Instant) -> Duration {
        let end = self.began + self.length(answered);
        end.saturating_duration_since(now)
    }

    fn length(&self, answered: Answered) -> Duration {
        let since = |at: Option<Instant>| at.is_some_and(|at| at > self.began);
        if since(answered.here) {
            return Duration::ZERO;
        }
        if self.is_alone {
            // That others have answers is no news, and its own calls may go on to fail.
            return self.length.min(TURNED_AWAY);
        }
        if since(answered.elsewhere) {
            return Duration::ZERO;
        }
        self.length
    }
}

#[cfg(test)]
#[path = "rest_tests.rs"]
mod tests;
