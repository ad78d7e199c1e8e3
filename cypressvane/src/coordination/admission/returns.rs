//! Callers that were refused and may come back: who they are, and when they are told to.

use std::collections::HashMap;
use std::time::Duration;

use crate::coordination::admission::forecast::Pace;
use crate::coordination::offer::Offer;
use crate::state::clock::Instant;
use crate::state::units::real;

/// Shortest time after which a refused caller is told to come back: its way there and back, and some
/// tens of a pool's grants.
const SHORTEST: Duration = Duration::from_millis(250);
/// Part of what is left of its patience after which a caller comes back at the latest; the users'
/// callers do not heed a longer one.
const PATIENCE_PART: f64 = 0.33;
/// Part of that time over whose end callers are spread to whom no place can be promised: the later
/// they come, the likelier the rush is over.
const SPREAD_PART: f64 = 0.5;
/// How long a refused request is remembered: longer than any caller is told to stay away.
const REMEMBERED_FOR: Duration = Duration::from_secs(10);
/// Most refused requests that are remembered.
const REMEMBERED_MAX: usize = 16_384;

/// Refused requests that may come back.
#[derive(Debug, Default)]
pub(crate) struct Returns {
    marks: HashMap<u64, Instant>,
    /// When the next caller that is refused is told to come back.
    next: Option<Instant>,
}

impl Returns {
    /// Remembers a refused request, and says when its caller is to come back.
    ///
    /// The times follow each other at the pace at which late requests have found idle places of late,
    /// so that those who come back find one, and do not come together. Where that would be too late,
    /// they are spread.
    pub(crate) fn book(&mut self, offer: &Offer, spare: &Pace, now: Instant) -> Duration {
        self.remember(offer.mark, now);
        let longest = offer
            .whole_by
            .saturating_duration_since(now)
            .mul_f64(PATIENCE_PART);
        let earliest = now + SHORTEST;
        let free = self.next.map_or(earliest, |next| next.max(earliest));
        let booked = spare.wait(1, now).map(|apart| free + apart);
        match booked.filter(|at| *at <= now + longest) {
            Some(at) => {
                self.next = Some(at);
                at.saturating_duration_since(now)
            }
            None => longest.mul_f64(1.0 - SPREAD_PART * spread(offer.ticket.sequence)),
        }
    }

    fn remember(&mut self, mark: Option<u64>, now: Instant) {
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

/// A number from 0 to 1: those of following sequences lie far apart, and all are spread evenly.
fn spread(sequence: u64) -> f64 {
    /// The golden ratio's fraction, whose multiples spread so.
    const STEP: f64 = 0.618_033_988_749_895;
    (real(sequence) * STEP).fract()
}

fn is_remembered(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < REMEMBERED_FOR
}
