//! Which grants are still in use: a home that missed an end, or whose grant was lost, takes the place back.

use std::collections::HashMap;
use std::time::Duration;

use super::{Desk, RECONCILE_AFTER, Stage};
use crate::coordination::shard::Shard;
use crate::protocol::message::Message;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::transport::runtime::lock;

/// Rounds of reconciliation without a word of a grant's holder after which a home takes the grant as lost: two
/// words may be lost in a row.
const UNCONFIRMED_ROUNDS: u32 = 3;
/// How often a home is told that nothing of this host runs any more, after the last that did.
const EMPTY_TOLD: u32 = 3;

impl Desk {
    /// Tells each home which of its grants are still in use; where there are many hosts, less often, since
    /// a home hears it from each of them. A home to which the link was made anew is told at once: ends that were told
    /// over the one before may be lost, and places would stay taken for seconds.
    pub(crate) fn reconcile(&self, now: Instant) {
        let anew = self.links.connected_anew(RECONCILE_AFTER, now);
        let pause = RECONCILE_AFTER.mul_f64(self.links.stretch());
        let is_due = {
            let mut reconciled = lock(&self.reconciled);
            let is_due = reconciled.is_none_or(|at| now.saturating_duration_since(at) >= pause);
            if is_due {
                *reconciled = Some(now);
            }
            is_due
        };
        if !is_due && anew.is_empty() {
            return;
        }
        self.tell_limits(|home| anew.contains(home), now);
        for ((home, shard), running) in self.running_by_home(pause, now) {
            if is_due || anew.contains(&home) {
                self.say(&home, Message::Reconcile { shard, running }, now);
            }
        }
        if !is_due {
            return;
        }
        for shard in self.shards() {
            let age = pause * UNCONFIRMED_ROUNDS;
            self.act(&shard, |pool| pool.forget_unconfirmed(age, now));
        }
    }

    /// What runs here, by home and shard; nothing for those that had something not long ago.
    fn running_by_home(&self, pause: Duration, now: Instant) -> HashMap<(Name, Shard), Vec<u64>> {
        let mut running: HashMap<(Name, Shard), Vec<u64>> = HashMap::new();
        for (sequence, held) in lock(&self.held).iter() {
            if matches!(held.stage, Stage::Granted { .. }) {
                let pool = (held.home.clone(), held.shard.clone());
                running.entry(pool).or_default().push(*sequence);
            }
        }
        let mut told = lock(&self.told_running);
        for pool in running.keys() {
            told.insert(pool.clone(), now);
        }
        // A home that missed a request's end hears of it by the request not being in the list.
        let told_for = pause * EMPTY_TOLD;
        told.retain(|_, at| now.saturating_duration_since(*at) < told_for);
        for pool in told.keys() {
            running.entry(pool.clone()).or_default();
        }
        running
    }
}
