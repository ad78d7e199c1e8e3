//! Learns how long a backend server's streams pause while it reads another prompt, by the length of that prompt.
//!
//! An engine reads a prompt in chunks between the tokens of the requests that it runs. So a longer prompt makes the
//! other streams pause for longer, up to a bound that depends on the engine. No such bound is assumed here.

use std::time::Duration;

use crate::coordination::estimate::Estimate;

/// Number of length classes; each is twice as long as the one before.
const LENGTH_CLASSES: usize = 10;
/// Longest prompt, in tokens, of the first class.
const FIRST_CLASS_TOKENS: u64 = 256;

/// The learned pauses of one server, by the length class of the prompt tokens that it had to read meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pauses {
    by_class: [Estimate; LENGTH_CLASSES],
}

impl Pauses {
    /// Records the longest pause of a stream during which up to `prompt_tokens` were to be read.
    pub(crate) fn learn(&mut self, prompt_tokens: u64, longest: Duration) {
        self.by_class[length_class(prompt_tokens)].observe(longest.as_secs_f64());
    }

    /// Returns the duration that most streams' pauses stay below while a prompt of `prompt_tokens` is read; `None` if
    /// no pause was recorded for that length class or a shorter one.
    pub(crate) fn likely(&self, prompt_tokens: u64) -> Option<Duration> {
        let up_to = &self.by_class[..=length_class(prompt_tokens)];
        let nearest = up_to.iter().rev().find_map(Estimate::upper)?;
        Some(Duration::from_secs_f64(nearest.max(0.0)))
    }
}

/// Returns the length class of a prompt.
fn length_class(prompt_tokens: u64) -> usize {
    let multiple = prompt_tokens.div_ceil(FIRST_CLASS_TOKENS).max(1);
    let class = multiple.next_power_of_two().trailing_zeros() as usize;
    class.min(LENGTH_CLASSES - 1)
}
