//! Reservations of refused callers: the times at which the pool can serve their retries.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::coordination::admission::forecast::GrantRate;
use crate::state::clock::Instant;

/// Minimum time to a reservation: the caller's round trip.
const RETURN_MIN: Duration = Duration::from_millis(250);
/// How much earlier than its reservation a retry may arrive, since retry times are rounded to milliseconds.
const EARLY_MAX: Duration = Duration::from_millis(5);
/// How much later a retry may arrive, since some callers get retry times that are rounded up to seconds. After that its
/// capacity is given to others.
const LATE_MAX: Duration = Duration::from_secs(1);
/// Least share of the capacity that is reserved for retries. Their demand is not known to end before they return.
const SHARE_MIN: f64 = 0.1;
/// Time over which the demand of new requests is averaged: about the length of a load peak.
const DEMAND_SPAN: Duration = Duration::from_secs(4);
/// Time over which the demand of new requests is averaged to detect a load peak.
const PEAK_SPAN: Duration = Duration::from_secs(1);
/// Maximum number of reservations.
const RESERVATIONS_MAX: usize = 16_384;

/// How a retry arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arrival {
    /// The request has no reservation.
    New,
    /// It has one for later.
    Early,
    /// It has come at its time.
    Due,
}

/// The reservations of a pool.
#[derive(Debug)]
pub(super) struct Reservations {
    /// Reserved times, by the marks of the requests.
    by_mark: HashMap<u64, Instant>,
    by_time: BTreeSet<(Instant, u64)>,
    /// The latest time that was reserved.
    last: Option<Instant>,
    /// New requests per second.
    demand: GrantRate,
    peak: GrantRate,
}

impl Default for Reservations {
    fn default() -> Self {
        Self {
            by_mark: HashMap::new(),
            by_time: BTreeSet::new(),
            last: None,
            demand: GrantRate::new(DEMAND_SPAN),
            peak: GrantRate::new(PEAK_SPAN),
        }
    }
}

impl Reservations {
    /// Records an offer and ends its reservation if it has come at its time.
    pub(super) fn arrive(&mut self, mark: Option<u64>, now: Instant) -> Arrival {
        self.expire(now);
        let reserved = mark.and_then(|mark| Some((mark, *self.by_mark.get(&mark)?)));
        match reserved {
            None => {
                self.demand.note_grant(now);
                self.peak.note_grant(now);
                Arrival::New
            }
            Some((_, at)) if now + EARLY_MAX < at => Arrival::Early,
            Some((mark, at)) => {
                self.remove(mark, at);
                Arrival::Due
            }
        }
    }

    /// Reserves the next time that `capacity`, in requests per second, leaves over, between the two times of `within`;
    /// `None` if there is none.
    ///
    /// A request that has a reservation keeps it.
    pub(super) fn book(
        &mut self,
        mark: Option<u64>,
        capacity: f64,
        within: (Instant, Instant),
        now: Instant,
    ) -> Option<Duration> {
        self.expire(now);
        let mark = mark?;
        if let Some(at) = self.by_mark.get(&mark) {
            return Some(at.saturating_duration_since(now));
        }
        if self.by_mark.len() >= RESERVATIONS_MAX || capacity <= 0.0 {
            return None;
        }
        let left_over = (capacity - self.demand.rate(now)).max(capacity * SHARE_MIN);
        let interval = Duration::try_from_secs_f64(left_over.recip()).ok()?;
        let (earliest, until) = within;
        let earliest = earliest.max(now + RETURN_MIN);
        let at = self
            .last
            .map_or(earliest, |last| earliest.max(last + interval));
        if at > until {
            return None;
        }
        self.last = Some(at);
        self.by_mark.insert(mark, at);
        self.by_time.insert((at, mark));
        Some(at.saturating_duration_since(now))
    }

    /// Ends the reservation of a request.
    pub(super) fn cancel(&mut self, mark: Option<u64>) {
        let reserved = mark.and_then(|mark| Some((mark, *self.by_mark.get(&mark)?)));
        if let Some((mark, at)) = reserved {
            self.remove(mark, at);
        }
    }

    /// Number of requests that are to come until then and have not come.
    pub(super) fn due_by(&self, until: Instant) -> usize {
        self.by_time.range(..=(until, u64::MAX)).count()
    }

    /// New requests per second.
    pub(super) fn demand(&self, now: Instant) -> f64 {
        self.demand.rate(now).max(self.peak.rate(now))
    }

    /// Drops the reservations whose requests have not come.
    fn expire(&mut self, now: Instant) {
        while let Some((at, mark)) = self.by_time.first().copied() {
            if now.saturating_duration_since(at) <= LATE_MAX {
                return;
            }
            self.remove(mark, at);
        }
    }

    fn remove(&mut self, mark: u64, at: Instant) {
        self.by_mark.remove(&mark);
        self.by_time.remove(&(at, mark));
    }
}
