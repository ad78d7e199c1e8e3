//! How much each tier asks of a pool, so that lower tiers leave room for higher ones.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::state::clock::Instant;

/// Time over which demand is averaged.
const SPAN: Duration = Duration::from_secs(5);
/// Demand, in prompt tokens a second, below which a tier counts as absent.
const ABSENT: f64 = 1.0;

/// The demand of one tier.
#[derive(Clone, Copy, Debug)]
struct Flow {
    /// Prompt tokens a second, averaged.
    rate: f64,
    at: Instant,
    /// Promised time to the first token, as last offered.
    first_token: Duration,
}

impl Flow {
    fn rate_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.rate * (-passed / SPAN.as_secs_f64()).exp()
    }
}

/// What the tiers above one ask for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Higher {
    /// Prompt tokens a second.
    pub(crate) rate: f64,
    /// The shortest promised time to the first token.
    pub(crate) first_token: Duration,
}

/// The demand of all tiers, by rank.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    flows: BTreeMap<usize, Flow>,
}

impl Demand {
    /// Counts an offer.
    pub(crate) fn add(&mut self, rank: usize, tokens: u32, first_token: Duration, now: Instant) {
        let fresh = Flow {
            rate: 0.0,
            at: now,
            first_token,
        };
        let flow = self.flows.entry(rank).or_insert(fresh);
        let rate = flow.rate_at(now) + f64::from(tokens) / SPAN.as_secs_f64();
        *flow = Flow {
            rate,
            at: now,
            first_token,
        };
    }

    /// What the tiers above `rank` ask for; `None` when they ask for nothing.
    pub(crate) fn above(&self, rank: usize, now: Instant) -> Option<Higher> {
        let flows = self
            .flows
            .range(..rank)
            .map(|(_, flow)| (flow.rate_at(now), flow.first_token));
        let present = flows.filter(|(rate, _)| *rate >= ABSENT);
        present.fold(None, |higher: Option<Higher>, (rate, first_token)| {
            let higher = higher.unwrap_or(Higher {
                rate: 0.0,
                first_token,
            });
            Some(Higher {
                rate: higher.rate + rate,
                first_token: higher.first_token.min(first_token),
            })
        })
    }
}
