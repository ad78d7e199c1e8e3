//! Admission control for early-refusal requests, which are worth little when they are late.
//!
//! Such a request waits while its first token is forecast to arrive on time. Otherwise it is late: it gets a free
//! slot, or is refused at once. A request that is retried after a refusal is late from the start, so it waits behind
//! all on-time requests.
//!
//! With reservations the retry time of a refused request is booked where capacity is left over. A request that comes at its
//! booked time is queued before new ones of its tier and priority, for as long as its caller can use the answer.

mod forecast;
mod reservations;
mod returns;

use std::collections::HashMap;
use std::fmt::Write as _;
use std::time::Duration;

use crate::coordination::admission::forecast::{GrantRate, SlotTime};
use crate::coordination::admission::reservations::{Arrival, Reservations};
use crate::coordination::admission::returns::{RETURN_MAX_SHARE, Returns};
use crate::coordination::estimate::Estimate;
use crate::coordination::offer::Offer;
use crate::state::clock::Instant;
use crate::state::reason::{Code, Reason};
use crate::state::units::{millis, millis_since, to_f64};

/// Time over which grants to on-time offers are averaged: long compared with the time between grants, short compared
/// with a load peak.
const ON_TIME_SPAN: Duration = Duration::from_secs(1);
/// Time over which grants to late offers are averaged: longer than a load peak, after which slots are free again.
const LATE_SPAN: Duration = Duration::from_secs(4);
/// Time between a grant and its first token that the servers' own times do not include: the grant message, the
/// connection to the server, and the first token's transfer.
const DISPATCH_OVERHEAD: Duration = Duration::from_millis(15);

/// Mean absolute deviations of the running time by which a slot may be free later than forecast.
const MARGIN_DEVIATIONS: f64 = 4.0;
/// Largest margin of a forecast wait, as a share of it: in a mix of short and long requests the differences even out.
const MARGIN_SHARE_MAX: f64 = 0.25;
/// Least part of the capacity that must be left over for late offers to wait for it.
const LEFT_OVER_MIN: f64 = 0.05;
/// Share of a forecast wait that is certain: a waiting offer is refused only if even this makes it late, since requests
/// that began together end together, so that the rate of grants varies.
const STAY_FACTOR: f64 = 0.75;

/// Maximum number of request kinds whose running times are tracked, since a policy may return any priority.
const KINDS_MAX: usize = 256;
/// Mean absolute deviations above the mean at which a first-token time counts as the longest; about one in twenty
/// normally distributed times is longer.
const EXCESS_DEVIATIONS: f64 = 2.0;

/// Admission control for the offers of a pool.
#[derive(Debug)]
pub(crate) struct Admission {
    /// Grants to on-time offers.
    on_time_rate: GrantRate,
    /// Grants to late offers, which get free slots.
    late_rate: GrantRate,
    returns: Returns,
    /// `None` if retry times are no reservations.
    reservations: Option<Reservations>,
    /// Running time of each kind of request, in seconds.
    run_times: HashMap<Kind, Estimate>,
    /// Time from the grant to the first token, or to the end of a plain call, beyond the forecast for the server if it
    /// were idle, in seconds.
    excess: HashMap<Kind, Estimate>,
    slot_time: SlotTime,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            on_time_rate: GrantRate::new(ON_TIME_SPAN),
            late_rate: GrantRate::new(LATE_SPAN),
            returns: Returns::default(),
            reservations: None,
            run_times: HashMap::new(),
            excess: HashMap::new(),
            slot_time: SlotTime::default(),
        }
    }
}

impl Admission {
    /// Makes the retry times of refused requests reservations.
    pub(crate) fn enable_reservations(&mut self) {
        self.reservations = Some(Reservations::default());
    }

    /// Marks an offer as returning if its request was refused recently: as reserved if it has come at the time that was
    /// reserved for it, otherwise as late.
    pub(crate) fn mark_returning(&mut self, offer: &mut Offer, now: Instant) {
        if let Some(reservations) = &mut self.reservations {
            match reservations.arrive(offer.mark, now) {
                Arrival::New => {}
                Arrival::Early => (offer.returning, offer.late) = (true, true),
                Arrival::Due => (offer.returning, offer.reserved) = (true, true),
            }
            return;
        }
        if self.returns.take(offer.mark, now) {
            offer.late = true;
            offer.returning = true;
        }
    }

