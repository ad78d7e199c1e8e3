//! Which server a request goes to.

use std::cell::LazyCell;
use std::time::Duration;

use super::Servers;
use crate::coordination::demand::Higher;
use crate::coordination::offer::Offer;
use crate::coordination::server::health::State;
use crate::coordination::server::{Server, Work};
use crate::state::clock::Instant;
use crate::state::name::Name;

/// Part of a promised first-token time that a server's backlog may take; the rest covers messages,
/// speeds that are not quite known, and the engine's own batching.
pub(crate) const WINDOW_SHARE: f64 = 0.5;
/// How much more speed than the higher tiers ask for is kept soon free for them.
const KEPT_FOR_HIGHER: f64 = 1.5;
/// Largest part of the pool's speed that is kept, so that long prompts of low tiers go on.
const KEPT_MAX: f64 = 0.9;
/// Most servers that one decision looks at; a larger pool is looked at in turn.
const LOOK_MAX: usize = 256;

/// How far a prompt may fill a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Room {
    /// Longest time to the first token behind what is there already.
    pub(crate) window: Duration,
    /// What higher tiers ask for. A prompt longer than the window goes alone to a server, but only
    /// if those that stay soon free carry the higher tiers.
    pub(crate) higher: Option<Higher>,
}

/// What a request would rather have, other things being equal.
#[derive(Clone, Debug, Default)]
pub(crate) struct Likes {
    /// A server that has lately read what its prompt begins with.
    pub(crate) opening: Option<u64>,
    /// A server in its holder's data centre.
    pub(crate) data_centre: Option<Name>,
}

/// The server that is best for a prompt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Choice {
    /// Its name.
    pub(crate) server: Name,
    /// Time until the first token.
    pub(crate) first_token: Duration,
}

impl Servers {
    /// The open server that is best for an offer which is worth a place only on time, or a late one;
    /// `None` when it had better wait.
    ///
    /// An offer that is on time gets a server that keeps it so, and none gets one where it would make
    /// others late, as long as another server of the pool does better.
    pub(crate) fn place(&mut self, offer: &Offer, now: Instant) -> Option<Choice> {
        let first = self.turn();
        let tokens = u64::from(offer.prompt_tokens);
        let due = offer.due();
        let (likes, work) = (offer.likes(), offer.work());
        // Worked out only where it matters, since it looks at every server.
        let is_even_somewhere = LazyCell::new(|| self.is_even_somewhere(tokens, offer.pause));
        let ends_somewhere = LazyCell::new(|| self.ends_somewhere(&work, offer.whole_by, now));
        self.cheapest(first, |server| {
            let time = server.first_token_in(tokens, now);
            if now + time > due {
                return None;
            }
            let stays_even = offer.late || server.is_even(0, offer.pause);
            let is_kind = stays_even && server.spares_others(tokens);
            if !is_kind && *is_even_somewhere {
                return None;
            }
            let ends = server.whole_after(time, &work);
            if ends.is_some_and(|ends| now + ends > offer.whole_by) && *ends_somewhere {
                return None;
            }
            let mut cost = time + self.price(server, &likes, now);
            if offer.avoid.as_ref() == Some(&server.name) {
                cost += offer.first_token;
            }
            Some((cost, time))
        })
    }

    /// The open server that costs least, looked at from `first` on; `bid` gives its cost and the time to
    /// the first token there, or rules it out.
    fn cheapest(
        &self,
        first: usize,
        bid: impl Fn(&Server) -> Option<(Duration, Duration)>,
    ) -> Option<Choice> {
        let in_turn = self.open.range(first..).chain(self.open.range(..first));
        let looked_at = in_turn.take(LOOK_MAX).map(|index| &self.list[*index]);
        let bids = looked_at.filter_map(|server| Some((bid(server)?, server)));
        let ((_, first_token), server) = bids.min_by_key(|((cost, _), _)| *cost)?;
        Some(Choice {
            server: server.name.clone(),
            first_token,
        })
    }

    /// Whether a server that takes work could give a whole answer by then.
    fn ends_somewhere(&self, work: &Work, by: Instant, now: Instant) -> bool {
        let ends = |server: &Server| {
            server.whole_after(server.first_token_in(work.prompt_tokens, now), work)
        };
        self.able()
            .any(|server| ends(server).is_none_or(|ends| now + ends <= by))
    }

