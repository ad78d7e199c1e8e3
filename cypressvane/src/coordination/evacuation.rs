//! The data centres that operators have evacuated; backend servers there get no new requests.
//!
//! Each host reads the operators' orders from the platform, and hosts report them to each other, so that a host without
//! an answer of the platform follows them too. Positions in the platform's history tell which observation is newer.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::state::name::Name;

/// The evacuated data centres, as hosts report them to each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Report {
    /// Position in the platform's history at which this set was first seen; 0 if nothing was ever evacuated.
    pub(crate) since: u64,
    pub(crate) data_centres: BTreeSet<Name>,
}

/// The operators' orders as one host knows them.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    report: Report,
    /// Position up to which the orders are known.
    known_to: u64,
    /// Number of times that the platform was restored from an older copy, as of the latest read.
    restores: u64,
    /// Evacuated data centres whose orders a restore of the platform has lost. They stay evacuated until operators
    /// have written and withdrawn the orders again.
    lost: BTreeSet<Name>,
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
        // Without an earlier read there is nothing to compare with.
        if restores > self.restores && self.known_to > 0 {
            self.lost.extend(self.report.data_centres.iter().cloned());
        }
        self.restores = restores;
        self.lost.retain(|name| !ordered.contains(name));
        self.apply(position, ordered.union(&self.lost).cloned().collect())
    }

    /// Applies the report of another host; returns whether the evacuated data centres change.
    pub(crate) fn apply_report(&mut self, report: &Report) -> bool {
        if report.since <= self.known_to {
            return false;
        }
        self.apply(report.since, report.data_centres.clone())
    }

    fn apply(&mut self, position: u64, data_centres: BTreeSet<Name>) -> bool {
        self.known_to = position;
        if data_centres == self.report.data_centres {
            return false;
        }
        self.report = Report {
            since: position,
            data_centres,
        };
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
