//! Offers that a shard without places gives to another one, and the telling of places between homes.

use std::time::Duration;

use super::Desk;
use crate::coordination::pool::Ticket;
use crate::coordination::shard::Shard;
use crate::protocol::message::Message;
use crate::state::clock::Instant;
use crate::transport::runtime::lock;

/// Lag from which a home gives offers away: what the home of 160 servers showed from 1,000 offers a second
/// on, on 0.12 of a core; it was 8 to 17 ms below that.
const LAG_MAX: Duration = Duration::from_millis(100);
/// Most other shards that a home tells of its places: what it sends stays the same in a larger service.
const SHARDS_TOLD: u16 = 8;

impl Desk {
    /// The shard that an offer is better made to: this one has no place for it now, or its home is behind
    /// with its work, and the other has told of places.
    pub(super) fn elsewhere(&self, shard: &Shard, ticket: &Ticket, now: Instant) -> Option<Shard> {
        if !shard.has_others() {
            return None;
        }
        let kept = self.pool(shard);
        let mut kept = lock(&kept);
        let has_place = !kept.pool.is_crowded() && !self.is_late(now);
        if has_place || kept.pool.knows(ticket) {
            return None;
        }
        let to = lock(&self.idle).take(shard, now)?;
        kept.tally.moves += 1;
        Some(to)
    }

    /// Tells the homes of other shards of places that nobody waits for here.
    pub(crate) fn tell_idle(&self, now: Instant) {
        lock(&self.idle).sweep(now);
        let is_late = self.is_late(now);
        for (shard, kept) in self.kept() {
            if !shard.has_others() || self.home_of(&shard) != self.me {
                continue;
            }
            let idle = lock(&kept).pool.idle_places(now);
            let places = if is_late { 0 } else { idle };
            let told = (shard.count - 1).min(SHARDS_TOLD);
            for step in 1..=told {
                let home = self.home_of(&shard.other(shard.number + step));
                let shard = shard.clone();
                self.say(&home, Message::Idle { shard, places }, now);
            }
        }
    }

    /// Takes in what the home of another shard tells.
    pub(super) fn hear_idle(&self, shard: Shard, places: u32, now: Instant) {
        lock(&self.idle).hear(shard, places, now);
    }

    /// Whether this host is so far behind with its work that others decide sooner.
    fn is_late(&self, now: Instant) -> bool {
        self.lag(now) >= LAG_MAX
    }
}
