//! What answers of a backend server teach of it.

use std::time::Duration;

use super::{Server, Work};
use crate::coordination::offer::Ticket;
use crate::state::clock::Instant;

/// What is left of the weight of earlier answers after each new one: some twenty are remembered.
const ANSWERS_KEPT: f64 = 0.95;

/// What answers took after their first tokens, the newest weighing most.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Answers {
    /// Tokens, as their callers had guessed.
    tokens: f64,
    seconds: f64,
}

impl Server {
    /// Learns from a first token.
    pub(crate) fn first_token(&mut self, ticket: &Ticket, now: Instant) {
        self.heard = Some(now);
        let Some(running) = self.settle_prefill(ticket) else {
            return;
        };
        self.health.recover(now);
        let took = now.saturating_duration_since(running.sent);
        self.speed.learn(running.backlog, took);
        if let Some(running) = self.running.get_mut(ticket) {
            running.first_token = Some(now);
        }
    }

    /// Learns how long a whole answer took after its first token.
    pub(crate) fn answered(&mut self, ticket: &Ticket, now: Instant) {
        self.heard = Some(now);
        let Some(running) = self.running.get(ticket) else {
            return;
        };
        if running.work.is_route && !running.prefilled {
            return self.first_token(ticket, now);
        }
        let Some(first_token) = running.first_token else {
            return;
        };
        if running.work.answer_tokens == 0 {
            return;
        }
        let took = now.saturating_duration_since(first_token);
        let answers = &mut self.answers;
        answers.tokens = answers.tokens * ANSWERS_KEPT + f64::from(running.work.answer_tokens);
        answers.seconds = answers.seconds * ANSWERS_KEPT + took.as_secs_f64();
    }

    /// Learns the longest pause of a stream that runs there.
    pub(crate) fn paused(&mut self, ticket: &Ticket, longest: Duration) {
        if let Some(running) = self.running.get(ticket) {
            self.pauses.learn(running.alongside, longest);
        }
    }

    /// Time until the whole answer of a request whose first token comes after `first`; `None` where
    /// nothing tells.
    pub(crate) fn whole_after(&self, first: Duration, work: &Work) -> Option<Duration> {
        let answer = self.token_time()? * f64::from(work.answer_tokens);
        Some(first + Duration::from_secs_f64(answer))
    }

    /// Seconds that an answer's token takes, by what callers guessed of the answers' lengths.
    fn token_time(&self) -> Option<f64> {
        (self.answers.tokens > 0.0).then(|| self.answers.seconds / self.answers.tokens)
    }
}
