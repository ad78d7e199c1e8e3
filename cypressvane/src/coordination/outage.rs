//! Outages of the platform, as its answers to any host show them.
//!
//! A call that fails says something of the path between one host and the platform. Only if no host gets an answer has the
//! platform itself been out.

use std::time::Duration;

use crate::state::clock::Instant;

/// Shortest time without an answer that counts as an outage: a few hosts get one every two seconds or so, and the others
/// hear of it with the next heartbeat. Entries of the host list expire after several seconds.
const OUTAGE_MIN: Duration = Duration::from_secs(3);

/// The last outage of the platform.
#[derive(Debug, Default)]
pub(crate) struct Outage {
    /// Time of the newest answer that this host knows of.
    last_answer: Option<Instant>,
    /// Times of the last answer before the last outage, and of the first one after it.
    last: Option<(Instant, Instant)>,
}

impl Outage {
    /// Records that the platform answered a call of any host at `at`; answers may become known out of order.
    pub(crate) fn note_answer(&mut self, at: Instant) {
        if self.last_answer.is_none_or(|last| last < at) {
            let before = self.last_answer.replace(at);
            self.last = before.and_then(|before| outage(before, at)).or(self.last);
            return;
        }
        if let Some((began, ended)) = self
            .last
            .filter(|(began, ended)| *began < at && at < *ended)
        {
            self.last = outage(at, ended).or_else(|| outage(began, at));
        }
    }

    /// When the last outage ended, as far as it is known; `None` if there was none.
    pub(crate) fn ended(&self) -> Option<Instant> {
        self.last.map(|(_, ended)| ended)
    }
}

/// Returns the outage between two successive answers, if there was one.
fn outage(before: Instant, after: Instant) -> Option<(Instant, Instant)> {
    (after.saturating_duration_since(before) >= OUTAGE_MIN).then_some((before, after))
}

#[cfg(test)]
#[path = "outage_tests.rs"]
mod tests;
