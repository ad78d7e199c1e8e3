//! The backend servers of a pool, indexed so that a decision looks at few of them.

use std::cell::LazyCell;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::coordination::demand::Higher;
use crate::coordination::health::State;
use crate::coordination::offer::{Offer, Spec, Ticket};
use crate::coordination::server::{Belief, Server, Work};
use crate::protocol::dump;
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

/// A change of what is believed of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    pub(crate) server: Name,
    pub(crate) before: &'static str,
    pub(crate) after: &'static str,
}

/// The servers of a pool.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    /// What is believed of a new one.
    belief: Belief,
    list: Vec<Server>,
    by_name: HashMap<Name, usize>,
    /// Those that may be given a request now.
    open: BTreeSet<usize>,
    /// Those that are left alone, by the end of it; an entry may be out of date.
    resting: BTreeSet<(Instant, usize)>,
    /// Each server's part of the pool's speed.
    parts: Vec<f64>,
    /// Prompt tokens a second of all servers that stay.
    rate: f64,
    /// What is believed of each server, as it was told last.
    told: HashMap<Name, &'static str>,
    /// Changes of belief that were not told yet.
    changes: Vec<Change>,
    /// Where the next look begins in a pool larger than a look.
    next: usize,
}

impl Servers {
    /// No servers yet; `belief` is what will be believed of each at first.
    pub(crate) fn new(belief: Belief) -> Self {
        Self {
            belief,
            ..Self::default()
        }
    }

    /// Takes over what the host list says; a server that is no longer there finishes its work.
    pub(crate) fn follow(&mut self, specs: &[Spec], now: Instant) {
        let known: HashMap<&Name, &Spec> = specs.iter().map(|spec| (&spec.name, spec)).collect();
        for server in &mut self.list {
            if !known.contains_key(&server.name) {
                server.health.set(State::Leaving, now);
            }
        }
        self.list
            .retain(|server| known.contains_key(&server.name) || server.running() > 0);
        self.index();
        for spec in specs {
            self.follow_one(spec, now);
        }
        self.index();
    }

    fn follow_one(&mut self, spec: &Spec, now: Instant) {
        let index = self.by_name.get(&spec.name).copied().unwrap_or_else(|| {
            self.list.push(Server::new(spec, &self.belief, now));
            self.list.len() - 1
        });
        let server = &mut self.list[index];
        server.slots = spec.slots;
        server.data_centre.clone_from(&spec.data_centre);
        if server.address != spec.address {
            server.address = spec.address;
            server.health.set(State::Trial, now);
        }
        if spec.leaving {
            server.health.set(State::Leaving, now);
        } else if server.health.state == State::Leaving {
            server.health.set(State::Trial, now);
        }
    }

    /// Builds all indexes anew.
    fn index(&mut self) {
        let names = self.list.iter().enumerate();
        self.by_name = names
            .map(|(index, server)| (server.name.clone(), index))
            .collect();
        let known = &self.by_name;
        self.told.retain(|name, _| known.contains_key(name));
        self.open.clear();
        self.resting.clear();
        self.parts = vec![0.0; self.list.len()];
        self.rate = 0.0;
        for index in 0..self.list.len() {
            self.settle(index);
        }
    }

    /// Brings the indexes of one server up to date after it has changed.
    fn settle(&mut self, index: usize) {
        let server = &self.list[index];
        if server.is_open() {
            self.open.insert(index);
        } else {
            self.open.remove(&index);
        }
        let after = server.health.state.text();
        if let Some(before) = self.told.insert(server.name.clone(), after)
            && before != after
        {
            self.changes.push(Change {
                server: server.name.clone(),
                before,
                after,
            });
        }
        if let State::Down { until } = server.health.state {
            self.resting.insert((until, index));
        }
        let part = if server.health.state == State::Leaving {
            0.0
        } else {
            server.rate()
        };
        self.rate += part - self.parts[index];
        self.parts[index] = part;
    }

    /// Takes the changes of belief since the last look.
    pub(crate) fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Puts servers on trial that were left alone for long enough.
    pub(crate) fn wake(&mut self, now: Instant) {
        while let Some((until, index)) = self.resting.first().copied() {
            if until > now {
                return;
            }
            self.resting.pop_first();
            if self.list[index].health.state == (State::Down { until }) {
                self.list[index].health.set(State::Trial, now);
                self.settle(index);
            }
        }
    }

