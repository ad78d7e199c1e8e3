//! Trials of servers on which plain calls are late: each gets a call from time to time, so that it is found out when
//! such a server has become faster. Without trials nothing would be learned of a server that gets nothing.

use std::time::Duration;

use super::Servers;
use super::placement::{Choice, is_left};
use crate::coordination::offer::Offer;
use crate::coordination::server::health::State;
use crate::coordination::server::{Server, Work};
use crate::state::clock::Instant;

/// Number of plain calls in a pool for each one that is used for a trial and would have been on time elsewhere.
const CALLS_PER_TRIAL: u32 = 200;
/// Time without observations of a server after which it may be tried.
const TRIAL_AFTER: Duration = Duration::from_secs(2);

/// The budget for trials of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Trials {
    /// Plain calls since the last trial.
    calls: u32,
}

impl Trials {
    /// Counts a plain call that is placed without a trial.
    pub(super) fn note_call(&mut self) {
        self.calls = self.calls.saturating_add(1);
    }

    fn has_budget(self) -> bool {
        self.calls >= CALLS_PER_TRIAL
    }
}

impl Servers {
    /// Returns the server that is tried with this call; `None` if none is to be tried, or not with this call.
    ///
    /// The call can afford it if its caller still waits when the answer comes, and if it is on time should the server be
    /// as fast as usual. Calls that are late anyway, and those to a server that was much faster in its last trial, need
    /// no budget.
    pub(super) fn take_trial(
        &mut self,
        offer: &Offer,
        work: &Work,
        now: Instant,
    ) -> Option<Choice> {
        let usual = Duration::try_from_secs_f64(work.usual_seconds?).ok()?;
        if offer.returning || !offer.late && now + usual > offer.due() {
            return None;
        }
        let has_budget = offer.late || self.trials.has_budget();
        let gives_up_at = offer.first_token_deadline.min(offer.answer_deadline);
        let is_due = |server: &&Server| {
            let is_recovering = server.is_recovering();
            let is_unobserved = server
                .unobserved_for(now)
                .is_some_and(|unobserved| unobserved >= TRIAL_AFTER);
            server.running() == 0
                && (is_recovering || has_budget && is_unobserved)
                && server.health.state == State::Live
                && server.is_allowed_by(&offer.versions)
                && !self.is_spared(server, now)
                && !is_left(offer, server)
                && offer.avoid.as_ref() != Some(&server.name)
                && server.first_token_in(work, now) > offer.first_token_target
                && server
                    .trial_time(work, now)
                    .is_some_and(|time| now + time <= gives_up_at)
        };
        let open = self.open.iter().map(|index| &self.list[*index]);
        let server = open
            .filter(is_due)
            .max_by_key(|server| server.unobserved_for(now))?;
        let choice = Choice {
            server: server.name.clone(),
            first_token: server.first_token_in(work, now),
        };
        if !offer.late && !server.is_recovering() {
            self.trials = Trials::default();
        }
        Some(choice)
    }
}
