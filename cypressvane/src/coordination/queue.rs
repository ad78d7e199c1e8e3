//! The order of waiting offers: tier, the policy's word, those still on time, those that come back,
//! the deadline.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use crate::coordination::offer::{Offer, Ticket};
use crate::coordination::patience::{early, last_turn};
use crate::protocol::dump;
use crate::state::units::millis_since;

/// The place of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    rank: usize,
    /// The negated priority, so that a larger one sorts first.
    word: i64,
    late: bool,
    /// Those that come back sort first.
    first_time: bool,
    deadline: Instant,
    arrival: u64,
}

/// Waiting offers.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    offers: BTreeMap<Key, Offer>,
    keys: HashMap<Ticket, Key>,
    /// By the moment when their turn is no more use.
    deadlines: BTreeSet<(Instant, Key)>,
    /// By the moment when it is decided whether they go on waiting.
    early: BTreeSet<(Instant, Key)>,
    tokens_by_rank: BTreeMap<usize, u64>,
    arrivals: u64,
}

impl Queue {
    /// Puts an offer in its place.
    pub(crate) fn push(&mut self, offer: Offer) {
        self.arrivals += 1;
        let key = key_of(&offer, self.arrivals);
        let tokens = self.tokens_by_rank.entry(offer.rank).or_default();
        *tokens += u64::from(offer.prompt_tokens);
        self.keys.insert(offer.ticket.clone(), key);
        self.deadlines.insert((last_turn(&offer), key));
        if offer.early && !offer.late {
            self.early.insert((early(&offer), key));
        }
        self.offers.insert(key, offer);
    }

    fn take(&mut self, key: Key) -> Option<Offer> {
        let offer = self.offers.remove(&key)?;
        self.keys.remove(&offer.ticket);
        self.deadlines.remove(&(last_turn(&offer), key));
        self.early.remove(&(early(&offer), key));
        if let Some(tokens) = self.tokens_by_rank.get_mut(&offer.rank) {
            *tokens = tokens.saturating_sub(u64::from(offer.prompt_tokens));
        }
        Some(offer)
    }

    /// The offer whose turn it is.
    pub(crate) fn first(&self) -> Option<&Offer> {
        self.offers.first_key_value().map(|(_, offer)| offer)
    }

    /// Takes the offer whose turn it is.
    pub(crate) fn pop_first(&mut self) -> Option<Offer> {
        let key = *self.offers.first_key_value()?.0;
        self.take(key)
    }

    /// Takes the last offer of the lowest tier.
    pub(crate) fn pop_last(&mut self) -> Option<Offer> {
        let key = *self.offers.last_key_value()?.0;
        self.take(key)
    }

    /// Takes an offer whose deadline has passed.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<Offer> {
        let (deadline, key) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.take(key)
    }

    /// Takes an offer over which it is to be decided whether it goes on waiting, if `goes` says that
    /// it does not, given the number of offers before it.
    pub(crate) fn pop_early(
        &mut self,
        now: Instant,
        goes: impl Fn(&Offer, usize) -> bool,
    ) -> Option<Offer> {
        while let Some((at, key)) = self.early.first().copied() {
            if at > now {
                return None;
            }
            self.early.pop_first();
            let ahead = self.offers.range(..key).count();
            if self
                .offers
                .get(&key)
                .is_some_and(|offer| !goes(offer, ahead))
            {
                return self.take(key);
            }
        }
        None
    }

    /// Number of offers that would go before this one.
    pub(crate) fn ahead_of(&self, offer: &Offer) -> usize {
        self.offers.range(..key_of(offer, u64::MAX)).count()
    }

    /// Takes the offer of a ticket.
    pub(crate) fn remove(&mut self, ticket: &Ticket) -> Option<Offer> {
        let key = *self.keys.get(ticket)?;
        self.take(key)
    }

    /// Drops every offer of which `gone` says so.
    pub(crate) fn forget(&mut self, gone: impl Fn(&Ticket) -> bool) {
        let keys = self.keys.iter().filter(|(ticket, _)| gone(ticket));
        let keys: Vec<Key> = keys.map(|(_, key)| *key).collect();
        for key in keys {
            self.take(key);
        }
    }

    /// Whether the ticket's offer waits.
    pub(crate) fn contains(&self, ticket: &Ticket) -> bool {
        self.keys.contains_key(ticket)
    }

    /// Number of offers.
    pub(crate) fn len(&self) -> usize {
        self.offers.len()
    }

    /// Prompt tokens that wait at `rank` and above.
    pub(crate) fn tokens_down_to(&self, rank: usize) -> u64 {
        let ranks = self.tokens_by_rank.range(..=rank);
        ranks.map(|(_, tokens)| tokens).sum()
    }

    /// The queue of each tier for the state dump.
    pub(crate) fn dump(&self, now: Instant) -> Vec<dump::Waiting> {
        let mut ranks: BTreeMap<usize, dump::Waiting> = BTreeMap::new();
        for offer in self.offers.values() {
            let fresh = dump::Waiting {
                rank: offer.rank,
                requests: 0,
                oldest_ms: 0,
            };
            let waiting = ranks.entry(offer.rank).or_insert(fresh);
            waiting.requests += 1;
            waiting.oldest_ms = waiting.oldest_ms.max(millis_since(offer.arrived, now));
        }
        ranks.into_values().collect()
    }
}

fn key_of(offer: &Offer, arrival: u64) -> Key {
    Key {
        rank: offer.rank,
        word: -offer.priority,
        late: offer.late,
        first_time: !offer.returning,
        deadline: offer.deadline,
        arrival,
    }
}
