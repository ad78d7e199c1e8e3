//! Detects homes that do not reply to this host's offers: frozen, disconnected from this host alone, or overloaded.
//!
//! Their offers go to other shards meanwhile, long before the home counts as lost.

use std::collections::HashMap;
use std::time::Duration;

use crate::coordination::shard::Shard;
use crate::state::clock::Instant;

/// How long a shard is excluded at first after its home did not reply.
const EXCLUSION_FIRST: Duration = Duration::from_millis(500);
/// Maximum time for which a shard is excluded before it is tried again.
const EXCLUSION_MAX: Duration = Duration::from_secs(4);

/// Time after which an offer that is queued, or whose only home does not reply, is sent again.
const RESEND_AFTER: Duration = Duration::from_secs(1);
/// Time after which an acknowledgement is requested for a new offer: many times the round trip.
const ACK_REQUEST_AFTER: Duration = Duration::from_millis(150);
/// Time that a home has to reply to such a request. Together with `ACK_REQUEST_AFTER` it is less than half of the
/// objective of model requests (800 ms), and longer than a load peak delays the reply of a home that keeps up.
const ACK_TIMEOUT: Duration = Duration::from_millis(200);

/// State of an offer that waits at its home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It was sent.
    Sent,
    /// An acknowledgement was requested.
    AckRequested,
    /// The home acknowledged that it is queued.
    Queued,
    /// The only home did not reply, and got the offer again over another connection.
    Reconnected,
}

/// The next action for a waiting offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Do nothing yet.
    Wait,
    /// Send the offer again and request an acknowledgement.
    RequestAck,
    /// Offer the request to another shard, since the home does not reply.
    Reroute,
    /// Send the offer again over another connection, since the only home does not reply.
    Reconnect,
}

/// Tracks how long an offer has waited for its home.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OfferTimer {
    state: State,
    /// When the offer was last sent or acknowledged.
    since: Instant,
}

impl OfferTimer {
    /// Starts tracking an offer that is sent now.
    pub(crate) fn start(now: Instant) -> Self {
        Self {
            state: State::Sent,
            since: now,
        }
    }

    /// Records the home's acknowledgement that the offer is queued.
    pub(crate) fn note_queued(&mut self, now: Instant) {
        self.state = State::Queued;
        self.since = now;
    }

    /// Whether an acknowledgement was requested.
    pub(crate) fn is_ack_requested(&self) -> bool {
        matches!(self.state, State::AckRequested | State::Reconnected)
    }

    /// Returns the next action and updates the state; `has_others` is whether the service has other shards.
    pub(crate) fn step(&mut self, has_others: bool, now: Instant) -> Step {
        let timeout = match self.state {
            State::Sent => ACK_REQUEST_AFTER,
            State::AckRequested => ACK_TIMEOUT,
            State::Queued | State::Reconnected => RESEND_AFTER,
        };
        if now.saturating_duration_since(self.since) < timeout {
            return Step::Wait;
        }
        self.since = now;
        if self.state == State::AckRequested {
            if has_others {
                return Step::Reroute;
            }
            self.state = State::Reconnected;
            return Step::Reconnect;
        }
        self.state = State::AckRequested;
        Step::RequestAck
    }
}

/// The exclusion of a shard whose home did not reply.
#[derive(Clone, Copy, Debug)]
struct Exclusion {
    until: Instant,
    length: Duration,
}

/// Shards whose homes did not reply to this host, each excluded with exponential backoff.
#[derive(Debug, Default)]
pub(crate) struct SilentShards {
    exclusions: HashMap<Shard, Exclusion>,
}

impl SilentShards {
    /// Records that a shard's home did not reply to an offer, and excludes the shard.
    ///
    /// Calls during an exclusion have no effect, so that all offers sent before it count once.
    pub(crate) fn note_silence(&mut self, shard: &Shard, now: Instant) {
        let exclusion = self.exclusions.get(shard);
        if exclusion.is_some_and(|exclusion| now < exclusion.until) {
            return;
        }
        let length = exclusion.map_or(EXCLUSION_FIRST, |exclusion| {
            (exclusion.length * 2).min(EXCLUSION_MAX)
        });
        let until = now + length;
        self.exclusions
            .insert(shard.clone(), Exclusion { until, length });
    }

    /// Records a reply of a shard's home to an offer, which ends the exclusion and resets its length.
    pub(crate) fn note_reply(&mut self, shard: &Shard) {
        if !self.exclusions.is_empty() {
            self.exclusions.remove(shard);
        }
    }

    /// Whether the shard is excluded at `now`.
    pub(crate) fn is_excluded(&self, shard: &Shard, now: Instant) -> bool {
        self.exclusions
            .get(shard)
            .is_some_and(|exclusion| now < exclusion.until)
    }
}

#[cfg(test)]
#[path = "silent_shards_tests.rs"]
mod tests;
