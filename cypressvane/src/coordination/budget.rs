//! Retry budget: how many requests a host may send to a backend server again.
//!
//! Over any window, the fleet may retry a ratio of a service's requests plus a fixed number. Each host applies the
//! ratio to its own requests and takes its share of the fixed number, so hosts need not communicate.
//!
//! Two rules keep the sum of the shares within the fixed number. A host divides it by the highest number of hosts that
//! it knew at any time in the window, since a host that has left may have spent its share before. And a host has no
//! share in its first window, since it may have spent it before a restart, nor before it knows the other hosts.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::name::Name;

/// Intervals into which the window is divided for counting; the rounding costs a host up to 2% of its retries.
const INTERVALS: u32 = 50;

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed per window, on all hosts together.
    pub spare: f64,
    /// The window.
    pub window: Duration,
}

/// Counts of one interval of the window.
#[derive(Clone, Copy, Debug)]
struct Interval {
    start: Instant,
    requests: f64,
    retries: f64,
}

/// The counts of one service.
#[derive(Debug, Default)]
struct Service {
    intervals: VecDeque<Interval>,
}

impl Service {
    /// The interval that contains `now`; drops expired intervals.
    fn interval(&mut self, bounds: &Bounds, now: Instant) -> &mut Interval {
        let length = bounds.window / INTERVALS;
        // The end of an interval is still in the window when its beginning is one window old.
        let is_over = |interval: &Interval| {
            now.saturating_duration_since(interval.start) >= bounds.window + length
        };
        while self.intervals.front().is_some_and(is_over) {
            self.intervals.pop_front();
        }
        let is_new = self
            .intervals
            .back()
            .is_none_or(|interval| now.saturating_duration_since(interval.start) >= length);
        if is_new {
            self.intervals.push_back(Interval {
                start: now,
                requests: 0.0,
                retries: 0.0,
            });
        }
        self.intervals
            .back_mut()
            .expect("an interval was just added")
    }

    /// Requests that are certainly within the window, a lower bound.
    fn requests(&self, bounds: &Bounds, now: Instant) -> f64 {
        let is_within =
            |interval: &&Interval| now.saturating_duration_since(interval.start) < bounds.window;
        let intervals = self.intervals.iter().filter(is_within);
        intervals.map(|interval| interval.requests).sum()
    }

    /// Retries that may be within the window, an upper bound.
    fn retries(&self) -> f64 {
        self.intervals.iter().map(|interval| interval.retries).sum()
    }
}

/// Numbers of known hosts within the window, each with the time at which it was last current.
#[derive(Debug, Default)]
struct HostCounts {
    counts: VecDeque<(Instant, u32)>,
}

impl HostCounts {
    fn note(&mut self, hosts: u32, window: Duration, now: Instant) {
        match self.counts.back_mut().filter(|last| last.1 == hosts) {
            Some(last) => last.0 = now,
            None => self.counts.push_back((now, hosts)),
        }
        while self
            .counts
            .front()
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) >= window)
        {
            self.counts.pop_front();
        }
    }

    /// The highest number; `None` if none is known.
    fn most(&self) -> Option<u32> {
        self.counts.iter().map(|(_, hosts)| *hosts).max()
    }
}

/// Retry budgets of all services on this host.
#[derive(Debug)]
pub struct Budget {
    started_at: Instant,
    hosts: HostCounts,
    services: HashMap<Name, Service>,
}

impl Budget {
    /// Creates the budgets of a host that starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            hosts: HostCounts::default(),
            services: HashMap::new(),
        }
    }

    /// Records how many hosts share the budget, including this one.
    ///
    /// Must be called regularly, but only while the number is known.
    pub fn set_host_count(&mut self, hosts: u32, bounds: &Bounds, now: Instant) {
        self.hosts.note(hosts, bounds.window, now);
    }

    /// Counts a caller's request.
    pub fn request(&mut self, service: &Name, bounds: &Bounds, now: Instant) {
        let service = self.services.entry(service.clone()).or_default();
        service.interval(bounds, now).requests += 1.0;
    }

    /// Whether a retry is left.
    pub fn has_retry(&mut self, service: &Name, bounds: &Bounds, now: Instant) -> bool {
        let spare = self.spare(bounds, now);
        let service = self.services.entry(service.clone()).or_default();
        service.interval(bounds, now);
        let allowed = service.requests(bounds, now) * bounds.ratio + spare;
        service.retries() + 1.0 <= allowed
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn take_retry(&mut self, service: &Name, bounds: &Bounds, now: Instant) -> bool {
        let has_retry = self.has_retry(service, bounds, now);
        if has_retry {
            let service = self.services.entry(service.clone()).or_default();
            service.interval(bounds, now).retries += 1.0;
        }
        has_retry
    }

    /// This host's share of `Bounds::spare`.
    fn spare(&self, bounds: &Bounds, now: Instant) -> f64 {
        let is_first = now.saturating_duration_since(self.started_at) < bounds.window;
        match self.hosts.most() {
            Some(hosts) if !is_first => bounds.spare / f64::from(hosts.max(1)),
            _ => 0.0,
        }
    }
}
