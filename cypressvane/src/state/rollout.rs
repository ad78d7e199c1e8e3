//! Roll-outs: the operators' order and the stored progress.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::name::Name;

/// An operators' order to move a service's traffic to the backend servers of another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Service to roll out.
    pub service: Name,
    /// Version that receives the traffic after the roll-out.
    pub to: Name,
    /// Sequence number; higher than that of all earlier orders for the service.
    pub number: u64,
    /// Number of times the platform had been restored from an older copy when the order was written.
    pub era: u64,
    /// Time at which the order was first read, by the platform's clock in milliseconds.
    pub seen_ms: u64,
    /// Time within which the roll-out must be decided.
    pub duration: Duration,
}

/// Time after an order's due time during which operators may resubmit it because the platform lost it.
const RESUBMIT_WITHIN: Duration = Duration::from_secs(60);

impl Order {
    /// Returns whether this order resubmits `before`, which the platform lost in a restore from an older copy.
    #[must_use]
    pub fn is_resubmission_of(&self, before: &Self) -> bool {
        let has_same_target = self.to == before.to && self.duration == before.duration;
        has_same_target && self.era > before.era
    }

    /// Returns whether stored progress belongs to this order, under its current number or, if the platform lost the
    /// order and it was resubmitted, under its previous number.
    #[must_use]
    pub fn matches(&self, progress: &Progress) -> bool {
        let resubmit_ms = u64::try_from(RESUBMIT_WITHIN.as_millis()).unwrap_or(u64::MAX);
        let is_resubmission = self.to == progress.to
            && self.era > progress.era
            && self.seen_ms <= progress.due_ms.saturating_add(resubmit_ms);
        progress.number == self.number || is_resubmission
    }
}

/// Outcome of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The roll-out is undecided.
    InProgress,
    /// The service's traffic goes to the new version; the servers of the old version are stopped.
    Completed,
    /// The service's traffic stays with the old version.
    RolledBack,
}

impl Stage {
    /// Returns the name used in logs.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::InProgress => "in_progress",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// Progress of a roll-out, stored on the platform so that it survives the loss of any host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Number of the order.
    pub number: u64,
    /// Era of the order.
    pub era: u64,
    /// Version that receives the traffic after the roll-out.
    pub to: Name,
    /// Current outcome.
    pub stage: Stage,
    /// Reason of the decision; empty until decided.
    pub why: String,
    /// Time at which the roll-out is due, by the platform's clock in milliseconds.
    pub due_ms: u64,
    /// Upper bound on the requests allotted to the new version so far. If a coordinator is lost, the part that it
    /// had not handed out is forfeited, so that no request is allotted twice.
    pub allotted: u64,
    /// Complete answers of the new version by route, so that the evidence survives the loss of the coordinator.
    pub answers: BTreeMap<Name, u64>,
}
