//! Who waits in a pool's queue, and who is refused: on arrival, and when a forecast turns.

use std::time::Duration;

use super::Pool;
use crate::coordination::admission;
use crate::coordination::offer::{Action, Offer};
use crate::state::clock::Instant;
use crate::state::reason::{Code, Reason};
use crate::state::units::real;

/// Shortest wait that a refused caller is told.
const RETRY_MIN: Duration = Duration::from_secs(1);
/// Longest wait that a refused caller is told.
const RETRY_MAX: Duration = Duration::from_secs(60);

impl Pool {
    /// Lets an offer wait of which it is decided early, or refuses it.
    pub(super) fn admit(&mut self, mut offer: Offer, now: Instant) -> Option<Action> {
        let (queue, servers) = (&self.queue, &self.servers);
        let fastest = servers.fastest(offer.prompt_tokens.into());
        if !offer.late {
            let until = admission::on_time_until(&offer, fastest);
            let ahead = queue.ahead_of(&offer);
            let paced = servers.paced_wait(ahead, now);
            if self.admission.comes_by(ahead, paced, until, now) {
                self.queue.push(offer, until);
                return None;
            }
            offer.late = true;
        }
        let until = self.admission.late_until(&offer, fastest);
        let ahead = queue.ahead_of(&offer);
        if self.admission.waits_late(&offer, ahead, until, now) {
            self.queue.push(offer, until);
            return None;
        }
        Some(self.refuse_early(offer, now))
    }

    /// Lets an offer wait until its deadline.
    pub(super) fn wait(&mut self, offer: Offer) {
        let until = offer.deadline;
        self.queue.push(offer, until);
    }

    /// Says why an offer cannot be met, where that is known on arrival.
    pub(super) fn unreachable(
        &self,
        offer: &Offer,
        soonest: Duration,
        now: Instant,
    ) -> Option<Reason> {
        let paced = self.servers.paced_wait(self.queue.ahead_of(offer), now);
        let ahead = self.time_ahead(offer.rank).max(paced.unwrap_or_default());
        if now + ahead + soonest <= offer.deadline {
            return None;
        }
        let message = format!(
            "the queue of {} is longer than the deadline allows",
            self.service
        );
        Some(Reason::later(
            Code::DeadlineUnreachable,
            message,
            told_wait(ahead + soonest),
        ))
    }

    /// Refuses an offer that no server could take.
    pub(super) fn refuse_without_server(&mut self, offer: Offer, now: Instant) -> Action {
        let message = format!("no backend server of {} takes work", self.service);
        let wait = self.comes_back_in(&offer, RETRY_MIN, now);
        refuse(offer, Reason::later(Code::NoServer, message, wait))
    }

    /// What the caller of a refused offer is told to wait: by forecast where it is decided early, which
    /// also remembers it as refused.
    fn comes_back_in(&mut self, offer: &Offer, otherwise: Duration, now: Instant) -> Duration {
        if offer.early {
            self.admission.come_back(offer, now)
        } else {
            otherwise
        }
    }

    /// Refuses an offer that is not likely to have its turn while it is of use.
    fn refuse_early(&mut self, offer: Offer, now: Instant) -> Action {
        let ahead = self.queue.ahead_of(&offer);
        let limits = self.servers.requests_per_second();
        let reason = self.admission.refuse(&offer, ahead, limits, now);
        refuse(offer, reason)
    }

    /// Time that the pool needs for what waits at `rank` and above, when all its servers work.
    fn time_ahead(&self, rank: usize) -> Duration {
        let tokens = self.queue.tokens_down_to(rank);
        let rate = self.servers.rate();
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(real(tokens) / rate)
    }

    /// Refuses the last of the lowest tier that waits.
    pub(super) fn shed(&mut self, now: Instant) -> Option<Action> {
        let offer = self.queue.pop_last()?;
        let ahead = told_wait(self.time_ahead(offer.rank));
        let wait = self.comes_back_in(&offer, ahead, now);
        let message = format!("the queue of {} is full", self.service);
        Some(refuse(
            offer,
            Reason::later(Code::Overloaded, message, wait),
        ))
    }

    /// Decides over what has waited for as long as it keeps its place.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(offer) = self.queue.pop_due(now) {
            actions.extend(if offer.early {
                self.miss(offer, now)
            } else {
                Some(refuse(offer, Reason::deadline_passed()))
            });
        }
        // Late ones first: an offer that becomes late is judged as one at once.
        for late in [true, false] {
            while let Some(offer) = self.pop_turned(late, now) {
                actions.extend(self.miss(offer, now));
            }
        }
        actions
    }

    /// Takes out the last that waits, late or not, if its forecast has turned.
    fn pop_turned(&mut self, late: bool, now: Instant) -> Option<Offer> {
        let (offer, until) = self.queue.last(late)?;
        let ahead = self.queue.count(late) - 1;
        let stays = if late {
            self.admission.waits_late(offer, ahead, until, now)
        } else {
            let paced = self.servers.paced_wait(ahead, now);
            !offer.early || self.admission.comes_by(ahead, paced, until, now)
        };
        if stays {
            return None;
        }
        let ticket = offer.ticket.clone();
        self.queue.remove(&ticket)
    }

    /// Decides over an offer that will not have its turn in time: it may wait as a late one, once.
    fn miss(&mut self, mut offer: Offer, now: Instant) -> Option<Action> {
        if offer.late {
            return Some(self.refuse_early(offer, now));
        }
        offer.late = true;
        self.admit(offer, now)
    }
}

pub(super) fn refuse(offer: Offer, reason: Reason) -> Action {
    Action::Refuse {
        ticket: offer.ticket,
        reason,
    }
}

fn told_wait(ahead: Duration) -> Duration {
    ahead.clamp(RETRY_MIN, RETRY_MAX)
}
