//! Whether a request that is worth little when it is late goes on waiting, and for how long.
//!
//! It waits while the forecast has its first token on time. When that turns, it gets a place that is
//! idle, or is refused at once. One that comes back after a refusal waits behind all that are on time.

mod forecast;
mod returns;

use std::collections::HashMap;
use std::fmt::Write as _;
use std::time::Duration;

use crate::coordination::admission::forecast::Pace;
use crate::coordination::admission::returns::Returns;
use crate::coordination::estimate::Estimate;
use crate::coordination::offer::Offer;
use crate::state::clock::Instant;
use crate::state::reason::{Code, Reason};
use crate::state::units::millis_since;

/// Time over which grants are averaged: long against the time between grants, short against a rush.
const SPAN: Duration = Duration::from_secs(1);
/// Time over which grants to late requests are averaged: longer than a rush, after which places are
/// idle again.
const SPARE_SPAN: Duration = Duration::from_secs(4);
/// Time from an offer's grant to its sending and back that no server's answer shows: the way of the
/// grant, of the connection and of the first token.
const WAY: Duration = Duration::from_millis(15);

/// Most kinds of request whose running times are learnt; a policy may give any word.
const KINDS_MAX: usize = 256;

/// What decides over the offers of a pool.
#[derive(Debug)]
pub(crate) struct Admission {
    /// Grants to offers on time.
    on_time: Pace,
    /// Grants to late offers, which take what is idle.
    spare: Pace,
    returns: Returns,
    /// How long requests of a tier and word run, in seconds.
    runs: HashMap<Kind, Estimate>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            on_time: Pace::over(SPAN),
            spare: Pace::over(SPARE_SPAN),
            returns: Returns::default(),
            runs: HashMap::new(),
        }
    }
}

impl Admission {
    /// Takes in an offer: one that was refused before and comes back is late.
    pub(crate) fn meet(&mut self, offer: &mut Offer, now: Instant) {
        if self.returns.take(offer.mark, now) {
            offer.late = true;
            offer.returning = true;
        }
    }

    /// Until when a late offer may wait and still have its whole answer.
    pub(crate) fn late_until(&self, offer: &Offer, fastest: Option<Duration>) -> Instant {
        let runs = self.runs.get(&Kind::of(offer)).and_then(Estimate::mean);
        let runs = Duration::from_secs_f64(runs.unwrap_or_default().max(0.0));
        let first = fastest.unwrap_or_default() + WAY;
        before(offer.deadline, first).min(before(offer.whole_by, first + runs))
    }

    /// Whether an offer with `ahead` others before it is likely to have its turn by then; `paced` is what the servers'
    /// limits make it wait at least.
    pub(crate) fn comes_by(
        &self,
        ahead: usize,
        paced: Option<Duration>,
        until: Instant,
        now: Instant,
    ) -> bool {
        if now > until {
            return false;
        }
        let wait = self.on_time.wait(ahead, now).max(paced);
        wait.is_none_or(|wait| now + wait <= until)
    }

    /// Whether a late offer with `ahead` others before it goes on waiting for an idle place until then.
    ///
    /// The first one does, so that an idle place finds it. Another one does if it comes back, since its
    /// caller would not come once more, and its turn is likely.
    pub(crate) fn waits_late(
        &self,
        offer: &Offer,
        ahead: usize,
        until: Instant,
        now: Instant,
    ) -> bool {
        let wait = self.spare.wait(ahead, now);
        let is_likely = wait.is_some_and(|wait| now + wait <= until);
        now <= until && (ahead == 0 || offer.returning && is_likely)
    }

    /// Counts a grant.
    pub(crate) fn granted(&mut self, offer: &Offer, now: Instant) {
        if offer.late {
            self.spare.grant(now);
        } else {
            self.on_time.grant(now);
        }
    }

    /// Learns how long a request ran that was answered whole.
    pub(crate) fn ran(&mut self, kind: Kind, time: Duration) {
        if self.runs.len() < KINDS_MAX || self.runs.contains_key(&kind) {
            self.runs.entry(kind).or_default().learn(time.as_secs_f64());
        }
    }

    /// When the caller of a refused offer is to come back.
    pub(crate) fn come_back(&mut self, offer: &Offer, now: Instant) -> Duration {
        self.returns.book(offer, &self.spare, now)
    }

    /// Why an offer is refused that is not likely to have its turn while it is of use.
    ///
    /// `limits` is what the servers take a second, where their limits allow no more.
    pub(crate) fn refuse(
        &mut self,
        offer: &Offer,
        ahead: usize,
        limits: Option<f64>,
        now: Instant,
    ) -> Reason {
        let (pace, what) = if offer.late {
            (&self.spare, "find an idle place")
        } else {
            (&self.on_time, "have their turn")
        };
        let mut message = format!(
            "{ahead} go before it and {:.1} a second {what}; it has waited for {} ms and its caller leaves in {} ms",
            pace.rate(now),
            millis_since(offer.arrived, now),
            millis_since(now, offer.deadline),
        );
        if let Some(limits) = limits {
            // Writing to a string does not fail.
            let _ = write!(message, "; its servers take {limits:.1} requests a second");
        }
        let wait = self.come_back(offer, now);
        Reason::later(Code::DeadlineUnreachable, message, wait)
    }
}

/// Until when an offer may wait and still have its first token on time.
pub(crate) fn on_time_until(offer: &Offer, fastest: Option<Duration>) -> Instant {
    before(offer.due(), fastest.unwrap_or_default() + WAY)
}

/// What requests that run for about as long have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Kind {
    rank: usize,
    word: i64,
}

impl Kind {
    /// The kind of an offer.
    pub(crate) fn of(offer: &Offer) -> Self {
        Self {
            rank: offer.rank,
            word: offer.priority,
        }
    }
}

fn before(moment: Instant, time: Duration) -> Instant {
    moment.checked_sub(time).unwrap_or(moment)
}
