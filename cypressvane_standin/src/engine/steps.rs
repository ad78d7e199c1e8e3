//! The step loop of an engine: which requests run, and how long a step takes.

use std::time::Duration;

use async_channel::Sender;
use cypressvane::clock::Instant;
use cypressvane::order::Report;
use serde::{Deserialize, Serialize};

use super::{Ledger, Settings};
use crate::cache::Cache;

/// Time added to a decoding step for each token that it decodes, as a share of its base time.
const BATCH_COST: f64 = 0.02;

/// A request that runs or waits in the engine.
#[derive(Debug)]
pub(super) struct Sequence {
    /// Prompt tokens still to prefill.
    pub(super) prompt_left: u32,
    /// Prompt tokens prefilled so far.
    pub(super) prompt_done: u32,
    /// Answer tokens still to decode.
    pub(super) answer_left: u32,
    /// Receives one message for each decoded token.
    pub(super) tokens: Sender<()>,
}

/// The state of an engine.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) ledger: Ledger,
    pub(super) sequences: Vec<Sequence>,
    pub(super) cache: Cache,
    /// The result of the orders executed so far.
    pub(super) orders: Report,
    report: Load,
    reported_at: Option<Instant>,
}

/// The load that an engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run or wait in the engine.
    pub requests: u64,
    /// Prompt tokens still to prefill.
    pub prompt_tokens: u64,
}

impl State {
    /// The state of an idle engine.
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Runs one step; returns its duration, or `None` when there is no request.
    pub(super) fn step(&mut self) -> Option<Duration> {
        let settings = &self.settings;
        let batch = self.batch();
        if batch == 0 {
            return None;
        }
        let mut chunk = settings.chunk_tokens;
        let mut decoded = 0_u32;
        for sequence in &mut self.sequences[..batch] {
            if sequence.prompt_left > 0 {
                let count = sequence.prompt_left.min(chunk);
                sequence.prompt_left -= count;
                sequence.prompt_done += count;
                chunk -= count;
                self.ledger.prompt_tokens += u64::from(count);
                continue;
            }
            // The channel has room for the whole answer, so this fails only when the reader is gone.
            if sequence.tokens.try_send(()).is_ok() {
                sequence.answer_left = sequence.answer_left.saturating_sub(1);
                self.ledger.answer_tokens += 1;
                decoded += 1;
            }
        }
        let prefilled = settings.chunk_tokens - chunk;
        let prefill = f64::from(prefilled) / settings.prefill_rate;
        let decode = settings.decode_ms / 1e3 * (1.0 + BATCH_COST * f64::from(decoded));
        let decode = if decoded > 0 { decode } else { 0.0 };
        self.remove_ended();
        Some(Duration::from_secs_f64(prefill.max(decode)))
    }

    /// Number of running requests: as many as fit into batch and memory, and at least one if there is any.
    fn batch(&self) -> usize {
        let mut tokens = 0;
        let fits = |sequence: &&Sequence| {
            let left = sequence.prompt_left + sequence.prompt_done + sequence.answer_left;
            tokens += u64::from(left);
            tokens <= self.settings.memory_tokens
        };
        let running = self
            .sequences
            .iter()
            .take(self.settings.batch)
            .take_while(fits);
        running.count().max(self.sequences.len().min(1))
    }

    /// The last load report, renewed when it is older than `report_ms`.
    pub(super) fn report(&mut self) -> Load {
        let age = self.reported_at.map(|at| at.elapsed());
        let max_age = Duration::from_millis(self.settings.report_ms);
        if age.is_none_or(|age| age >= max_age) {
            let prompts = self
                .sequences
                .iter()
                .map(|sequence| u64::from(sequence.prompt_left));
            self.report = Load {
                requests: self.sequences.len() as u64,
                prompt_tokens: prompts.sum(),
            };
            self.reported_at = Some(Instant::now());
        }
        self.report
    }

    /// Removes the sequences that are done or whose reader is gone.
    fn remove_ended(&mut self) {
        let ledger = &mut self.ledger;
        self.sequences.retain(|sequence| {
            let done = sequence.prompt_left == 0 && sequence.answer_left == 0;
            let gone = sequence.tokens.is_closed();
            if done {
                ledger.whole += 1;
            } else if gone {
                ledger.cancelled += 1;
                ledger.wasted_tokens += u64::from(sequence.prompt_done);
            }
            !done && !gone
        });
    }
}
