//! Roll-outs: what operators order, and how far one has come.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::name::Name;

/// An operators' order to move a service's traffic to the backend servers of another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: Name,
    /// The version that is to get its traffic.
    pub to: Name,
    /// Tells it from earlier orders of the service, and grows.
    pub number: u64,
    /// How often the platform had come back from an older copy when it was written.
    pub era: u64,
    /// When it was first seen, by the platform's clock in milliseconds.
    pub seen_ms: u64,
    /// How long it may take.
    pub duration: Duration,
}

/// How long after an order was due it may be written again by operators whose platform has lost it.
const WRITTEN_AGAIN_WITHIN: Duration = Duration::from_secs(60);

impl Order {
    /// Whether this is an order that stood before, written again since the platform has lost it.
    #[must_use]
    pub fn is_again(&self, before: &Self) -> bool {
        let is_like = self.to == before.to && self.duration == before.duration;
        is_like && self.era > before.era
    }

    /// Whether what is kept is of this order, under this number or one that it had before the platform lost it.
    #[must_use]
    pub fn owns(&self, kept: &Progress) -> bool {
        let again_ms = u64::try_from(WRITTEN_AGAIN_WITHIN.as_millis()).unwrap_or(u64::MAX);
        let is_again = self.to == kept.to
            && self.era > kept.era
            && self.seen_ms <= kept.due_ms.saturating_add(again_ms);
        kept.number == self.number || is_again
    }
}

/// How a roll-out stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Not decided yet.
    InProgress,
    /// The service's traffic goes to the new version; the servers of the old one stop.
    Completed,
    /// The service's traffic stays with the old version.
    RolledBack,
}

impl Stage {
    /// Its word in logs.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::InProgress => "in_progress",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// What of a roll-out must outlast every host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The order's number.
    pub number: u64,
    /// The order's era.
    pub era: u64,
    /// The version that is to get the traffic.
    pub to: Name,
    /// How it stands.
    pub stage: Stage,
    /// Why it was decided so; empty before.
    pub why: String,
    /// When it is due, by the platform's clock in milliseconds.
    pub due_ms: u64,
    /// Requests that may have been allotted to the new version until now: those of them that a coordinator which
    /// is gone did not hand out are lost, so that none is handed out twice.
    pub allotted: u64,
    /// Whole answers of the new version by route, so that the evidence outlasts the coordinator.
    pub answers: BTreeMap<Name, u64>,
}