    /// Forgets the refusal of a request whose caller is not told of it.
    pub(crate) fn forget_refusal(&mut self, mark: Option<u64>) {
        self.returns.forget(mark);
        if let Some(reservations) = &mut self.reservations {
            reservations.cancel(mark);
        }
    }

    /// Latest time for granting a late offer that still leaves time for its whole answer.
    pub(crate) fn latest_late_grant(&self, offer: &Offer, fastest: Option<Duration>) -> Instant {
        let run_time = self
            .run_times
            .get(&Kind::of(offer))
            .and_then(Estimate::mean);
        let run_time = Duration::from_secs_f64(run_time.unwrap_or_default().max(0.0));
        let first = fastest.unwrap_or_default() + DISPATCH_OVERHEAD;
        before(offer.first_token_deadline, first)
            .min(before(offer.answer_deadline, first + run_time))
    }

    /// Latest time for granting an offer so that its first token arrives on time, also on a loaded server. `fastest` is
    /// the forecast for the fastest server if it were idle.
    pub(crate) fn latest_on_time_grant(&self, offer: &Offer, fastest: Option<Duration>) -> Instant {
        let excess = self.excess.get(&Kind::of(offer));
        let excess = excess.filter(|_| self.reservations.is_some());
        let excess = excess.and_then(|excess| excess.quantile(EXCESS_DEVIATIONS));
        let idle = fastest.unwrap_or_default().as_secs_f64();
        let first = Duration::from_secs_f64((idle + excess.unwrap_or_default()).max(0.0));
        before(offer.due(), first + DISPATCH_OVERHEAD)
    }

    /// Forecast running time of a request; `None` if no running time is known.
    pub(crate) fn run_time(&self, kind: Option<Kind>) -> Option<Duration> {
        let known = kind.and_then(|kind| self.run_times.get(&kind)?.mean());
        let seconds = known.or_else(|| self.slot_time.mean())?;
        Some(Duration::from_secs_f64(seconds.max(0.0)))
    }

    /// Time by which running times of a kind commonly exceed their forecast.
    pub(crate) fn run_time_margin(&self, kind: Kind) -> Duration {
        let run_time = self.run_times.get(&kind);
        let margin =
            run_time.and_then(|time| Some(time.quantile(MARGIN_DEVIATIONS)? - time.mean()?));
        Duration::from_secs_f64(margin.unwrap_or_default().max(0.0))
    }

    /// Grants per second that so many slots allow; `None` if no running time is known.
    pub(crate) fn capacity(&self, slots: usize) -> Option<f64> {
        self.slot_time.capacity(slots)
    }

    /// Records that an on-time offer has to wait while no other does. From then on all slots are in use, while the
    /// grants before only show how many requests came.
    pub(crate) fn note_queue_start(&mut self, capacity: Option<f64>, now: Instant) {
        if let Some(capacity) = capacity.filter(|_| self.reservations.is_some()) {
            self.on_time_rate.raise(capacity, now);
        }
    }

    /// What forecasts use of the servers: without reservations only what they have stated.
    fn supply_used(&self, supply: Supply) -> Supply {
        if self.reservations.is_some() {
            return supply;
        }
        Supply {
            paced: supply.paced,
            ..Supply::default()
        }
    }

    /// Whether an on-time offer with `ahead` others before it is likely to be granted by `until`.
    ///
    /// `supply` describes the servers.
    pub(crate) fn is_likely_by(
        &self,
        ahead: usize,
        supply: Supply,
        until: Instant,
        now: Instant,
    ) -> bool {
        if now > until {
            return false;
        }
        let supply = self.supply_used(supply);
        let wait = self.on_time_rate.wait(ahead, supply.capacity, now);
        let wait = match supply.next_slot {
            Some(next) => {
                let least = wait.map(|wait| wait.mul_f64(STAY_FACTOR));
                let margin = supply.margin.min(next.mul_f64(MARGIN_SHARE_MAX));
                least.max(Some(next + margin))
            }
            None => wait,
        };
        wait.max(supply.paced)
            .is_none_or(|wait| now + wait <= until)
    }

