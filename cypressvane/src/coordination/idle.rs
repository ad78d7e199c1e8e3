//! Free slots reported by the other shards of a service, to which a shard without free slots redirects offers.

use std::collections::HashMap;
use std::time::Duration;

use crate::coordination::shard::Shard;
use crate::state::clock::Instant;

/// How long a report is valid: a few reporting periods. After that the slots are likely to be taken.
const REPORT_TTL: Duration = Duration::from_millis(300);
/// Slots reserved for the reporting shard, since its own offers arrive meanwhile.
const RESERVED: u32 = 2;

/// A shard's latest report.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Free slots, minus the offers redirected to them since the report.
    free_slots: u32,
    at: Instant,
}

/// Free slots of other shards.
#[derive(Debug, Default)]
pub(crate) struct Idle {
    reports: HashMap<Shard, Report>,
}

impl Idle {
    /// Records a report from a shard's home.
    pub(crate) fn record_report(&mut self, shard: Shard, free_slots: u32, now: Instant) {
        self.reports.insert(
            shard,
            Report {
                free_slots,
                at: now,
            },
        );
    }

    /// Takes a slot for an offer that would have to wait: one of the shard of the same service with the most free slots;
    /// `None` if no other shard has more than it keeps for itself.
    pub(crate) fn take(&mut self, from: &Shard, now: Instant) -> Option<Shard> {
        self.take_beyond(RESERVED, from, now)
    }

    /// Takes a slot for an offer that would be refused: any reported one, since the reporting shard may lose it to an
    /// offer of its own at worst.
    pub(crate) fn take_last(&mut self, from: &Shard, now: Instant) -> Option<Shard> {
        self.take_beyond(0, from, now)
    }

    fn take_beyond(&mut self, reserved: u32, from: &Shard, now: Instant) -> Option<Shard> {
        let is_other = |shard: &Shard| {
            shard.service == from.service && shard.count == from.count && shard != from
        };
        let others = self.reports.iter_mut().filter(|(shard, report)| {
            let is_fresh = now.saturating_duration_since(report.at) < REPORT_TTL;
            is_fresh && report.free_slots > reserved && is_other(shard)
        });
        // Ties go to the lowest number, so that the choice does not depend on the map's order.
        let (shard, report) = others
            .max_by_key(|(shard, report)| (report.free_slots, std::cmp::Reverse(shard.number)))?;
        report.free_slots -= 1;
        Some(shard.clone())
    }

    /// Removes expired reports.
    pub(crate) fn sweep(&mut self, now: Instant) {
        self.reports
            .retain(|_, report| now.saturating_duration_since(report.at) < REPORT_TTL);
    }
}

#[cfg(test)]
#[path = "idle_tests.rs"]
mod tests;
