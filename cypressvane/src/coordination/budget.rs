//! How often a host may send requests once more.
//!
//! The fleet's budget for a service, over any window, is a ratio of the requests for it and a fixed
//! number. Each host keeps to the ratio of its own requests and to its part of the number, so no
//! word between hosts is needed.
//!
//! What keeps the sum of the parts within the whole: a host takes the parts of as many hosts as it knew at
//! any time in the window, since one that has left spent its part before; and it has no part at all in
//! its first window, since it may have spent it before it was restarted, nor before it knows the others.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::name::Name;

/// Parts into which the window is cut for counting: a host may repeat that much less than allowed, 2%.
const PARTS: u32 = 50;

/// The bounds of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed in a window besides, on all hosts together.
    pub spare: f64,
    /// The window.
    pub window: Duration,
}

/// What one part of the window saw.
#[derive(Clone, Copy, Debug)]
struct Part {
    began: Instant,
    requests: f64,
    repeats: f64,
}

/// The counts of one service.
#[derive(Debug, Default)]
struct Service {
    parts: VecDeque<Part>,
}

impl Service {
    /// The part of the window that `now` lies in, with those that are over forgotten.
    fn part(&mut self, bounds: &Bounds, now: Instant) -> &mut Part {
        let length = bounds.window / PARTS;
        // The end of a part still counts when its beginning is a window old.
        let is_over =
            |part: &Part| now.saturating_duration_since(part.began) >= bounds.window + length;
        while self.parts.front().is_some_and(is_over) {
            self.parts.pop_front();
        }
        let is_new = self
            .parts
            .back()
            .is_none_or(|part| now.saturating_duration_since(part.began) >= length);
        if is_new {
            self.parts.push_back(Part {
                began: now,
                requests: 0.0,
                repeats: 0.0,
            });
        }
        self.parts.back_mut().expect("a part was just added")
    }

    /// Requests that are certainly within the window.
    fn requests(&self, bounds: &Bounds, now: Instant) -> f64 {
        let is_within = |part: &&Part| now.saturating_duration_since(part.began) < bounds.window;
        let parts = self.parts.iter().filter(is_within);
        parts.map(|part| part.requests).sum()
    }

    /// Repeats that may be within the window.
    fn repeats(&self) -> f64 {
        self.parts.iter().map(|part| part.repeats).sum()
    }
}

/// Numbers of hosts that were known, each with when it last was.
#[derive(Debug, Default)]
struct Hosts {
    known: VecDeque<(Instant, u32)>,
}

impl Hosts {
    fn note(&mut self, hosts: u32, window: Duration, now: Instant) {
        match self.known.back_mut().filter(|last| last.1 == hosts) {
            Some(last) => last.0 = now,
            None => self.known.push_back((now, hosts)),
        }
        while self
            .known
            .front()
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) >= window)
        {
            self.known.pop_front();
        }
    }

    /// The most that were known at once; `None` before any were.
    fn most(&self) -> Option<u32> {
        self.known.iter().map(|(_, hosts)| *hosts).max()
    }
}

/// The budgets of all services on this host.
#[derive(Debug)]
pub struct Budget {
    opened: Instant,
    hosts: Hosts,
    services: HashMap<Name, Service>,
}

impl Budget {
    /// The budget of a host that starts at `now`.
    #[must_use]
    pub fn open(now: Instant) -> Self {
        Self {
            opened: now,
            hosts: Hosts::default(),
            services: HashMap::new(),
        }
    }

    /// Notes how many hosts share the budget, this one included; to be told often, and only when known.
    pub fn shared_by(&mut self, hosts: u32, bounds: &Bounds, now: Instant) {
        self.hosts.note(hosts, bounds.window, now);
    }

    /// Counts a request that callers sent.
    pub fn request(&mut self, service: &Name, bounds: &Bounds, now: Instant) {
        let service = self.services.entry(service.clone()).or_default();
        service.part(bounds, now).requests += 1.0;
    }

    /// Takes one repeat, if the budget has it.
    pub fn repeat(&mut self, service: &Name, bounds: &Bounds, now: Instant) -> bool {
        let spare = self.spare(bounds, now);
        let service = self.services.entry(service.clone()).or_default();
        service.part(bounds, now);
        let allowed = service.requests(bounds, now) * bounds.ratio + spare;
        if service.repeats() + 1.0 > allowed {
            return false;
        }
        service.part(bounds, now).repeats += 1.0;
        true
    }

    /// This host's part of the repeats that are allowed besides the ratio.
    fn spare(&self, bounds: &Bounds, now: Instant) -> f64 {
        let is_first = now.saturating_duration_since(self.opened) < bounds.window;
        match self.hosts.most() {
            Some(hosts) if !is_first => bounds.spare / f64::from(hosts.max(1)),
            _ => 0.0,
        }
    }
}
