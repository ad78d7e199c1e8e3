//! Places that other shards of a service have told of, so that one without any gives offers away.

use std::collections::HashMap;
use std::time::Duration;

use crate::coordination::shard::Shard;
use crate::state::clock::Instant;

/// How long what was told counts: some rounds of telling. Older places are taken by then.
const KNOWN_FOR: Duration = Duration::from_millis(300);
/// Places that are left to the shard that told of them, since its own offers come meanwhile.
const LEFT: u32 = 2;

/// What was told of one shard.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// Those that were not given offers since.
    places: u32,
    at: Instant,
}

/// The idle places of other shards.
#[derive(Debug, Default)]
pub(crate) struct Idle {
    told: HashMap<Shard, Told>,
}

impl Idle {
    /// Takes in what a shard's home tells.
    pub(crate) fn hear(&mut self, shard: Shard, places: u32, now: Instant) {
        self.told.insert(shard, Told { places, at: now });
    }

    /// The shard with most places that one of the same service may give an offer to; takes the place.
    pub(crate) fn take(&mut self, from: &Shard, now: Instant) -> Option<Shard> {
        let is_other = |shard: &Shard| {
            shard.service == from.service && shard.count == from.count && shard != from
        };
        let others = self.told.iter_mut().filter(|(shard, told)| {
            let is_fresh = now.saturating_duration_since(told.at) < KNOWN_FOR;
            is_fresh && told.places > LEFT && is_other(shard)
        });
        // Of equal ones the first by number, so that the choice does not hang on a map's order.
        let (shard, told) =
            others.max_by_key(|(shard, told)| (told.places, std::cmp::Reverse(shard.number)))?;
        told.places -= 1;
        Some(shard.clone())
    }

    /// Forgets what does not count any more.
    pub(crate) fn sweep(&mut self, now: Instant) {
        self.told
            .retain(|_, told| now.saturating_duration_since(told.at) < KNOWN_FOR);
    }
}

#[cfg(test)]
#[path = "idle_tests.rs"]
mod tests;
