//! Paces requests to a backend server that may be cold after a start.
//!
//! A cold server ends if it gets requests much faster than it can take. The host list shows late that a server is cold,
//! and a server may become cold without a restart. So the bound for a cold server applies to every server that may
//! become cold, and a server that is known to be cold gets less.

use std::collections::VecDeque;
use std::time::Duration;

use crate::coordination::offer::Warmup;
use crate::state::clock::Instant;
use crate::state::units::to_u32;

/// Period to which the limits apply.
const PERIOD: Duration = Duration::from_secs(1);
/// Variation of the time from a grant until the request arrives at the server. Requests that are granted within
/// `PERIOD` and this time may arrive within `PERIOD`.
const DELAY_VARIATION: Duration = Duration::from_millis(200);
/// Share of the limit that a server is assumed to have got just before this home took it over.
const SHARE_BEFORE: f64 = 0.5;

/// Paces the requests to one server.
#[derive(Debug)]
pub(crate) struct Pacer {
    limits: Option<Warmup>,
    cold_until: Option<Instant>,
    /// Recent grants, oldest first.
    grants: VecDeque<Instant>,
    /// This home's share of the limits, from 0 to 1.
    share: f64,
    /// When the server may get the next request; `None` if it may get one now.
    opens_at: Option<Instant>,
}

impl Pacer {
    pub(crate) fn new(limits: Option<Warmup>, now: Instant) -> Self {
        let mut pacer = Self {
            limits: None,
            cold_until: None,
            grants: VecDeque::new(),
            share: 1.0,
            opens_at: None,
        };
        if let Some(limits) = limits {
            let before = to_u32(f64::from(limits.most) * SHARE_BEFORE);
            pacer.grants.extend((0..before).map(|_| now));
        }
        pacer.apply_list(limits, now);
        pacer
    }

    /// Applies the limits in the host list. An unchanged remaining cold time is not a new report.
    pub(crate) fn apply_list(&mut self, limits: Option<Warmup>, now: Instant) {
        let left = |limits: Option<Warmup>| limits.map(|limits| limits.left);
        if left(limits) != left(self.limits) {
            let left = left(limits).unwrap_or_default();
            self.cold_until = (!left.is_zero()).then(|| now + left);
        }
        self.limits = limits;
        self.update(now);
    }

    /// Sets this home's share of the limits.
    pub(crate) fn set_share(&mut self, share: f64, now: Instant) {
        self.share = share;
        self.update(now);
    }

    /// Counts a request that is granted.
    pub(crate) fn take(&mut self, now: Instant) {
        if self.limits.is_some() {
            self.grants.push_back(now);
            self.update(now);
        }
    }

    /// Updates when the server may get the next request.
    pub(crate) fn update(&mut self, now: Instant) {
        let window = PERIOD + DELAY_VARIATION;
        let is_over = |at: &Instant| now.saturating_duration_since(*at) >= window;
        while self.grants.front().is_some_and(is_over) {
            self.grants.pop_front();
        }
        let Some(most) = self.most(now) else {
            self.grants.clear();
            self.opens_at = None;
            return;
        };
        let next = self.grants.len().checked_sub(most);
        self.opens_at = next.map(|index| self.grants[index] + window);
    }

    /// Returns when the server may get the next request; `None` if it may get one now.
    pub(crate) fn opens_at(&self) -> Option<Instant> {
        self.opens_at
    }

    /// Returns the requests that the server may get at once; `None` without limits.
    pub(crate) fn allowance(&self, now: Instant) -> Option<u32> {
        let left = self.most(now)?.saturating_sub(self.grants.len());
        Some(u32::try_from(left).unwrap_or(u32::MAX))
    }

    /// Most grants within a period; `None` without limits. At least one, so that a home with a small share uses it.
    fn most(&self, now: Instant) -> Option<usize> {
        let limits = self.limits?;
        let is_cold = self.cold_until.is_some_and(|until| now < until);
        let most = if is_cold {
            limits.per_second.min(limits.most)
        } else {
            limits.most
        };
        let own = to_u32(f64::from(most) * self.share).max(1);
        Some(own as usize)
    }
}
