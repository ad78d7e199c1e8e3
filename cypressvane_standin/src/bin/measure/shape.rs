//! The request mix and the engines of a deployment, and random arrivals drawn from them.

use std::fmt::Write as _;
use std::fs;
use std::io;
use std::time::Duration;

use cypressvane::digest;
use cypressvane_standin::engine;
use cypressvane_standin::fleet::OPERATOR_KEY;
use fastrand::Rng;
use serde::Deserialize;

/// The built-in shapes by name.
const BUILT_IN: [(&str, &str); 2] = [
    ("brennan", include_str!("../../../shapes/brennan.toml")),
    ("manizales", include_str!("../../../shapes/manizales.toml")),
];
/// The name of the model.
pub const MODEL: &str = "engine";
/// Batch size of an engine, in requests.
const BATCH: u32 = 24;
/// Maximum prefill time of one step of an engine, in seconds.
const STEP_SECONDS: f64 = 0.03;
/// Size of the prefix cache of an engine, in blocks of 64 tokens.
const CACHE_BLOCKS: usize = 400;
/// Size of the memory of an engine, in tokens.
const MEMORY_TOKENS: u64 = 24_000;
/// Number of bytes of text to a token.
const TOKEN_BYTES: usize = 4;
/// Number of different shared prefixes of the prompts of a tier.
const PREFIXES: u32 = 20;
/// Share of its base time that each request adds to a decoding step; the same as in the simulated engine.
const BATCH_COST: f64 = 0.02;

/// A group of engines of the same speed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    count: u32,
    prefill_rate: f64,
    decode_ms: f64,
}

/// The limits and the request mix of one tier.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// The name.
    pub name: String,
    /// Limit of the time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Limit of the mean time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Limit of the time to the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Weight of this tier in the request mix, relative to the other tiers.
    share: f64,
    /// Minimum and maximum prompt length, in tokens; lengths are log-uniform.
    prompt: [f64; 2],
    /// Minimum and maximum answer length, in tokens; lengths are log-uniform.
    answer: [f64; 2],
    /// Share of a prompt, from its start, that is a shared prefix of its tier.
    shared_prefix: f64,
}

/// A deployment: its hosts, engines and tiers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// The name.
    pub name: String,
    /// Number of hosts.
    pub hosts: usize,
    engines: Vec<Engines>,
    /// The tiers, highest first.
    pub tiers: Vec<Tier>,
}

/// A scheduled request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time from the start of the run.
    pub at: Duration,
    /// Index of the tier.
    pub tier: usize,
    /// Index of the host that the load balancer picked.
    pub host: usize,
    /// The prompt.
    pub prompt: String,
    /// Number of answer tokens.
    pub answer_tokens: u32,
}

/// A period with a doubled arrival rate.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Start, from the start of the run.
    pub from: Duration,
    /// End, from the start of the run.
    pub to: Duration,
}

impl Shape {
    /// Loads a built-in shape or, if there is none of that name, a shape file.
    pub fn load(name: &str) -> io::Result<Self> {
        let built_in = BUILT_IN.iter().find(|(known, _)| *known == name);
        let text = match built_in {
            Some((_, text)) => (*text).to_owned(),
            None => fs::read_to_string(name)?,
        };
        toml::from_str(&text).map_err(io::Error::other)
    }

    /// The settings of each engine.
    pub fn engines(&self, report_ms: u64) -> Vec<engine::Settings> {
        let settings = |engines: &Engines| engine::Settings {
            prefill_rate: engines.prefill_rate,
            chunk_tokens: rounded(engines.prefill_rate * STEP_SECONDS),
            decode_ms: engines.decode_ms,
            batch: BATCH as usize,
            memory_tokens: MEMORY_TOKENS,
            cache_blocks: CACHE_BLOCKS,
            report_ms,
            ..Default::default()
        };
        let repeated = self
            .engines
            .iter()
            .map(|engines| (engines.count, settings(engines)));
        repeated
            .flat_map(|(count, settings)| (0..count).map(move |_| settings.clone()))
            .collect()
    }

