//! Paces requests to a backend server by the rate limit that its answers name.
//!
//! Answers may arrive out of order. An answer that lowers the limit applies at once. One that raises it applies only
//! if its request was granted after the last answer that named a limit was received, because the server may have sent
//! any other answer before that one.

use crate::coordination::limit::bucket::{Bucket, Parameters};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::to_f64;

/// Requests that a server may get at once, in seconds of its limit; at least one request.
const BURST_SECONDS: f64 = 0.5;
/// Lowest rate at which a server gets requests, per second: a server that gets none cannot report that it takes
/// requests again.
const RATE_MIN: f64 = 0.5;
/// Level that the bucket needs for a request. It is just below one, so that a rounding error does not delay a
/// request.
const REQUEST_LEVEL: f64 = 1.0 - 1e-6;
/// Longest time that a server gets nothing because it was given more than a lowered limit allows, in addition to the
/// time for one request. Until then it cannot report a higher limit.
const DEBT_SECONDS_MAX: f64 = 4.0;

/// A rate limit that a server has named.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    /// Requests per second, from all hosts together.
    pub(crate) per_second: f64,
    /// When this home first knew of a limit, whatever its value.
    pub(crate) since: Instant,
    /// The host that received this value.
    pub(crate) heard_by: Name,
    bucket: Bucket,
}

/// What this home knows of the request that an answer belongs to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Granted {
    /// When the request was granted.
    pub(crate) at: Instant,
    /// How many requests that were granted at that time or later still run on the server.
    pub(crate) running: usize,
}

/// Paces requests to a server by the limit that it has named, if any.
#[derive(Clone, Debug)]
pub(crate) struct Pacing {
    limit: Option<Limit>,
    /// When a limit, or the end of one, was last received.
    received_at: Option<Instant>,
    /// This home's share of the limit, from 0 to 1.
    share: f64,
    /// When the server may get the next request; `None` if it may get one now.
    opens_at: Option<Instant>,
}

impl Default for Pacing {
    fn default() -> Self {
        Self {
            limit: None,
            received_at: None,
            share: 1.0,
            opens_at: None,
        }
    }
}

impl Pacing {
    /// Returns the pacing without a limit. Limits that were received at `now` or earlier are ignored when another
    /// host reports them.
    pub(crate) fn reset_at(now: Instant) -> Self {
        Self {
            received_at: Some(now),
            ..Self::default()
        }
    }

    /// Returns the limit, if there is one.
    pub(crate) fn limit(&self) -> Option<&Limit> {
        self.limit.as_ref()
    }

    /// Returns the limit as a host would report it, if there is one.
    pub(crate) fn reported(&self) -> Option<ReportedLimit> {
        let limit = self.limit.as_ref()?;
        Some(ReportedLimit {
            per_second: limit.per_second,
            received_at: self.received_at?,
            heard_by: limit.heard_by.clone(),
        })
    }

    /// Returns when the server may get the next request; `None` if it may get one now.
    pub(crate) fn opens_at(&self) -> Option<Instant> {
        self.opens_at
    }

    /// Returns the requests per second that this home may send to the server; `None` without a limit.
    pub(crate) fn rate(&self) -> Option<f64> {
        let limit = self.limit.as_ref()?;
        Some(rate(limit.per_second, self.share))
    }

    /// Returns the requests that the server may get at once; `None` without a limit.
    pub(crate) fn allowance(&self, now: Instant) -> Option<f64> {
        let mut bucket = self.limit.as_ref()?.bucket;
        bucket.fill(parameters(self.limit.as_ref()?.per_second, self.share), now);
        Some(bucket.level())
    }

