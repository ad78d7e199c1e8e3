//! Admission to a pool's queue: offers are queued or refused on arrival, and again when their forecast changes.

use std::fmt::Write as _;
use std::time::Duration;

use super::{Granted, Pool};
use crate::coordination::admission::{Constraints, Kind, Slot, Supply};
use crate::coordination::offer::{Action, Offer, Ticket};
use crate::coordination::version::Constraint;
use crate::state::clock::Instant;
use crate::state::reason::{Code, Reason};
use crate::state::units::to_f64;

/// Minimum delay after which a refused caller is asked to retry.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Maximum delay after which a refused caller is asked to retry.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);
/// Most slots whose ends are forecast one by one: those of more are spread evenly enough for their mean rate.
const SLOTS_EXAMINED_MAX: usize = 256;

impl Pool {
    /// Queues an early-refusal offer, on time or late, or refuses it.
    pub(super) fn admit(&mut self, mut offer: Offer, now: Instant) -> Option<Action> {
        let servers = &self.servers;
        let fastest = servers.fastest_first_token(&offer, now);
        if offer.reserved {
            return self.admit_reserved(offer, fastest, now);
        }
        if !offer.late {
            let until = self.admission.latest_on_time_grant(&offer, fastest);
            let ahead = self.ahead_of(&offer) + self.admission.reserved_by(until);
            let supply = self.supply(&offer, ahead, now);
            if self.queue.count(false) == 0 {
                self.admission.note_queue_start(supply.capacity, now);
            }
            if self.admission.is_likely_by(ahead, supply, until, now) {
                self.queue.push(offer, until, now);
                return None;
            }
            offer.late = true;
        }
        let until = self.admission.latest_late_grant(&offer, fastest);
        let ahead = self.ahead_of(&offer);
        let is_resting = servers.rests_for(now).is_some();
        if !is_resting && self.may_wait_late(&offer, ahead, until, now) {
            self.queue.push(offer, until, now);
            return None;
        }
        Some(self.refuse_early(offer, now))
    }

    /// Queues an offer that has come at its reserved time, for as long as its caller can use the answer.
    fn admit_reserved(
        &mut self,
        offer: Offer,
        fastest: Option<Duration>,
        now: Instant,
    ) -> Option<Action> {
        let until = self.admission.latest_late_grant(&offer, fastest);
        if now > until {
            return Some(self.refuse_early(offer, now));
        }
        if self.queue.count(false) == 0 {
            let slots = self.servers.live_slots(now);
            let capacity = self.admission.capacity(slots);
            self.admission.note_queue_start(capacity, now);
        }
        self.queue.push(offer, until, now);
        None
    }

    /// Whether a late offer may wait for a free slot.
    fn may_wait_late(&self, offer: &Offer, ahead: usize, until: Instant, now: Instant) -> bool {
        let slots = self.servers.live_slots(now);
        let supply = Supply {
            capacity: self.admission.capacity(slots),
            ..Supply::default()
        };
        // An idle server is used at once.
        let on_time = self.queue.count(false);
        if on_time + ahead == 0 && now <= until && self.servers.is_any_ready() {
            return true;
        }
        let expected = self
            .admission
            .expects_left_over(on_time + ahead, supply, until, now);
        expected.unwrap_or_else(|| self.admission.may_wait_late(offer, ahead, until, now))
    }

    /// What delays an on-time offer with `ahead` others before it.
    fn supply(&self, offer: &Offer, ahead: usize, now: Instant) -> Supply {
        let paced = self.servers.paced_wait(ahead, now);
        let slots = self.servers.live_slots(now);
        Supply {
            capacity: self.admission.capacity(slots),
            margin: self.admission.run_time_margin(Kind::of(offer)),
            next_slot: self.next_slot(offer, ahead, slots, now),
            paced: paced
                .max(self.servers.rests_for(now))
                .max(self.share_wait(offer, ahead, now)),
        }
    }

    /// Forecast time until the running requests leave a slot to an offer with `ahead` others before it.
    fn next_slot(
        &self,
        offer: &Offer,
        ahead: usize,
        slots: usize,
        now: Instant,
    ) -> Option<Duration> {
        let running = self.granted.len();
        let is_examined = slots <= SLOTS_EXAMINED_MAX && running <= SLOTS_EXAMINED_MAX;
        if slots == 0 || !is_examined {
            return None;
        }
        if offer.versions != Constraint::Any {
            return self.next_slot_for_versions(offer, now);
        }
        let mean = self.admission.run_time(None)?;
        let free = slots.saturating_sub(running);
        if ahead < free {
            return Some(Duration::ZERO);
        }
        let mut ends: Vec<Duration> = vec![Duration::ZERO; free];
        let running = self.granted.values();
        ends.extend(running.map(|granted| granted.ends_in(mean, now)));
        Some(nth_end(ends, ahead, mean))
    }

