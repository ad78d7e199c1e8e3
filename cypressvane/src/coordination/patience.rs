//! When a waiting request is refused early, and when its caller is told to come back.
//!
//! A caller that is refused soon and comes back can still be served on time by its second attempt;
//! one that waits in vain has lost both. So a request that will not have its turn in time is refused
//! as soon as that is likely, is told to come back when the rush is over, and goes first then.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::coordination::offer::Offer;
use crate::state::units::real;

/// Time over which grants are averaged: long against the time between grants, short against a rush.
const SPAN: Duration = Duration::from_secs(1);
/// Grants a second below which the pace tells nothing: one in the span's last few seconds.
const RATE_KNOWN: f64 = 0.1;
/// Part of its objective that a request may wait for its turn; the rest is the server's.
const WAIT_PART: f64 = 0.7;
/// Part of its patience that a request may wait late.
const HOLD_PART: f64 = 0.4;
/// Part of its objective within which a refusal still lets the next attempt count as on time.
const EARLY_PART: f64 = 0.25;
/// How long before that the decision is made, for the way back to the caller.
const EARLY_MARGIN: Duration = Duration::from_millis(15);
/// Shortest time after which a refused caller is told to come back.
const RETURN_MIN: Duration = Duration::from_millis(1_200);
/// How much longer others are told to wait: the users' rushes last for two to five seconds.
const RETURN_SPREAD: Duration = Duration::from_millis(2_800);
/// Part of what is left of its patience after which a caller comes back at the latest.
const RETURN_PART: f64 = 0.3;
/// How long a refused request is remembered: longer than any caller is told to stay away.
const REMEMBERED_FOR: Duration = Duration::from_secs(10);
/// Most refused requests that are remembered.
const REMEMBERED_MAX: usize = 16_384;

/// How fast a pool grants.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    /// Grants a second, averaged.
    rate: f64,
    at: Option<Instant>,
}

impl Pace {
    /// Counts a grant.
    pub(crate) fn grant(&mut self, now: Instant) {
        self.rate = self.rate(now) + 1.0 / SPAN.as_secs_f64();
        self.at = Some(now);
    }

    /// Grants a second.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        let passed = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * (-passed.as_secs_f64() / SPAN.as_secs_f64()).exp()
    }

    /// Time until the turn of a request with `ahead` others before it; `None` when nothing was
    /// granted lately.
    pub(crate) fn wait(&self, ahead: usize, now: Instant) -> Option<Duration> {
        let rate = self.rate(now);
        (rate >= RATE_KNOWN).then(|| Duration::from_secs_f64((real(ahead as u64) / rate).min(1e6)))
    }
}

/// Whether an offer with `ahead` others before it is likely to have its turn on time.
///
/// One that comes back is not refused again while it may still be served: its caller would not
/// return once more.
pub(crate) fn goes_on(pace: &Pace, offer: &Offer, ahead: usize, now: Instant) -> bool {
    if offer.returning {
        return true;
    }
    let wait = pace.wait(ahead, now);
    wait.is_none_or(|wait| now + wait <= last_turn(offer))
}

/// Requests that were refused and may come back.
#[derive(Debug, Default)]
pub(crate) struct Refused {
    marks: HashMap<u64, Instant>,
}

impl Refused {
    /// Remembers a refused request by its mark.
    pub(crate) fn note(&mut self, mark: Option<u64>, now: Instant) {
        let Some(mark) = mark else { return };
        if self.marks.len() >= REMEMBERED_MAX {
            self.marks.retain(|_, at| is_remembered(*at, now));
        }
        if self.marks.len() < REMEMBERED_MAX {
            self.marks.insert(mark, now);
        }
    }

    /// Whether a request of that mark was refused lately; it is forgotten by that.
    pub(crate) fn take(&mut self, mark: Option<u64>, now: Instant) -> bool {
        let refused = mark.and_then(|mark| self.marks.remove(&mark));
        refused.is_some_and(|at| is_remembered(at, now))
    }
}

fn is_remembered(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < REMEMBERED_FOR
}

/// Until when an offer waits in its place.
///
/// One whose turn did not come on time goes on behind those that still are, and is refused while its
/// caller has time enough to come back.
pub(crate) fn last_turn(offer: &Offer) -> Instant {
    if !offer.early {
        return offer.deadline;
    }
    if offer.late {
        let patience = offer.deadline.saturating_duration_since(offer.arrived);
        return offer.arrived + patience.mul_f64(HOLD_PART);
    }
    offer
        .deadline
        .min(offer.arrived + offer.first_token.mul_f64(WAIT_PART))
}

/// When it is decided whether an offer goes on waiting.
pub(crate) fn early(offer: &Offer) -> Instant {
    let early = offer.first_token.mul_f64(EARLY_PART);
    offer.arrived + early.saturating_sub(EARLY_MARGIN)
}

/// When the caller of a refused offer is told to come back.
///
/// The times are spread by the offers' numbers, so that those who are refused together do not
/// return together.
pub(crate) fn come_back(offer: &Offer, now: Instant) -> Duration {
    /// The golden ratio's fraction: its multiples spread evenly over one.
    const STEP: f64 = 0.618_033_988_749_895;
    let left = offer.deadline.saturating_duration_since(now);
    let spread = (real(offer.ticket.sequence) * STEP).fract();
    let wait = RETURN_MIN + RETURN_SPREAD.mul_f64(spread);
    wait.min(left.mul_f64(RETURN_PART))
}
