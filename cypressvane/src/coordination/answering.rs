//! Homes that leave this host's offers without a word: frozen, cut off from it alone, or behind with their
//! work. Other shards get the offers meanwhile, long before the home counts as lost.

use std::collections::HashMap;
use std::time::Duration;

use crate::coordination::shard::Shard;
use crate::state::clock::Instant;

/// How long a shard is left alone at first after its home gave no word.
const REST_FIRST: Duration = Duration::from_millis(500);
/// Longest time for which it is left alone before it is tried again.
const REST_MAX: Duration = Duration::from_secs(4);

/// Time after which an offer that waits, or whose only home gives no word, is said again.
const SAY_AGAIN: Duration = Duration::from_secs(1);
/// Time after which a word is asked for on an offer: many times the way there and back.
const ASK_AFTER: Duration = Duration::from_millis(150);
/// Time in which a home that is asked gives a word. With the one before it is less than half of the
/// objective of model requests (800 ms), and more than a rush keeps a home from answering that keeps up.
const WORD_WITHIN: Duration = Duration::from_millis(200);

/// How an offer stands with its home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// It was made.
    Made,
    /// A word was asked for.
    Asked,
    /// The home has said that it waits.
    Queued,
    /// It gave no word, and was asked once more over another connection.
    Doubted,
}

/// What is to be done about an offer that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Nothing yet.
    Wait,
    /// It is said again, and asks for a word.
    Ask,
    /// Its home gives no word: another shard gets it.
    Leave,
    /// Its home, the only one, gives no word: it is said again over another connection.
    Doubt,
}

/// The time that an offer has waited at its home.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    standing: Standing,
    since: Instant,
}

impl Wait {
    /// An offer that is made now.
    pub(crate) fn begin(now: Instant) -> Self {
        Self {
            standing: Standing::Made,
            since: now,
        }
    }

    /// Its home has said that it waits.
    pub(crate) fn queued(&mut self, now: Instant) {
        self.standing = Standing::Queued;
        self.since = now;
    }

    /// Whether its home was asked for a word.
    pub(crate) fn is_asked(&self) -> bool {
        matches!(self.standing, Standing::Asked | Standing::Doubted)
    }

    /// What is to be done about it; `has_others` tells whether another home could have it.
    pub(crate) fn step(&mut self, has_others: bool, now: Instant) -> Step {
        let patience = match self.standing {
            Standing::Made => ASK_AFTER,
            Standing::Asked => WORD_WITHIN,
            Standing::Queued | Standing::Doubted => SAY_AGAIN,
        };
        if now.saturating_duration_since(self.since) < patience {
            return Step::Wait;
        }
        self.since = now;
        if self.standing == Standing::Asked {
            if has_others {
                return Step::Leave;
            }
            self.standing = Standing::Doubted;
            return Step::Doubt;
        }
        self.standing = Standing::Asked;
        Step::Ask
    }
}

/// A shard whose home gave no word.
#[derive(Clone, Copy, Debug)]
struct Rest {
    until: Instant,
    length: Duration,
}

/// The shards whose homes gave no word, as one host sees them.
#[derive(Debug, Default)]
pub(crate) struct Answering {
    rests: HashMap<Shard, Rest>,
}

impl Answering {
    /// Notes that a shard's home gave no word on an offer.
    ///
    /// Further offers that had been made before count as one with the first.
    pub(crate) fn note_silence(&mut self, shard: &Shard, now: Instant) {
        let rest = self.rests.get(shard);
        if rest.is_some_and(|rest| now < rest.until) {
            return;
        }
        let length = rest.map_or(REST_FIRST, |rest| (rest.length * 2).min(REST_MAX));
        let until = now + length;
        self.rests.insert(shard.clone(), Rest { until, length });
    }

    /// Notes that its home has said something of an offer.
    pub(crate) fn note_word(&mut self, shard: &Shard) {
        if !self.rests.is_empty() {
            self.rests.remove(shard);
        }
    }

    /// Whether it gets no offers for the moment.
    pub(crate) fn rests(&self, shard: &Shard, now: Instant) -> bool {
        self.rests.get(shard).is_some_and(|rest| now < rest.until)
    }
}

#[cfg(test)]
#[path = "answering_tests.rs"]
mod tests;