    /// Requests a second that the engines can answer in all; the slower of prefill and decoding limits each.
    pub fn capacity(&self) -> f64 {
        let shares: f64 = self.tiers.iter().map(|tier| tier.share).sum();
        let mean = |range: fn(&Tier) -> [f64; 2]| -> f64 {
            let parts = self
                .tiers
                .iter()
                .map(|tier| tier.share * log_uniform_mean(range(tier)));
            parts.sum::<f64>() / shares
        };
        let (prompt, answer) = (mean(|tier| tier.prompt), mean(|tier| tier.answer));
        let engine = |engines: &Engines| {
            let batch = f64::from(BATCH);
            let step = engines.decode_ms / 1e3 * (1.0 + BATCH_COST * batch);
            let prefill = engines.prefill_rate / prompt;
            let decode = batch / step / answer;
            prefill.min(decode) * f64::from(engines.count)
        };
        self.engines.iter().map(engine).sum()
    }

    /// The configuration of a fleet of this shape; each tier has one account, with the name of the tier as key.
    pub fn configuration(&self) -> String {
        let tiers = self.tiers.iter().map(|tier| {
            format!(
                "[[tiers]]\nname = \"{0}\"\nfirst_token_ms = {1}\nbetween_tokens_ms = {2}\n\
                 deadline_ms = {3}\nrefuse_late = true\n\
                 [[accounts]]\nname = \"{0}\"\ntier = \"{0}\"\nkey_sha256 = \"{4}\"\n",
                tier.name,
                tier.first_token_ms,
                tier.between_tokens_ms,
                tier.deadline_ms,
                digest::sha256_hex(tier.name.as_bytes())
            )
        });
        let tiers: Vec<String> = tiers.collect();
        format!(
            "{}[[services]]\nname = \"{MODEL}\"\nkind = \"model\"\nslots = {BATCH}\n\
             [[operators]]\nname = \"operator\"\nkey_sha256 = \"{}\"\n",
            tiers.concat(),
            digest::sha256_hex(OPERATOR_KEY.as_bytes())
        )
    }

    /// Poisson arrivals until `time`, at `load` times the capacity; the same seed gives the same arrivals.
    pub fn arrivals(
        &self,
        seed: u64,
        load: f64,
        time: Duration,
        burst: Option<Burst>,
    ) -> Vec<Arrival> {
        let mut rng = Rng::with_seed(seed);
        let rate = self.capacity() * load;
        let mut at = Duration::ZERO;
        let mut arrivals = Vec::new();
        loop {
            let in_burst = burst.is_some_and(|burst| burst.from <= at && at < burst.to);
            let rate = if in_burst { rate * 2.0 } else { rate };
            at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
            if at >= time {
                return arrivals;
            }
            let mut arrival = self.arrival(&mut rng, at, arrivals.len());
            if in_burst && rng.bool() {
                arrival.host = 0;
            }
            arrivals.push(arrival);
        }
    }

    fn arrival(&self, rng: &mut Rng, at: Duration, number: usize) -> Arrival {
        let shares: f64 = self.tiers.iter().map(|tier| tier.share).sum();
        let mut pick = rng.f64() * shares;
        let mut index = 0;
        while index + 1 < self.tiers.len() && pick >= self.tiers[index].share {
            pick -= self.tiers[index].share;
            index += 1;
        }
        let tier = &self.tiers[index];
        let tokens = log_uniform(rng, tier.prompt);
        let prefix = format!("{}-{} ", tier.name, rng.u32(0..PREFIXES));
        let unique_part = format!("{}-{number} ", tier.name);
        let bytes = tokens as usize * TOKEN_BYTES;
        let common = rounded(f64::from(tokens) * tier.shared_prefix) as usize * TOKEN_BYTES;
        let mut prompt = repeat_to(&prefix, common);
        prompt.push_str(&repeat_to(&unique_part, bytes.saturating_sub(common)));
        // Writing to a string cannot fail.
        let _ = write!(prompt, " number-{number}");
        Arrival {
            at,
            tier: index,
            host: rng.usize(0..self.hosts),
            prompt,
            answer_tokens: log_uniform(rng, tier.answer),
        }
    }
}

/// Repeats `word` to a text of exactly `bytes` bytes.
fn repeat_to(word: &str, bytes: usize) -> String {
    let mut text = word.repeat(bytes / word.len() + 1);
    text.truncate(bytes);
    text
}

/// Draws a number from a log-uniform distribution.
fn log_uniform(rng: &mut Rng, [min, max]: [f64; 2]) -> u32 {
    rounded((min.ln() + rng.f64() * (max.ln() - min.ln())).exp())
}

/// The mean of a log-uniform distribution.
fn log_uniform_mean([min, max]: [f64; 2]) -> f64 {
    if max <= min {
        min
    } else {
        (max - min) / (max.ln() - min.ln())
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small and positive"
)]
fn rounded(number: f64) -> u32 {
    number.round().max(1.0) as u32
}
