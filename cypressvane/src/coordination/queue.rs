//! The queue of waiting offers.
//!
//! Offers are ordered by: on time before late, tier, returning before new among late offers, priority,
//! returning before new, deadline, arrival.
//!
//! Where accounts share the pool, the start tag follows the priority, so that the deadline and whether an offer returns
//! decide only between offers of one account.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use crate::coordination::dump;
use crate::coordination::offer::{Offer, Ticket};
use crate::coordination::share::{Charge, Move, Place, Shares, Tag};
use crate::state::clock::Instant;
use crate::state::units::millis_since;

/// Sort key of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    is_late: bool,
    rank: usize,
    /// Among late offers, returning ones sort first; constant where accounts share the pool.
    is_new_if_late: bool,
    /// The negated priority, so that a larger priority sorts first.
    negated_priority: i64,
    /// The start tag; constant unless accounts share the pool.
    tag: Tag,
    /// Where accounts share the pool, the arrival, so that nothing else decides between accounts with equal tags.
    arrival_if_shared: u64,
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
    /// By tier, to find the last offer of the lowest tier. Each is stored by the key that orders it for shedding.
    by_rank: BTreeMap<(usize, Key), Key>,
    tokens_by_rank: BTreeMap<usize, u64>,
    arrivals: u64,
    /// The accounts, where they share the pool.
    shares: Option<Shares>,
}

impl Queue {
    /// Makes the accounts share the pool.
    pub(crate) fn share_between_accounts(&mut self) {
        self.shares = Some(Shares::default());
    }

    /// The accounts, where they share the pool.
    pub(crate) fn shares(&self) -> Option<&Shares> {
        self.shares.as_ref()
    }

    /// Changes the accounts, and the tags of the offers that this moves; `None` unless accounts share the pool.
    pub(crate) fn change_shares<T>(
        &mut self,
        change: impl FnOnce(&mut Shares) -> (T, Vec<Move>),
    ) -> Option<T> {
        let (result, moves) = change(self.shares.as_mut()?);
        self.apply(&moves);
        Some(result)
    }

    /// Adds an offer that expires at `expiry`.
    pub(crate) fn push(&mut self, offer: Offer, expiry: Instant, now: Instant) {
        self.arrivals += 1;
        let place = place_of(&offer, self.arrivals);
        let (tag, moves) = match &mut self.shares {
            Some(shares) => shares.enter(&offer, place, now),
            None => Default::default(),
        };
        let key = self.key_at(&place, offer.rank, tag);
        let tokens = self.tokens_by_rank.entry(offer.rank).or_default();
        *tokens += u64::from(offer.prompt_tokens);
        self.insert(key, Entry { offer, expiry });
        self.apply(&moves);
    }

    /// Adds an entry to all indexes.
    fn insert(&mut self, key: Key, entry: Entry) {
        self.keys.insert(entry.offer.ticket.clone(), key);
        self.expiries.insert((entry.expiry, key));
        self.by_rank.insert(self.shed_key(key), key);
        self.entries_mut(key.is_late).insert(key, entry);
    }

    /// Removes an entry from all indexes.
    fn extract(&mut self, key: Key) -> Option<Entry> {
        let entry = self.entries_mut(key.is_late).remove(&key)?;
        self.keys.remove(&entry.offer.ticket);
        self.expiries.remove(&(entry.expiry, key));
        self.by_rank.remove(&self.shed_key(key));
        Some(entry)
    }

    /// Removes an offer, which is not granted.
    fn take(&mut self, key: Key) -> Option<Offer> {
        let offer = self.take_entry(key)?;
        if let Some(shares) = &mut self.shares {
            let moves = shares.leave(&offer, &key.place());
            self.apply(&moves);
        }
        Some(offer)
    }

    /// Removes an offer that is granted, and charges its account where accounts share the pool.
    pub(crate) fn take_granted(
        &mut self,
        ticket: &Ticket,
        now: Instant,
    ) -> Option<(Offer, Option<Charge>)> {
        let key = *self.keys.get(ticket)?;
        let offer = self.take_entry(key)?;
        let granted = self
            .shares
            .as_mut()
            .and_then(|shares| shares.grant(&offer, &key.place(), now));
        let charge = granted.map(|(charge, moves)| {
            self.apply(&moves);
            charge
        });
        Some((offer, charge))
    }

    fn take_entry(&mut self, key: Key) -> Option<Offer> {
        let offer = self.extract(key)?.offer;
        if let Some(tokens) = self.tokens_by_rank.get_mut(&offer.rank) {
            *tokens = tokens.saturating_sub(u64::from(offer.prompt_tokens));
        }
        Some(offer)
    }

