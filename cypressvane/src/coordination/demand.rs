//! Demand of each tier on a pool, so that lower tiers leave capacity for higher ones.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::state::clock::Instant;

/// Time constant of the demand average.
const AVERAGING_TIME: Duration = Duration::from_secs(5);
/// Demand, in prompt tokens per second, below which a tier is ignored.
const TIER_RATE_MIN: f64 = 1.0;

/// The demand of one tier.
#[derive(Clone, Copy, Debug)]
struct TierDemand {
    /// Exponential moving average of prompt tokens per second at `at`.
    rate: f64,
    at: Instant,
    /// Promised time to the first token of the latest offer.
    first_token: Duration,
}

impl TierDemand {
    fn rate_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.rate * (-passed / AVERAGING_TIME.as_secs_f64()).exp()
    }
}

/// Combined demand of the tiers above another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HigherDemand {
    /// Prompt tokens per second.
    pub(crate) rate: f64,
    /// Shortest promised time to the first token.
    pub(crate) first_token_target: Duration,
}

/// Demand of all tiers, by rank.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    tiers: BTreeMap<usize, TierDemand>,
}

impl Demand {
    /// Adds an offer's prompt tokens to its tier's demand.
    pub(crate) fn add(&mut self, rank: usize, tokens: u32, first_token: Duration, now: Instant) {
        let fresh = TierDemand {
            rate: 0.0,
            at: now,
            first_token,
        };
        let tier = self.tiers.entry(rank).or_insert(fresh);
        let rate = tier.rate_at(now) + f64::from(tokens) / AVERAGING_TIME.as_secs_f64();
        *tier = TierDemand {
            rate,
            at: now,
            first_token,
        };
    }

    /// Demand of the tiers above `rank`; `None` if they have none.
    pub(crate) fn above(&self, rank: usize, now: Instant) -> Option<HigherDemand> {
        let tiers = self
            .tiers
            .range(..rank)
            .map(|(_, tier)| (tier.rate_at(now), tier.first_token));
        let present = tiers.filter(|(rate, _)| *rate >= TIER_RATE_MIN);
        present.fold(None, |higher: Option<HigherDemand>, (rate, first_token)| {
            let higher = higher.unwrap_or(HigherDemand {
                rate: 0.0,
                first_token_target: first_token,
            });
            Some(HigherDemand {
                rate: higher.rate + rate,
                first_token_target: higher.first_token_target.min(first_token),
            })
        })
    }
}