    /// Whether a server that takes work could read a prompt without making streams late.
    fn is_even_somewhere(&self, prompt_tokens: u64, pause: Duration) -> bool {
        self.able()
            .any(|server| server.is_even(prompt_tokens, pause))
    }

    /// Servers that take work, as many as one decision looks at.
    fn live(&self) -> impl Iterator<Item = &Server> {
        let is_live = |server: &&Server| server.health.state == State::Live;
        self.list.iter().filter(is_live).take(LOOK_MAX)
    }

    /// Those of them that no limit holds back: an offer does not wait for another one's limit to allow it.
    fn able(&self) -> impl Iterator<Item = &Server> {
        self.live()
            .filter(|server| server.pacing.opens_at().is_none())
    }

    /// Time to the first token of a prompt on the fastest server that takes work, with nothing else
    /// to read there.
    pub(crate) fn fastest(&self, prompt_tokens: u64) -> Option<Duration> {
        self.live()
            .map(|server| server.first_token_alone(prompt_tokens))
            .min()
    }

    /// The open server with the soonest first token, if `room` lets it have the prompt.
    pub(crate) fn choose(
        &mut self,
        prompt_tokens: u64,
        room: &Room,
        likes: &Likes,
        now: Instant,
    ) -> Option<Choice> {
        let first = self.turn();
        // Worked out only for a prompt that needs it, since it looks at every server.
        let spare = LazyCell::new(|| self.spare(room, now));
        self.cheapest(first, |server| {
            let alone = || server.backlog() == 0 && server.rate() <= *spare;
            // An overdue one comes last, and is not ruled out: one request may be stuck for itself.
            if server.first_token_if_well(prompt_tokens) > room.window && !alone() {
                return None;
            }
            let time = server.first_token_in(prompt_tokens, now);
            Some((time + self.price(server, likes, now), time))
        })
    }

    /// What a server costs beside time, as the time that would be given for it.
    fn price(&self, server: &Server, likes: &Likes, now: Instant) -> Duration {
        let is_elsewhere = likes.data_centre.is_some() && server.data_centre != likes.data_centre;
        let is_new = likes
            .opening
            .is_some_and(|opening| !server.knows_opening(opening, now));
        let mut price = Duration::ZERO;
        if is_elsewhere {
            price += self.belief.distance;
        }
        if is_new {
            price += self.belief.opening;
        }
        price
    }

    /// Prompt tokens a second that long prompts may take from the servers which are soon free.
    fn spare(&self, room: &Room, now: Instant) -> f64 {
        let Some(higher) = room.higher else {
            return f64::INFINITY;
        };
        let is_soon = |server: &&Server| {
            server.returns_in(now) == Some(Duration::ZERO)
                && server.first_token_in(0, now) <= higher.first_token.mul_f64(WINDOW_SHARE)
        };
        let soon: f64 = self.list.iter().filter(is_soon).map(Server::rate).sum();
        let kept = (higher.rate * KEPT_FOR_HIGHER).min(self.rate * KEPT_MAX);
        soon - kept
    }

    /// Where a look begins: at the first server, unless the pool is larger than a look.
    fn turn(&mut self) -> usize {
        if self.list.len() <= LOOK_MAX {
            return 0;
        }
        self.next = (self.next + LOOK_MAX) % self.list.len();
        self.next
    }

    /// Time to the first token on the server that would be soonest, the rest of a failing server
    /// included; `None` when no server stays.
    pub(crate) fn soonest(&mut self, prompt_tokens: u64, now: Instant) -> Option<Duration> {
        let first = self.turn();
        let time = |server: &Server| {
            let returns = server.returns_in(now)?;
            Some(returns + server.first_token_in(prompt_tokens, now))
        };
        let looked_at = self
            .list
            .iter()
            .cycle()
            .skip(first)
            .take(self.list.len().min(LOOK_MAX));
        let soonest = looked_at.filter_map(time).min();
        // A look at a part of the pool may meet only servers that are leaving.
        soonest.or_else(|| self.list.iter().filter_map(time).min())
    }
}
