//! How many requests a second a backend server takes, as its answers say.
//!
//! Answers overtake each other. One that allows less counts at once; one that allows more counts only if its request
//! was granted after the last one that named a limit, since the server may have given any other answer before that.

use crate::coordination::limit::bucket::{Bounds, Bucket};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::real;

/// What a server may be given at once, in seconds of its limit, and one request at least.
const BURST_SECONDS: f64 = 0.5;
/// Least requests a second that a server is given: one that gets none cannot say that it takes requests again.
const RATE_MIN: f64 = 0.5;
/// What a request takes out of the bucket; a rounding error does not hold it back.
const REQUEST: f64 = 1.0 - 1e-6;
/// Longest time that a server rests for what it was given beyond a lower limit, besides the time of a request: it
/// cannot say meanwhile that it takes more.
const DEBT_SECONDS: f64 = 4.0;

/// A limit that a server has named.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    /// Requests a second, from all hosts together.
    pub(crate) per_second: f64,
    /// Since when it is known here, whatever its value.
    pub(crate) since: Instant,
    /// The host that heard this value.
    pub(crate) heard_by: Name,
    bucket: Bucket,
}

/// What is known here of the request that an answer belongs to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    /// When it was granted.
    pub(crate) at: Instant,
    /// How many granted since, itself among them, still run at the server.
    pub(crate) running: usize,
}

/// Keeps a server to the limit that it has named, if it has.
#[derive(Clone, Debug)]
pub(crate) struct Pacing {
    limit: Option<Limit>,
    /// When a limit, or the end of one, was heard last.
    heard: Option<Instant>,
    /// This home's part of the limit, from 0 to 1.
    part: f64,
    /// When the next request may go there; `None` while one may.
    opens_at: Option<Instant>,
}

impl Default for Pacing {
    fn default() -> Self {
        Self {
            limit: None,
            heard: None,
            part: 1.0,
            opens_at: None,
        }
    }
}

impl Pacing {
    /// Without a limit; what was heard before that moment is over.
    pub(crate) fn after(now: Instant) -> Self {
        Self {
            heard: Some(now),
            ..Self::default()
        }
    }

    /// The limit, where there is one.
    pub(crate) fn limit(&self) -> Option<&Limit> {
        self.limit.as_ref()
    }

    /// When the next request may go to the server; `None` while one may.
    pub(crate) fn opens_at(&self) -> Option<Instant> {
        self.opens_at
    }

    /// Requests a second that this home may give the server; `None` without a limit.
    pub(crate) fn rate(&self) -> Option<f64> {
        let limit = self.limit.as_ref()?;
        Some(rate(limit.per_second, self.part))
    }

    /// Requests that may go to the server at once; `None` without a limit.
    pub(crate) fn allowance(&self, now: Instant) -> Option<f64> {
        let mut bucket = self.limit.as_ref()?.bucket;
        bucket.fill(bounds(self.limit.as_ref()?.per_second, self.part), now);
        Some(bucket.level())
    }

    /// Takes in what an answer names; `sent` is `None` for a request that another home granted.
    pub(crate) fn hear(&mut self, named: Option<f64>, sent: Option<Sent>, by: &Name, now: Instant) {
        let Some(limit) = &self.limit else {
            if let Some(per_second) = named {
                self.begin(per_second, by, now, now);
            }
            return;
        };
        let allows_more = named.is_none_or(|per_second| per_second > limit.per_second);
        let is_later = sent.is_some_and(|sent| self.heard.is_none_or(|heard| sent.at > heard));
        if allows_more && !is_later {
            return;
        }
        self.heard = Some(now);
        if let Some(per_second) = named {
            self.change(per_second, by, now);
            if let Some(sent) = sent
                && !allows_more
            {
                self.count_since(sent, now);
            }
        } else {
            self.limit = None;
            self.opens_at = None;
        }
    }

    /// Takes in a limit that another host heard some time ago.
    pub(crate) fn hear_earlier(&mut self, told: &Told, now: Instant) {
        if self.heard.is_some_and(|heard| told.heard <= heard) {
            return;
        }
        match &self.limit {
            None => self.begin(told.per_second, &told.heard_by, told.heard, now),
            Some(limit) if told.per_second < limit.per_second => {
                self.heard = Some(told.heard);
                self.change(told.per_second, &told.heard_by, now);
            }
            Some(_) => {}
        }
    }

    /// What was given before this home knew of the limit is not known, so the bucket is empty.
    fn begin(&mut self, per_second: f64, by: &Name, heard: Instant, now: Instant) {
        self.heard = Some(heard);
        self.limit = Some(Limit {
            per_second,
            since: now,
            heard_by: by.clone(),
            bucket: Bucket::new(bounds(per_second, self.part), now),
        });
        self.look(now);
    }

    fn change(&mut self, per_second: f64, by: &Name, now: Instant) {
        // What was gained up to now was gained at the rate of before.
        self.look(now);
        if let Some(limit) = &mut self.limit
            && limit.per_second.to_bits() != per_second.to_bits()
        {
            limit.per_second = per_second;
            limit.heard_by = by.clone();
        }
        self.look(now);
    }

    /// Empties the bucket as if the limit had been known when that request was granted: those granted since have
    /// reached a server that takes fewer.
    fn count_since(&mut self, sent: Sent, now: Instant) {
        let Some(limit) = &mut self.limit else {
            return;
        };
        let bounds = bounds(limit.per_second, self.part);
        let gained = now.saturating_duration_since(sent.at).as_secs_f64() * bounds.rate();
        let level = bounds.most() + gained - real(sent.running as u64);
        let floor = -bounds.rate() * DEBT_SECONDS;
        limit.bucket.lower(level.max(floor));
        self.look(now);
    }

    /// Sets this home's part of the limit.
    pub(crate) fn share(&mut self, part: f64, now: Instant) {
        self.look(now);
        self.part = part;
        self.look(now);
    }

    /// Counts a request that is granted.
    pub(crate) fn take(&mut self, now: Instant) {
        self.look(now);
        if let Some(limit) = &mut self.limit {
            limit.bucket.take(1.0);
        }
        self.look(now);
    }

    /// Finds out when the next request may go there.
    pub(crate) fn look(&mut self, now: Instant) {
        let part = self.part;
        self.opens_at = self.limit.as_mut().and_then(|limit| {
            limit.bucket.fill(bounds(limit.per_second, part), now);
            limit.bucket.wait(REQUEST).map(|wait| now + wait)
        });
    }
}

/// A limit as a host tells a home of it that may not know it.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// Requests a second.
    pub per_second: f64,
    /// When the host heard it.
    pub heard: Instant,
    /// The host.
    pub heard_by: Name,
}

fn rate(per_second: f64, part: f64) -> f64 {
    per_second.max(RATE_MIN) * part
}

fn bounds(per_second: f64, part: f64) -> Bounds {
    let rate = rate(per_second, part);
    Bounds::steady(rate, (rate * BURST_SECONDS).max(1.0))
}
