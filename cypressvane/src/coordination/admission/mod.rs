//! Admission control for early-refusal requests, which are worth little when they are late.
//!
//! Such a request waits while its first token is forecast to arrive on time. Otherwise it is late: it gets a free
//! slot, or is refused at once. A request that is retried after a refusal is late from the start, so it waits behind
//! all on-time requests.

mod forecast;
mod returns;

use std::collections::HashMap;
use std::fmt::Write as _;
use std::time::Duration;

use crate::coordination::admission::forecast::GrantRate;
use crate::coordination::admission::returns::Returns;
use crate::coordination::estimate::Estimate;
use crate::coordination::offer::Offer;
use crate::state::clock::Instant;
use crate::state::reason::{Code, Reason};
use crate::state::units::{millis, millis_since};

/// Time over which grants to on-time offers are averaged: long compared with the time between grants, short compared
/// with a load peak.
const ON_TIME_SPAN: Duration = Duration::from_secs(1);
/// Time over which grants to late offers are averaged: longer than a load peak, after which slots are free again.
const LATE_SPAN: Duration = Duration::from_secs(4);
/// Time between a grant and its first token that the servers' own times do not include: the grant message, the
/// connection to the server, and the first token's transfer.
const DISPATCH_OVERHEAD: Duration = Duration::from_millis(15);

/// Maximum number of request kinds whose running times are tracked, since a policy may return any priority.
const KINDS_MAX: usize = 256;

/// Admission control for the offers of a pool.
#[derive(Debug)]
pub(crate) struct Admission {
    /// Grants to on-time offers.
    on_time_rate: GrantRate,
    /// Grants to late offers, which get free slots.
    late_rate: GrantRate,
    returns: Returns,
    /// Running time of each kind of request, in seconds.
    run_times: HashMap<Kind, Estimate>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            on_time_rate: GrantRate::new(ON_TIME_SPAN),
            late_rate: GrantRate::new(LATE_SPAN),
            returns: Returns::default(),
            run_times: HashMap::new(),
        }
    }
}

impl Admission {
    /// Marks an offer as returning and late if its request was refused recently.
    pub(crate) fn mark_returning(&mut self, offer: &mut Offer, now: Instant) {
        if self.returns.take(offer.mark, now) {
            offer.late = true;
            offer.returning = true;
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

    /// Whether an on-time offer with `ahead` others before it is likely to be granted by `until`.
    ///
    /// `paced` is the minimum wait imposed by the servers' limits.
    pub(crate) fn is_likely_by(
        &self,
        ahead: usize,
        paced: Option<Duration>,
        until: Instant,
        now: Instant,
    ) -> bool {
        if now > until {
            return false;
        }
        let wait = self.on_time_rate.wait(ahead, now).max(paced);
        wait.is_none_or(|wait| now + wait <= until)
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
        let wait = self.late_rate.wait(ahead, now);
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

    /// Records the running time of a request that got a whole answer.
    pub(crate) fn note_run_time(&mut self, kind: Kind, time: Duration) {
        if self.run_times.len() < KINDS_MAX || self.run_times.contains_key(&kind) {
            self.run_times
                .entry(kind)
                .or_default()
                .observe(time.as_secs_f64());
        }
    }

    /// Time after which the caller of a refused offer should retry.
    ///
    /// It is at least `rest`, the time for which no server takes work.
    pub(crate) fn book_return(&mut self, offer: &Offer, rest: Duration, now: Instant) -> Duration {
        self.returns.book(offer, &self.late_rate, rest, now)
    }

    /// The reason for refusing an offer that is unlikely to be granted in time.
    pub(crate) fn refusal(
        &mut self,
        offer: &Offer,
        ahead: usize,
        constraints: Constraints,
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
        let wait = self.book_return(offer, constraints.rest.unwrap_or_default(), now);
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

/// Latest time for granting an offer so that its first token arrives on time.
pub(crate) fn latest_on_time_grant(offer: &Offer, fastest: Option<Duration>) -> Instant {
    before(offer.due(), fastest.unwrap_or_default() + DISPATCH_OVERHEAD)
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

fn before(moment: Instant, time: Duration) -> Instant {
    moment.checked_sub(time).unwrap_or(moment)
}