    /// Moves offers whose tags have changed, in order: an offer may be moved more than once.
    fn apply(&mut self, moves: &[Move]) {
        for step in moves {
            // No other offer has either key, since each has an arrival of its own.
            if let Some(entry) = self.extract(self.key_at(&step.place, step.rank, step.from)) {
                self.insert(self.key_at(&step.place, step.rank, step.to), entry);
            }
        }
    }

    /// The key of an offer at a place among its account's, with a start tag.
    fn key_at(&self, place: &Place, rank: usize, tag: Tag) -> Key {
        let is_shared = self.shares.is_some();
        Key {
            is_late: place.is_late,
            rank,
            is_new_if_late: !is_shared && place.is_late && place.is_new,
            negated_priority: place.negated_priority,
            tag,
            arrival_if_shared: if is_shared { place.arrival } else { 0 },
            is_new: place.is_new,
            deadline: place.deadline,
            arrival: place.arrival,
        }
    }

    /// The key of an offer that is not in the queue, after all that are alike.
    fn key_of(&self, offer: &Offer) -> Key {
        let place = place_of(offer, u64::MAX);
        self.key_at(&place, offer.rank, self.tag_of(offer))
    }

    /// The start tag of an offer, or that which it would get if it is not in the queue.
    pub(crate) fn tag_of(&self, offer: &Offer) -> Tag {
        if let Some(key) = self.keys.get(&offer.ticket) {
            return key.tag;
        }
        let place = place_of(offer, u64::MAX);
        let shares = self.shares.as_ref();
        shares.map_or(Tag::default(), |shares| shares.tag(offer, &place))
    }

    /// The key that orders an offer for shedding. Where accounts share the pool, the account furthest above its share
    /// loses its last offer, whether that is late or not.
    fn shed_key(&self, key: Key) -> (usize, Key) {
        let is_late = self.shares.is_none() && key.is_late;
        (key.rank, Key { is_late, ..key })
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
        let (_, key) = self.by_rank.last_key_value()?;
        self.take(*key)
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

    /// The last on-time early-refusal offer of each account with its expiry and the number of on-time offers ahead of
    /// it, from the last on. Offers that came at a reserved time wait longer than others, so of those the last is given
    /// beside that of the others.
    pub(crate) fn last_by_account(&self) -> Vec<(&Offer, Instant, usize)> {
        let mut accounts = HashSet::new();
        let behind = self.on_time.values().rev().zip(1..);
        let last = behind.filter(|(Entry { offer, .. }, _)| {
            offer.early && accounts.insert((&offer.account, offer.reserved))
        });
        let count = self.on_time.len();
        last.map(|(entry, place)| (&entry.offer, entry.expiry, count - place))
            .collect()
    }

    /// Number of late or on-time offers.
    pub(crate) fn count(&self, late: bool) -> usize {
        self.entries(late).len()
    }

    /// Number of offers that would be ahead of this one: on-time ones if it is on time, late ones if it is late.
    pub(crate) fn ahead_of(&self, offer: &Offer) -> usize {
        let key = self.key_of(offer);
        self.entries(offer.late).range(..key).count()
    }

    /// Number of offers that would be ahead of this one and have the same constraint.
    pub(crate) fn alike_ahead_of(&self, offer: &Offer) -> usize {
        let key = self.key_of(offer);
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
        let gone = self.keys.keys().filter(|ticket| gone(ticket));
        let gone: Vec<Ticket> = gone.cloned().collect();
        // Each removal may change the keys of the others.
        for ticket in gone {
            self.remove(&ticket);
        }
    }

    /// The offer of a ticket, if it waits.
    pub(crate) fn get(&self, ticket: &Ticket) -> Option<&Offer> {
        let key = self.keys.get(ticket)?;
        let entry = self.entries(key.is_late).get(key)?;
        Some(&entry.offer)
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

    /// Prompt tokens of the offers that would be ahead of this one.
    pub(crate) fn tokens_ahead_of(&self, offer: &Offer) -> u64 {
        let key = self.key_of(offer);
        let ahead = self.entries(offer.late).range(..key);
        ahead
            .map(|(_, entry)| u64::from(entry.offer.prompt_tokens))
            .sum()
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

fn place_of(offer: &Offer, arrival: u64) -> Place {
    Place {
        is_late: offer.late,
        negated_priority: -offer.priority,
        is_new: !offer.returning,
        deadline: offer.first_token_deadline,
        arrival,
    }
}

impl Key {
    fn place(&self) -> Place {
        Place {
            is_late: self.is_late,
            negated_priority: self.negated_priority,
            is_new: self.is_new,
            deadline: self.deadline,
            arrival: self.arrival,
        }
    }
}
