//! How long a backend server's streams pause while it reads another prompt, learnt by the length of
//! that prompt.
//!
//! An engine reads a prompt in pieces between the tokens of what it runs, so each longer prompt makes
//! the others pause for longer, up to a bound that is the engine's own. Nothing is assumed of it.

use std::time::Duration;

use crate::coordination::estimate::Estimate;

/// Lengths that are told apart: each is twice the one before.
const LENGTHS: usize = 10;
/// The longest prompt, in tokens, of the shortest length.
const SHORTEST: u64 = 256;

/// The learnt pauses of one server, by the length of the longest prompt read meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pauses {
    by_length: [Estimate; LENGTHS],
}

impl Pauses {
    /// Learns the longest pause of a stream during which a prompt of so many tokens was read.
    pub(crate) fn learn(&mut self, prompt_tokens: u64, longest: Duration) {
        self.by_length[length(prompt_tokens)].learn(longest.as_secs_f64());
    }

    /// What most streams' pauses stay under while a prompt of so many tokens is read; `None` when
    /// neither that length nor a shorter one was seen.
    pub(crate) fn likely(&self, prompt_tokens: u64) -> Option<Duration> {
        let up_to = &self.by_length[..=length(prompt_tokens)];
        let nearest = up_to.iter().rev().find_map(Estimate::high)?;
        Some(Duration::from_secs_f64(nearest.max(0.0)))
    }
}

/// The number of a length.
fn length(prompt_tokens: u64) -> usize {
    let doubled = prompt_tokens.div_ceil(SHORTEST).max(1);
    let number = doubled.next_power_of_two().trailing_zeros() as usize;
    number.min(LENGTHS - 1)
}
