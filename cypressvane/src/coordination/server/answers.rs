//! Learns the speed and health of a backend server from its answers.

use std::time::Duration;

use super::{Running, Server, Work};
use crate::coordination::offer::Ticket;
use crate::state::clock::Instant;

/// Factor by which the weight of earlier answers decays with each new one: about twenty are remembered.
const ANSWERS_DECAY: f64 = 0.95;

/// Decayed sums of what answers took after their first tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Answers {
    /// Answer tokens, as estimated when the requests arrived.
    tokens: f64,
    seconds: f64,
}

impl Server {
    /// Records the first token of a request's answer.
    pub(crate) fn first_token(&mut self, ticket: &Ticket, now: Instant) {
        let Some(running) = self.note_begun(ticket, now) else {
            return;
        };
        if !running.is_disturbed {
            let took = now.saturating_duration_since(running.sent);
            self.speed.learn(running.backlog, took);
        }
        if let Some(running) = self.running.get_mut(ticket) {
            running.first_token = Some(now);
        }
    }

    /// Records that the server has begun to answer a request; returns the request the first time.
    fn note_begun(&mut self, ticket: &Ticket, now: Instant) -> Option<Running> {
        self.last_answer = Some(now);
        self.hear(ticket, now);
        let running = self.finish_prefill(ticket)?;
        self.note_answered(&ticket.holder, running.sent);
        self.health.recover(now);
        Some(running)
    }

    /// Records the whole answer to a plain call without a prompt. Its time says nothing of the speed at which prompts are
    /// read.
    fn call_answered(&mut self, ticket: &Ticket, now: Instant) {
        let Some(running) = self.note_begun(ticket, now) else {
            return;
        };
        let took = now.saturating_duration_since(running.sent);
        let mut ran = running.begun.end(running.work, took, &self.pace, now);
        ran.is_disturbed = running.is_disturbed;
        self.ran = Some(ran);
    }

    /// Records a whole answer, and learns how long it took after its first token.
    pub(crate) fn answered(&mut self, ticket: &Ticket, now: Instant) {
        self.last_answer = Some(now);
        self.hear(ticket, now);
        let Some(running) = self.running.get(ticket) else {
            return;
        };
        if running.work.is_plain() && !running.prefilled {
            return self.call_answered(ticket, now);
        }
        if running.work.is_route && !running.prefilled {
            return self.first_token(ticket, now);
        }
        let Some(first_token) = running.first_token else {
            return;
        };
        if running.work.answer_tokens == 0 || running.is_disturbed {
            return;
        }
        let took = now.saturating_duration_since(first_token);
        let answers = &mut self.answers;
        answers.tokens = answers.tokens * ANSWERS_DECAY + f64::from(running.work.answer_tokens);
        answers.seconds = answers.seconds * ANSWERS_DECAY + took.as_secs_f64();
    }

    /// Whether the server has answered any request at `time` or later.
    pub(crate) fn has_answered_since(&self, time: Instant) -> bool {
        self.last_answer.is_some_and(|at| at >= time)
    }

    /// Whether the server has answered any request within `recent`.
    pub(crate) fn has_answered_within(&self, recent: Duration, now: Instant) -> bool {
        self.last_answer
            .is_some_and(|at| now.saturating_duration_since(at) < recent)
    }

    /// Records the longest pause of a stream that runs on the server.
    pub(crate) fn paused(&mut self, ticket: &Ticket, longest: Duration) {
        if let Some(running) = self.running.get(ticket)
            && !running.is_disturbed
        {
            self.pauses.learn(running.peak_backlog, longest);
        }
    }

    /// Returns the time until the whole answer of a request whose first token comes after `first`; `None` if the
    /// server has given no answer to learn from.
    pub(crate) fn whole_after(&self, first: Duration, work: &Work) -> Option<Duration> {
        let answer = self.seconds_per_token()? * f64::from(work.answer_tokens);
        Some(first + Duration::from_secs_f64(answer))
    }

    /// Returns the seconds per answer token, by the estimated lengths of the answers.
    fn seconds_per_token(&self) -> Option<f64> {
        (self.answers.tokens > 0.0).then(|| self.answers.seconds / self.answers.tokens)
    }
}
