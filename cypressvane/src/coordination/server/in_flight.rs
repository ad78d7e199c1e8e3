//! Finds how many requests a backend server may be granted beyond its slots, by the load that it states.
//!
//! A grant takes a slot at the home until the home hears that the request has ended. A call that runs for less time than
//! its messages are under way holds a slot for much longer than the server does, so slots stand idle although all are
//! granted. The server may get further requests as long as it states idle slots, and fewer once some wait there.

use serde::{Deserialize, Serialize};

/// Largest number of further requests, as a multiple of the server's slots. It bounds how many requests are lost with a
/// server that ends, and how many wait at one that states false figures.
const FURTHER_FACTOR_MAX: f64 = 3.0;
/// Further requests for each idle slot that is stated while all that may be granted are. With a hundred answers a second,
/// half of the slots come into use within half a second.
const GROWTH: f64 = 0.05;
/// Requests fewer for each answer that states more waiting ones than may wait.
const REDUCTION: f64 = 0.25;
/// Part of the slots, as a divisor, that may wait: it delays a call by a quarter of its running time.
const WAITING_DIVISOR: u32 = 4;

/// What a server has stated of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occupancy {
    /// Number of requests that it runs.
    pub running: u32,
    /// Number of requests that wait there for a slot.
    pub waiting: u32,
}

/// Allowance of a server for requests that are under way.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InFlight {
    further: f64,
}

impl InFlight {
    /// Records the load that the server stated in an answer; `is_full` tells whether all requests are granted that may be.
    pub(super) fn note(&mut self, stated: Occupancy, slots: u32, is_full: bool) {
        let idle = slots.saturating_sub(stated.running);
        if stated.waiting > slots / WAITING_DIVISOR {
            self.further -= REDUCTION;
        } else if is_full && stated.waiting == 0 {
            self.further += GROWTH * f64::from(idle);
        }
        self.further = self
            .further
            .clamp(0.0, FURTHER_FACTOR_MAX * f64::from(slots));
    }

    /// Records that the server has turned a request away, since it was full.
    pub(super) fn note_full(&mut self) {
        self.further = 0.0;
    }

    /// Returns the number of requests that the server may be granted beyond its slots.
    pub(super) fn further(self) -> u32 {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small count, rounded down"
        )]
        let further = self.further as u32;
        further
    }
}

#[cfg(test)]
#[path = "in_flight_tests.rs"]
mod tests;
