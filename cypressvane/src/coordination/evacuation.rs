//! The data centres that operators have evacuated; backend servers there get no new requests.
//!
//! Each host reads the operators' orders from the platform, and hosts report them to each other, so that a host without
//! an answer of the platform follows them too. Positions in the platform's history tell which observation is newer.
//!
//! A restore of the platform from an older copy may lose orders. They stay in force until operators have written and
//! withdrawn them again. A host may read the restored platform only after that, so hosts also report which orders
//! were lost, and which were written since.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::state::name::Name;

/// The evacuated data centres, as hosts report them to each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Report {
    /// Position in the platform's history at which this set was first seen; 0 if nothing was ever evacuated.
    pub(crate) since: u64,
    pub(crate) data_centres: BTreeSet<Name>,
    pub(crate) restore: Restore,
}

/// What the latest restore of the platform from an older copy has done to the orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Restore {
    /// Number of restores up to this one; 0 before the first.
    pub(crate) count: u64,
    /// Data centres that were evacuated before the restore, as far as the orders were known then.
    pub(crate) lost: BTreeSet<Name>,
    /// Position up to which they were known; 0 if they were not.
    pub(crate) known_to: u64,
    /// Data centres for which the platform has had an order since.
    pub(crate) rewritten: BTreeSet<Name>,
}

impl Restore {
    /// The data centres that stay evacuated because their orders were lost and not written again.
    fn unsettled(&self) -> BTreeSet<Name> {
        &self.lost - &self.rewritten
    }

    /// Merges what another host knows of the same restore.
    fn merge(&mut self, other: &Self) {
        if other.known_to > self.known_to {
            self.known_to = other.known_to;
            self.lost.clone_from(&other.lost);
        }
        self.rewritten.extend(other.rewritten.iter().cloned());
    }
}

/// The operators' orders as one host knows them.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    report: Report,
    /// Position up to which the orders are known.
    known_to: u64,
    /// Data centres for which the platform has an order, as of that position.
    ordered: BTreeSet<Name>,
}

impl Orders {
    /// Applies the orders that the platform has at `position`; returns whether the evacuated data centres change.
    ///
    /// `restores` is the number of times that the platform was restored from an older copy.
    pub(crate) fn apply_read(
        &mut self,
        position: u64,
        restores: u64,
        ordered: &BTreeSet<Name>,
    ) -> bool {
        if position < self.known_to {
            return false;
        }
        self.note_restores(restores);
        let rewritten = &mut self.report.restore.rewritten;
        rewritten.extend(ordered.iter().cloned());
        self.apply(position, ordered.clone())
    }

    /// Applies the report of another host; returns whether the evacuated data centres change.
    pub(crate) fn apply_report(&mut self, report: &Report) -> bool {
        self.note_restores(report.restore.count);
        if report.restore.count == self.report.restore.count {
            self.report.restore.merge(&report.restore);
        }
        if report.since <= self.known_to {
            return self.apply(self.known_to, self.ordered.clone());
        }
        let ordered = &report.data_centres - &report.restore.unsettled();
        self.apply(report.since, ordered)
    }

    /// Keeps the orders as they are known before a restore that this host has not heard of yet.
    fn note_restores(&mut self, count: u64) {
        if count > self.report.restore.count {
            self.report.restore = Restore {
                count,
                lost: self.report.data_centres.clone(),
                known_to: self.known_to,
                rewritten: BTreeSet::new(),
            };
        }
    }

    fn apply(&mut self, position: u64, ordered: BTreeSet<Name>) -> bool {
        self.known_to = position;
        let data_centres = &ordered | &self.report.restore.unsettled();
        self.ordered = ordered;
        if data_centres == self.report.data_centres {
            return false;
        }
        self.report.since = position;
        self.report.data_centres = data_centres;
        true
    }

    /// Returns the orders for other hosts; `None` if nothing was ever evacuated, as far as this host knows.
    pub(crate) fn report(&self) -> Option<&Report> {
        (self.report.since > 0).then_some(&self.report)
    }

    /// Returns the evacuated data centres.
    pub(crate) fn data_centres(&self) -> &BTreeSet<Name> {
        &self.report.data_centres
    }
}

#[cfg(test)]
#[path = "evacuation_tests.rs"]
mod tests;