    /// Applies the limit that an answer names, or its absence; `granted` is `None` for a request that another home
    /// granted.
    pub(crate) fn apply(
        &mut self,
        named: Option<f64>,
        granted: Option<Granted>,
        heard_by: &Name,
        now: Instant,
    ) {
        let Some(limit) = &self.limit else {
            if let Some(per_second) = named {
                self.start_limit(per_second, heard_by, now, now);
            }
            return;
        };
        let allows_more = named.is_none_or(|per_second| per_second > limit.per_second);
        let is_later = granted.is_some_and(|granted| {
            self.received_at
                .is_none_or(|received_at| granted.at > received_at)
        });
        if allows_more && !is_later {
            return;
        }
        self.received_at = Some(now);
        if let Some(per_second) = named {
            self.change_rate(per_second, heard_by, now);
            if let Some(granted) = granted
                && !allows_more
            {
                self.charge_granted_since(granted, now);
            }
        } else {
            self.limit = None;
            self.opens_at = None;
        }
    }

    /// Applies a limit that another host received some time ago.
    pub(crate) fn apply_reported(&mut self, reported: &ReportedLimit, now: Instant) {
        if self
            .received_at
            .is_some_and(|received_at| reported.received_at <= received_at)
        {
            return;
        }
        match &self.limit {
            None => self.start_limit(
                reported.per_second,
                &reported.heard_by,
                reported.received_at,
                now,
            ),
            Some(limit) if reported.per_second < limit.per_second => {
                self.received_at = Some(reported.received_at);
                self.change_rate(reported.per_second, &reported.heard_by, now);
            }
            Some(_) => {}
        }
    }

    /// Starts to limit the server. The bucket is empty, because what the server was given before this home knew of
    /// the limit is unknown.
    fn start_limit(
        &mut self,
        per_second: f64,
        heard_by: &Name,
        received_at: Instant,
        now: Instant,
    ) {
        self.received_at = Some(received_at);
        self.limit = Some(Limit {
            per_second,
            since: now,
            heard_by: heard_by.clone(),
            bucket: Bucket::new(parameters(per_second, self.share), now),
        });
        self.update(now);
    }

    fn change_rate(&mut self, per_second: f64, heard_by: &Name, now: Instant) {
        // Tokens up to now were gained at the previous rate.
        self.update(now);
        if let Some(limit) = &mut self.limit
            && limit.per_second.to_bits() != per_second.to_bits()
        {
            limit.per_second = per_second;
            limit.heard_by = heard_by.clone();
        }
        self.update(now);
    }

    /// Lowers the level as if the limit had been known when the request was granted: those granted since have reached
    /// a server that takes fewer.
    fn charge_granted_since(&mut self, granted: Granted, now: Instant) {
        let Some(limit) = &mut self.limit else {
            return;
        };
        let parameters = parameters(limit.per_second, self.share);
        let gained = now.saturating_duration_since(granted.at).as_secs_f64() * parameters.rate();
        let level = parameters.capacity() + gained - to_f64(granted.running as u64);
        let floor = -parameters.rate() * DEBT_SECONDS_MAX;
        limit.bucket.lower_to(level.max(floor));
        self.update(now);
    }

    /// Sets this home's share of the limit.
    pub(crate) fn set_share(&mut self, share: f64, now: Instant) {
        self.update(now);
        self.share = share;
        self.update(now);
    }

    /// Counts a request that is granted.
    pub(crate) fn take(&mut self, now: Instant) {
        self.update(now);
        if let Some(limit) = &mut self.limit {
            limit.bucket.take(1.0);
        }
        self.update(now);
    }

    /// Fills the bucket and updates when the server may get the next request.
    pub(crate) fn update(&mut self, now: Instant) {
        let share = self.share;
        self.opens_at = self.limit.as_mut().and_then(|limit| {
            limit.bucket.fill(parameters(limit.per_second, share), now);
            limit.bucket.wait(REQUEST_LEVEL).map(|wait| now + wait)
        });
    }
}

/// A limit as a host reports it to a home that may not know it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedLimit {
    /// Requests per second.
    pub per_second: f64,
    /// When the host received it.
    pub received_at: Instant,
    /// The host that received it.
    pub heard_by: Name,
}

fn rate(per_second: f64, share: f64) -> f64 {
    per_second.max(RATE_MIN) * share
}

fn parameters(per_second: f64, share: f64) -> Parameters {
    let rate = rate(per_second, share);
    Parameters::starting_empty(rate, (rate * BURST_SECONDS).max(1.0))
}
