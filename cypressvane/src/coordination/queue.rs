//! The order of waiting offers: those still on time, tier, the policy's word, those that come from a
//! server that failed, the deadline.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::coordination::dump;
use crate::coordination::offer::{Offer, Ticket};
use crate::state::clock::Instant;
use crate::state::units::millis_since;

/// The place of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    late: bool,
    rank: usize,
    /// Of the late ones, those that come back sort first.
    late_first_time: bool,
    /// The negated priority, so that a larger one sorts first.
    word: i64,
    /// Those that come from a server that failed sort first.
    first_time: bool,
    deadline: Instant,
    arrival: u64,
}

/// An offer with the moment until which it keeps its place.
#[derive(Debug)]
struct Entry {
    offer: Offer,
    until: Instant,
}

/// Waiting offers.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    on_time: BTreeMap<Key, Entry>,
    /// A late answer is worth little: its place is one that none on time can use.
    late: BTreeMap<Key, Entry>,
    keys: HashMap<Ticket, Key>,
    /// By the moment until which they keep their places.
    untils: BTreeSet<(Instant, Key)>,
    /// By tier, to tell the last of the lowest one.
    by_rank: BTreeSet<(usize, Key)>,
    tokens_by_rank: BTreeMap<usize, u64>,
    arrivals: u64,
}

impl Queue {
    /// Puts an offer in its place, which it keeps until then.
    pub(crate) fn push(&mut self, offer: Offer, until: Instant) {
        self.arrivals += 1;
        let key = key_of(&offer, self.arrivals);
        let tokens = self.tokens_by_rank.entry(offer.rank).or_default();
        *tokens += u64::from(offer.prompt_tokens);
        self.keys.insert(offer.ticket.clone(), key);
        self.untils.insert((until, key));
        self.by_rank.insert((offer.rank, key));
        self.lane_mut(key.late).insert(key, Entry { offer, until });
    }

    fn take(&mut self, key: Key) -> Option<Offer> {
        let Entry { offer, until } = self.lane_mut(key.late).remove(&key)?;
        self.keys.remove(&offer.ticket);
        self.untils.remove(&(until, key));
        self.by_rank.remove(&(offer.rank, key));
        if let Some(tokens) = self.tokens_by_rank.get_mut(&offer.rank) {
            *tokens = tokens.saturating_sub(u64::from(offer.prompt_tokens));
        }
        Some(offer)
    }

    fn lane_mut(&mut self, late: bool) -> &mut BTreeMap<Key, Entry> {
        if late {
            &mut self.late
        } else {
            &mut self.on_time
        }
    }

    fn lane(&self, late: bool) -> &BTreeMap<Key, Entry> {
        if late { &self.late } else { &self.on_time }
    }

    /// The offers in their order.
    pub(crate) fn in_order(&self) -> impl Iterator<Item = &Offer> {
        let entries = self.on_time.values().chain(self.late.values());
        entries.map(|entry| &entry.offer)
    }

    /// Takes the last offer of the lowest tier.
    pub(crate) fn pop_last(&mut self) -> Option<Offer> {
        let (_, key) = *self.by_rank.last()?;
        self.take(key)
    }

    /// Takes an offer that does not keep its place any longer.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<Offer> {
        let (until, key) = *self.untils.first()?;
        if until > now {
            return None;
        }
        self.take(key)
    }

    /// The last offer that is late, or of those that are not, with the moment until which it keeps
    /// its place.
    pub(crate) fn last(&self, late: bool) -> Option<(&Offer, Instant)> {
        let (_, entry) = self.lane(late).last_key_value()?;
        Some((&entry.offer, entry.until))
    }

    /// Number of offers that are late, or of those that are not.
    pub(crate) fn count(&self, late: bool) -> usize {
        self.lane(late).len()
    }

    /// Number of offers, late or on time as this one is, that would go before it.
    pub(crate) fn ahead_of(&self, offer: &Offer) -> usize {
        let key = key_of(offer, u64::MAX);
        self.lane(offer.late).range(..key).count()
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
        self.keys.len()
    }

    /// Prompt tokens that wait at `rank` and above.
    pub(crate) fn tokens_down_to(&self, rank: usize) -> u64 {
        let ranks = self.tokens_by_rank.range(..=rank);
        ranks.map(|(_, tokens)| tokens).sum()
    }

    /// The queue of each tier for the state dump.
    pub(crate) fn dump(&self, now: Instant) -> Vec<dump::Waiting> {
        let mut ranks: BTreeMap<usize, dump::Waiting> = BTreeMap::new();
        for offer in self.in_order() {
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
        late: offer.late,
        rank: offer.rank,
        late_first_time: offer.late && !offer.returning,
        word: -offer.priority,
        first_time: !offer.returning,
        deadline: offer.deadline,
        arrival,
    }
}
