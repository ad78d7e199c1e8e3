//! Selects the server for a request.

use std::cell::LazyCell;
use std::time::Duration;

use super::Servers;
use crate::coordination::demand::HigherDemand;
use crate::coordination::offer::Offer;
use crate::coordination::server::health::State;
use crate::coordination::server::{Server, Work};
use crate::coordination::version::Constraint;
use crate::state::clock::Instant;
use crate::state::name::Name;

/// Share of a promised first-token time that a server's backlog may take. The remainder covers messages, inaccurate
/// speeds and the engine's own batching.
pub(crate) const WINDOW_SHARE: f64 = 0.5;
/// Multiple of the rate that higher tiers ask for which is reserved for them on servers that are soon free.
const HIGHER_RESERVE_FACTOR: f64 = 1.5;
/// Largest share of the pool's rate that is reserved, so that long prompts of low tiers still run.
const HIGHER_RESERVE_SHARE_MAX: f64 = 0.9;
/// Share of a plain call's time that a full server costs more than an empty one, so that servers that are nearly equally
/// fast share the calls.
const OCCUPANCY_SHARE: f64 = 0.1;
/// Share of the forecast time that a server costs on which no plain call was observed yet: it gets one soon, so that its
/// own times become known.
const UNOBSERVED_SHARE: f64 = 0.5;
/// Most servers that one decision scans; a larger pool is scanned in turns.
const SCAN_MAX: usize = 256;

/// Limits on how far a prompt may fill a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Room {
    /// Longest time to the first token behind the server's backlog.
    pub(crate) window: Duration,
    /// The demand of higher tiers. A prompt that is longer than the window gets a server to itself, but only if the
    /// other servers that are soon free can carry the higher tiers.
    pub(crate) higher: Option<HigherDemand>,
}

/// Preferences of a request, which decide between servers that are otherwise equal.
#[derive(Clone, Debug, Default)]
pub(crate) struct Preferences {
    /// A server that has recently read the opening of the prompt.
    pub(crate) opening: Option<u64>,
    /// A server in the data centre of the request's holder.
    pub(crate) data_centre: Option<Name>,
}

/// The best server for a prompt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Choice {
    /// The server's name.
    pub(crate) server: Name,
    /// Forecast time to the first token.
    pub(crate) first_token: Duration,
}

impl Servers {
    /// Returns the best open server for an early-refusal offer, on time or late; `None` if the offer should wait.
    ///
    /// An offer that is on time goes only to a server on which it stays on time, and no offer goes where it would
    /// make others late, as long as another server of the pool does better.
    pub(crate) fn choose_on_time(&mut self, offer: &Offer, now: Instant) -> Option<Choice> {
        let first = self.next_scan_start();
        let tokens = u64::from(offer.prompt_tokens);
        let due = offer.due();
        let (preferences, work) = (offer.preferences(), self.work_of(offer));
        if work.is_plain()
            && let Some(trial) = self.take_trial(offer, &work, now)
        {
            return Some(trial);
        }
        // These scan further servers, so they are evaluated only if they matter.
        let any_keeps_pauses_within = LazyCell::new(|| self.any_keeps_pauses_within(tokens, offer));
        let any_answers_by = LazyCell::new(|| self.any_answers_by(&work, offer, now));
        let choice = self.cheapest(first, &offer.versions, |server| {
            let time = server.first_token_in(&work, now);
            if now + time > due || self.is_spared(server, now) || is_left(offer, server) {
                return None;
            }
            if !server.may_use_last_slot(&offer.ticket.holder, now) {
                return None;
            }
            let keeps_own_pauses = offer.late || server.keeps_pauses_within(0, offer.pause);
            let keeps_all_pauses = keeps_own_pauses && server.keeps_streams_on_time(tokens);
            if !keeps_all_pauses && *any_keeps_pauses_within {
                return None;
            }
            let ends = server.whole_after(time, &work);
            if ends.is_some_and(|ends| now + ends > offer.answer_deadline) && *any_answers_by {
                return None;
            }
            let mut cost = time + self.extra_cost(server, &preferences, now);
            if work.is_plain() {
                cost += time.mul_f64(OCCUPANCY_SHARE * server.occupancy());
                if server.running() == 0 && server.unobserved_for(now).is_none() {
                    cost = cost.mul_f64(UNOBSERVED_SHARE);
                }
            }
            if offer.avoid.as_ref() == Some(&server.name) {
                cost += offer.first_token_target;
            }
            Some((cost, time))
        });
        if work.is_plain() && choice.is_some() {
            self.trials.note_call();
        }
        choice
    }

    /// Returns the open server with the lowest cost out of the allowed ones, scanning from `first` on; one that stands
    /// still only if no other suits. `evaluate` returns the cost and the time to the first token for a server, or `None`
    /// to rule the server out.
    fn cheapest(
        &self,
        first: usize,
        versions: &Constraint,
        evaluate: impl Fn(&Server) -> Option<(Duration, Duration)>,
    ) -> Option<Choice> {
        let in_scan_order = self.open.range(first..).chain(self.open.range(..first));
        let allowed = in_scan_order
            .map(|index| &self.list[*index])
            .filter(|server| server.is_allowed_by(versions));
        let scanned = allowed.take(SCAN_MAX);
        let evaluated = scanned.filter_map(|server| Some((evaluate(server)?, server)));
        let ((_, first_token), server) =
            evaluated.min_by_key(|((cost, _), server)| (server.is_stalled(), *cost))?;
        Some(Choice {
            server: server.name.clone(),
            first_token,
        })
    }

