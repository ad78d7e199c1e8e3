//! A user's mix of requests and engines, and the arrivals that it gives.

use std::fmt::Write as _;
use std::fs;
use std::io;
use std::time::Duration;

use cypressvane::digest;
use cypressvane_standin::engine;
use cypressvane_standin::fleet::OPERATOR_KEY;
use fastrand::Rng;
use serde::Deserialize;

/// The shapes that come with the program.
const BUILT_IN: [(&str, &str); 2] = [
    ("brennan", include_str!("../../../shapes/brennan.toml")),
    ("manizales", include_str!("../../../shapes/manizales.toml")),
];
/// The model.
pub const MODEL: &str = "engine";
/// Requests in a batch of an engine.
const BATCH: u32 = 24;
/// Longest step of an engine, in seconds of prefill.
const STEP_SECONDS: f64 = 0.03;
/// Blocks of 64 tokens that an engine remembers.
const CACHE_BLOCKS: usize = 400;
/// Tokens that an engine's memory holds.
const MEMORY_TOKENS: u64 = 24_000;
/// Bytes of text that count as a token.
const TOKEN_BYTES: usize = 4;
/// Different beginnings that prompts of a tier share.
const PREFIXES: u32 = 20;
/// How much longer a decoding step is for each further request, as the stand-in has it.
const BATCH_COST: f64 = 0.02;

/// Engines of one speed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    count: u32,
    prefill_rate: f64,
    decode_ms: f64,
}

/// Requests of one tier.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// Promised time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Promised mean time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// When the whole answer is due, in milliseconds.
    pub deadline_ms: u64,
    /// Its share of all requests.
    share: f64,
    /// Shortest and longest prompt, in tokens; lengths are even on a logarithmic scale.
    prompt: [f64; 2],
    /// Shortest and longest answer, in tokens.
    answer: [f64; 2],
    /// Part of a prompt that it shares with others of its tier.
    shared_prefix: f64,
}

/// A user's deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Its name.
    pub name: String,
    /// Entry hosts.
    pub hosts: usize,
    engines: Vec<Engines>,
    /// From the highest.
    pub tiers: Vec<Tier>,
}

/// A request that is to be sent.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, from the beginning.
    pub at: Duration,
    /// Index of its tier.
    pub tier: usize,
    /// Host that the balancer sends it to.
    pub host: usize,
    /// Its prompt.
    pub prompt: String,
    /// Tokens of its answer.
    pub answer_tokens: u32,
}

/// A time in which arrivals are doubled.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub to: Duration,
}

impl Shape {
    /// Reads a shape that comes with the program, or a file.
    pub fn load(name: &str) -> io::Result<Self> {
        let built_in = BUILT_IN.iter().find(|(known, _)| *known == name);
        let text = match built_in {
            Some((_, text)) => (*text).to_owned(),
            None => fs::read_to_string(name)?,
        };
        toml::from_str(&text).map_err(io::Error::other)
    }

    /// How each engine works.
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

    /// Requests a second that all engines can answer, by the slower of prefill and decoding.
    pub fn capacity(&self) -> f64 {
        let shares: f64 = self.tiers.iter().map(|tier| tier.share).sum();
        let mean = |range: fn(&Tier) -> [f64; 2]| -> f64 {
            let parts = self
                .tiers
                .iter()
                .map(|tier| tier.share * log_mean(range(tier)));
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

    /// The configuration of a fleet of this shape; a tier's account has its name as key.
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
                digest::hex(tier.name.as_bytes())
            )
        });
        let tiers: Vec<String> = tiers.collect();
        format!(
            "{}[[services]]\nname = \"{MODEL}\"\nkind = \"model\"\nslots = {BATCH}\n\
             [[operators]]\nname = \"operator\"\nkey_sha256 = \"{}\"\n",
            tiers.concat(),
            digest::hex(OPERATOR_KEY.as_bytes())
        )
    }

    /// Arrivals at random times for so long; the same seed gives the same.
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
            let bursting = burst.is_some_and(|burst| burst.from <= at && at < burst.to);
            let rate = if bursting { rate * 2.0 } else { rate };
            at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
            if at >= time {
                return arrivals;
            }
            let mut arrival = self.arrival(&mut rng, at, arrivals.len());
            if bursting && rng.bool() {
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
        let tokens = log_even(rng, tier.prompt);
        let prefix = format!("{}-{} ", tier.name, rng.u32(0..PREFIXES));
        let tail = format!("{}-{number} ", tier.name);
        let bytes = tokens as usize * TOKEN_BYTES;
        let common = rounded(f64::from(tokens) * tier.shared_prefix) as usize * TOKEN_BYTES;
        let mut prompt = filled(&prefix, common);
        prompt.push_str(&filled(&tail, bytes.saturating_sub(common)));
        // Writing to a string cannot fail.
        let _ = write!(prompt, " number-{number}");
        Arrival {
            at,
            tier: index,
            host: rng.usize(0..self.hosts),
            prompt,
            answer_tokens: log_even(rng, tier.answer),
        }
    }
}

/// A text of so many bytes.
fn filled(word: &str, bytes: usize) -> String {
    let mut text = word.repeat(bytes / word.len() + 1);
    text.truncate(bytes);
    text
}

/// A number between two, even on a logarithmic scale.
fn log_even(rng: &mut Rng, [least, most]: [f64; 2]) -> u32 {
    rounded((least.ln() + rng.f64() * (most.ln() - least.ln())).exp())
}

/// The mean of such numbers.
fn log_mean([least, most]: [f64; 2]) -> f64 {
    if most <= least {
        least
    } else {
        (most - least) / (most.ln() - least.ln())
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
