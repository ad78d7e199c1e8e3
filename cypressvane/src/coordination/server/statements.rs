//! Applies what a backend server states of itself in its answers.

use super::{Running, Server};
use crate::coordination::notice::{self, Notice};
use crate::coordination::server::brittle::{Caution, REJECTION_PAUSE};
use crate::coordination::server::health::State;
use crate::coordination::server::pacing::Granted;
use crate::state::clock::Instant;
use crate::state::name::Name;

impl Server {
    /// Applies the absence of the server from the host list.
    ///
    /// If the server does not report when it started, an entry that comes back counts as a new incarnation.
    pub(crate) fn apply_absence(&mut self, now: Instant) {
        if self.started_ms.is_none() {
            (self.leaving, self.rest) = (None, None);
            self.caution = Caution::default();
        }
        self.health.set(State::Leaving, now);
    }

    /// Applies statements of this incarnation.
    pub(crate) fn apply_notice(&mut self, notice: Notice, now: Instant) {
        if let Some(limit) = &notice.limit {
            self.pacing.apply_reported(limit, now);
        }
        if let Some(receipt) = notice.leaving {
            self.leaving.get_or_insert(receipt);
            self.health.set(State::Leaving, now);
        }
        self.rest = notice::longest(self.rest.take(), notice.rest);
        self.resume_rest(now);
        self.caution.apply(notice.brittle);
        self.caution.update(now);
    }

    /// Records that a request ended for which no whole answer came.
    pub(crate) fn note_broken_off(&mut self, now: Instant) {
        self.caution.hold_back_slot(now);
    }

    /// Records that the server had no room for a request.
    pub(crate) fn note_full(&mut self, now: Instant) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.note_full();
        }
        let pause = self.caution.stated().map(|_| REJECTION_PAUSE);
        self.health.pause_full(pause, now);
    }

    /// Lets the server rest for what is left of the time that it asked for.
    pub(super) fn resume_rest(&mut self, now: Instant) {
        if let Some(rest) = self.rest.as_ref().filter(|rest| rest.until > now) {
            self.health.rest(rest.until, now);
        }
    }

    /// Returns what the server has stated of itself, for the time after it is dropped.
    ///
    /// A limit is left out if the server does not report when it started: an entry that comes back counts as a new
    /// incarnation then.
    pub(crate) fn notice(&self) -> Notice {
        let limit = self.pacing.reported();
        Notice {
            limit: limit.filter(|_| self.started_ms.is_some()),
            leaving: self.leaving.clone(),
            rest: self.rest.clone(),
            brittle: self.caution.stated().cloned(),
            ..Notice::empty(self.incarnation())
        }
    }

    /// Returns the host that received the statement which put the server into its current state, if one did.
    pub(crate) fn state_heard_by(&self) -> Option<&Name> {
        match self.health.state {
            State::Leaving => self.leaving.as_ref().map(|receipt| &receipt.by),
            State::Resting { .. } => self.rest.as_ref().map(|rest| &rest.receipt.by),
            State::Live | State::Trial | State::Down { .. } => None,
        }
    }

    /// Applies the limit that an answer of the server names; `granted_at` is when its request was granted here.
    pub(crate) fn apply_limit(
        &mut self,
        named: Option<f64>,
        granted_at: Option<Instant>,
        heard_by: &Name,
        now: Instant,
    ) {
        let granted = granted_at.map(|at| Granted {
            at,
            running: self.running_since(at),
        });
        self.pacing.apply(named, granted, heard_by, now);
    }

    /// Returns how many running requests were sent at `time` or later.
    fn running_since(&self, time: Instant) -> usize {
        let is_later = |running: &&Running| running.sent >= time;
        self.running.values().filter(is_later).count()
    }
}
