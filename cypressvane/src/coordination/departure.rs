//! What a host that leaves may still send, so that no answer is cut off when its process ends.
//!
//! A request is sent only if it ends before the process does: at its own deadline, or because answers of its kind take
//! no longer than what is left. Any other is refused while its caller can still go elsewhere.

use std::collections::HashMap;
use std::time::Duration;

use crate::coordination::estimate::Estimate;
use crate::state::clock::Instant;
use crate::state::name::Name;

/// Time in which an answer that is ready reaches its caller.
const DELIVERY_TIME: Duration = Duration::from_millis(250);
/// Mean absolute deviations above the mean within which nearly all answers end.
const DEVIATIONS: f64 = 4.0;
/// Most kinds of requests whose durations are known.
const KINDS_MAX: usize = 4_096;

/// How long answers take, by kind of request: its route, or its service.
#[derive(Debug, Default)]
pub(crate) struct Durations {
    seconds: HashMap<Name, Estimate>,
}

impl Durations {
    /// Adds the time from sending a request to the end of its answer.
    pub(crate) fn note(&mut self, kind: &Name, took: Duration) {
        if let Some(known) = self.seconds.get_mut(kind) {
            known.observe(took.as_secs_f64());
        } else if self.seconds.len() < KINDS_MAX {
            let mut estimate = Estimate::default();
            estimate.observe(took.as_secs_f64());
            self.seconds.insert(kind.clone(), estimate);
        }
    }

    /// Returns the time in which nearly all answers to a kind of request end; `None` before the first one.
    pub(crate) fn longest(&self, kind: &Name) -> Option<Duration> {
        let seconds = self.seconds.get(kind)?.quantile(DEVIATIONS)?;
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// The end of the process, once the host leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Departure {
    /// When every request must have its final answer.
    pub(crate) answer_by: Instant,
}

impl Departure {
    /// A departure that begins at `now`, after which the process ends within `stays_for`.
    pub(crate) fn begin(stays_for: Duration, now: Instant) -> Self {
        Self {
            answer_by: now + stays_for.saturating_sub(DELIVERY_TIME),
        }
    }

    /// Returns for how long a request may still wait before it is sent; `None` if its own deadline ends it in time.
    ///
    /// `longest` is the time in which an answer of its kind ends. If that is unknown, it may take until its deadline.
    pub(crate) fn wait_left(
        &self,
        answer_deadline: Instant,
        longest: Option<Duration>,
        now: Instant,
    ) -> Option<Duration> {
        if answer_deadline <= self.answer_by {
            return None;
        }
        let left = self.answer_by.saturating_duration_since(now);
        let until_deadline = answer_deadline.saturating_duration_since(now);
        Some(left.saturating_sub(longest.unwrap_or(until_deadline)))
    }
}

#[cfg(test)]
#[path = "departure_tests.rs"]
mod tests;