    /// Changes the server of that name, if it is known.
    pub(crate) fn change<T>(
        &mut self,
        name: &Name,
        change: impl FnOnce(&mut Server) -> T,
    ) -> Option<T> {
        let index = self.by_name.get(name).copied()?;
        let result = change(&mut self.list[index]);
        self.settle(index);
        Some(result)
    }

    /// The server of that name.
    pub(crate) fn get(&self, name: &Name) -> Option<&Server> {
        self.by_name.get(name).map(|index| &self.list[*index])
    }

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
        let in_turn = self.open.range(first..).chain(self.open.range(..first));
        let mut best: Option<(Duration, Duration, usize)> = None;
        for index in in_turn.take(LOOK_MAX) {
            let server = &self.list[*index];
            let time = server.first_token_in(tokens, now);
            if now + time > due {
                continue;
            }
            let stays_even = offer.late || server.is_even(0, offer.pause);
            let is_kind = stays_even && server.spares_others(tokens);
            if !is_kind && *is_even_somewhere {
                continue;
            }
            let ends = server.whole_in(&work, now);
            if ends.is_some_and(|ends| now + ends > offer.whole_by) && *ends_somewhere {
                continue;
            }
            let mut cost = time + self.price(server, &likes, now);
            if offer.avoid.as_ref() == Some(&server.name) {
                cost += offer.first_token;
            }
            if best.is_none_or(|(least, ..)| cost < least) {
                best = Some((cost, time, *index));
            }
        }
        best.map(|(_, first_token, index)| Choice {
            server: self.list[index].name.clone(),
            first_token,
        })
    }

    /// Whether a server that takes work could give a whole answer by then.
    fn ends_somewhere(&self, work: &Work, by: Instant, now: Instant) -> bool {
        let ends = |server: &Server| server.whole_in(work, now);
        self.live()
            .any(|server| ends(server).is_none_or(|ends| now + ends <= by))
    }

    /// Whether a server that takes work could read a prompt without making streams late.
    fn is_even_somewhere(&self, prompt_tokens: u64, pause: Duration) -> bool {
        self.live()
            .any(|server| server.is_even(prompt_tokens, pause))
    }

    /// Servers that take work, as many as one decision looks at.
    fn live(&self) -> impl Iterator<Item = &Server> {
        let is_live = |server: &&Server| server.health.state == State::Live;
        self.list.iter().filter(is_live).take(LOOK_MAX)
    }

    /// Time to the first token of a prompt on the fastest server that takes work, with nothing else
    /// to read there.
    pub(crate) fn fastest(&self, prompt_tokens: u64) -> Option<Duration> {
        self.live()
            .map(|server| server.first_token_alone(prompt_tokens))
            .min()
    }

    /// Whether any server may be given a request now.
    pub(crate) fn is_any_open(&self) -> bool {
        !self.open.is_empty()
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
        let in_turn = self.open.range(first..).chain(self.open.range(..first));
        let mut best: Option<(Duration, Duration, usize)> = None;
        for index in in_turn.take(LOOK_MAX) {
            let server = &self.list[*index];
            let time = server.first_token_in(prompt_tokens, now);
            let alone = || server.backlog() == 0 && server.rate() <= *spare;
            // An overdue one comes last, and is not ruled out: one request may be stuck for itself.
            let fits = server.first_token_if_well(prompt_tokens) <= room.window || alone();
            let cost = time + self.price(server, likes, now);
            if fits && best.is_none_or(|(least, ..)| cost < least) {
                best = Some((cost, time, *index));
            }
        }
        best.map(|(_, first_token, index)| Choice {
            server: self.list[index].name.clone(),
            first_token,
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
            server.health.returns_in(now) == Some(Duration::ZERO)
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
            let returns = server.health.returns_in(now)?;
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

    /// Prompt tokens a second of all servers that stay.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Forgets and returns every request of which `gone` says so, given when it was sent.
    pub(crate) fn forget(&mut self, gone: impl Fn(&Ticket, Instant) -> bool) -> Vec<Ticket> {
        let mut tickets = Vec::new();
        for index in 0..self.list.len() {
            let forgotten = self.list[index].forget(&gone);
            if !forgotten.is_empty() {
                tickets.extend(forgotten);
                self.settle(index);
            }
        }
        tickets
    }

    /// Number of servers that take work.
    pub(crate) fn working(&self) -> usize {
        let works = |server: &&Server| matches!(server.health.state, State::Live | State::Trial);
        self.list.iter().filter(works).count()
    }

    /// Their part of the state dump.
    pub(crate) fn dump(&self, now: Instant) -> Vec<dump::Server> {
        self.list.iter().map(|server| server.dump(now)).collect()
    }
}
