//! Decides about an answer whose server is silent: when a second server is sought, and whose answer is used.
//!
//! The connection to the first server stays open until the second has sent a part of its answer, or the first has failed.
//! So a caller never loses an answer that may still come for the sake of one that may not.

use std::time::Duration;

use crate::state::clock::Instant;

/// Time after which a second server is sought again if there was no place, or the second one failed.
const SEEK_INTERVAL: Duration = Duration::from_millis(200);

/// What a request allows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Terms {
    /// Whether the request may run on two servers.
    pub(crate) may_repeat: bool,
    /// Most servers to which the request is sent.
    pub(crate) attempts_max: u32,
    /// Silence before the first part of the answer after which a second server is sought.
    pub(crate) first_silence: Duration,
    /// Silence between two parts after which a second server is sought; `None` if no pause is too long.
    pub(crate) pause: Option<Duration>,
}

/// One of the two servers of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Leg {
    First,
    Second,
}

/// What becomes of the second server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Second {
    None,
    /// A place on another server is sought.
    Sought,
    /// The request was sent to it.
    Sent,
}

/// What to do after the answer of a server has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterFailure {
    /// Wait for the other server.
    KeepOther,
    /// Use the place that is sought, or seek one, if the request may be retried.
    Retry,
}

/// The servers of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hedge {
    terms: Terms,
    attempts: u32,
    second: Second,
    /// When a second server is sought; `None` if no silence is too long.
    seek_at: Option<Instant>,
}

impl Hedge {
    pub(crate) fn new(terms: Terms) -> Self {
        Self {
            terms,
            attempts: 0,
            second: Second::None,
            seek_at: None,
        }
    }

    /// Number of servers to which the request was sent.
    pub(crate) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether the request may be sent to another server.
    pub(crate) fn has_attempts_left(&self) -> bool {
        self.attempts < self.terms.attempts_max
    }

    /// Records that the request was sent to a server while it runs on no other.
    pub(crate) fn note_sent(&mut self, now: Instant) {
        self.attempts += 1;
        self.second = Second::None;
        self.seek_at = Some(now + self.terms.first_silence);
    }

    /// When `seek` may say that a second server is to be sought; if there is one already, in its place.
    pub(crate) fn wakes_at(&self) -> Option<Instant> {
        let may_seek =
            self.terms.may_repeat && self.second != Second::Sought && self.has_attempts_left();
        self.seek_at.filter(|_| may_seek)
    }

    /// Whether a second server is to be sought from now on. One that was silent for as long as the first is given up.
    pub(crate) fn seek(&mut self, now: Instant) -> bool {
        let is_due = self.wakes_at().is_some_and(|at| at <= now);
        if is_due {
            self.second = Second::Sought;
        }
        is_due
    }

    /// Records that the path to the first server has failed, so that no longer silence is waited for.
    pub(crate) fn note_path_failed(&mut self, now: Instant) {
        self.seek_at = Some(self.seek_at.map_or(now, |at| at.min(now)));
    }

    /// Records that there is no place on another server.
    pub(crate) fn note_no_place(&mut self, now: Instant) {
        self.second = Second::None;
        self.seek_at = Some(now + SEEK_INTERVAL);
    }

    /// Records a place on a second server; returns whether the request is to be sent there. `has_budget` says whether the
    /// retry budget allows it.
    pub(crate) fn take_place(&mut self, has_budget: bool, now: Instant) -> bool {
        let is_sent = has_budget && self.second == Second::Sought && self.has_attempts_left();
        if is_sent {
            self.attempts += 1;
            self.second = Second::Sent;
            self.seek_at = Some(now + self.terms.first_silence);
        } else {
            self.note_no_place(now);
        }
        is_sent
    }

    /// Records a part of the answer, which is used; whatever there is of the other server is dropped.
    pub(crate) fn note_part(&mut self, now: Instant) {
        self.second = Second::None;
        self.seek_at = self.terms.pause.map(|pause| now + pause);
    }

    /// Records that the answer of a server has failed.
    pub(crate) fn note_failure(&mut self, leg: Leg, now: Instant) -> AfterFailure {
        let was = self.second;
        match (leg, was) {
            (Leg::First, Second::None | Second::Sought) => {
                self.second = Second::None;
                AfterFailure::Retry
            }
            (Leg::First, Second::Sent) | (Leg::Second, _) => {
                self.note_no_place(now);
                AfterFailure::KeepOther
            }
        }
    }
}

#[cfg(test)]
#[path = "hedge_tests.rs"]
mod tests;
