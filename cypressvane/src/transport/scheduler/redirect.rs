//! Offers that a shard without free slots passes to another one, and the reports of free slots between homes.

use std::time::Duration;

use super::Scheduler;
use crate::coordination::pool::Ticket;
use crate::coordination::shard::Shard;
use crate::protocol::message::Message;
use crate::state::clock::Instant;
use crate::transport::runtime::lock;

/// Lag from which a home passes offers to other shards. On 0.12 of a core, the home of 160 servers reached it at 1,000
/// offers per second; at lower rates its lag was 8 to 17 ms.
const REDIRECT_LAG_MIN: Duration = Duration::from_millis(100);
/// Most other shards to which a home reports its free slots, so that it sends no more in a larger service.
const IDLE_REPORTS_MAX: u16 = 8;

impl Scheduler {
    /// The shard that should get a new offer instead: this one has no free slot, or its home lags, and the other one
    /// has reported free slots.
    pub(super) fn redirect_target(
        &self,
        shard: &Shard,
        ticket: &Ticket,
        now: Instant,
    ) -> Option<Shard> {
        if !shard.has_others() {
            return None;
        }
        let local = self.pool(shard);
        let mut local = lock(&local);
        let has_free_slot = !local.pool.is_saturated() && !self.is_lagging(now);
        if has_free_slot || local.pool.contains(ticket) {
            return None;
        }
        let to = lock(&self.idle).take(shard, now)?;
        local.tally.moves += 1;
        Some(to)
    }

    /// The shard that should get a first offer which this one would refuse: one that has reported any free slot. A
    /// redirected offer is not redirected again, so each request moves at most once.
    pub(super) fn refuge(&self, shard: &Shard, now: Instant) -> Option<Shard> {
        if !shard.has_others() {
            return None;
        }
        lock(&self.idle).take_last(shard, now)
    }

    /// Reports the free slots of this host's shards to the homes of other shards; a home that lags reports none.
    pub(crate) fn report_idle(&self, now: Instant) {
        lock(&self.idle).sweep(now);
        let is_lagging = self.is_lagging(now);
        for (shard, local) in self.local_pools() {
            if !shard.has_others() || self.home_of(&shard) != self.me {
                continue;
            }
            let free_slots = lock(&local).pool.free_slots(now);
            let places = if is_lagging { 0 } else { free_slots };
            let reports = (shard.count - 1).min(IDLE_REPORTS_MAX);
            for step in 1..=reports {
                let home = self.home_of(&shard.sibling(shard.number + step));
                let shard = shard.clone();
                self.send(&home, Message::Idle { shard, places }, now);
            }
        }
    }

    /// Records the free slots that the home of another shard reports.
    pub(super) fn handle_idle(&self, shard: Shard, free_slots: u32, now: Instant) {
        lock(&self.idle).record_report(shard, free_slots, now);
    }

    /// Whether this host lags so much that another home decides sooner.
    fn is_lagging(&self, now: Instant) -> bool {
        self.lag(now) >= REDIRECT_LAG_MIN
    }
}
