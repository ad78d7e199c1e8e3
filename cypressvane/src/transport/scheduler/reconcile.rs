//! Reports of the grants still in use, so that a home frees a slot if the end of a request or its grant was lost.

use std::collections::HashMap;
use std::time::Duration;

use super::{RECONCILE_AFTER, Scheduler, Stage};
use crate::coordination::shard::Shard;
use crate::protocol::message::Message;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::transport::runtime::lock;

/// Reconciliation rounds without a report of its holder after which a home treats a grant as lost: two reports may be
/// lost in a row.
const UNCONFIRMED_ROUNDS: u32 = 3;
/// Rounds for which a home still gets empty reports after the last of its grants to this host has ended.
const EMPTY_REPORTS: u32 = 3;

impl Scheduler {
    /// Reports to each home which of its grants are still in use. Returns the hosts whose links were reconnected.
    ///
    /// The interval grows with the number of hosts, since a home gets a report from each of them. A home whose link was
    /// reconnected gets a report at once: the ends of requests that were sent over the previous connection may be lost,
    /// and their slots would stay occupied for seconds.
    pub(crate) fn reconcile(&self, now: Instant) -> Vec<Name> {
        let reconnected = self.links.take_reconnected(RECONCILE_AFTER, now);
        let pause = RECONCILE_AFTER.mul_f64(self.links.stretch());
        let is_due = {
            let mut reconciled_at = lock(&self.reconciled_at);
            let is_due = reconciled_at.is_none_or(|at| now.saturating_duration_since(at) >= pause);
            if is_due {
                *reconciled_at = Some(now);
            }
            is_due
        };
        if !is_due && reconnected.is_empty() {
            return reconnected;
        }
        self.repeat_notices(|_| false, now);
        for home in &reconnected {
            self.inform_restarted(home, now);
        }
        for ((home, shard), running) in self.running_by_home(pause, now) {
            if is_due || reconnected.contains(&home) {
                self.send(&home, Message::Reconcile { shard, running }, now);
            }
        }
        if !is_due {
            return reconnected;
        }
        for shard in self.shards() {
            let age = pause * UNCONFIRMED_ROUNDS;
            self.update_pool(&shard, |pool| pool.forget_unconfirmed(age, now));
        }
        reconnected
    }

    /// The requests of this host that run, by home and shard; empty lists for those that had some recently.
    fn running_by_home(&self, pause: Duration, now: Instant) -> HashMap<(Name, Shard), Vec<u64>> {
        let mut running: HashMap<(Name, Shard), Vec<u64>> = HashMap::new();
        for (sequence, held) in lock(&self.held).iter() {
            if matches!(held.stage, Stage::Granted { .. }) {
                let key = (held.home.clone(), held.shard.clone());
                running.entry(key).or_default().push(*sequence);
            }
        }
        let mut reported = lock(&self.reported_running);
        for key in running.keys() {
            reported.insert(key.clone(), now);
        }
        // A home that missed the end of a request learns of it because the list lacks the request.
        let reported_for = pause * EMPTY_REPORTS;
        reported.retain(|_, at| now.saturating_duration_since(*at) < reported_for);
        for key in reported.keys() {
            running.entry(key.clone()).or_default();
        }
        running
    }
}
