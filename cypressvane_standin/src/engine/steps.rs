//! How time passes in an engine.

use std::time::Duration;

use async_channel::Sender;
use cypressvane::clock::Instant;
use cypressvane::order::Report;
use serde::{Deserialize, Serialize};

use super::{Ledger, Settings};
use crate::cache::Cache;

/// Added to a decoding step for each request in the batch, as a share of the step.
const BATCH_COST: f64 = 0.02;

/// A request in the engine.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) prompt_left: u32,
    pub(super) prompt_done: u32,
    pub(super) answer_left: u32,
    pub(super) tokens: Sender<()>,
}

/// What the engine works on.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) ledger: Ledger,
    pub(super) sequences: Vec<Sequence>,
    pub(super) cache: Cache,
    /// What orders made of it.
    pub(super) orders: Report,
    report: Load,
    reported: Option<Instant>,
}

/// What an engine reports of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run or wait in it.
    pub requests: u64,
    /// Prompt tokens that it has still to work on.
    pub prompt_tokens: u64,
}

impl State {
    /// An engine without work.
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Prefills and decodes one step; gives the time that it takes, or `None` without work.
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
            // A full or closed channel: the reader is slow or gone, and the token is lost with it.
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
        self.leave();
        Some(Duration::from_secs_f64(prefill.max(decode)))
    }

    /// Number of requests that run: as many as batch and memory hold, and at least one.
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

    /// The load as it was reported last.
    pub(super) fn report(&mut self) -> Load {
        let age = self.reported.map(|at| at.elapsed());
        let lag = Duration::from_millis(self.settings.report_ms);
        if age.is_none_or(|age| age >= lag) {
            let prompts = self
                .sequences
                .iter()
                .map(|sequence| u64::from(sequence.prompt_left));
            self.report = Load {
                requests: self.sequences.len() as u64,
                prompt_tokens: prompts.sum(),
            };
            self.reported = Some(Instant::now());
        }
        self.report
    }

    /// Lets sequences go that are done or whose reader is gone.
    fn leave(&mut self) {
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
