//! The results of the runs, by way.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::run::Outcome;
use crate::shape::Shape;

/// Percentiles of the first-token times of a tier, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Times {
    p50: f64,
    p95: f64,
    p99: f64,
}

/// Minimum and maximum over the seeds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Spread {
    goodput_total: [f64; 2],
    goodput_top: [f64; 2],
    wasted_prefill_share: [f64; 2],
}

/// The results of a way over all seeds; tiers are in the order of the shape.
#[derive(Clone, Debug, Serialize)]
pub struct Way {
    #[serde(rename = "way")]
    name: &'static str,
    goodput: serde_json::Map<String, serde_json::Value>,
    goodput_total: f64,
    wasted_prefill_tokens: u64,
    wasted_prefill_share: f64,
    first_token_ms: serde_json::Map<String, serde_json::Value>,
    refused: BTreeMap<String, BTreeMap<&'static str, u64>>,
    unanswered: u64,
    spread: Spread,
}

/// The whole report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the shape.
    pub shape: String,
    /// Offered load as a multiple of the capacity.
    pub load: f64,
    /// Name of the injected fault.
    pub fault: Option<&'static str>,
    /// Number of seeds.
    pub seeds: u64,
    /// The results by way.
    pub ways: Vec<Way>,
}

/// Converts a count; infinity if it exceeds 32 bits.
fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}

#[allow(clippy::cast_precision_loss, reason = "a figure for a table")]
fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}

/// Share of requests that were answered within the contract of their tier; of one tier or of all.
fn goodput(outcome: &Outcome, tier: Option<usize>) -> f64 {
    let of_tier = |result: &&crate::run::RequestResult| tier.is_none_or(|tier| result.tier == tier);
    let all = outcome.results.iter().filter(of_tier).count();
    let good = outcome
        .results
        .iter()
        .filter(of_tier)
        .filter(|result| result.good)
        .count();
    if all == 0 {
        1.0
    } else {
        to_f64(good) / to_f64(all)
    }
}

fn times(outcome: &Outcome, tier: usize) -> Times {
    let results = outcome.results.iter().filter(|result| result.tier == tier);
    let mut times: Vec<Duration> = results.filter_map(|result| result.first).collect();
    times.sort();
    let at = |percent: usize| {
        let index = times.len() * percent / 100;
        let time = times.get(index.min(times.len().saturating_sub(1)));
        time.map_or(0.0, |time| rounded(time.as_secs_f64() * 1e3))
    };
    Times {
        p50: at(50),
        p95: at(95),
        p99: at(99),
    }
}

/// Rounds to four decimal places.
fn rounded(number: f64) -> f64 {
    (number * 1e4).round() / 1e4
}

impl Way {
    /// Aggregates the outcomes of all seeds.
    pub fn new(way: &'static str, shape: &Shape, outcomes: &[Outcome]) -> Self {
        let mut all = Outcome::default();
        for outcome in outcomes {
            all.results.extend(outcome.results.iter().cloned());
            all.prompt_tokens += outcome.prompt_tokens;
            all.wasted_tokens += outcome.wasted_tokens;
        }
        let mut refused: BTreeMap<String, BTreeMap<&'static str, u64>> = BTreeMap::new();
        for result in &all.results {
            let Some(code) = result.refused else { continue };
            let name = shape.tiers[result.tier].name.clone();
            *refused.entry(name).or_default().entry(code).or_default() += 1;
        }
        let by_tier = |value: &dyn Fn(usize) -> serde_json::Value| {
            let tiers = shape.tiers.iter().enumerate();
            tiers
                .map(|(index, tier)| (tier.name.clone(), value(index)))
                .collect()
        };
        let range = |value: &dyn Fn(&Outcome) -> f64| {
            let values: Vec<f64> = outcomes.iter().map(value).collect();
            let min = values.iter().copied().fold(f64::INFINITY, f64::min);
            [
                rounded(min),
                rounded(values.iter().copied().fold(0.0, f64::max)),
            ]
        };
        let wasted = |outcome: &Outcome| share(outcome.wasted_tokens, outcome.prompt_tokens);
        Self {
            name: way,
            goodput: by_tier(&|index| rounded(goodput(&all, Some(index))).into()),
            goodput_total: rounded(goodput(&all, None)),
            wasted_prefill_tokens: all.wasted_tokens,
            wasted_prefill_share: rounded(wasted(&all)),
            first_token_ms: by_tier(&|index| {
                serde_json::to_value(times(&all, index)).unwrap_or_default()
            }),
            refused,
            unanswered: all
                .results
                .iter()
                .filter(|result| result.unanswered)
                .count() as u64,
            spread: Spread {
                goodput_total: range(&|outcome| goodput(outcome, None)),
                goodput_top: range(&|outcome| goodput(outcome, Some(0))),
                wasted_prefill_share: range(&wasted),
            },
        }
    }

    /// Share of requests that were answered within the contract of their tier, by tier in the order of the shape.
    pub fn goodput_by_tier(&self) -> Vec<(String, f64)> {
        let tiers = self.goodput.iter();
        tiers
            .map(|(name, value)| (name.clone(), value.as_f64().unwrap_or(0.0)))
            .collect()
    }

    /// Prints the results in readable form.
    pub fn print(&self) {
        let tiers: Vec<String> = self
            .goodput_by_tier()
            .iter()
            .map(|(name, value)| format!("{name} {value:.3}"))
            .collect();
        println!(
            "{:<12} goodput {:.3} ({}), wasted prefill {:.3}, unanswered {}, spread {:?}",
            self.name,
            self.goodput_total,
            tiers.join(", "),
            self.wasted_prefill_share,
            self.unanswered,
            self.spread
        );
        for (name, times) in &self.first_token_ms {
            println!("    {name:<12} first token {times}");
        }
        println!("    refused {:?}", self.refused);
    }
}