    /// Number of requests with reservations that are to come until then.
    pub(crate) fn reserved_by(&self, until: Instant) -> usize {
        let reservations = self.reservations.as_ref();
        reservations.map_or(0, |reservations| reservations.due_by(until))
    }

    /// Whether a late offer is expected to be served by `until` with what new requests and reservations leave over, behind
    /// `ahead` others; `None` if that is not known, or if there are no reservations.
    pub(crate) fn expects_left_over(
        &self,
        ahead: usize,
        supply: Supply,
        until: Instant,
        now: Instant,
    ) -> Option<bool> {
        let reservations = self.reservations.as_ref()?;
        let capacity = supply.capacity?;
        let left_over = capacity - reservations.demand(now);
        if now > until || left_over < capacity * LEFT_OVER_MIN {
            return Some(false);
        }
        let ahead = ahead + 1 + reservations.due_by(until);
        Some(now + time_for(ahead, left_over) <= until)
    }

    /// Whether a waiting on-time offer with `ahead` others before it may still be granted by `until`.
    pub(crate) fn may_stay(
        &self,
        ahead: usize,
        supply: Supply,
        until: Instant,
        now: Instant,
    ) -> bool {
        if now > until {
            return false;
        }
        let stay_factor = if self.reservations.is_some() {
            STAY_FACTOR
        } else {
            1.0
        };
        let supply = self.supply_used(supply);
        let wait = self.on_time_rate.wait(ahead, supply.capacity, now);
        let wait = wait.map(|wait| wait.mul_f64(stay_factor));
        wait.max(supply.paced)
            .is_none_or(|wait| now + wait <= until)
    }

    /// Whether a late offer with `ahead` others before it may wait for a free slot until `until`.
    ///
    /// The first one may, so that a free slot is used at once. Another one may if it is returning, since its caller
    /// would not retry again, and if it is likely to be granted by `until`.
    pub(crate) fn may_wait_late(
        &self,
        offer: &Offer,
        ahead: usize,
        until: Instant,
        now: Instant,
    ) -> bool {
        let wait = self.late_rate.wait(ahead, None, now);
        let is_likely = wait.is_some_and(|wait| now + wait <= until);
        now <= until && (ahead == 0 || offer.returning && is_likely)
    }

    /// Records a grant.
    pub(crate) fn note_grant(&mut self, offer: &Offer, now: Instant) {
        if offer.late {
            self.late_rate.note_grant(now);
        } else {
            self.on_time_rate.note_grant(now);
        }
    }

    /// Whether the running time of a kind is known.
    pub(crate) fn knows(&self, kind: &Kind) -> bool {
        self.run_times.contains_key(kind)
    }

    /// Records the running time of a request that got a whole answer.
    pub(crate) fn note_run_time(&mut self, kind: Kind, time: Duration) {
        self.slot_time.observe(time);
        observe(&mut self.run_times, kind, time.as_secs_f64());
    }

    /// Records the time from a grant to the first token, or to the end of a plain call; `idle` is the forecast for the
    /// server if it were idle.
    pub(crate) fn note_first_token(&mut self, kind: Kind, took: Duration, idle: Duration) {
        let excess = took.as_secs_f64() - idle.as_secs_f64();
        observe(&mut self.excess, kind, excess);
    }

    /// Time after which the caller of a refused offer should retry.
    ///
    /// It is at least `rest`, the time for which no server takes work.
    pub(crate) fn book_return(
        &mut self,
        offer: &Offer,
        slot: Slot,
        rest: Duration,
        now: Instant,
    ) -> Duration {
        if let Some(wait) = self.reserve(offer, slot, rest, now) {
            return wait;
        }
        self.returns.book(offer, &self.late_rate, rest, now)
    }