    /// The same for an offer that only some servers may run, behind those that have the same constraint.
    fn next_slot_for_versions(&self, offer: &Offer, now: Instant) -> Option<Duration> {
        let mean = self.admission.run_time(None)?;
        let is_allowed = |granted: &&Granted| {
            let server = self.servers.get(&granted.server);
            server.is_some_and(|server| server.is_allowed_by(&offer.versions))
        };
        let running = self.granted.values().filter(is_allowed);
        let ends: Vec<Duration> = running.map(|granted| granted.ends_in(mean, now)).collect();
        // With a free slot the offer would not wait, or waits for another reason.
        if ends.is_empty() || self.servers.is_any_open_to(&offer.versions) {
            return None;
        }
        Some(nth_end(ends, self.queue.alike_ahead_of(offer), mean))
    }

    /// Number of offers that go before an offer.
    ///
    /// For an offer that only some servers may run, those that wait for the same servers count as more, by the share of
    /// the slots that these have.
    fn ahead_of(&self, offer: &Offer) -> usize {
        let ahead = self.queue.ahead_of(offer);
        if offer.versions == Constraint::Any {
            return ahead;
        }
        let share = self.servers.slot_share(&offer.versions);
        let alike = self.queue.alike_ahead_of(offer);
        if share <= 0.0 {
            return ahead;
        }
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a multiple of a count"
        )]
        let scaled = ((to_f64(alike as u64) + 1.0) / share).ceil() as usize;
        ahead.max(scaled.saturating_sub(1))
    }

    /// Refuses waiting offers whose versions have lost their last server.
    pub(super) fn refuse_unservable(&mut self, now: Instant) -> Vec<Action> {
        let servers = &self.servers;
        let lost = self.queue.in_order().filter(|offer| {
            offer.versions != Constraint::Any && !servers.has_server_for(&offer.versions)
        });
        let lost: Vec<Ticket> = lost.map(|offer| offer.ticket.clone()).collect();
        let offers: Vec<Offer> = lost
            .iter()
            .filter_map(|ticket| self.queue.remove(ticket))
            .collect();
        offers
            .into_iter()
            .map(|offer| self.refuse_without_server(offer, now))
            .collect()
    }

    /// Queues an offer until its deadline.
    pub(super) fn enqueue(&mut self, offer: Offer, now: Instant) {
        let until = offer.first_token_deadline;
        self.queue.push(offer, until, now);
    }

    /// Why an offer cannot meet its deadline; `None` if it may.
    pub(super) fn unreachable(
        &self,
        offer: &Offer,
        soonest: Duration,
        now: Instant,
    ) -> Option<Reason> {
        let requests_ahead = self.ahead_of(offer);
        let paced = self.servers.paced_wait(requests_ahead, now);
        let paced = paced.max(self.share_wait(offer, requests_ahead, now));
        let ahead = self.time_ahead(offer).max(paced.unwrap_or_default());
        if now + ahead + soonest <= offer.first_token_deadline {
            return None;
        }
        let rest = self.servers.rests_for(now);
        let message = if rest.is_some() {
            format!("all servers of {} rest, as they asked", self.service)
        } else {
            format!(
                "the queue of {} is longer than the deadline allows",
                self.service
            )
        };
        Some(Reason::with_retry_after(
            Code::DeadlineUnreachable,
            message,
            clamp_retry_after(ahead + soonest).max(rest.unwrap_or_default()),
        ))
    }

    /// Refuses an offer because the pool has no servers, or only leaving ones.
    pub(super) fn refuse_without_server(&mut self, offer: Offer, now: Instant) -> Action {
        let mut message = format!("no backend server of {} takes work", self.service);
        if let Some(versions) = offer.versions.text() {
            // Writing to a `String` cannot fail.
            let _ = write!(message, " and has {versions}");
        }
        let (leaving, _) = self.servers.barred_counts();
        if leaving > 0 {
            // Writing to a `String` cannot fail.
            let _ = write!(message, "; {leaving} are leaving, as their answers say");
        }
        let wait = self.retry_after(&offer, RETRY_AFTER_MIN, now);
        refuse(
            offer,
            Reason::with_retry_after(Code::NoServer, message, wait),
        )
    }

    /// Time after which the caller of a refused offer should retry.
    ///
    /// For an early-refusal offer this is forecast, and the refusal is remembered; for others it is `default`.
    fn retry_after(&mut self, offer: &Offer, default: Duration, now: Instant) -> Duration {
        if offer.early {
            let slot = self.return_slot(offer, now);
            self.admission.book_return(offer, slot, Duration::ZERO, now)
        } else {
            default
        }
    }

    /// When the retry of a refused offer could be served.
    fn return_slot(&self, offer: &Offer, now: Instant) -> Slot {
        let fastest = self.servers.fastest_first_token(offer, now);
        let last = self.queue.last(false).map(|(_, until)| until);
        let due = offer.arrived + offer.first_token_target;
        Slot {
            capacity: self.admission.capacity(self.servers.live_slots(now)),
            earliest: last.map_or(now, |last| last.min(due)),
            until: self.admission.latest_late_grant(offer, fastest),
        }
    }

    /// Refuses an offer that is unlikely to be granted in time.
    fn refuse_early(&mut self, offer: Offer, now: Instant) -> Action {
        let ahead = self.ahead_of(&offer);
        let constraints = Constraints {
            requests_per_second: self.servers.requests_per_second(),
            rest: self.servers.rests_for(now),
        };
        let slot = self.return_slot(&offer, now);
        let reason = self
            .admission
            .refusal(&offer, ahead, constraints, slot, now);
        let reason = self.explain_share(&offer, reason, now);
        refuse(offer, reason)
    }

    /// Time in which all servers together prefill the prompts that wait at the offer's tier and above, or, where
    /// accounts share the pool, before the offer.
    fn time_ahead(&self, offer: &Offer) -> Duration {
        let tokens = if self.is_shared() {
            self.queue.tokens_ahead_of(offer)
        } else {
            self.queue.tokens_at_or_above(offer.rank)
        };
        let rate = self.servers.rate();
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(to_f64(tokens) / rate)
    }

    /// Refuses the last offer of the lowest waiting tier, since the queue is full.
    pub(super) fn shed(&mut self, now: Instant) -> Option<Action> {
        let offer = self.queue.pop_last()?;
        let ahead = clamp_retry_after(self.time_ahead(&offer));
        let wait = self.retry_after(&offer, ahead, now);
        let message = format!("the queue of {} is full", self.service);
        let reason = Reason::with_retry_after(Code::Overloaded, message, wait);
        let reason = self.explain_share(&offer, reason, now);
        Some(refuse(offer, reason))
    }

    /// Refuses, or queues as late, the offers that have expired or are no longer likely to be granted in time.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(offer) = self.queue.pop_expired(now) {
            actions.extend(if offer.early {
                self.demote_or_refuse(offer, now)
            } else {
                Some(refuse(offer, Reason::deadline_passed()))
            });
        }
        // Late offers come first: an on-time offer that becomes late is checked against the remaining ones by `admit`.
        for late in [true, false] {
            while let Some(offer) = self.pop_unlikely(late, now) {
                actions.extend(self.demote_or_refuse(offer, now));
            }
        }
        actions
    }

    /// Removes the last late, or last on-time, offer if it is no longer likely to be granted in time. Where accounts
    /// share the pool, this may be the last on-time offer of any account, since deadlines order only offers of one.
    fn pop_unlikely(&mut self, late: bool, now: Instant) -> Option<Offer> {
        let ticket = if late {
            let (offer, until) = self.queue.last(late)?;
            let ahead = self.queue.count(late) - 1;
            let is_resting = self.servers.rests_for(now).is_some();
            let stays = !is_resting && self.may_wait_late(offer, ahead, until, now);
            (!stays).then(|| offer.ticket.clone())
        } else if self.is_shared() {
            let last = self.queue.last_by_account().into_iter();
            let mut unlikely =
                last.filter(|(offer, until, ahead)| !self.may_stay(offer, *until, *ahead, now));
            unlikely.next().map(|(offer, ..)| offer.ticket.clone())
        } else {
            let (offer, until) = self.queue.last(late)?;
            let ahead = self.queue.count(late) - 1;
            (!self.may_stay(offer, until, ahead, now)).then(|| offer.ticket.clone())
        };
        self.queue.remove(&ticket?)
    }

    /// Whether a waiting on-time offer with `ahead` others before it may still be granted by `until`.
    fn may_stay(&self, offer: &Offer, until: Instant, ahead: usize, now: Instant) -> bool {
        let paced = self.servers.paced_wait(ahead, now);
        let paced = paced.max(self.servers.rests_for(now));
        let supply = Supply {
            capacity: self.admission.capacity(self.servers.live_slots(now)),
            paced: paced.max(self.share_wait(offer, ahead, now)),
            ..Supply::default()
        };
        !offer.early || self.admission.may_stay(ahead, supply, until, now)
    }

    /// Queues an offer that will miss its time as a late one, once; otherwise refuses it.
    fn demote_or_refuse(&mut self, mut offer: Offer, now: Instant) -> Option<Action> {
        if offer.late || offer.reserved {
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

/// The time after which `ahead` others and one more have each had one of the slots that are free at `ends`.
fn nth_end(mut ends: Vec<Duration>, ahead: usize, run_time: Duration) -> Duration {
    let (rounds, place) = (ahead / ends.len(), ahead % ends.len());
    let (_, end, _) = ends.select_nth_unstable(place);
    *end + run_time.mul_f64(to_f64(rounds as u64))
}

fn clamp_retry_after(ahead: Duration) -> Duration {
    ahead.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}
