//! The wait of a host after a failed call to the platform, before it calls again.
//!
//! The wait lasts for the delay given by `backoff`, which reflects the cost of calls. What the host learns meanwhile
//! may end it early, since a change must be in force within two seconds on every host that the platform answers.

use std::time::Duration;

use crate::state::clock::Instant;

/// Maximum wait of a host whose calls fail while the platform answers others: half of the time in which a change must
/// be in force, since the connection may recover just after a call.
const ONLY_HOST_DELAY_MAX: Duration = Duration::from_secs(1);
/// How long the platform counts as available after it answered another host: the hosts that poll it on behalf of all
/// do so every 2.2 s, and report the result with their next heartbeat.
const RECENT_ANSWER_AGE_MAX: Duration = Duration::from_secs(3);

/// When the platform last answered, as far as this host knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LastAnswers {
    /// Last answer to any call of this host.
    pub(crate) here: Option<Instant>,
    /// Last answer to another host.
    pub(crate) elsewhere: Option<Instant>,
}

/// The wait after a failed call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryDelay {
    began: Instant,
    length: Duration,
    /// Whether only this host's calls failed when the wait began: others had recent answers.
    is_only_host: bool,
}

impl RetryDelay {
    /// Begins a wait of at most `length`.
    pub(crate) fn begin(length: Duration, answered: LastAnswers, now: Instant) -> Self {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= RECENT_ANSWER_AGE_MAX;
        Self {
            began: now,
            length,
            is_only_host: answered.elsewhere.is_some_and(is_recent),
        }
    }

    /// Remaining time, given what is known now.
    pub(crate) fn remaining(&self, answered: LastAnswers, now: Instant) -> Duration {
        let end = self.began + self.length(answered);
        end.saturating_duration_since(now)
    }

    fn length(&self, answered: LastAnswers) -> Duration {
        let is_after_start = |at: Option<Instant>| at.is_some_and(|at| at > self.began);
        if is_after_start(answered.here) {
            return Duration::ZERO;
        }
        if self.is_only_host {
            // Answers to others are nothing new, and this host's own calls may continue to fail.
            return self.length.min(ONLY_HOST_DELAY_MAX);
        }
        if is_after_start(answered.elsewhere) {
            return Duration::ZERO;
        }
        self.length
    }
}

#[cfg(test)]
#[path = "retry_delay_tests.rs"]
mod tests;