    /// Reserves a time for the retry of a refused offer; `None` if there are no reservations, or if the request could not
    /// be recognised at its reserved time. If no time is left, it is when the caller leaves.
    fn reserve(
        &mut self,
        offer: &Offer,
        slot: Slot,
        rest: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let reservations = self.reservations.as_mut()?;
        offer.mark?;
        let capacity = slot.capacity?;
        let left = offer.answer_deadline.saturating_duration_since(now);
        let until = slot.until.min(now + left.mul_f64(RETURN_MAX_SHARE));
        let earliest = slot.earliest.max(now + rest);
        let booked = reservations.book(offer.mark, capacity, (earliest, until), now);
        Some(booked.unwrap_or(left.max(rest)))
    }

    /// The reason for refusing an offer that is unlikely to be granted in time.
    pub(crate) fn refusal(
        &mut self,
        offer: &Offer,
        ahead: usize,
        constraints: Constraints,
        slot: Slot,
        now: Instant,
    ) -> Reason {
        let (rate, what) = if offer.late {
            (&self.late_rate, "find an idle place")
        } else {
            (&self.on_time_rate, "have their turn")
        };
        let mut message = format!(
            "{ahead} go before it and {:.1} a second {what}; it has waited for {} ms and its caller leaves in {} ms",
            rate.rate(now),
            millis_since(offer.arrived, now),
            millis_since(now, offer.first_token_deadline),
        );
        // Writing to a `String` cannot fail.
        if let Some(limits) = constraints.requests_per_second {
            let _ = write!(message, "; its servers take {limits:.1} requests a second");
        }
        if let Some(rest) = constraints.rest {
            let _ = write!(message, "; its servers rest for {} ms", millis(rest));
        }
        let rest = constraints.rest.unwrap_or_default();
        let wait = self.book_return(offer, slot, rest, now);
        Reason::with_retry_after(Code::DeadlineUnreachable, message, wait)
    }
}

/// What the servers of a pool have stated, as far as it delays requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Constraints {
    /// Requests per second that the servers' limits allow; `None` if a server that takes work has no limit, or none
    /// takes work.
    pub(crate) requests_per_second: Option<f64>,
    /// Time for which no server takes work because of servers that rest.
    pub(crate) rest: Option<Duration>,
}

/// What delays the waiting offers of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Supply {
    /// Grants per second that the slots allow; `None` if no running time is known.
    pub(crate) capacity: Option<f64>,
    /// Forecast time until the running requests leave a slot to the offer; `None` if it is not known, or if there are so
    /// many that their mean rate tells it as well.
    pub(crate) next_slot: Option<Duration>,
    /// How much later the slot may be free.
    pub(crate) margin: Duration,
    /// Minimum wait imposed by the servers' limits.
    pub(crate) paced: Option<Duration>,
}

/// When the retry of a refused offer could be served.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slot {
    /// Grants per second that the slots allow; `None` if no running time is known.
    pub(crate) capacity: Option<f64>,
    /// Before this, a retry would delay offers that already wait, which it goes before.
    pub(crate) earliest: Instant,
    /// Latest time for a grant.
    pub(crate) until: Instant,
}

/// A class of requests with similar running times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Kind {
    rank: usize,
    priority: i64,
}

impl Kind {
    /// The kind of an offer.
    pub(crate) fn of(offer: &Offer) -> Self {
        Self {
            rank: offer.rank,
            priority: offer.priority,
        }
    }
}

/// Adds an observation of a kind, unless there are too many kinds.
fn observe(estimates: &mut HashMap<Kind, Estimate>, kind: Kind, value: f64) {
    if estimates.len() < KINDS_MAX || estimates.contains_key(&kind) {
        estimates.entry(kind).or_default().observe(value);
    }
}

/// Time in which so many offers are granted at a rate per second.
fn time_for(offers: usize, rate: f64) -> Duration {
    Duration::try_from_secs_f64(to_f64(offers as u64) / rate).unwrap_or(Duration::MAX / 4)
}

fn before(moment: Instant, time: Duration) -> Instant {
    moment.checked_sub(time).unwrap_or(moment)
}
