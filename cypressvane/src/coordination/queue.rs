//! The order of waiting offers: tier, then the policy's word, then the deadline.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use crate::coordination::pool::{Offer, Ticket};
use crate::coordination::server::millis_since;
use crate::protocol::dump;

/// The place of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    rank: usize,
    /// The negated priority, so that a larger one sorts first.
    word: i64,
    deadline: Instant,
    arrival: u64,
}

/// Waiting offers.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    offers: BTreeMap<Key, Offer>,
    keys: HashMap<Ticket, Key>,
    deadlines: BTreeSet<(Instant, Key)>,
    tokens_by_rank: BTreeMap<usize, u64>,
    arrivals: u64,
}

impl Queue {
    /// Puts an offer in its place.
    pub(crate) fn push(&mut self, offer: Offer) {
        self.arrivals += 1;
        let key = Key {
            rank: offer.rank,
            word: -offer.priority,
            deadline: offer.deadline,
            arrival: self.arrivals,
        };
        let tokens = self.tokens_by_rank.entry(offer.rank).or_default();
        *tokens += u64::from(offer.prompt_tokens);
        self.keys.insert(offer.ticket.clone(), key);
        self.deadlines.insert((offer.deadline, key));
        self.offers.insert(key, offer);
    }

    fn take(&mut self, key: Key) -> Option<Offer> {
        let offer = self.offers.remove(&key)?;
        self.keys.remove(&offer.ticket);
        self.deadlines.remove(&(offer.deadline, key));
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
