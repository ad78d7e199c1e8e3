//! The queue of waiting offers.
//!
//! Offers are ordered by: on time before late, tier, returning before new among late offers, priority,
//! returning before new, deadline, arrival.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::coordination::dump;
use crate::coordination::offer::{Offer, Ticket};
use crate::state::clock::Instant;
use crate::state::units::millis_since;

/// Sort key of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    is_late: bool,
    rank: usize,
    /// Among late offers, returning ones sort first.
    is_new_if_late: bool,
    /// The negated priority, so that a larger priority sorts first.
    negated_priority: i64,
    /// Offers that return from a failed server sort first.
    is_new: bool,
    deadline: Instant,
    arrival: u64,
}

/// An offer and the time at which it expires.
#[derive(Debug)]
struct Entry {
    offer: Offer,
    expiry: Instant,
}

/// Waiting offers.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    on_time: BTreeMap<Key, Entry>,
    /// Late answers are worth little, so these get only the slots that no on-time offer can use.
    late: BTreeMap<Key, Entry>,
    keys: HashMap<Ticket, Key>,
    /// By expiry.
    expiries: BTreeSet<(Instant, Key)>,
    /// By tier, to find the last offer of the lowest tier.
    by_rank: BTreeSet<(usize, Key)>,
    tokens_by_rank: BTreeMap<usize, u64>,
    arrivals: u64,
}

impl Queue {
    /// Adds an offer that expires at `expiry`.
    pub(crate) fn push(&mut self, offer: Offer, expiry: Instant) {
        self.arrivals += 1;
        let key = key_of(&offer, self.arrivals);
        let tokens = self.tokens_by_rank.entry(offer.rank).or_default();
        *tokens += u64::from(offer.prompt_tokens);
        self.keys.insert(offer.ticket.clone(), key);
        self.expiries.insert((expiry, key));
        self.by_rank.insert((offer.rank, key));
        self.entries_mut(key.is_late)
            .insert(key, Entry { offer, expiry });
    }

    /// Removes an offer from all indexes.
    fn take(&mut self, key: Key) -> Option<Offer> {
        let Entry { offer, expiry } = self.entries_mut(key.is_late).remove(&key)?;
        self.keys.remove(&offer.ticket);
        self.expiries.remove(&(expiry, key));
        self.by_rank.remove(&(offer.rank, key));
        if let Some(tokens) = self.tokens_by_rank.get_mut(&offer.rank) {
            *tokens = tokens.saturating_sub(u64::from(offer.prompt_tokens));
        }
        Some(offer)
    }

    fn entries_mut(&mut self, late: bool) -> &mut BTreeMap<Key, Entry> {
        if late {
            &mut self.late
        } else {
            &mut self.on_time
        }
    }

    fn entries(&self, late: bool) -> &BTreeMap<Key, Entry> {
        if late { &self.late } else { &self.on_time }
    }

    /// All offers in order.
    pub(crate) fn in_order(&self) -> impl Iterator<Item = &Offer> {
        let entries = self.on_time.values().chain(self.late.values());
        entries.map(|entry| &entry.offer)
    }

    /// Removes the last offer of the lowest tier.
    pub(crate) fn pop_last(&mut self) -> Option<Offer> {
        let (_, key) = *self.by_rank.last()?;
        self.take(key)
    }

    /// Removes an offer that has expired, if there is one.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<Offer> {
        let (expiry, key) = *self.expiries.first()?;
        if expiry > now {
            return None;
        }
        self.take(key)
    }

    /// The last late or on-time offer, and its expiry.
    pub(crate) fn last(&self, late: bool) -> Option<(&Offer, Instant)> {
        let (_, entry) = self.entries(late).last_key_value()?;
        Some((&entry.offer, entry.expiry))
    }

    /// Number of late or on-time offers.
    pub(crate) fn count(&self, late: bool) -> usize {
        self.entries(late).len()
    }

    /// Number of offers that would be ahead of this one: on-time ones if it is on time, late ones if it is late.
    pub(crate) fn ahead_of(&self, offer: &Offer) -> usize {
        let key = key_of(offer, u64::MAX);
        self.entries(offer.late).range(..key).count()
    }

    /// Number of offers that would be ahead of this one and have the same constraint.
    pub(crate) fn alike_ahead_of(&self, offer: &Offer) -> usize {
        let key = key_of(offer, u64::MAX);
        let ahead = self.entries(offer.late).range(..key);
        ahead
            .filter(|(_, entry)| entry.offer.versions == offer.versions)
            .count()
    }

    /// Removes the offer of a ticket.
    pub(crate) fn remove(&mut self, ticket: &Ticket) -> Option<Offer> {
        let key = *self.keys.get(ticket)?;
        self.take(key)
    }

    /// Removes all offers whose ticket satisfies `gone`.
    pub(crate) fn forget(&mut self, gone: impl Fn(&Ticket) -> bool) {
        let keys = self.keys.iter().filter(|(ticket, _)| gone(ticket));
        let keys: Vec<Key> = keys.map(|(_, key)| *key).collect();
        for key in keys {
            self.take(key);
        }
    }

    /// Whether the ticket's offer is in the queue.
    pub(crate) fn contains(&self, ticket: &Ticket) -> bool {
        self.keys.contains_key(ticket)
    }

    /// Number of offers.
    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Prompt tokens of the offers at `rank` and above.
    pub(crate) fn tokens_at_or_above(&self, rank: usize) -> u64 {
        let ranks = self.tokens_by_rank.range(..=rank);
        ranks.map(|(_, tokens)| tokens).sum()
    }

    /// State dump entries, one per tier.
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
        is_late: offer.late,
        rank: offer.rank,
        is_new_if_late: offer.late && !offer.returning,
        negated_priority: -offer.priority,
        is_new: !offer.returning,
        deadline: offer.first_token_deadline,
        arrival,
    }
}
