//! Keeps a brittle server from turning requests away.
//!
//! A server that states that it is brittle ends when it has to turn away more requests in a second than it states. It
//! has room for as many requests as it has slots, but a slot may still be taken when its request has ended here.

use std::collections::VecDeque;
use std::time::Duration;

use crate::coordination::notice::Brittle;
use crate::state::clock::Instant;

/// Slots of a brittle server that stay free, for connections and requests that its home does not know.
const SPARE_SLOTS: u32 = 1;
/// How long a server may still work on a request that ended without a whole answer.
const RELEASE_TIME: Duration = Duration::from_millis(500);
/// How long a brittle server gets nothing after it has turned a request away: the period over which it counts them.
pub(super) const REJECTION_PAUSE: Duration = Duration::from_secs(1);

/// What is withheld from a server because it is brittle.
#[derive(Clone, Debug, Default)]
pub(super) struct Caution {
    stated: Option<Brittle>,
    /// When the slots of requests that ended without a whole answer are free, in ascending order.
    releases: VecDeque<Instant>,
}

impl Caution {
    /// Applies a statement; an earlier one that lasts longer stays.
    pub(super) fn apply(&mut self, stated: Option<Brittle>) {
        self.stated = Brittle::latest(self.stated.take(), stated);
    }

    /// Drops a statement that has expired, and releases the slots whose time has come.
    pub(super) fn update(&mut self, now: Instant) {
        self.stated.take_if(|stated| stated.until <= now);
        while self.releases.front().is_some_and(|at| *at <= now) {
            self.releases.pop_front();
        }
    }

    /// The statement in force.
    pub(super) fn stated(&self) -> Option<&Brittle> {
        self.stated.as_ref()
    }

    /// Records that a request ended, although the server may still work on it.
    pub(super) fn hold_back_slot(&mut self, now: Instant) {
        if self.stated.is_some() {
            self.releases.push_back(now + RELEASE_TIME);
        }
    }

    /// Returns how many of the server's slots get nothing. A server with one slot has none to spare.
    pub(super) fn withheld(&self, slots: u32) -> u32 {
        if self.stated.is_none() {
            return 0;
        }
        let held_back = u32::try_from(self.releases.len()).unwrap_or(u32::MAX);
        held_back.saturating_add(SPARE_SLOTS.min(slots.saturating_sub(1)))
    }

    /// Returns when less is withheld: a slot that is held back is free, or the statement is over.
    pub(super) fn eases_at(&self) -> Option<Instant> {
        let over_at = self.stated.as_ref().map(|stated| stated.until);
        let released_at = self.releases.front().copied();
        released_at.into_iter().chain(over_at).min()
    }
}
