//! How often a host may send requests once more.
//!
//! The fleet's budget for a service, over any window, is a ratio of the requests for it and a fixed
//! number. Each host keeps to the ratio of its own requests and to its part of the number, so no
//! word between hosts is needed.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::state::name::Name;

/// Parts into which the window is cut for counting.
const PARTS: u32 = 10;

/// The bounds of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed in a window besides, on this host.
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

/// The budget of one service.
#[derive(Debug, Default)]
struct Service {
    parts: VecDeque<Part>,
}

impl Service {
    /// The part of the window that `now` lies in, with those that are over forgotten.
    fn part(&mut self, bounds: &Bounds, now: Instant) -> &mut Part {
        let length = bounds.window / PARTS;
        let is_over = |part: &Part| now.saturating_duration_since(part.began) >= bounds.window;
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
}

/// The budgets of all services on this host.
#[derive(Debug, Default)]
pub struct Budget {
    services: HashMap<Name, Service>,
}

impl Budget {
    /// Counts a request that callers sent.
    pub fn request(&mut self, service: &Name, bounds: &Bounds, now: Instant) {
        let service = self.services.entry(service.clone()).or_default();
        service.part(bounds, now).requests += 1.0;
    }

    /// Takes one repeat, if the budget has it.
    pub fn repeat(&mut self, service: &Name, bounds: &Bounds, now: Instant) -> bool {
        let service = self.services.entry(service.clone()).or_default();
        service.part(bounds, now);
        let requests: f64 = service.parts.iter().map(|part| part.requests).sum();
        let repeats: f64 = service.parts.iter().map(|part| part.repeats).sum();
        if repeats + 1.0 > requests * bounds.ratio + bounds.spare {
            return false;
        }
        service.part(bounds, now).repeats += 1.0;
        true
    }
}