    /// Whether a live server that no limit delays could give an offer's whole answer before its deadline.
    fn any_answers_by(&self, work: &Work, offer: &Offer, now: Instant) -> bool {
        let ends = |server: &Server| server.whole_after(server.first_token_in(work, now), work);
        self.live_unlimited(&offer.versions)
            .any(|server| ends(server).is_none_or(|ends| now + ends <= offer.answer_deadline))
    }

    /// Whether a live server that no limit delays could read a prompt and keep the pauses of its streams within those of
    /// an offer.
    fn any_keeps_pauses_within(&self, prompt_tokens: u64, offer: &Offer) -> bool {
        self.live_unlimited(&offer.versions)
            .any(|server| server.keeps_pauses_within(prompt_tokens, offer.pause))
    }

    /// Returns the live servers out of the allowed ones, at most as many as one decision scans.
    fn live(&self, versions: &Constraint) -> impl Iterator<Item = &Server> {
        let is_live =
            |server: &&Server| server.health.state == State::Live && server.is_allowed_by(versions);
        self.list.iter().filter(is_live).take(SCAN_MAX)
    }

    /// Returns the live servers that no limit delays, out of the allowed ones. An offer does not wait for a server until
    /// the server's limit allows it.
    fn live_unlimited(&self, versions: &Constraint) -> impl Iterator<Item = &Server> {
        self.live(versions)
            .filter(|server| server.opens_at().is_none() && !server.is_stalled())
    }

    /// Returns the time to an offer's first token on the fastest live server, if that server reads nothing else.
    pub(crate) fn fastest_first_token(&self, offer: &Offer, now: Instant) -> Option<Duration> {
        let work = self.work_of(offer);
        self.live(&offer.versions)
            .map(|server| server.first_token_when_idle(&work, now))
            .min()
    }

    /// Returns the open server with the lowest cost, if `room` lets it have the offer's prompt.
    pub(crate) fn choose_within(
        &mut self,
        offer: &Offer,
        room: &Room,
        now: Instant,
    ) -> Option<Choice> {
        let first = self.next_scan_start();
        let work = self.work_of(offer);
        let preferences = offer.preferences();
        // This scans all servers, so it is evaluated only for a prompt that needs it.
        let spare_rate = LazyCell::new(|| self.spare_rate(room, now));
        self.cheapest(first, &offer.versions, |server| {
            if self.is_spared(server, now) || is_left(offer, server) {
                return None;
            }
            let alone = || server.backlog() == 0 && server.rate() <= *spare_rate;
            // An overdue server comes last but is not ruled out: a single request may be stuck through no fault of
            // the server.
            if server.first_token_behind_backlog(&work, now) > room.window && !alone() {
                return None;
            }
            let time = server.first_token_in(&work, now);
            Some((time + self.extra_cost(server, &preferences, now), time))
        })
    }

    /// Returns the costs of a server other than time, expressed as time.
    fn extra_cost(&self, server: &Server, preferences: &Preferences, now: Instant) -> Duration {
        let is_in_other_data_centre =
            preferences.data_centre.is_some() && server.data_centre != preferences.data_centre;
        let lacks_opening = preferences
            .opening
            .is_some_and(|opening| !server.has_opening(opening, now));
        let mut cost = Duration::ZERO;
        if is_in_other_data_centre {
            cost += self.defaults.distance;
        }
        if lacks_opening {
            cost += self.defaults.opening;
        }
        cost
    }

    /// Returns the prompt tokens per second that long prompts may take from the servers that are soon free.
    fn spare_rate(&self, room: &Room, now: Instant) -> f64 {
        let Some(higher) = room.higher else {
            return f64::INFINITY;
        };
        let is_soon_free = |server: &&Server| {
            server.available_in(now) == Some(Duration::ZERO)
                && server.backlog_time(now) <= higher.first_token_target.mul_f64(WINDOW_SHARE)
        };
        let available: f64 = self
            .list
            .iter()
            .filter(is_soon_free)
            .map(Server::rate)
            .sum();
        let reserved =
            (higher.rate * HIGHER_RESERVE_FACTOR).min(self.rate * HIGHER_RESERVE_SHARE_MAX);
        available - reserved
    }

    /// Returns where a scan begins: at the first server, unless the pool is larger than one scan.
    fn next_scan_start(&mut self) -> usize {
        if self.list.len() <= SCAN_MAX {
            return 0;
        }
        self.scan_start = (self.scan_start + SCAN_MAX) % self.list.len();
        self.scan_start
    }

    /// Returns the time to an offer's first token on the server where it would come first, including the time that a
    /// server is down; `None` if all servers that may run it are leaving.
    pub(crate) fn soonest_first_token(&mut self, offer: &Offer, now: Instant) -> Option<Duration> {
        let first = self.next_scan_start();
        let work = self.work_of(offer);
        let time = |server: &Server| {
            if !server.is_allowed_by(&offer.versions) {
                return None;
            }
            let available = server.available_in(now)?;
            Some(available + server.first_token_in(&work, now))
        };
        let scanned = self
            .list
            .iter()
            .cycle()
            .skip(first)
            .take(self.list.len().min(SCAN_MAX));
        let soonest = scanned.filter_map(time).min();
        // A scan of a part of the pool may see only servers that are leaving.
        soonest.or_else(|| self.list.iter().filter_map(time).min())
    }
}

/// Whether an offer was made since this server is silent.
pub(super) fn is_left(offer: &Offer, server: &Server) -> bool {
    server.is_stalled() && offer.avoid.as_ref() == Some(&server.name)
}
