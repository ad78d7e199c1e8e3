//! Who waits in a pool's queue, and who is refused: on arrival, and when a forecast turns.

use std::time::{Duration, Instant};

use super::Pool;
use crate::coordination::admission;
use crate::coordination::offer::{Action, Offer};
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
            if self.admission.comes_by(ahead, until, now) {
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
        let ahead = self.time_ahead(offer.rank);
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
        let wait = if offer.early {
            self.admission.come_back(&offer, now)
        } else {
            RETRY_MIN
        };
        refuse(offer, Reason::later(Code::NoServer, message, wait))
    }

    /// Refuses an offer that is not likely to have its turn while it is of use.
    fn refuse_early(&mut self, offer: Offer, now: Instant) -> Action {
        let ahead = self.queue.ahead_of(&offer);
        let reason = self.admission.refuse(&offer, ahead, now);
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
    pub(super) fn shed(&mut self) -> Option<Action> {
        let offer = self.queue.pop_last()?;
        let ahead = self.time_ahead(offer.rank);
        let message = format!("the queue of {} is full", self.service);
        let reason = Reason::later(Code::Overloaded, message, told_wait(ahead));
        Some(refuse(offer, reason))
    }

    /// Decides over what has waited for as long as it keeps its place.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(offer) = self.queue.pop_due(now) {
            actions.extend(if !offer.early {
                Some(refuse(offer, Reason::deadline_passed()))
            } else if offer.late {
                Some(self.refuse_early(offer, now))
            } else {
                self.miss(offer, now)
            });
        }
        actions.extend(self.reconsider(now));
        actions
    }

    /// Lets go of those at the end of the queue whose forecast has turned.
    fn reconsider(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.reconsider_late(now);
        while let Some((offer, until)) = self.queue.last(false) {
            let ahead = self.queue.count(false) - 1;
            if !offer.early || self.admission.comes_by(ahead, until, now) {
                break;
            }
            let ticket = offer.ticket.clone();
            let Some(offer) = self.queue.remove(&ticket) else {
                break;
            };
            actions.extend(self.miss(offer, now));
        }
        actions
    }

    fn reconsider_late(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((offer, until)) = self.queue.last(true) {
            let ahead = self.queue.count(true) - 1;
            if self.admission.waits_late(offer, ahead, until, now) {
                break;
            }
            let ticket = offer.ticket.clone();
            let Some(offer) = self.queue.remove(&ticket) else {
                break;
            };
            actions.push(self.refuse_early(offer, now));
        }
        actions
    }

    /// Decides over an offer that will not have its turn on time.
    fn miss(&mut self, mut offer: Offer, now: Instant) -> Option<Action> {
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
