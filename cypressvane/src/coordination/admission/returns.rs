//! Refused requests that may be retried: recognises them, and schedules their retries.

use std::collections::HashMap;
use std::time::Duration;

use crate::coordination::admission::forecast::GrantRate;
use crate::coordination::offer::Offer;
use crate::state::clock::Instant;
use crate::state::units::to_f64;

/// Minimum time after which a refused caller is asked to retry: its round trip, plus the time of some tens of grants.
const RETURN_MIN: Duration = Duration::from_millis(250);
/// Maximum retry time, as a share of the time for which a caller still waits; the users' callers ignore longer ones.
pub(super) const RETURN_MAX_SHARE: f64 = 0.33;
/// Share of the maximum retry time, at its end, over which retries that cannot be booked are spread: the later they
/// come, the more likely the load peak has passed.
const SPREAD_SHARE: f64 = 0.5;
/// How long a refused request is remembered: longer than any retry time given, except those that follow long rests.
const MARK_TTL: Duration = Duration::from_secs(10);
/// Maximum number of refused requests that are remembered.
const MARKS_MAX: usize = 16_384;

/// Refused requests that may be retried.
#[derive(Debug, Default)]
pub(crate) struct Returns {
    /// Time of the refusal of each request, by its mark.
    marks: HashMap<u64, Instant>,
    /// Time of the retry that was booked last.
    last_booked: Option<Instant>,
}

impl Returns {
    /// Remembers a refused request and returns the time after which its caller should retry.
    ///
    /// Retries are booked at the rate at which late offers were recently granted, so that each finds a free slot and
    /// they do not all arrive at once. A retry that would be booked too late, or for which no rate is known, is instead
    /// spread over the end of the longest retry time. None is earlier than `rest`, the time for which no server takes
    /// work.
    pub(crate) fn book(
        &mut self,
        offer: &Offer,
        late_rate: &GrantRate,
        rest: Duration,
        now: Instant,
    ) -> Duration {
        self.remember(offer.mark, now);
        let longest = offer
            .answer_deadline
            .saturating_duration_since(now)
            .mul_f64(RETURN_MAX_SHARE);
        let earliest = now + RETURN_MIN.max(rest);
        let after = self.last_booked.map_or(earliest, |last| last.max(earliest));
        let booked = late_rate
            .wait(1, None, now)
            .map(|interval| after + interval);
        if let Some(at) = booked.filter(|at| *at <= now + longest) {
            self.last_booked = Some(at);
            return at.saturating_duration_since(now);
        }
        let spread = spread(offer.ticket.sequence);
        let late = longest.mul_f64(1.0 - SPREAD_SHARE * spread);
        if rest.is_zero() {
            return late;
        }
        late.max(rest + RETURN_MIN.mul_f64(spread))
    }

    fn remember(&mut self, mark: Option<u64>, now: Instant) {
        let Some(mark) = mark else { return };
        if self.marks.len() >= MARKS_MAX {
            self.marks.retain(|_, at| is_fresh(*at, now));
        }
        if self.marks.len() < MARKS_MAX {
            self.marks.insert(mark, now);
        }
    }

    /// Forgets a refusal that was not given to its caller.
    pub(crate) fn forget(&mut self, mark: Option<u64>) {
        mark.map(|mark| self.marks.remove(&mark));
    }

    /// Whether a request with this mark was refused recently; also forgets it.
    pub(crate) fn take(&mut self, mark: Option<u64>, now: Instant) -> bool {
        let refused = mark.and_then(|mark| self.marks.remove(&mark));
        refused.is_some_and(|at| is_fresh(at, now))
    }
}

/// Maps a sequence number to [0, 1): consecutive numbers are far apart, and all are spread evenly.
fn spread(sequence: u64) -> f64 {
    /// Fractional part of the golden ratio, whose multiples modulo 1 have this property.
    const STEP: f64 = 0.618_033_988_749_895;
    (to_f64(sequence) * STEP).fract()
}

fn is_fresh(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < MARK_TTL
}
